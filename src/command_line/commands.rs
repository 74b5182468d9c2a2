//! Implementation of the subcommands.

use std::io::Read;

use super::allocator::limit_heaps;
use super::arguments::{CheckArguments, EntryArguments, ExplainArguments, SettingsArguments};
use crate::clock;
use crate::event_log::EventLog;
use crate::explain::{CauseTally, LogLine, LogSet, draw_plot, find_cause};
use crate::platform;
use crate::prelude::*;
use crate::register::parse_register;
use crate::result_code::TABLE;
use crate::runtime::{NodeError, run_gateway, run_node};
use crate::settings::{EntrySettings, SettingReader};
use crate::traffic::upstream;

/// Timeout for the answer of a running entry, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 5_000;

/// The longest report or status that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 4_000_000;

/// Exit codes of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Success; for a node, its drain is complete.
    Done = 0,
    /// The command line is invalid; argh exits with this code itself.
    Usage = 1,
    /// Settings are missing or invalid.
    Settings = 2,
    /// The checked register has faults.
    Register = 3,
    /// A listener can't be bound, or the process can't be set up.
    Start = 4,
    /// The running entry does not answer, or a file can't be read or written.
    Unreachable = 5,
    /// The result code to explain does not exist.
    UnknownCode = 6,
    /// The request that `where` asked about would be refused.
    Refused = 7,
}

/// Starts the log on standard output; `None` if that fails, in which case the process runs without a log.
fn start_log() -> Option<EventLog> {
    match EventLog::start(std::io::stdout()) {
        Ok(log) => Some(log),
        Err(error) => {
            eprintln!("the log can't be started: {error}");
            None
        }
    }
}

/// Reads the settings; if any is faulty, prints every fault and returns `None`.
fn read_settings(
    flags: &FastMap<&'static str, String>,
) -> Option<(EntrySettings, Vec<crate::settings::SettingRow>)> {
    let environment = |name: &str| std::env::var(name).ok();
    let mut reader = SettingReader::new(flags, &environment);
    let settings = EntrySettings::read(&mut reader);
    for fault in &reader.faults {
        eprintln!("{fault}");
    }
    settings
        .filter(|_| reader.faults.is_empty())
        .map(|settings| (settings, reader.rows))
}

/// Runs an entry node until it has drained.
pub fn run_entry(arguments: &EntryArguments) -> ExitStatus {
    let Some((settings, _)) = read_settings(&arguments.flags()) else {
        return ExitStatus::Settings;
    };
    let log = start_log();
    let status = to_exit_status(run_node(settings));
    drop(log);
    status
}

fn to_exit_status(result: Result<(), NodeError>) -> ExitStatus {
    match result {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            let code = match error {
                NodeError::Listen { .. } => ResultCode::ListenFailed,
                NodeError::Setup { .. } | NodeError::Metrics { .. } => ResultCode::SettingInvalid,
            };
            eprintln!("{error} [{} {}]", code.number(), code.entry().name);
            ExitStatus::Start
        }
    }
}

/// Runs a gateway node on the users' platform until it has drained.
pub fn run_platform_gateway() -> ExitStatus {
    let settings = match platform::read_settings() {
        Ok(settings) => settings,
        Err(error) => {
            let code = ResultCode::SettingInvalid;
            eprintln!("{error} [{} {}]", code.number(), code.entry().name);
            return ExitStatus::Settings;
        }
    };
    let heaps = limit_heaps();
    let log = start_log();
    if let Err(error) = heaps {
        spdlog::warn!("event=heaps_unlimited reason=\"{error}\"");
    }
    let status = to_exit_status(run_gateway(settings, platform::adapter()));
    drop(log);
    status
}

/// Prints the settings that an entry would use and the source of each.
pub fn print_settings(arguments: &SettingsArguments) -> ExitStatus {
    let Some((_, rows)) = read_settings(&arguments.flags()) else {
        return ExitStatus::Settings;
    };
    for row in rows {
        println!("{}={} source={}", row.name, row.value, row.source.as_str());
    }
    ExitStatus::Done
}

/// Checks a register file and prints its size, or every fault.
pub fn check_register(arguments: &CheckArguments) -> ExitStatus {
    let text = match std::fs::read_to_string(&arguments.file) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("can't read {}: {error}", arguments.file);
            return ExitStatus::Unreachable;
        }
    };
    match parse_register(&text) {
        Ok(register) => {
            println!(
                "good: {} workspaces, {} zones, {} upstreams, {} operations",
                register.workspaces.len(),
                register.zones.len(),
                register.upstreams.len(),
                register.operations.len()
            );
            ExitStatus::Done
        }
        Err(report) => {
            eprint!("{report}");
            ExitStatus::Register
        }
    }
}

/// Prints a running entry's answer to a GET request.
pub fn fetch(address: &str, path: &str) -> ExitStatus {
    let body = async_std::task::block_on(async {
        let request = upstream::get(address, path)?;
        let deadline = clock::now().after_ms(FETCH_TIMEOUT_MS);
        let mut response = upstream::exchange(address, request, deadline).await.ok()?;
        upstream::read_body(&mut response, MAX_RESPONSE_BYTES).await
    });
    match body {
        Some(body) => {
            println!("{}", String::from_utf8_lossy(&body).trim_end());
            ExitStatus::Done
        }
        None => {
            eprintln!("no entry answers at {address}");
            ExitStatus::Unreachable
        }
    }
}

/// Explains a result code, all result codes, or the outcome of a request.
pub fn explain(arguments: &ExplainArguments) -> ExitStatus {
    if arguments.result {
        return count_causes(arguments);
    }
    let Some((subject, logs)) = arguments.words.split_first() else {
        return explain_codes(None);
    };
    match subject.parse() {
        Ok(code) => explain_codes(Some(code)),
        Err(_) => explain_request(subject, logs),
    }
}

fn explain_codes(code: Option<u16>) -> ExitStatus {
    let wanted = |number: u16| code.is_none_or(|code| code == number);
    let rows: Vec<_> = TABLE.iter().filter(|entry| wanted(entry.code.number())).collect();
    for entry in &rows {
        let (number, effect) = (entry.code.number(), entry.effect.as_str());
        println!(
            "{number} {} ({effect})\n  {}\n  {}",
            entry.name, entry.meaning, entry.remedy
        );
    }
    if rows.is_empty() {
        eprintln!("there is no such code; `dotterelspan explain` lists all");
        return ExitStatus::UnknownCode;
    }
    ExitStatus::Done
}

/// Reads the named log files, or standard input if there are none.
fn read_logs(names: &[String]) -> std::io::Result<LogSet> {
    let mut logs = LogSet::default();
    for name in names {
        let bytes = std::fs::read(name)?;
        let stem = std::path::Path::new(name).file_stem().unwrap_or_default();
        logs.add(&String::from_utf8_lossy(&bytes), &stem.to_string_lossy());
    }
    if names.is_empty() {
        let mut bytes = Vec::new();
        std::io::stdin().read_to_end(&mut bytes)?;
        logs.add(&String::from_utf8_lossy(&bytes), "-");
    }
    Ok(logs)
}

/// Reads logs like `read_logs`, and prints an error to standard error.
fn open_logs(names: &[String]) -> Result<LogSet, ExitStatus> {
    read_logs(names).map_err(|error| {
        eprintln!("can't read the logs: {error}");
        ExitStatus::Unreachable
    })
}

fn explain_request(request: &str, names: &[String]) -> ExitStatus {
    let logs = match open_logs(names) {
        Ok(logs) => logs,
        Err(status) => return status,
    };
    let timeline = logs.timeline(request);
    let (cause, sentence) = find_cause(&logs, &timeline);
    println!("cause: {}\n{sentence}", cause.as_str());
    print_lines("steps", &timeline.steps);
    print_lines("beliefs", &timeline.beliefs);
    print_lines("requests of its content", &timeline.suspicion);
    print_lines("limits of its service", &timeline.limits);
    print_lines("configurations of its VM", &timeline.configuration.own);
    ExitStatus::Done
}

fn print_lines(title: &str, lines: &[&LogLine]) {
    if !lines.is_empty() {
        println!("\n{title}:");
        lines.iter().for_each(|line| println!("  {line}"));
    }
}

fn count_causes(arguments: &ExplainArguments) -> ExitStatus {
    let logs = match open_logs(&arguments.words) {
        Ok(logs) => logs,
        Err(status) => return status,
    };
    let tally = CauseTally::from_logs(&logs);
    print!("{}", tally.table());
    let Some(file) = &arguments.plot else {
        return ExitStatus::Done;
    };
    let drawn = draw_plot(&tally).map_err(|error| error.to_string());
    let written = drawn.and_then(|svg| std::fs::write(file, svg).map_err(|error| error.to_string()));
    match written {
        Ok(()) => ExitStatus::Done,
        Err(reason) => {
            eprintln!("can't write {file}: {reason}");
            ExitStatus::Unreachable
        }
    }
}
