//! TCP relay that injects faults: it delays data, drops data in one or both directions, and resets
//! or silences connections.

use {
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
        time::sleep,
    },
};

/// Delay before a failed accept is retried. If the process has run out of file descriptors, some may
/// be closed during the delay.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Fault that applies to the data of all open and new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Data is forwarded.
    #[default]
    None,
    /// Data is forwarded after a delay.
    Delay(Duration),
    /// Data to the target is lost.
    DropToTarget,
    /// Data from the target is lost.
    DropFromTarget,
    /// Data in both directions is lost.
    DropAll,
}

/// Target and faults of the relay; its connections observe the changes.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    target: Option<SocketAddr>,
    fault: LinkFault,
    /// Connections opened in an earlier epoch no longer forward data.
    silent_epoch: u64,
    /// Connections opened in an earlier epoch are reset.
    reset_epoch: u64,
}

/// Relay to one target at a time.
#[derive(Debug)]
pub struct Relay {
    /// Address that the relay listens on.
    pub address: SocketAddr,
    link_updates: watch::Sender<Link>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Relay {
    /// Starts a relay without a target. Connections are closed until a target is set.
    ///
    /// # Errors
    /// Fails if no address can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (link_updates, link) = watch::channel(Link::default());
        tokio::spawn(async move {
            loop {
                let socket = match listener.accept().await {
                    Ok((socket, _)) => socket,
                    Err(e) => {
                        eprintln!("relay {address}: cannot accept a connection: {e}");
                        sleep(ACCEPT_RETRY_DELAY).await;
                        continue;
                    }
                };
                let target = link.borrow().target;
                if let Some(target) = target {
                    tokio::spawn(relay_connection(socket, target, link.clone()));
                }
            }
        });
        Ok(Self { address, link_updates })
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.link_updates.send_modify(|link| link.target = Some(target));
    }

    /// Sets the fault that applies to data from now on.
    pub fn set_fault(&self, fault: LinkFault) {
        self.link_updates.send_modify(|link| link.fault = fault);
    }

    /// Silences every open connection: it stays open, but data that the relay receives is no longer
    /// forwarded.
    pub fn silence_open_connections(&self) {
        self.link_updates.send_modify(|link| link.silent_epoch += 1);
    }

    /// Ends every open connection abruptly: both sockets are dropped along with data in transit.
    pub fn reset_open_connections(&self) {
        self.link_updates.send_modify(|link| link.reset_epoch += 1);
    }
}

/// Relays one connection until both directions end or it is reset.
async fn relay_connection(socket: TcpStream, target: SocketAddr, mut link: watch::Receiver<Link>) {
    let link_at_open = *link.borrow();
    let Ok(target_socket) = TcpStream::connect(target).await else { return };
    for socket in [&socket, &target_socket] {
        // An error is ignored, because without TCP_NODELAY data only arrives slightly later.
        let _ignored = socket.set_nodelay(true);
    }
    let (caller_read, caller_write) = socket.into_split();
    let (target_read, target_write) = target_socket.into_split();
    let to_target =
        forward(caller_read, target_write, Direction::ToTarget, link_at_open, link.clone());
    let from_target =
        forward(target_read, caller_write, Direction::FromTarget, link_at_open, link.clone());
    tokio::select! {
        _both = async { tokio::join!(to_target, from_target) } => {}
        // Also completes when the relay is dropped, which ends the connection.
        _reset = link.wait_for(|link| link.reset_epoch > link_at_open.reset_epoch) => {}
    }
}

/// Forwards the data of one direction and applies the fault in force.
async fn forward(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    direction: Direction,
    link_at_open: Link,
    link: watch::Receiver<Link>,
) {
    let is_silent = || link.borrow().silent_epoch > link_at_open.silent_epoch;
    let mut buf = vec![0; 16_384];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        let fault = link.borrow().fault;
        let is_lost = match fault {
            LinkFault::DropAll => true,
            LinkFault::DropToTarget => direction == Direction::ToTarget,
            LinkFault::DropFromTarget => direction == Direction::FromTarget,
            LinkFault::None | LinkFault::Delay(_) => is_silent(),
        };
        if let LinkFault::Delay(delay) = fault {
            sleep(delay).await;
        }
        if is_lost {
            // TCP never delivers a stream with a gap, so nothing more is forwarded, even after the
            // fault ends.
            std::future::pending::<()>().await;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
    if is_silent() {
        // The end of a silenced connection is not forwarded either.
        std::future::pending::<()>().await;
    }
    // An error is ignored: the peer may already have closed the connection.
    let _ignored = to.shutdown().await;
}
