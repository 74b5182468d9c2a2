//! Writes the rows of docs/PROOFS.md that result from a run.

use std::fs;
use std::path::PathBuf;

/// The directory for the rows of a run, one file each.
fn rows_directory() -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("proofs")
}

/// Writes the row of a case that passed, with the promises it checked.
pub fn write_proven_row(part: &str, fault: &str, step: &str, promises: &str) {
    if std::env::var_os("UPDATE_PROOFS").is_none() {
        return;
    }
    fs::create_dir_all(rows_directory()).expect("the directory for rows can be created");
    let row = format!("| {part} | {fault} | {step} | proven | {promises} |\n");
    let path = rows_directory().join(format!("{part}-{fault}-{step}.row"));
    fs::write(path, row).expect("a row can be written");
}

/// Writes the row of a case that does not apply.
pub fn write_not_applicable_row(part: &str, fault: &str, step: &str, reason: &str) {
    if std::env::var_os("UPDATE_PROOFS").is_none() {
        return;
    }
    fs::create_dir_all(rows_directory()).expect("the directory for rows can be created");
    let row = format!("| {part} | {fault} | {step} | not applicable | {reason} |\n");
    let path = rows_directory().join(format!("{part}-{fault}-{step}.row"));
    fs::write(path, row).expect("a row can be written");
}
