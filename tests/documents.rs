//! Checks that generated documents, the example registers and the table of events match the code.

use std::collections::BTreeSet;
use std::path::Path;

use dotterelspan::event_log::{self, EVENTS};
use dotterelspan::register::parse_register;
use dotterelspan::result_code::{TABLE, render_markdown};

#[test]
fn the_page_of_result_codes_matches_the_table() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/RESULT_CODES.md");
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(path, render_markdown()).expect("the page can be written");
    }
    let page = std::fs::read_to_string(path).unwrap_or_default();
    assert!(
        page == render_markdown(),
        "run UPDATE_DOCS=1 cargo test --test documents"
    );
}

#[test]
fn result_codes_are_unique_and_in_order() {
    let numbers: Vec<u16> = TABLE.iter().map(|entry| entry.code.number()).collect();
    assert!(numbers.is_sorted_by(|left, right| left < right));
}

#[test]
fn the_example_registers_are_accepted() {
    for name in ["kitamura.toml", "sadaf.toml"] {
        let path = format!("{}/docs/examples/{name}", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(path).expect("the example can be read");
        parse_register(&text).unwrap_or_else(|report| panic!("{name}: {report}"));
    }
}

#[test]
fn the_page_of_events_matches_the_table() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/EVENTS.md");
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(path, event_log::render_markdown()).expect("the page can be written");
    }
    let page = std::fs::read_to_string(path).unwrap_or_default();
    assert!(
        page == event_log::render_markdown(),
        "run UPDATE_DOCS=1 cargo test --test documents"
    );
}

/// Appends the text of all Rust files under a folder to `sources`.
fn read_sources(folder: &Path, sources: &mut Vec<String>) {
    for entry in std::fs::read_dir(folder).expect("a source folder can be read") {
        let path = entry.expect("an entry can be read").path();
        if path.is_dir() {
            read_sources(&path, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.push(std::fs::read_to_string(&path).expect("a source can be read"));
        }
    }
}

/// The keys of a text with `key=value` pairs.
fn keys_of(text: &str) -> Vec<&str> {
    let is_name = |byte: &u8| byte.is_ascii_lowercase() || *byte == b'_';
    text.match_indices('=')
        .map(|(end, _)| {
            let name = text.as_bytes()[..end]
                .iter()
                .rev()
                .take_while(|byte| is_name(byte));
            &text[end - name.count()..end]
        })
        .filter(|name| !name.is_empty())
        .collect()
}

#[test]
fn every_logged_event_is_in_the_table_with_its_fields() {
    let mut sources = Vec::new();
    read_sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut sources);
    let mut logged = BTreeSet::new();
    for source in &sources {
        // Splitting at quotes yields the string literals; escaped line breaks are part of a literal.
        for literal in source.split('"').filter(|literal| literal.contains("event=")) {
            let literal = &literal[literal.find("event=").unwrap_or_default()..];
            let keys = keys_of(literal);
            let name = literal["event=".len()..]
                .split([' ', '{', '\\'])
                .next()
                .unwrap_or_default();
            let entry = EVENTS.iter().find(|entry| entry.name == name);
            let entry = entry.unwrap_or_else(|| panic!("event {name} is not in the table"));
            for key in &keys[1..] {
                assert!(
                    entry.fields.contains(key),
                    "event {name} logs {key}, which the table lacks"
                );
            }
            logged.insert(name.to_owned());
        }
    }
    let listed: BTreeSet<String> = EVENTS.iter().map(|entry| entry.name.to_owned()).collect();
    assert_eq!(listed, logged, "the table and the code name the same events");
}
