//! Dispatch of the lab's commands.

use {
    super::{
        args::{Args, Command},
        stand_ins,
    },
    crate::{
        added_latency, codegen, demo, drain, faults, membership, policy,
        report::Report,
        settings, slopes,
        soak::{self, SoakSpec},
    },
    gumdrop::Options,
    std::{convert::Infallible, fmt::Display, path::Path, process::ExitCode, time::Duration},
};

/// Parses the arguments, runs the command and returns the exit code of the process.
pub fn run() -> ExitCode {
    match Args::parse_args_default_or_exit().command {
        None => {
            println!("{}\n\n{}", Args::usage(), Args::command_list().unwrap_or_default());
            ExitCode::from(2)
        }
        Some(Command::Faults(args)) => {
            finish_report::<Infallible>(args.json, Ok(faults::run(args.steps, args.seed)))
        }
        Some(Command::Drain(args)) => finish_report(args.json, block_on(drain::run(args.seed))),
        Some(Command::AddedLatency(args)) => {
            finish_report(args.json, block_on(added_latency::run(args.seed)))
        }
        Some(Command::Settings(args)) => {
            finish_report(args.json, block_on(settings::run(args.seed)))
        }
        Some(Command::Slopes(args)) => {
            finish_report::<Infallible>(args.json, Ok(slopes::run(args.seed)))
        }
        Some(Command::Membership(args)) => {
            let sizes: Result<Vec<u16>, _> = args.sizes.split(',').map(str::parse).collect();
            let sizes = sizes.map_err(|e| format!("--sizes {}: {e}", args.sizes));
            finish_report(args.json, sizes.map(|sizes| membership::run(&sizes, args.seed)))
        }
        Some(Command::Policy(args)) => {
            finish_report::<Infallible>(args.json, Ok(policy::run(args.seed, args.seconds)))
        }
        Some(Command::Soak(args)) => {
            let spec = SoakSpec {
                seed: args.seed,
                duration: Duration::from_secs_f64(args.minutes * 60.0),
                hosts: args.hosts,
                program: args.program.unwrap_or_else(soak::sibling_program),
                logs: args.logs,
            };
            finish_report(args.json, block_on(soak::run(&spec)))
        }
        Some(Command::Schema(args)) => finish(codegen::run(Path::new("."), args.check)),
        Some(Command::Platform(args)) => {
            let result = block_on(stand_ins::run_platform(&args));
            finish(result.map_err(|e| format!("cannot listen on {}: {e}", args.listen)))
        }
        Some(Command::Upstream(args)) => {
            let result = block_on(stand_ins::run_upstream(&args));
            finish(result.map_err(|e| format!("cannot listen on {}: {e}", args.listen)))
        }
        Some(Command::Load(args)) => {
            let report = block_on(stand_ins::run_load(&args));
            let report = report.map_err(|e| format!("--entries {}: {e}", args.entries));
            finish_report(args.json, report)
        }
        Some(Command::Demo(args)) => finish_report(args.json, block_on(demo::run(args.seed))),
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.unwrap_or_else(|e| panic!("cannot start the tokio runtime: {e}")).block_on(future)
}

fn finish<E: Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn finish_report<E: Display>(json: bool, report: Result<Report, E>) -> ExitCode {
    match report {
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
        Ok(report) => {
            println!("{}", if json { report.json().to_string() } else { report.table() });
            if report.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
    }
}
