//! A TCP relay that delays, resets, cuts one direction, or silences connections.

use {
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
        time::sleep,
    },
};

/// Pause after a failed accept; descriptors are short, and others will close.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What happens to the bytes of connections that are open or come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// They pass.
    #[default]
    None,
    /// They pass later.
    Delay(Duration),
    /// Those to the target are lost.
    DropToTarget,
    /// Those from the target are lost.
    DropFromTarget,
    /// All are lost.
    DropAll,
}

#[derive(Clone, Copy, Debug, Default)]
struct Link {
    target: Option<SocketAddr>,
    fault: LinkFault,
    /// Connections opened at an earlier epoch are silent for good.
    silent_epoch: u64,
    /// Connections opened at an earlier epoch are reset.
    reset_epoch: u64,
}

/// The relay.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    link: watch::Sender<Link>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Relay {
    /// Starts a relay without a target.
    ///
    /// # Errors
    /// Fails when no address can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (link, links) = watch::channel(Link::default());
        tokio::spawn(async move {
            loop {
                let socket = match listener.accept().await {
                    Ok((socket, _)) => socket,
                    Err(e) => {
                        eprintln!("relay {address}: cannot accept: {e}");
                        sleep(ACCEPT_PAUSE).await;
                        continue;
                    }
                };
                let target = links.borrow().target;
                if let Some(target) = target {
                    tokio::spawn(connection(socket, target, links.clone()));
                }
            }
        });
        Ok(Self { address, link })
    }

    /// Sets where new connections go.
    pub fn set_target(&self, target: SocketAddr) {
        self.link.send_modify(|link| link.target = Some(target));
    }

    /// Sets what happens to bytes from now on.
    pub fn set_fault(&self, fault: LinkFault) {
        self.link.send_modify(|link| link.fault = fault);
    }

    /// Silences every connection that is open now: bytes are taken and never passed on.
    pub fn silence_open_connections(&self) {
        self.link.send_modify(|link| link.silent_epoch += 1);
    }

    /// Resets every connection that is open now.
    pub fn reset_open_connections(&self) {
        self.link.send_modify(|link| link.reset_epoch += 1);
    }
}

async fn connection(socket: TcpStream, target: SocketAddr, mut links: watch::Receiver<Link>) {
    let opened = *links.borrow();
    let Ok(other) = TcpStream::connect(target).await else { return };
    for socket in [&socket, &other] {
        // Without it bytes come a little later.
        let _slower = socket.set_nodelay(true);
    }
    let (read_a, write_a) = socket.into_split();
    let (read_b, write_b) = other.into_split();
    let forth = pass(read_a, write_b, Direction::ToTarget, opened, links.clone());
    let back = pass(read_b, write_a, Direction::FromTarget, opened, links.clone());
    tokio::select! {
        _both = async { tokio::join!(forth, back) } => {}
        // A relay that is gone resets nothing.
        _reset = links.wait_for(|link| link.reset_epoch > opened.reset_epoch) => {}
    }
}

async fn pass(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    direction: Direction,
    opened: Link,
    links: watch::Receiver<Link>,
) {
    let is_silent = || links.borrow().silent_epoch > opened.silent_epoch;
    let mut buf = vec![0; 16_384];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        let fault = links.borrow().fault;
        let lost = match fault {
            LinkFault::DropAll => true,
            LinkFault::DropToTarget => direction == Direction::ToTarget,
            LinkFault::DropFromTarget => direction == Direction::FromTarget,
            LinkFault::None | LinkFault::Delay(_) => is_silent(),
        };
        if let LinkFault::Delay(time) = fault {
            sleep(time).await;
        }
        if lost {
            // A stream with a gap would be another one: nothing more passes.
            std::future::pending::<()>().await;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
    if is_silent() {
        // The other end hears nothing, not even the end.
        std::future::pending::<()>().await;
    }
    // The other end may be gone already.
    let _gone = to.shutdown().await;
}
