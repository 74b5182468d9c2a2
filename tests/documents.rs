//! Documents that are made from code match it.

use dotterelspan::register::parse_register;
use dotterelspan::result_code::{TABLE, render_markdown};

#[test]
fn the_page_of_result_codes_is_made_from_the_table() {
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
        let text = std::fs::read_to_string(path).expect("an example is there");
        parse_register(&text).unwrap_or_else(|report| panic!("{name}: {report}"));
    }
}
