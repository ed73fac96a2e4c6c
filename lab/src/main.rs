//! The lab's program: `lab COMMAND --help` tells more.

use {
    gumdrop::Options,
    lab::{codegen, demo, report::Report},
    std::{path::Path, process::ExitCode},
};

/// Seed when none is given.
const DEFAULT_SEED: u64 = 1;

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "two regions, six upstreams, ten seconds of load, two faults")]
    Demo(RunArgs),
    #[options(help = "generate the types of schema/")]
    Schema(SchemaArgs),
}

#[derive(Debug, Options)]
struct RunArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print one JSON object")]
    json: bool,
    #[options(no_short, meta = "N", help = "seed of the random numbers (1)")]
    seed: Option<u64>,
}

#[derive(Debug, Options)]
struct SchemaArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "compare instead of writing")]
    check: bool,
}

fn main() -> ExitCode {
    match Args::parse_args_default_or_exit().command {
        None => {
            println!("{}\n\n{}", Args::usage(), Args::command_list().unwrap_or_default());
            ExitCode::from(2)
        }
        Some(Command::Schema(args)) => finish(codegen::run(Path::new("."), args.check)),
        Some(Command::Demo(args)) => {
            let seed = args.seed.unwrap_or(DEFAULT_SEED);
            finish_report(args.json, block_on(demo::run(seed)))
        }
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.unwrap_or_else(|e| panic!("cannot start threads: {e}")).block_on(future)
}

fn finish<E: std::fmt::Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn finish_report<E: std::fmt::Display>(json: bool, report: Result<Report, E>) -> ExitCode {
    match report {
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
        Ok(report) => {
            println!("{}", if json { report.json().to_string() } else { report.table() });
            if report.held() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
    }
}
