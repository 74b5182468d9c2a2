//! Cases of the third review that can't be put as a day of the bench. `rig_3 CASE RECORD` plays one and exits with 1 if
//! its rule was broken, 0 if it held and 2 if it could not run. `TROUBLE=0` leaves the disruption out.

mod base64;
mod desk;
mod drained;
mod engine;
mod head_request;
mod http;
mod moved;
mod node;
mod orders;
mod proxy;
mod record;
mod stage;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: rig_3 CASE RECORD");
        return ExitCode::from(2);
    };
    record::open(path);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    note!(
        "case {case}, {}",
        if has_trouble {
            "with the disruption"
        } else {
            "without the disruption"
        }
    );
    let outcome = match case.as_str() {
        "store-copy" => drained::store_copy(has_trouble),
        "head-request" => head_request::head_request(has_trouble),
        "killed-holder" => orders::killed_holder(has_trouble),
        "moved-store" => moved::moved_store(has_trouble),
        "silent-store" => drained::silent_store(has_trouble),
        _ => None,
    };
    match outcome {
        Some(broken) if broken.is_empty() => {
            note!("the rule held");
            ExitCode::SUCCESS
        }
        Some(broken) => {
            broken.iter().for_each(|line| note!("broken: {line}"));
            ExitCode::from(1)
        }
        None => {
            note!("the case could not run");
            ExitCode::from(2)
        }
    }
}
