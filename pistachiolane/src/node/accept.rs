//! Accepting connections.

use {
    std::time::Duration,
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Delay after a failed accept. The usual cause is that no file descriptor is free; other
/// connections release theirs when they close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Waits for the next connection and retries failed accepts; `name` identifies the listener in the
/// log.
///
/// Logs the first failure of a series, and the number of failures once a connection is accepted.
pub async fn accept(listener: &TcpListener, name: &'static str) -> TcpStream {
    let mut failures = 0_u64;
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                if failures > 0 {
                    log::info!(
                        target: "node", listener = name, failures;
                        "accepting connections again"
                    );
                }
                return socket;
            }
            Err(e) => {
                if failures == 0 {
                    log::warn!(target: "node", listener = name; "cannot accept a connection: {e}");
                }
                failures += 1;
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
