//! Store outages that only one host observes.

use {
    super::http_server::{Body, Disconnect, text_response},
    hyper::{Response, StatusCode, Uri},
    std::sync::atomic::{AtomicUsize, Ordering},
    tokio::sync::watch,
};

/// How the store fails calls from a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// Calls get an empty response with this status.
    Status(StatusCode),
    /// Connections are closed without a response.
    Disconnect,
    /// Calls get no response and connections stay open.
    Hang,
}

/// Switch for the store outage of one host.
#[derive(Debug)]
pub struct HostOutage {
    kind: watch::Sender<Option<OutageKind>>,
    /// Number of calls of the host that wait for changes of the configuration.
    waiting: AtomicUsize,
}

/// A call that waits for changes of the configuration.
pub(super) struct WaitingCall<'a>(&'a HostOutage);

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::SeqCst);
    }
}

impl HostOutage {
    /// Starts an outage of a kind, or ends it with `None`.
    pub fn set(&self, kind: Option<OutageKind>) {
        self.kind.send_replace(kind);
    }

    /// Whether the host waits for changes of the configuration.
    pub fn waits_for_configuration(&self) -> bool {
        self.waiting.load(Ordering::SeqCst) > 0
    }

    /// Counts a call until it ends, if it waits for changes of the configuration.
    pub(super) fn count_waiting(&self, uri: &Uri) -> Option<WaitingCall<'_>> {
        let waits = uri.path().ends_with("/config")
            && uri.query().is_some_and(|query| query.contains("watch="));
        waits.then(|| {
            self.waiting.fetch_add(1, Ordering::SeqCst);
            WaitingCall(self)
        })
    }

    /// Returns the response to a call during an outage, or `None` if there is no outage.
    ///
    /// # Errors
    /// Fails if the connection is to be closed without a response.
    pub(super) async fn response(&self) -> Result<Option<Response<Body>>, Disconnect> {
        let kind = *self.kind.borrow();
        match kind {
            None => Ok(None),
            Some(OutageKind::Status(code)) => Ok(Some(text_response(code, ""))),
            Some(OutageKind::Disconnect) => Err(Disconnect),
            Some(OutageKind::Hang) => std::future::pending().await,
        }
    }

    /// Waits until an outage starts and returns its kind.
    pub(super) async fn started(&self) -> Option<OutageKind> {
        let mut kind = self.kind.subscribe();
        // The wait cannot fail: `self` owns the sender.
        let started = kind.wait_for(Option::is_some).await;
        started.ok().and_then(|kind| *kind)
    }

    /// Ends a call that was waiting for its response when an outage started: an outage without responses leaves the
    /// connection open for good, any other one closes it.
    pub(super) async fn lose_response(kind: Option<OutageKind>) -> Disconnect {
        match kind {
            Some(OutageKind::Hang) => std::future::pending().await,
            _ => Disconnect,
        }
    }
}

impl Default for HostOutage {
    fn default() -> Self {
        Self { kind: watch::Sender::new(None), waiting: AtomicUsize::new(0) }
    }
}
