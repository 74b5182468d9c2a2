//! Output and exit code of every subcommand.

use std::process::{Command, Output};

use async_std::task::block_on;
use stand_ins::fleet::{Fleet, FleetPlan};

fn run(arguments: &[&str], environment: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dotterelspan"));
    command
        .args(arguments)
        .env_clear()
        .envs(environment.iter().copied());
    command.output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

const KEY: (&str, &str) = ("DOTTERELSPAN_SHARED_KEY", "sixteen bytes or more");

#[test]
fn check_lists_every_fault_with_line_place_and_remedy() {
    let good = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/examples/kitamura.toml");
    let output = run(&["check", good], &[]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let bad = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/faulty-register.toml");
    let output = run(&["check", bad], &[]);
    assert_eq!(output.status.code(), Some(3));
    insta::assert_snapshot!(text(&output.stderr));
}

#[test]
fn settings_shows_values_and_where_they_came_from() {
    let arguments = [
        "settings",
        "--name",
        "entry-1",
        "--zone",
        "furano",
        "--platform",
        "127.0.0.1:9000",
    ];
    let output = run(
        &arguments,
        &[
            KEY,
            ("DOTTERELSPAN_GROUP_SIZE", "8"),
            ("DOTTERELSPAN_NAME", "overruled"),
        ],
    );
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    insta::assert_snapshot!(text(&output.stdout));
}

#[test]
fn faulty_settings_are_all_named_at_once() {
    let arguments = [
        "entry",
        "--name",
        "a b",
        "--listen",
        "nowhere",
        "--resolve-keep-ms",
        "5",
        "--policy",
        "best",
    ];
    let output = run(&arguments, &[("DOTTERELSPAN_SHARED_KEY", "short")]);
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(text(&output.stderr));
}

#[test]
fn explain_knows_codes_and_says_when_it_does_not() {
    let output = run(&["explain", "3006"], &[]);
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(text(&output.stdout));
    assert_eq!(run(&["explain", "9999"], &[]).status.code(), Some(6));
}

#[test]
fn an_address_in_use_stops_the_entry_with_an_exit_code() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = taken.local_addr().expect("a listener has an address").to_string();
    let arguments = [
        "entry",
        "--name",
        "a",
        "--zone",
        "z",
        "--platform",
        "127.0.0.1:1",
        "--listen",
        address.as_str(),
    ];
    let output = run(&arguments, &[KEY]);
    assert_eq!(output.status.code(), Some(4));
    assert!(text(&output.stderr).contains("7003"), "{}", text(&output.stderr));
}

#[test]
fn report_and_status_read_a_running_entry() {
    block_on(async {
        let fleet = Fleet::start(FleetPlan::small()).await;
        let entry = fleet.entries[0].address.as_str();
        let report = run(&["report", entry], &[]);
        assert_eq!(report.status.code(), Some(0));
        assert!(text(&report.stdout).starts_with("entry-0 asahikawa serving\nregister 1 confirmed\n"));
        let status = run(&["status", entry], &[]);
        let status: serde_json::Value = serde_json::from_slice(&status.stdout).expect("a status is JSON");
        assert_eq!(status["live_vms"], 3);
        let metrics = stand_ins::http::get(entry, "/metrics")
            .await
            .expect("an answer")
            .body;
        assert!(metrics.is_string());
        assert_eq!(run(&["report", "127.0.0.1:1"], &[]).status.code(), Some(5));
    });
}
