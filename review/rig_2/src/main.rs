//! Stand-ins for the cases of the second review, and the cases themselves: `review-rig-2 CASE RECORD`.

mod evicted;
mod node;
mod replica;
mod slow_readers;
mod store;
mod wire;

use std::path::PathBuf;
use std::process::ExitCode;

/// Outcome of a case.
pub enum Outcome {
    Held,
    Broken,
    /// The case could not run, for this reason.
    Unable(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (case, record) = (
        arguments.next().unwrap_or_default(),
        arguments.next().unwrap_or_default(),
    );
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = PathBuf::from(record);
    let outcome = match case.as_str() {
        "evicted" => evicted::run(has_trouble, &record),
        "slow_readers" => slow_readers::run(has_trouble, &record),
        other => Outcome::Unable(format!("no case is named {other}")),
    };
    match outcome {
        Outcome::Held => ExitCode::SUCCESS,
        Outcome::Broken => ExitCode::from(1),
        Outcome::Unable(reason) => {
            eprintln!("{reason}");
            ExitCode::from(2)
        }
    }
}
