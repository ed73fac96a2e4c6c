//! Entry point of the `pistachiolane` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    pistachiolane::cli::run(&args, &platform::adapter())
}
