//! Starts one stand-in, or the demonstration.

fn main() -> std::process::ExitCode {
    stand_ins::command_line::run()
}
