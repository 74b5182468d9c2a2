//! The command line: subcommands, their arguments and exit codes.

mod allocator;
mod arguments;
mod commands;
mod preview;

pub use commands::ExitStatus;

use std::process::ExitCode;

use arguments::{CommandLine, Subcommand};

/// Parses the command line and runs the subcommand.
pub fn run() -> ExitCode {
    let line: CommandLine = argh::from_env();
    let status = match line.subcommand {
        Subcommand::Entry(arguments) => commands::run_entry(&arguments),
        Subcommand::Gateway(_) => commands::run_platform_gateway(),
        Subcommand::Settings(arguments) => commands::print_settings(&arguments),
        Subcommand::Check(arguments) => commands::check_register(&arguments),
        Subcommand::Report(arguments) => commands::fetch(&arguments.address, "/v1/report"),
        Subcommand::Status(arguments) => commands::fetch(&arguments.address, "/v1/status"),
        Subcommand::Where(arguments) => preview::preview(&arguments),
        Subcommand::Explain(arguments) => commands::explain(&arguments),
    };
    ExitCode::from(status as u8)
}
