//! The process of a node, from its settings to the end of its graceful stop.

use {
    super::{Exit, args::NodeArgs, logging},
    crate::{
        node,
        settings::{ProcessSettings, SettingsSource},
    },
    log::LevelFilter,
    std::time::Duration,
    tokio::signal::unix::{SignalKind, signal},
};

/// Longest graceful stop, in seconds, when none is set.
const DEFAULT_STOP_TIMEOUT_SECONDS: u64 = 600;

struct ProcessOptions {
    settings: ProcessSettings,
    level: LevelFilter,
    stop_timeout: Duration,
}

/// Runs a node until SIGTERM or SIGINT, then stops it gracefully.
pub fn run(args: &NodeArgs) -> Exit {
    let options = match read(args) {
        Ok(options) => options,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return Exit::Usage;
        }
    };
    if let Err(e) = logging::init(options.level) {
        eprintln!("{e}");
        return Exit::Failed;
    }
    match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(serve(options)),
        Err(e) => {
            eprintln!("cannot start threads: {e}");
            Exit::Failed
        }
    }
}

fn read(args: &NodeArgs) -> Result<ProcessOptions, Vec<String>> {
    let env = |name: &str| std::env::var(name).ok();
    let text = |name: &str, variable: &str| args.flag(name).or_else(|| env(variable));
    let mut faults = Vec::new();
    let level = text("log-level", "PISTACHIOLANE_LOG_LEVEL")
        .map_or(Some(LevelFilter::Info), |l| l.parse().ok());
    if level.is_none() {
        faults.push("--log-level: expected error, warn, info, debug or trace".to_owned());
    }
    let seconds = text("stop-timeout", "PISTACHIOLANE_STOP_TIMEOUT")
        .map_or(Some(DEFAULT_STOP_TIMEOUT_SECONDS), |t| t.parse().ok());
    if seconds.is_none() {
        faults.push("--stop-timeout: expected whole seconds".to_owned());
    }
    let settings = ProcessSettings::new(&SettingsSource { flag: &|n| args.flag(n), env: &env });
    match (settings, level, seconds) {
        (Ok(settings), Some(level), Some(seconds)) => {
            let stop_timeout = Duration::from_secs(seconds);
            Ok(ProcessOptions { settings, level, stop_timeout })
        }
        (settings, ..) => {
            faults.extend(settings.err().into_iter().flat_map(|e| e.faults));
            Err(faults)
        }
    }
}

async fn serve(options: ProcessOptions) -> Exit {
    let (Ok(mut term), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        eprintln!("cannot wait for signals");
        return Exit::Failed;
    };
    let node = match node::run(options.settings).await {
        Ok(node) => node,
        Err(e) => {
            eprintln!("{e}");
            return Exit::Failed;
        }
    };
    tokio::select! {
        _signal = term.recv() => {}
        _signal = interrupt.recv() => {}
    }
    if node.stop(options.stop_timeout).await { Exit::Done } else { Exit::Failed }
}
