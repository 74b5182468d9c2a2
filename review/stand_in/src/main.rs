//! Scenarios of the review. Usage: `review_stand_in SCENARIO FOLDER`, in the repository's root. `FOLDER` gets
//! `record.txt`. With `TROUBLE=0` the scenario runs without its disruption.

mod engine;
mod holders;
mod http;
mod leaving;
mod memory;
mod node;
mod record;
mod stopping;
mod store;
mod versions;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// The result of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

impl Verdict {
    fn from_faults(count: usize) -> Self {
        if count == 0 { Self::Held } else { Self::Broken }
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, folder] = &arguments[..] else {
        eprintln!("usage: review_stand_in SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let scratch = std::env::temp_dir().join(format!("review-{scenario}-{}", std::process::id()));
    let scenario: fn(&Path, &Record, bool) -> Verdict = match &**scenario {
        "holders" => holders::run,
        "leaving" => leaving::run,
        "memory" => memory::run,
        "stopping" => stopping::run,
        "versions" => versions::run,
        other => {
            eprintln!("no scenario is named {other}");
            return ExitCode::from(2);
        }
    };
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    if std::fs::create_dir_all(&scratch).is_err() {
        return ExitCode::from(2);
    }
    record.say(&format!("disruption: {}", if has_trouble { "on" } else { "off" }));
    // A scenario that panics, for example because a process does not become ready, has not run.
    let verdict = std::panic::catch_unwind(|| scenario(&scratch, &record, has_trouble));
    let verdict = verdict.unwrap_or(Verdict::NotRun);
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    record.say(&format!("result: {verdict:?}"));
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}
