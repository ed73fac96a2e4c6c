//! The lab's program: `lab --help` tells more.

use std::process::ExitCode;

fn main() -> ExitCode {
    lab::cli::run()
}
