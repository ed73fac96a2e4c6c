//! A caller's connection that notices the caller's departure while its request is served.
//!
//! The HTTP server does not read while it works on a request and holds bytes of a later, pipelined one. What
//! comes meanwhile is read ahead here, up to a bound, so that the end of the stream is seen behind it.

use {
    bytes::{Buf, BytesMut},
    hyper::rt::{Read, ReadBufCursor, Write},
    std::{
        future::poll_fn,
        io,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Bytes that are read ahead of the HTTP server: several requests without a body.
const MAX_AHEAD_BYTES: usize = 16 << 10;

/// Bytes of one read.
const READ_BYTES: usize = 4 << 10;

struct Inner {
    stream: TcpStream,
    ahead: BytesMut,
    ended: Option<io::Result<()>>,
}

/// A caller's socket, for the HTTP server.
pub struct CallerSocket {
    inner: Arc<Mutex<Inner>>,
}

/// Watches a caller's socket; used by the same task as the socket, so that the lock is never contended.
#[derive(Clone)]
pub struct CallerWatch {
    inner: Arc<Mutex<Inner>>,
}

impl CallerSocket {
    /// The socket for the HTTP server, and what watches it.
    pub fn new(stream: TcpStream) -> (Self, CallerWatch) {
        let inner = Inner { stream, ahead: BytesMut::new(), ended: None };
        let inner = Arc::new(Mutex::new(inner));
        (Self { inner: Arc::clone(&inner) }, CallerWatch { inner })
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallerWatch {
    /// Waits until the caller has closed its side or the connection is lost.
    pub async fn left(&self) {
        poll_fn(|cx| {
            let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
            inner.poll_ahead(cx)
        })
        .await;
    }
}

impl Inner {
    /// Reads ahead until the stream ends; waits for room when the bound is reached.
    fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.ended.is_none() {
            if self.ahead.len() >= MAX_AHEAD_BYTES {
                return Poll::Pending;
            }
            let mut bytes = [0; READ_BYTES];
            let mut buf = ReadBuf::new(&mut bytes);
            match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf)) {
                Ok(()) if buf.filled().is_empty() => self.ended = Some(Ok(())),
                Ok(()) => {
                    self.ahead.extend_from_slice(buf.filled());
                    // The HTTP server, in the same task, may wait for these bytes.
                    cx.waker().wake_by_ref();
                }
                Err(e) => self.ended = Some(Err(e)),
            }
        }
        Poll::Ready(())
    }
}

impl Read for CallerSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut inner = self.inner();
        if !inner.ahead.is_empty() {
            let taken = inner.ahead.len().min(buf.remaining());
            buf.put_slice(&inner.ahead[..taken]);
            inner.ahead.advance(taken);
            return Poll::Ready(Ok(()));
        }
        if let Some(ended) = &mut inner.ended {
            return Poll::Ready(std::mem::replace(ended, Ok(())));
        }
        let mut bytes = [0; READ_BYTES];
        let room = buf.remaining().min(READ_BYTES);
        let mut read = ReadBuf::new(&mut bytes[..room]);
        let polled = Pin::new(&mut inner.stream).poll_read(cx, &mut read);
        if let Poll::Ready(Ok(())) = &polled {
            buf.put_slice(read.filled());
        }
        polled
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
