//! Command-line program of the lab; `lab --help` lists its commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    lab::cli::run()
}
