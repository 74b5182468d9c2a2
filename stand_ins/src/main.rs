//! Runs the stand-in, the demonstration or the measurement that the command line names.

fn main() -> std::process::ExitCode {
    stand_ins::command_line::run()
}
