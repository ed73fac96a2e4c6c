//! Socket options of connections to other nodes and to the local upstream.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{io, time::Duration},
    tokio::net::TcpStream,
};

/// Time after which a connection is closed if bytes or keep-alive probes stay unacknowledged.
const DEAD_CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle time after which the kernel probes a connection, and interval between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unacknowledged probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Disables the delay of small segments and lets the kernel close a connection whose peer is dead, so
/// that an idle connection wakes no task.
///
/// # Errors
/// Fails if the peer has already closed the connection.
pub(in crate::node) fn configure(socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let socket = SockRef::from(socket);
    socket.set_tcp_user_timeout(Some(DEAD_CONNECTION_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}
