//! Accepting connections.

use {
    std::time::Duration,
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Delay after a failed accept: file descriptors are short, and other connections will close and
/// free some.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Waits for the next connection and retries failed accepts; `name` identifies the listener in the
/// log.
///
/// Logs the first failure of a series, and their number once a connection has been accepted again.
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
