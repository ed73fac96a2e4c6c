//! A caller's connection, cut into requests as they come in.
//!
//! The HTTP server serves one request after the other, and does not read while bytes of a later one wait. Here
//! the heads of requests that were pipelined behind the one in service are seen at once, so that work on them
//! can begin, and so is the end of the stream behind them.

use {
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

/// Bytes that are read ahead of the HTTP server: many requests without a body.
const MAX_LOOKAHEAD_BYTES: usize = 32 << 10;

/// Bytes of one read.
const READ_BYTES: usize = 4 << 10;

/// Headers of a request that are looked at; one with more is left to the HTTP server alone.
const MAX_HEADERS: usize = 64;

/// A head seen ahead; `None` where the request has a body.
pub type RequestHead = Option<Request<()>>;

struct Inner {
    stream: TcpStream,
    buffer: BytesMut,
    /// Bytes of `ahead` that belong to requests whose length is known.
    scanned: u64,
    /// Lengths of these requests that the HTTP server has not read yet.
    request_lengths: VecDeque<u64>,
    /// Heads that nobody has taken yet.
    new_heads: VecDeque<RequestHead>,
    /// Whether what follows is left to the HTTP server alone.
    passthrough: bool,
    ended: Option<io::Result<()>>,
    /// Time for a head, from its first byte to its last.
    head_timeout: Duration,
    /// When the time of the head that has begun is over.
    head_timer: Option<Pin<Box<Sleep>>>,
}

/// A caller's socket, for the HTTP server.
pub struct CallerSocket {
    inner: Arc<Mutex<Inner>>,
}

/// Sees what comes in behind the request in service; used by the same task as the socket, so that the lock is
/// never contended.
#[derive(Clone)]
pub struct RequestLookahead {
    inner: Arc<Mutex<Inner>>,
}

impl CallerSocket {
    /// The socket for the HTTP server, and what watches it. A head that takes longer than `head_timeout` ends the
    /// connection.
    pub fn new(stream: TcpStream, head_timeout: Duration) -> (Self, RequestLookahead) {
        let inner = Inner {
            stream,
            buffer: BytesMut::new(),
            scanned: 0,
            request_lengths: VecDeque::new(),
            new_heads: VecDeque::new(),
            passthrough: false,
            ended: None,
            head_timeout,
            head_timer: None,
        };
        let inner = Arc::new(Mutex::new(inner));
        (Self { inner: Arc::clone(&inner) }, RequestLookahead { inner })
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

impl RequestLookahead {
    /// Heads that came since the last call, in their order.
    pub fn take_new_heads(&self) -> VecDeque<RequestHead> {
        std::mem::take(&mut lock(&self.inner).new_heads)
    }

    /// Waits for more heads; `None` once the caller has closed its side or the connection is lost.
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
                if inner.buffer.len() >= MAX_LOOKAHEAD_BYTES {
                    return Poll::Pending;
                }
                ready!(inner.poll_fill(cx));
                // The HTTP server, in the same task, may wait for these bytes.
                cx.waker().wake_by_ref();
            }
        })
        .await
    }
}

impl Inner {
    /// Reads once from the socket and looks at what came.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; READ_BYTES];
        let mut buf = ReadBuf::new(&mut bytes);
        match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf)) {
            Ok(()) if buf.filled().is_empty() => self.ended = Some(Ok(())),
            Ok(()) => {
                self.buffer.extend_from_slice(buf.filled());
                self.scan();
            }
            Err(e) => self.ended = Some(Err(e)),
        }
        Poll::Ready(())
    }

    /// Finds the requests whose heads are complete.
    fn scan(&mut self) {
        while !self.passthrough && self.scanned < self.buffer.len() as u64 {
            let rest = &self.buffer[self.scanned as usize..];
            let Some(scanned) = scan_request(rest) else {
                // An endless head is the HTTP server's to refuse.
                self.passthrough = rest.len() >= MAX_LOOKAHEAD_BYTES / 2;
                return;
            };
            match scanned {
                Ok((length, head)) => {
                    self.scanned += length;
                    self.request_lengths.push_back(length);
                    self.new_heads.push_back(head);
                    self.head_timer = None;
                }
                Err(Passthrough) => self.passthrough = true,
            }
        }
    }

    /// Waits for the end of the time of a head that has begun; for ever if none has.
    fn poll_head_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.passthrough || self.scanned >= self.buffer.len() as u64 {
            return Poll::Pending;
        }
        let timeout = self.head_timeout;
        ready!(self.head_timer.get_or_insert_with(|| Box::pin(sleep(timeout))).as_mut().poll(cx));
        log::info!(
            target: "entry", limit_ms = timeout.as_millis() as u64, bytes = self.buffer.len();
            "head of a request not complete in time, connection closed"
        );
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Bytes that the HTTP server may have now: no further than the end of one request.
    fn available(&self) -> usize {
        match self.request_lengths.front() {
            Some(length) => (*length).min(self.buffer.len() as u64) as usize,
            None if self.passthrough || self.ended.is_some() => self.buffer.len(),
            None => 0,
        }
    }

    fn consume(&mut self, count: usize) {
        self.buffer.advance(count);
        self.scanned = self.scanned.saturating_sub(count as u64);
        if let Some(length) = self.request_lengths.front_mut() {
            *length -= count as u64;
            if *length == 0 {
                self.request_lengths.pop_front();
            }
        }
    }
}

/// Something whose end is not known here.
struct Passthrough;

/// Length of a request, head and body together, and its head.
type ScanResult = Result<(u64, RequestHead), Passthrough>;

/// Looks at the head at the start of `bytes`; `None` if it is not complete.
fn scan_request(bytes: &[u8]) -> Option<ScanResult> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Partial) => None,
        Ok(httparse::Status::Complete(length)) => Some(measure_request(&parsed, length as u64)),
        Err(_) => Some(Err(Passthrough)),
    }
}

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
        Pin::new(&mut self.inner().stream).poll_write(cx, buf)
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
        Pin::new(&mut self.inner().stream).poll_write_vectored(cx, bufs)
    }
}
