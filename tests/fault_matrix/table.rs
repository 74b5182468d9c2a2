//! The rows of docs/PROOFS.md that a run gives.

use std::fs;
use std::path::PathBuf;

/// Where a run leaves its rows.
fn folder() -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("proofs")
}

/// Notes that a case held every promise that it names.
pub fn note_proven(part: &str, fault: &str, step: &str, promises: &str) {
    if std::env::var_os("UPDATE_PROOFS").is_none() {
        return;
    }
    fs::create_dir_all(folder()).expect("the folder for rows can be made");
    let row = format!("| {part} | {fault} | {step} | proven | {promises} |\n");
    let path = folder().join(format!("{part}-{fault}-{step}.row"));
    fs::write(path, row).expect("a row can be written");
}

/// Notes that a case does not apply.
pub fn note_not_applicable(part: &str, fault: &str, step: &str, reason: &str) {
    if std::env::var_os("UPDATE_PROOFS").is_none() {
        return;
    }
    fs::create_dir_all(folder()).expect("the folder for rows can be made");
    let row = format!("| {part} | {fault} | {step} | not applicable | {reason} |\n");
    let path = folder().join(format!("{part}-{fault}-{step}.row"));
    fs::write(path, row).expect("a row can be written");
}
