//! Tests of the program as a process: signals, settings reloads and short soaks under faults.

use {
    lab::{
        http::HttpClient,
        soak::{self, Host, SoakContext, SoakSpec},
        stand_in::PlatformStandIn,
    },
    rustix::process::Signal,
    serde_json::Value,
    std::{
        fs,
        path::PathBuf,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    test_case::test_case,
    tokio::time::{Instant, sleep},
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_pistachiolane");

/// Time limit for reaching an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

fn directory(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&path).unwrap();
    path
}

/// Starts a host and waits until its node is ready.
async fn start_ready_host(name: &str) -> (Arc<Host>, PathBuf) {
    let directory = directory(name);
    let store = PlatformStandIn::new();
    store.write_as_operator("config", "main", soak::configuration(0));
    let context = Arc::new(SoakContext::new(PathBuf::from(PROGRAM), directory.clone()));
    let host = Host::start(0, &store, context).await.unwrap();
    wait_until("ready", async || host.is_ready().await).await;
    (host, directory.join("host-0-1.log"))
}

async fn wait_until(what: &str, mut done: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !done().await {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the log line of the last settings reload.
fn last_reload_line(log: &PathBuf) -> Option<Value> {
    let text = fs::read_to_string(log).unwrap();
    let mut lines = text.lines().filter_map(|l| serde_json::from_str::<Value>(l).ok());
    lines.rfind(|l| l["message"] == "settings reloaded")
}

/// SIGHUP, or a change of the settings file without a signal, puts new settings in force without affecting requests.
#[test_case("signal", true; "with the signal")]
#[test_case("file changed", false; "without a signal")]
#[tokio::test(flavor = "multi_thread")]
async fn settings_reloaded(cause: &str, signalled: bool) {
    let (host, log) = start_ready_host(&format!("reload-{signalled}")).await;
    let http = HttpClient::new();
    let uri = format!("http://{}/orders/ok", host.callers.address);
    let call = async || http.get_status(&uri).await;
    wait_until("served", async || call().await == Ok(404)).await;
    host.change_settings(0, 55).unwrap();
    if signalled {
        host.signal(Signal::HUP);
    }
    // No route matches the request's host name; the node must still respond, on the same connection.
    wait_until("the reload", async || {
        assert_eq!(call().await, Ok(404));
        last_reload_line(&log).is_some()
    })
    .await;
    let line = last_reload_line(&log).unwrap();
    assert_eq!(line["cause"], cause, "{line}");
    assert_eq!((&line["changed"], &line["needs_restart"]), (&true.into(), &false.into()), "{line}");
    assert_eq!(host.starts.load(Ordering::SeqCst), 1);
    assert!(host.is_ready().await);
}

/// An invalid settings file leaves the settings in force and the node running.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_settings_file_is_not_reloaded() {
    let (host, log) = start_ready_host("reload-unusable").await;
    let settings = log.with_file_name("host-0.env");
    fs::write(&settings, "PISTACHIOLANE_LISTEN=nowhere\n").unwrap();
    host.signal(Signal::HUP);
    let rejected = || {
        fs::read_to_string(&log)
            .unwrap()
            .contains("settings not reloaded, keeping the settings in force")
    };
    wait_until("the rejected reload", async || rejected()).await;
    assert!(host.is_ready().await);
}

/// All guarantees hold under faults on a few hosts. The longer cases are seeds that failed before:
///
/// - 2: another soak took the port of a stopped node (a fault of the lab), and the check assumed that a node without a
///   configuration had a version (a fault of the check);
/// - 14: a gate assigned slots to queued attempts although its upstream was draining;
/// - 65: gates that briefly had no upstream received no further attempts from other regions.
#[test_case(1, 8, 4; "seed 1")]
#[test_case(3, 8, 4; "seed 3")]
#[test_case(2, 36, 6; "seed 2 which failed")]
#[test_case(14, 36, 6; "seed 14 which failed")]
#[test_case(65, 30, 6; "seed 65 which failed")]
#[tokio::test(flavor = "multi_thread")]
async fn soak_upholds_guarantees(seed: u64, seconds: u64, hosts: usize) {
    let spec = SoakSpec {
        seed,
        duration: Duration::from_secs(seconds),
        hosts,
        program: PathBuf::from(PROGRAM),
        logs: directory(&format!("soak-{seconds}")),
    };
    let report = soak::run(&spec).await.unwrap();
    assert!(report.passed(), "{}", report.table());
}
