//! Process of a node, from reading its settings to its graceful shutdown.

use {
    super::{Adapter, Exit, args::NodeArgs, logging, node_options},
    crate::node::{self, RunningNode},
    std::time::Duration,
    tokio::{
        runtime::{Builder, Runtime},
        signal::unix::{Signal, SignalKind, signal},
        time::{MissedTickBehavior, interval, timeout},
    },
};

/// Interval at which the settings file is checked, because it may change without a signal.
const FILE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs a node until SIGTERM or SIGINT, then shuts it down gracefully.
pub fn run(args: &NodeArgs, adapter: &Adapter) -> Exit {
    let options = match node_options::read(args, adapter) {
        Ok(options) => options,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return Exit::Usage;
        }
    };
    if let Err(e) = logging::init(options.log_level) {
        eprintln!("{e}");
        return Exit::Failed;
    }
    options.log_skipped();
    match build_runtime() {
        Ok(runtime) => {
            let exit = runtime.block_on(serve(args, adapter, options));
            // Tasks that run for the lifetime of the process are cancelled without waiting for them.
            runtime.shutdown_background();
            logging::flush();
            exit
        }
        Err(e) => {
            eprintln!("cannot start the runtime threads: {e}");
            Exit::Failed
        }
    }
}

/// Builds a runtime with one worker thread per core; with a single core everything runs on the main thread.
fn build_runtime() -> std::io::Result<Runtime> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    match cores {
        1 => Builder::new_current_thread().enable_all().build(),
        _ => Builder::new_multi_thread().worker_threads(cores).enable_all().build(),
    }
}

async fn serve(args: &NodeArgs, adapter: &Adapter, options: node_options::NodeOptions) -> Exit {
    let (Ok(mut term), Ok(mut interrupt), Ok(hangup)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    ) else {
        eprintln!("cannot install signal handlers");
        return Exit::Failed;
    };
    let integration = (adapter.choose_integration)(&options.settings);
    let node = match node::run(options.settings, integration).await {
        Ok(node) => node,
        Err(e) => {
            log::error!(target: "node", "{e}");
            eprintln!("{e}");
            return Exit::Failed;
        }
    };
    tokio::select! {
        _signal = term.recv() => {}
        _signal = interrupt.recv() => {}
        () = reload_settings(args, adapter, &node, hangup) => {}
    }
    let limit = node.shared().tunables.load().stop_timeout;
    match timeout(limit, node.stop(limit)).await {
        Ok(true) => Exit::Done,
        Ok(false) => Exit::Failed,
        Err(_) => {
            log::error!(target: "node", limit_ms = limit.as_millis() as u64; "graceful shutdown exceeded its time limit, aborting");
            Exit::Failed
        }
    }
}

/// Reloads the settings on SIGHUP and whenever the file changes, for as long as the node runs.
async fn reload_settings(
    args: &NodeArgs,
    adapter: &Adapter,
    node: &RunningNode,
    mut hangup: Signal,
) {
    let read_file = || {
        // An unreadable file is reported by `node_options::read`.
        node_options::settings_file_path(args).and_then(|path| std::fs::read(path).ok())
    };
    let mut timer = interval(FILE_POLL_INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_file = read_file();
    loop {
        let cause = tokio::select! {
            _signal = hangup.recv() => "signal",
            _tick = timer.tick() => "file changed",
        };
        let file = read_file();
        if cause == "file changed" && file == last_file {
            continue;
        }
        last_file = file;
        match node_options::read(args, adapter) {
            Ok(options) => {
                options.log_skipped();
                node.reload(cause, &options.settings);
            }
            Err(faults) => {
                log::error!(
                    target: "node", cause, faults = faults.join("; ").as_str();
                    "settings not reloaded, keeping the settings in force"
                );
            }
        }
    }
}
