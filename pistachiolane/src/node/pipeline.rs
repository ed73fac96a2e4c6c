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
const MAX_EARLY_CALLS: usize = 8;

/// A call that runs ahead of its turn; dropped, it is cancelled.
#[derive(Debug)]
pub struct EarlyCall(JoinHandle<Response<Body>>);

#[derive(Debug)]
struct PipelinedRequest {
    head: RequestHead,
    call: Option<EarlyCall>,
}

/// The requests of one connection that wait for their turn. One task uses it; its lock is never contended.
#[derive(Clone)]
pub struct Pipeline {
    lookahead: RequestLookahead,
    queue: Arc<Mutex<VecDeque<PipelinedRequest>>>,
}

impl Pipeline {
    /// The pipeline of a connection.
    pub fn new(lookahead: RequestLookahead) -> Self {
        Self { lookahead, queue: Arc::default() }
    }

    /// Takes the turn of `req`; gives its call if that runs already.
    pub fn take_early_call(&self, req: &Request<Incoming>) -> Option<EarlyCall> {
        self.enqueue(self.lookahead.take_new_heads());
        let PipelinedRequest { head, call } = self.lock_queue().pop_front()?;
        head.filter(|head| is_same_request(head, req)).and(call)
    }

    /// Starts calls that come in by `start`, which gives `None` for one that has to wait for its turn; returns
    /// when the caller is gone.
    pub async fn run_early_calls(&self, start: impl Fn(&Request<()>) -> Option<EarlyCall>) {
        loop {
            self.start_early_calls(&start);
            match self.lookahead.next_heads().await {
                Some(heads) => self.enqueue(heads),
                None => return,
            }
        }
    }

    /// Whether no call runs ahead of its turn.
    pub fn has_no_early_calls(&self) -> bool {
        self.lock_queue().iter().all(|request| request.call.is_none())
    }

    fn start_early_calls(&self, start: &impl Fn(&Request<()>) -> Option<EarlyCall>) {
        for request in self.lock_queue().iter_mut().take(MAX_EARLY_CALLS) {
            match &request.head {
                Some(head) if request.call.is_none() => request.call = start(head),
                Some(_) => {}
                // What follows a body is not begun before the body has come.
                None => return,
            }
        }
    }

    fn enqueue(&self, heads: VecDeque<RequestHead>) {
        let requests = heads.into_iter().map(|head| PipelinedRequest { head, call: None });
        self.lock_queue().extend(requests);
    }

    fn lock_queue(&self) -> MutexGuard<'_, VecDeque<PipelinedRequest>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
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
fn is_same_request(head: &Request<()>, req: &Request<Incoming>) -> bool {
    head.method() == req.method() && head.uri() == req.uri() && head.headers() == req.headers()
}
