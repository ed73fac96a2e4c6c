//! Pipelined requests of a caller's connection: calls for them start while an earlier request is
//! still served.

use {
    crate::node::{
        body::Body,
        entry::caller_socket::{RequestHead, RequestLookahead},
    },
    hyper::{Request, Response, body::Incoming},
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::task::JoinHandle,
};

/// Most queued requests of one connection that are considered for an early start.
const MAX_EARLY_CALLS: usize = 8;

/// Call that was started before the HTTP server reached its request. Dropping it cancels the call.
#[derive(Debug)]
pub struct EarlyCall(JoinHandle<Response<Body>>);

/// Request in the queue, with its call if that was started early.
#[derive(Debug)]
struct PipelinedRequest {
    head: RequestHead,
    call: Option<EarlyCall>,
}

/// Pipelined requests of one connection that the HTTP server has not reached yet. Only one task
/// uses it, so its lock is never contended.
#[derive(Clone)]
pub struct Pipeline {
    lookahead: RequestLookahead,
    queue: Arc<Mutex<VecDeque<PipelinedRequest>>>,
}

impl Pipeline {
    /// Creates the pipeline of a connection.
    pub fn new(lookahead: RequestLookahead) -> Self {
        Self { lookahead, queue: Arc::default() }
    }

    /// Removes `req` from the queue as the HTTP server reaches it; returns its call if it was
    /// started early.
    pub fn take_early_call(&self, req: &Request<Incoming>) -> Option<EarlyCall> {
        self.enqueue(self.lookahead.take_new_heads());
        let PipelinedRequest { head, call } = self.lock_queue().pop_front()?;
        head.filter(|head| is_same_request(head, req)).and(call)
    }

    /// Starts calls for incoming requests with `start`, which returns `None` for a request that
    /// must not start early. Completes when the caller disconnects.
    pub async fn run_early_calls(&self, start: impl Fn(&Request<()>) -> Option<EarlyCall>) {
        loop {
            self.start_early_calls(&start);
            match self.lookahead.next_heads().await {
                Some(heads) => self.enqueue(heads),
                None => return,
            }
        }
    }

    /// Whether no queued request has a call that was started early.
    pub fn has_no_early_calls(&self) -> bool {
        self.lock_queue().iter().all(|request| request.call.is_none())
    }

    fn start_early_calls(&self, start: &impl Fn(&Request<()>) -> Option<EarlyCall>) {
        for request in self.lock_queue().iter_mut().take(MAX_EARLY_CALLS) {
            match &request.head {
                Some(head) if request.call.is_none() => request.call = start(head),
                Some(_) => {}
                // A request behind one with a body does not start before that body has arrived.
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
    /// Wraps the task of a call.
    pub fn new(call: JoinHandle<Response<Body>>) -> Self {
        Self(call)
    }

    /// Waits for the response; returns `None` if the task ended without one.
    pub async fn response(mut self) -> Option<Response<Body>> {
        (&mut self.0).await.ok()
    }
}

impl Drop for EarlyCall {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Whether the request that the HTTP server has read is the one that was parsed ahead of it.
fn is_same_request(head: &Request<()>, req: &Request<Incoming>) -> bool {
    head.method() == req.method() && head.uri() == req.uri() && head.headers() == req.headers()
}
