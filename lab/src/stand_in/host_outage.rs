//! How the platform's store turns single hosts away.

use {
    super::http_server::{Body, Cut, text},
    hyper::{Response, StatusCode},
    tokio::sync::watch,
};

/// A way in which the store turns a host away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// Calls are answered with a status.
    Status(StatusCode),
    /// Connections are cut.
    Disconnect,
    /// Calls are not answered.
    Hang,
}

/// Whether a host is turned away, and how.
#[derive(Debug)]
pub struct HostOutage {
    kind: watch::Sender<Option<OutageKind>>,
}

impl HostOutage {
    /// Turns the host away, or serves it again.
    pub fn set(&self, kind: Option<OutageKind>) {
        self.kind.send_replace(kind);
    }

    /// The answer to a call of the host, if it is turned away.
    pub(super) async fn answer(&self) -> Result<Option<Response<Body>>, Cut> {
        let kind = *self.kind.borrow();
        match kind {
            None => Ok(None),
            Some(OutageKind::Status(code)) => Ok(Some(text(code, ""))),
            Some(OutageKind::Disconnect) => Err(Cut),
            Some(OutageKind::Hang) => std::future::pending().await,
        }
    }

    /// Waits until the host is turned away.
    pub(super) async fn begun(&self) -> Cut {
        let mut kind = self.kind.subscribe();
        // The sender is this refusal itself and cannot go first.
        let _begun = kind.wait_for(Option::is_some).await;
        Cut
    }
}

impl Default for HostOutage {
    fn default() -> Self {
        Self { kind: watch::Sender::new(None) }
    }
}
