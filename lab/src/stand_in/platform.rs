//! The platform's store: revisions, conditional writes, watches, history, and the faults it has.

use {
    super::{
        host_outage::HostOutage,
        http_server::{Body, Cut, json, serve, text},
    },
    http_body_util::BodyExt,
    hyper::{Method, Request, Response, StatusCode, body::Incoming},
    platform::{StoredMetadata, StoredObject},
    serde::Serialize,
    serde_json::{Value, json as value},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::watch,
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Calls that the platform took.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct CallCounts {
    /// Reads, listings and watches.
    pub reads: u64,
    /// Conditional writes.
    pub writes: u64,
    /// Watches among the reads.
    pub watches: u64,
}

/// Faults that can be switched on.
#[derive(Debug, Default)]
pub struct PlatformFaults {
    /// Every call fails at once.
    pub down: AtomicBool,
    /// Time added to every call in milliseconds.
    pub delay_ms: AtomicU64,
    /// Writes to come whose answer is lost after they took effect.
    pub lost_write_responses: AtomicU64,
    /// Revision from which the history is kept; a watch from before it is told that it is gone.
    pub oldest_watch_revision: AtomicU64,
}

#[derive(Debug, Default)]
struct Store {
    revision: u64,
    objects: BTreeMap<(String, String), StoredObject>,
    history: Vec<Event>,
}

/// One change, for watches.
#[derive(Clone, Debug)]
struct Event {
    kind: String,
    object: StoredObject,
    deleted: bool,
}

/// What a write asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Write {
    Create,
    Replace { expected: Option<u64> },
    Delete { expected: Option<u64> },
}

/// The stand-in.
#[derive(Debug)]
pub struct PlatformStandIn {
    /// Faults.
    pub faults: PlatformFaults,
    store: Mutex<Store>,
    revision: watch::Sender<u64>,
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

impl PlatformStandIn {
    /// An empty store.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            faults: PlatformFaults::default(),
            store: Mutex::default(),
            revision: watch::channel(0).0,
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            watches: AtomicU64::new(0),
        })
    }

    /// Serves the API.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub async fn start(
        self: &Arc<Self>,
        address: SocketAddr,
        stop: CancellationToken,
    ) -> std::io::Result<SocketAddr> {
        self.start_for_host(address, stop, Arc::default()).await
    }

    /// Serves the API to one host, which may be turned away while others are served.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub async fn start_for_host(
        self: &Arc<Self>,
        address: SocketAddr,
        stop: CancellationToken,
        outage: Arc<HostOutage>,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let platform = Arc::clone(self);
        tokio::spawn(serve(listener, stop, move |req| {
            let (platform, outage) = (Arc::clone(&platform), Arc::clone(&outage));
            async move { platform.answer_host(req, &outage).await }
        }));
        Ok(address)
    }

    /// Writes an object as the platform's operator does, whatever stands there.
    pub fn write_as_operator(&self, kind: &str, name: &str, spec: Value) {
        let there = self.store().objects.contains_key(&(kind.to_owned(), name.to_owned()));
        let write = if there { Write::Replace { expected: None } } else { Write::Create };
        self.apply(kind, name, write, spec);
    }

    /// Forgets the history so far; watches from before are told that it is gone.
    pub fn discard_history(&self) {
        let revision = self.store().revision;
        self.faults.oldest_watch_revision.store(revision + 1, Ordering::SeqCst);
    }

    /// Calls taken so far.
    pub fn counts(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
        }
    }

    async fn answer_host(
        &self,
        req: Request<Incoming>,
        outage: &HostOutage,
    ) -> Result<Response<Body>, Cut> {
        if let Some(res) = outage.answer().await? {
            return Ok(res);
        }
        // A watch that waits is cut off when its host is turned away.
        tokio::select! {
            res = self.answer(req) => Ok(res),
            cut = outage.begun() => Err(cut),
        }
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let delay = self.faults.delay_ms.load(Ordering::Relaxed);
        sleep(Duration::from_millis(delay)).await;
        if self.faults.down.load(Ordering::Relaxed) {
            return text(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or("").to_owned();
        let parts: Vec<&str> = path.split('/').filter(|p| !p.is_empty()).collect();
        match (req.method().clone(), parts.as_slice()) {
            (Method::GET, ["pistachiolane", "objects", kind]) => self.list(kind, &query).await,
            (Method::GET, ["pistachiolane", "objects", kind, name]) => self.get(kind, name),
            (Method::POST, ["pistachiolane", "objects", kind]) => {
                self.write(kind, "", Write::Create, req).await
            }
            (Method::PUT, ["pistachiolane", "objects", kind, name]) => {
                self.write(kind, name, Write::Replace { expected: None }, req).await
            }
            (Method::DELETE, ["pistachiolane", "objects", kind, name]) => {
                let expected = parameter(&query, "revision");
                self.write(kind, name, Write::Delete { expected }, req).await
            }
            (Method::GET, ["lab", "counts"]) => json(StatusCode::OK, &self.counts()),
            _ => text(StatusCode::NOT_FOUND, ""),
        }
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn get(&self, kind: &str, name: &str) -> Response<Body> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        match self.store().objects.get(&(kind.to_owned(), name.to_owned())) {
            None => text(StatusCode::NOT_FOUND, ""),
            Some(object) => json(StatusCode::OK, object),
        }
    }

    async fn list(&self, kind: &str, query: &str) -> Response<Body> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let Some(since) = parameter(query, "watch") else {
            return json(StatusCode::OK, &self.page(kind));
        };
        self.watches.fetch_add(1, Ordering::Relaxed);
        if since < self.faults.oldest_watch_revision.load(Ordering::Relaxed) {
            return text(StatusCode::GONE, "");
        }
        self.wait(kind, since, parameter(query, "wait_ms").unwrap_or(0)).await;
        let (events, at) = self.changes(kind, since);
        json(StatusCode::OK, &value!({ "events": events, "at": at }))
    }

    async fn wait(&self, kind: &str, since: u64, wait_ms: u64) {
        let mut revision = self.revision.subscribe();
        let changed = async {
            while self.changes(kind, since).0.is_empty() {
                if revision.changed().await.is_err() {
                    return;
                }
            }
        };
        // Without a change there are no events.
        let _waited = timeout(Duration::from_millis(wait_ms), changed).await;
    }

    fn page(&self, kind: &str) -> Value {
        let store = self.store();
        let items: Vec<&StoredObject> =
            store.objects.iter().filter(|((k, _), _)| k == kind).map(|(_, o)| o).collect();
        value!({ "items": items, "has_more": false, "at": store.revision })
    }

    fn changes(&self, kind: &str, since: u64) -> (Vec<Value>, u64) {
        let store = self.store();
        let newer = |e: &&Event| e.kind == kind && e.object.metadata.revision > since;
        let events = store.history.iter().filter(newer);
        let events = events.map(|e| value!({ "object": e.object, "deleted": e.deleted }));
        (events.collect(), store.revision)
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        write: Write,
        req: Request<Incoming>,
    ) -> Response<Body> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        let Ok(body) = req.into_body().collect().await else {
            return text(StatusCode::BAD_REQUEST, "");
        };
        let body = body.to_bytes();
        let sent = match (write, serde_json::from_slice::<StoredObject>(&body)) {
            (Write::Delete { .. }, _) => StoredObject::default(),
            (_, Ok(sent)) => sent,
            (_, Err(_)) => return text(StatusCode::BAD_REQUEST, ""),
        };
        let name =
            if write == Write::Create { sent.metadata.name.to_string() } else { name.to_owned() };
        let write = match write {
            Write::Replace { .. } => Write::Replace {
                expected: Some(sent.metadata.revision).filter(|revision| *revision > 0),
            },
            other => other,
        };
        let (code, object) = self.apply(kind, &name, write, sent.spec);
        let one_fewer = |left: u64| left.checked_sub(1);
        let lost = self
            .faults
            .lost_write_responses
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, one_fewer)
            .is_ok();
        if lost {
            return text(StatusCode::GATEWAY_TIMEOUT, "");
        }
        json(code, &object)
    }

    fn apply(
        &self,
        kind: &str,
        name: &str,
        write: Write,
        spec: Value,
    ) -> (StatusCode, StoredObject) {
        let mut store = self.store();
        let key = (kind.to_owned(), name.to_owned());
        let present = store.objects.get(&key).cloned();
        let revision = present.as_ref().map(|o| o.metadata.revision);
        let refused = match (write, revision) {
            (Write::Create, Some(_)) => Some(StatusCode::CONFLICT),
            (Write::Replace { .. } | Write::Delete { .. }, None) => Some(StatusCode::NOT_FOUND),
            (Write::Replace { expected } | Write::Delete { expected }, present) => {
                expected.filter(|e| Some(*e) != present).map(|_| StatusCode::CONFLICT)
            }
            (Write::Create, None) => None,
        };
        if let Some(code) = refused {
            return (code, present.unwrap_or_default());
        }
        store.revision += 1;
        let metadata = StoredMetadata { name: name.into(), revision: store.revision };
        let deleted = matches!(write, Write::Delete { .. });
        let object = StoredObject { metadata, spec };
        if deleted {
            store.objects.remove(&key);
        } else {
            store.objects.insert(key, object.clone());
        }
        let event = Event { kind: kind.to_owned(), object: object.clone(), deleted };
        store.history.push(event);
        let revision = store.revision;
        drop(store);
        self.revision.send_replace(revision);
        (StatusCode::OK, object)
    }
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)?.1.parse().ok()
}
