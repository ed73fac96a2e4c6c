//! A caller's socket that parses the heads of pipelined requests ahead of the HTTP server.
//!
//! The HTTP server serves one request at a time and does not read from the socket while bytes of a
//! later request are unread. This socket reads further: it reports the heads of pipelined requests
//! as soon as they arrive, so that work on them can start, and it detects the end of the stream
//! behind them.

use {
    crate::{
        limits::held::{Holder, Lease},
        node::{bounded_connection::BoundedConnection, shared::Shared},
        tick::Tick,
    },
    bytes::{Buf, BytesMut},
    hyper::{
        Request, Version,
        header::{self, HeaderName, HeaderValue},
        rt::{Read, ReadBufCursor, Write},
    },
    std::{
        collections::VecDeque,
        future::poll_fn,
        io,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::{Sleep, sleep},
    },
};

/// Most bytes that are read ahead of the HTTP server; enough for many requests without a body.
const MAX_LOOKAHEAD_BYTES: usize = 32 << 10;

/// Size of one read from the socket in bytes.
const READ_BYTES: usize = 4 << 10;

/// Start of an HTTP/2 connection.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n";

/// Most headers of a request that is parsed ahead; one with more is left to the HTTP server.
const MAX_HEADERS: usize = 64;

/// Head of a pipelined request; `None` if the request has a body.
pub type RequestHead = Option<Request<()>>;

struct Inner {
    stream: TcpStream,
    /// Bytes that were read from the socket and not yet by the HTTP server.
    buffer: BytesMut,
    /// Bytes from the start of `buffer` that belong to requests of known length; exceeds the length
    /// of `buffer` while a body is incomplete.
    scanned: u64,
    /// Bytes of each of these requests that the HTTP server has not read yet.
    request_lengths: VecDeque<u64>,
    /// Heads that [`RequestLookahead`] has not returned yet.
    new_heads: VecDeque<RequestHead>,
    /// Whether all further bytes go to the HTTP server without being parsed here.
    passthrough: bool,
    /// Whether the connection is an HTTP/2 one.
    is_http2: bool,
    /// How reading ended: `Ok` at the end of the stream, `Err` on an error.
    ended: Option<io::Result<()>>,
    /// Time limit from the first byte of a head to its last.
    head_timeout: Duration,
    /// Timer of the incomplete head, if there is one.
    head_timer: Option<Pin<Box<Sleep>>>,
    /// Memory of `buffer` beyond one read.
    lease: Option<Lease>,
    connection: Arc<BoundedConnection>,
    shared: Arc<Shared>,
}

/// Caller's socket as the HTTP server uses it.
pub struct CallerSocket {
    inner: Arc<Mutex<Inner>>,
}

/// Reads the heads of requests that are pipelined behind the one being served. The same task uses
/// it and the socket, so their lock is never contended.
#[derive(Clone)]
pub struct RequestLookahead {
    inner: Arc<Mutex<Inner>>,
}

impl CallerSocket {
    /// Creates the socket for the HTTP server and the lookahead on it. The connection ends if a
    /// head takes longer than `head_timeout`.
    pub fn new(
        stream: TcpStream,
        head_timeout: Duration,
        connection: Arc<BoundedConnection>,
        shared: Arc<Shared>,
    ) -> (Self, RequestLookahead) {
        let inner = Inner {
            stream,
            buffer: BytesMut::new(),
            scanned: 0,
            request_lengths: VecDeque::new(),
            new_heads: VecDeque::new(),
            passthrough: false,
            is_http2: false,
            ended: None,
            head_timeout,
            head_timer: None,
            lease: None,
            connection,
            shared,
        };
        let inner = Arc::new(Mutex::new(inner));
        (Self { inner: Arc::clone(&inner) }, RequestLookahead { inner })
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

impl RequestLookahead {
    /// Returns the heads that arrived since the last call, in order of arrival.
    pub fn take_new_heads(&self) -> VecDeque<RequestHead> {
        std::mem::take(&mut lock(&self.inner).new_heads)
    }

    /// Waits for more heads; returns `None` once the caller has closed its side or the connection
    /// is lost.
    pub async fn next_heads(&self) -> Option<VecDeque<RequestHead>> {
        poll_fn(|cx| {
            let mut inner = lock(&self.inner);
            loop {
                if !inner.new_heads.is_empty() {
                    return Poll::Ready(Some(std::mem::take(&mut inner.new_heads)));
                }
                if inner.ended.is_some() {
                    return Poll::Ready(None);
                }
                // Its streams have tasks of their own, and only the connection's may wait for the socket.
                if inner.is_http2 {
                    return Poll::Pending;
                }
                if inner.buffer.len() >= MAX_LOOKAHEAD_BYTES {
                    return Poll::Pending;
                }
                ready!(inner.poll_fill(cx));
                // The HTTP server, in the same task, may be waiting for these bytes.
                cx.waker().wake_by_ref();
            }
        })
        .await
    }
}

impl Inner {
    /// Reads from the socket once and parses the new bytes.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; READ_BYTES];
        let mut buf = ReadBuf::new(&mut bytes);
        match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf)) {
            Ok(()) if buf.filled().is_empty() => self.ended = Some(Ok(())),
            Ok(()) => {
                self.buffer.extend_from_slice(buf.filled());
                let now = self.shared.now();
                self.connection.record_progress(now);
                self.count_buffer(now);
                self.scan();
            }
            Err(e) => self.ended = Some(Err(e)),
        }
        Poll::Ready(())
    }

    /// Counts the memory of the buffer in the budget of the process, unless it is that of one read.
    fn count_buffer(&mut self, now: Tick) {
        let capacity = self.buffer.capacity() as u64;
        if capacity <= READ_BYTES as u64 {
            return;
        }
        let lease = self.lease.get_or_insert_with(|| {
            let eviction = self.connection.holder().eviction().clone();
            let holder = Holder::new("request head").with_eviction(eviction);
            Lease::new(&self.shared.held_bytes, holder)
        });
        lease.holder().record_work();
        let more = capacity.saturating_sub(lease.holder().bytes());
        if let Some(evicted) = lease.force(more, now).filter(|_| more > 0) {
            self.shared.record_eviction(&evicted);
        }
    }

    /// Parses the complete heads in the buffer.
    fn scan(&mut self) {
        while !self.passthrough && self.scanned < self.buffer.len() as u64 {
            let rest = &self.buffer[self.scanned as usize..];
            let Some(scanned) = scan_request(rest) else {
                // A head this long is left to the HTTP server, which rejects it if it exceeds the
                // limit.
                self.passthrough = rest.len() >= MAX_LOOKAHEAD_BYTES / 2;
                return;
            };
            let Ok((length, head)) = scanned else {
                self.is_http2 = rest.starts_with(HTTP2_PREFACE);
                self.passthrough = true;
                return;
            };
            self.scanned += length;
            self.request_lengths.push_back(length);
            self.new_heads.push_back(head);
            self.head_timer = None;
        }
    }

    /// Fails once an incomplete head has exceeded its time limit; stays pending if there is none.
    fn poll_head_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.passthrough || self.scanned >= self.buffer.len() as u64 {
            return Poll::Pending;
        }
        if let Some(lease) = &self.lease {
            lease.holder().record_wait(self.shared.now());
        }
        let timeout = self.head_timeout;
        ready!(self.head_timer.get_or_insert_with(|| Box::pin(sleep(timeout))).as_mut().poll(cx));
        log::info!(
            target: "entry", limit_ms = timeout.as_millis() as u64, bytes = self.buffer.len();
            "request head not complete within the time limit, connection closed"
        );
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Records whether the caller takes bytes.
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        let now = self.shared.now();
        match written {
            Poll::Ready(_) => self.connection.record_progress(now),
            Poll::Pending => self.connection.holder().record_wait(now),
        }
    }

    /// Returns how many bytes the HTTP server may read now, at most up to the end of the current
    /// request.
    fn available(&self) -> usize {
        match self.request_lengths.front() {
            Some(length) => (*length).min(self.buffer.len() as u64) as usize,
            None if self.passthrough || self.ended.is_some() => self.buffer.len(),
            None => 0,
        }
    }

    fn consume(&mut self, count: usize) {
        self.buffer.advance(count);
        if self.buffer.is_empty() && self.lease.take().is_some() {
            self.buffer = BytesMut::new();
        }
        self.scanned = self.scanned.saturating_sub(count as u64);
        if let Some(length) = self.request_lengths.front_mut() {
            *length -= count as u64;
            if *length == 0 {
                self.request_lengths.pop_front();
            }
        }
    }
}

/// Marks a request whose end cannot be determined here; the HTTP server parses it and all that
/// follows.
struct Passthrough;

/// Length of a request in bytes, including its body, and its head.
type ScanResult = Result<(u64, RequestHead), Passthrough>;

/// Parses the request head at the start of `bytes`; returns `None` if it is incomplete.
fn scan_request(bytes: &[u8]) -> Option<ScanResult> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Partial) => None,
        Ok(httparse::Status::Complete(length)) => Some(measure_request(&parsed, length as u64)),
        Err(_) => Some(Err(Passthrough)),
    }
}

/// Determines the length of a request from its headers.
fn measure_request(parsed: &httparse::Request<'_, '_>, head_length: u64) -> ScanResult {
    let Some(req) = build_head(parsed) else {
        return Err(Passthrough);
    };
    let headers = req.headers();
    let may_close = headers.get(header::CONNECTION).is_some_and(|v| v != "keep-alive");
    let unsupported = [header::TRANSFER_ENCODING, header::UPGRADE, header::EXPECT]
        .map(|n| headers.contains_key(n));
    if may_close
        || unsupported.contains(&true)
        || headers.get_all(header::CONTENT_LENGTH).iter().count() > 1
    {
        return Err(Passthrough);
    }
    match headers.get(header::CONTENT_LENGTH).map(|v| v.to_str().ok()?.parse::<u64>().ok()) {
        None | Some(Some(0)) => Ok((head_length, Some(req))),
        Some(Some(body)) => Ok((head_length.saturating_add(body), None)),
        Some(None) => Err(Passthrough),
    }
}

/// Returns the head of an HTTP/1.1 request; `None` for another version or an invalid head.
fn build_head(parsed: &httparse::Request<'_, '_>) -> Option<Request<()>> {
    let mut req = Request::builder()
        .method(parsed.method?)
        .uri(parsed.path?)
        .version(if parsed.version? == 1 { Version::HTTP_11 } else { return None })
        .body(())
        .ok()?;
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        req.headers_mut().append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    Some(req)
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Read for CallerSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut inner = self.inner();
        loop {
            let count = inner.available().min(buf.remaining());
            if count > 0 {
                buf.put_slice(&inner.buffer[..count]);
                inner.consume(count);
                return Poll::Ready(Ok(()));
            }
            if let Some(ended) = &mut inner.ended {
                return Poll::Ready(std::mem::replace(ended, Ok(())));
            }
            if inner.poll_fill(cx).is_pending() {
                return inner.poll_head_timeout(cx);
            }
        }
    }
}

impl Write for CallerSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut inner = self.inner();
        let written = Pin::new(&mut inner.stream).poll_write(cx, buf);
        inner.record_write(&written);
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner().stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut inner = self.inner();
        let written = Pin::new(&mut inner.stream).poll_write_vectored(cx, bufs);
        inner.record_write(&written);
        written
    }
}
