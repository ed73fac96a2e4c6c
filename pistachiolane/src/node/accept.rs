//! Accepting connections.

use {
    std::time::Duration,
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Pause after a failed accept; descriptors are short, and others will close.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Waits for the next connection; `what` names the listener in the log.
///
/// Failures are waited out. The first of a series is logged, and how many there were once it is over.
pub async fn accept(listener: &TcpListener, what: &'static str) -> TcpStream {
    let mut failures = 0_u64;
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                if failures > 0 {
                    log::info!(target: "node", listener = what, failures; "accepting connections again");
                }
                return socket;
            }
            Err(e) => {
                if failures == 0 {
                    log::warn!(target: "node", listener = what; "cannot accept a connection: {e}");
                }
                failures += 1;
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
