//! Requests that a caller has pipelined: work on them begins while the one before is still served.

use {
    super::{
        body::Body,
        caller_socket::{RequestHead, RequestLookahead},
    },
    hyper::{Request, Response, body::Incoming},
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::task::JoinHandle,
};

/// Requests of one connection that are worked on ahead of their turn.
const MAX_AHEAD: usize = 8;

/// A call that runs ahead of its turn; dropped, it is cancelled.
#[derive(Debug)]
pub struct EarlyCall(JoinHandle<Response<Body>>);

#[derive(Debug)]
struct Waiting {
    head: RequestHead,
    call: Option<EarlyCall>,
}

/// The requests of one connection that wait for their turn. One task uses it; its lock is never contended.
#[derive(Clone)]
pub struct Pipeline {
    lookahead: RequestLookahead,
    waiting: Arc<Mutex<VecDeque<Waiting>>>,
}

impl Pipeline {
    /// The pipeline of a connection.
    pub fn new(lookahead: RequestLookahead) -> Self {
        Self { lookahead, waiting: Arc::default() }
    }

    /// Takes the turn of `req`; gives its call if that runs already.
    pub fn take_early_call(&self, req: &Request<Incoming>) -> Option<EarlyCall> {
        self.add(self.lookahead.take_new_heads());
        let Waiting { head, call } = self.waiting().pop_front()?;
        head.filter(|head| is_same(head, req)).and(call)
    }

    /// Starts calls that come in by `start`, which gives `None` for one that has to wait for its turn; returns
    /// when the caller is gone.
    pub async fn run_early_calls(&self, start: impl Fn(&Request<()>) -> Option<EarlyCall>) {
        loop {
            self.start_waiting(&start);
            match self.lookahead.next_heads().await {
                Some(heads) => self.add(heads),
                None => return,
            }
        }
    }

    /// Whether no call runs ahead of its turn.
    pub fn has_no_early_calls(&self) -> bool {
        self.waiting().iter().all(|w| w.call.is_none())
    }

    fn start_waiting(&self, start: &impl Fn(&Request<()>) -> Option<EarlyCall>) {
        for waiting in self.waiting().iter_mut().take(MAX_AHEAD) {
            match &waiting.head {
                Some(head) if waiting.call.is_none() => waiting.call = start(head),
                Some(_) => {}
                // What follows a body is not begun before the body has come.
                None => return,
            }
        }
    }

    fn add(&self, heads: VecDeque<RequestHead>) {
        let heads = heads.into_iter().map(|head| Waiting { head, call: None });
        self.waiting().extend(heads);
    }

    fn waiting(&self) -> MutexGuard<'_, VecDeque<Waiting>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EarlyCall {
    /// A call that was started.
    pub fn new(call: JoinHandle<Response<Body>>) -> Self {
        Self(call)
    }

    /// The answer; `None` if the call ended without one.
    pub async fn response(mut self) -> Option<Response<Body>> {
        (&mut self.0).await.ok()
    }
}

impl Drop for EarlyCall {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Whether the HTTP server has read the same request as was seen ahead.
fn is_same(head: &Request<()>, req: &Request<Incoming>) -> bool {
    head.method() == req.method() && head.uri() == req.uri() && head.headers() == req.headers()
}
