//! The `dotterelspan` program: reads the command line and leaves the rest to the library.

fn main() -> std::process::ExitCode {
    dotterelspan::command_line::run()
}
