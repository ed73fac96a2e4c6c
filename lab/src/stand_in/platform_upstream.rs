//! An upstream of the users' platform over raw sockets, with the ways in which its answers go wrong.

use {
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Header of a request's identity.
pub const ID: &str = "x-pistachiolane-request-id";

/// Time that a slow request takes, far beyond what a test waits for a cancellation.
const SLOW: Duration = Duration::from_secs(8);

/// Headers looked at.
const MAX_HEADERS: usize = 32;

/// A request as it reached the upstream.
#[derive(Clone, Debug, Default)]
pub struct Arrived {
    /// Method and path.
    pub line: String,
    /// Headers, names in lower case.
    pub headers: HashMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
}

/// The stand-in. What it does with a request follows from the last segment of the path:
/// `foreign`, `unsigned`, `cut`, `extra`, `reset`, `unframed`, `shed`, `slow`, or an answer.
#[derive(Debug)]
pub struct PlatformUpstream {
    /// The instance that it is.
    pub instance: String,
    /// Requests that ran.
    pub runs: Mutex<Vec<Arrived>>,
    /// Requests whose connection closed while they ran.
    pub cancelled: AtomicU64,
    /// Connections taken.
    pub connections: AtomicU64,
}

impl PlatformUpstream {
    /// Starts an upstream on a free port.
    ///
    /// # Errors
    /// Fails when no port is free.
    pub async fn start(instance: &str) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let upstream = Arc::new(Self {
            instance: instance.to_owned(),
            runs: Mutex::default(),
            cancelled: AtomicU64::new(0),
            connections: AtomicU64::new(0),
        });
        let serving = Arc::clone(&upstream);
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                serving.connections.fetch_add(1, Ordering::SeqCst);
                let upstream = Arc::clone(&serving);
                // A broken connection is what some tests are about.
                tokio::spawn(async move { upstream.connection(socket).await });
            }
        });
        Ok((upstream, address))
    }

    /// Requests that ran so far.
    pub fn ran(&self) -> Vec<Arrived> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn connection(&self, mut socket: TcpStream) -> std::io::Result<()> {
        while let Some(req) = read(&mut socket).await? {
            let expected = req.headers.get("x-pistachiolane-expect-instance");
            if expected.is_some_and(|e| *e != self.instance) {
                let head = format!("x-pistachiolane-instance-id: {}", self.instance);
                socket.write_all(&answer("421 Misdirected Request", &head, "")).await?;
                continue;
            }
            let action = req.line.rsplit('/').next().unwrap_or("").to_owned();
            if action == "shed" {
                let head = "x-pistachiolane-not-executed: 1";
                socket.write_all(&answer("503 Service Unavailable", head, "")).await?;
                continue;
            }
            let id = req.headers.get(ID).cloned().unwrap_or_default();
            self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(req);
            if action == "slow" && self.is_cancelled(&mut socket).await {
                self.cancelled.fetch_add(1, Ordering::SeqCst);
                return Ok(());
            }
            let signed = format!(
                "{ID}: {id}\r\nx-pistachiolane-response-signature: {id}.s\r\n\
                 x-pistachiolane-server-load: 1,0,10,100"
            );
            let good = answer("200 OK", &signed, &format!("answer to {id}"));
            match action.as_str() {
                "foreign" => {
                    let other = signed.replace(&id, "0000");
                    socket.write_all(&answer("200 OK", &other, "another's")).await?;
                }
                "unsigned" => {
                    socket.write_all(&answer("200 OK", &format!("{ID}: {id}"), "bare")).await?;
                }
                "cut" => {
                    socket.write_all(&good[..good.len() - 3]).await?;
                    return Ok(());
                }
                "extra" => {
                    socket.write_all(&good).await?;
                    socket.write_all(&good).await?;
                }
                "reset" => return Ok(()),
                "unframed" => {
                    let head =
                        format!("HTTP/1.1 200 OK\r\n{signed}\r\nconnection: close\r\n\r\nbody");
                    socket.write_all(head.as_bytes()).await?;
                    return Ok(());
                }
                _ => socket.write_all(&good).await?,
            }
        }
        Ok(())
    }

    /// Works for a long time, unless the connection closes.
    async fn is_cancelled(&self, socket: &mut TcpStream) -> bool {
        let mut byte = [0; 1];
        tokio::select! {
            () = sleep(SLOW) => false,
            _closed = socket.read(&mut byte) => true,
        }
    }
}

fn answer(status: &str, head: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

/// Reads one request; `None` at the end of the connection.
async fn read(socket: &mut TcpStream) -> std::io::Result<Option<Arrived>> {
    let mut buf = Vec::new();
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        if let Ok(httparse::Status::Complete(length)) = head.parse(&buf) {
            let mut req = Arrived {
                line: format!("{} {}", head.method.unwrap_or(""), head.path.unwrap_or("")),
                ..Arrived::default()
            };
            for header in head.headers.iter() {
                let value = String::from_utf8_lossy(header.value).into_owned();
                req.headers.insert(header.name.to_ascii_lowercase(), value);
            }
            let size = req.headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            req.body = buf.split_off(length);
            while req.body.len() < size {
                if socket.read_buf(&mut req.body).await? == 0 {
                    return Ok(None);
                }
            }
            return Ok(Some(req));
        }
        if socket.read_buf(&mut buf).await? == 0 {
            return Ok(None);
        }
    }
}
