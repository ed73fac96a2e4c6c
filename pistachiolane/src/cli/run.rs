//! Parses the command line and runs the command.

use {
    super::{
        Adapter, Exit,
        args::{Args, Command},
        commands,
        explain::explain,
        node_process,
    },
    gumdrop::Options,
    std::process::ExitCode,
};

/// Runs the program with the given command-line arguments.
pub fn run(args: &[String], adapter: &Adapter) -> ExitCode {
    execute(args, adapter).into()
}

fn execute(args: &[String], adapter: &Adapter) -> Exit {
    let parsed = match Args::parse_args_default(args) {
        Ok(parsed) => parsed,
        Err(e) => {
            eprintln!("{e}\ntry `pistachiolane --help`");
            return Exit::Usage;
        }
    };
    if parsed.version {
        println!("pistachiolane {}", env!("CARGO_PKG_VERSION"));
        return Exit::Done;
    }
    if parsed.help_requested() {
        print_help(&parsed);
        return Exit::Done;
    }
    match parsed.command {
        None => {
            print_help(&parsed);
            Exit::Usage
        }
        Some(Command::Node(args)) => node_process::run(&args, adapter),
        Some(Command::Explain(args)) => {
            let result = explain(&args.request, std::io::stdin().lock(), &mut std::io::stdout());
            result.unwrap_or_else(|e| {
                eprintln!("cannot explain the request: {e}");
                Exit::Failed
            })
        }
        Some(command) => run_command(command),
    }
}

fn run_command(command: Command) -> Exit {
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(commands::run(command)),
        Err(e) => {
            eprintln!("cannot start the runtime: {e}");
            Exit::Failed
        }
    }
}

fn print_help(args: &Args) {
    let mut command: &dyn Options = args;
    let mut name = "pistachiolane".to_owned();
    while let Some(subcommand) = command.command() {
        if let Some(subcommand_name) = subcommand.command_name() {
            name = format!("{name} {subcommand_name}");
        }
        command = subcommand;
    }
    println!("Usage: {name} [OPTIONS]\n\n{}", command.self_usage());
    if let Some(commands) = command.self_command_list() {
        println!(
            "\nCommands:\n{commands}\n\nRun `pistachiolane COMMAND --help` for the options of a command."
        );
        println!(
            "Exit codes: 0 done, 1 failed, 2 usage, 3 refused, 4 conflict, 5 unknown or pending"
        );
    }
}
