//! Stand-in for the platform's store: revisions, conditional writes, watches, history and injected faults.

use {
    super::{
        host_outage::HostOutage,
        http_server::{Body, Disconnect, json_response, serve, text_response},
    },
    http_body_util::BodyExt,
    hyper::{Method, Request, Response, StatusCode, body::Incoming, header::HeaderValue},
    platform::{StoredMetadata, StoredObject},
    serde::Serialize,
    serde_json::{Value, json as json_value},
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

/// Number of calls that the store received.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct CallCounts {
    /// Reads, lists and watches.
    pub reads: u64,
    /// Conditional writes.
    pub writes: u64,
    /// Watches among the reads.
    pub watches: u64,
}

/// Faults that a test can inject.
#[derive(Debug, Default)]
pub struct PlatformFaults {
    /// Whether every call fails immediately.
    pub down: AtomicBool,
    /// Delay added to every call, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Number of upcoming writes that are applied but get status 504 (gateway timeout), as if the response were lost.
    pub lost_write_responses: AtomicU64,
    /// Oldest revision from which a watch may start; an earlier one gets status 410 (gone).
    pub oldest_watch_revision: AtomicU64,
}

/// Contents of the store at one moment.
#[derive(Clone, Debug, Default)]
pub struct StoreContents {
    revision: u64,
    objects: BTreeMap<(String, String), StoredObject>,
    history: Vec<StoreEvent>,
}

/// A change that watches report.
#[derive(Clone, Debug)]
struct StoreEvent {
    kind: String,
    object: StoredObject,
    deleted: bool,
}

/// A write operation, with the expected revision if it is conditional.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteOperation {
    Create,
    Replace { expected: Option<u64> },
    Delete { expected: Option<u64> },
}

/// In-memory store that serves the platform's API.
#[derive(Debug)]
pub struct PlatformStandIn {
    /// Injected faults.
    pub faults: PlatformFaults,
    store: Mutex<StoreContents>,
    revision: watch::Sender<u64>,
    /// Number of times that the store came back from a copy.
    era: AtomicU64,
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

impl PlatformStandIn {
    /// Creates an empty store.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            faults: PlatformFaults::default(),
            store: Mutex::default(),
            revision: watch::channel(0).0,
            era: AtomicU64::new(0),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            watches: AtomicU64::new(0),
        })
    }

    /// Serves the API on an address and returns the bound address.
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

    /// Serves the API to one host, whose calls fail during its own outage while other hosts are served.
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
            async move { platform.respond_to_host(req, &outage).await }
        }));
        Ok(address)
    }

    /// Creates or replaces an object unconditionally, as the platform's operator does.
    pub fn write_as_operator(&self, kind: &str, name: &str, spec: Value) {
        let exists = self.store().objects.contains_key(&(kind.to_owned(), name.to_owned()));
        let write = if exists {
            WriteOperation::Replace { expected: None }
        } else {
            WriteOperation::Create
        };
        self.apply(kind, name, write, spec);
    }

    /// Deletes an object, as the platform's operator does.
    pub fn delete_as_operator(&self, kind: &str, name: &str) {
        self.apply(kind, name, WriteOperation::Delete { expected: None }, Value::Null);
    }

    /// Discards the history; watches from a revision up to the current one get status 410 (gone).
    pub fn discard_history(&self) {
        let revision = self.store().revision;
        self.faults.oldest_watch_revision.store(revision + 1, Ordering::SeqCst);
    }

    /// Returns a copy of the store's contents.
    pub fn copy(&self) -> StoreContents {
        self.store().clone()
    }

    /// Replaces the contents by an older copy and starts a new era. Waiting watches end.
    pub fn restore(&self, copy: StoreContents) {
        let revision = copy.revision;
        *self.store() = copy;
        self.era.fetch_add(1, Ordering::SeqCst);
        self.revision.send_replace(revision);
    }

    /// Returns the object of a kind and name, if there is one.
    pub fn object(&self, kind: &str, name: &str) -> Option<StoredObject> {
        self.store().objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    /// Returns the names of all objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let store = self.store();
        store.objects.keys().filter(|(k, _)| k == kind).map(|(_, n)| n.clone()).collect()
    }

    /// Returns the number of calls received so far.
    pub fn counts(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
        }
    }

    async fn respond_to_host(
        &self,
        req: Request<Incoming>,
        outage: &HostOutage,
    ) -> Result<Response<Body>, Disconnect> {
        if let Some(res) = outage.response().await? {
            return Ok(res);
        }
        let _waiting = outage.count_waiting(req.uri());
        // An outage also ends a watch that is waiting.
        let mut res = tokio::select! {
            res = self.respond(req) => res,
            kind = outage.started() => return Err(HostOutage::lose_response(kind).await),
        };
        let era = self.era.load(Ordering::SeqCst);
        res.headers_mut().insert("store-era", HeaderValue::from(era));
        Ok(res)
    }

    async fn respond(&self, req: Request<Incoming>) -> Response<Body> {
        let delay = self.faults.delay_ms.load(Ordering::Relaxed);
        sleep(Duration::from_millis(delay)).await;
        if self.faults.down.load(Ordering::Relaxed) {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or("").to_owned();
        let parts: Vec<&str> = path.split('/').filter(|p| !p.is_empty()).collect();
        match (req.method().clone(), parts.as_slice()) {
            (Method::GET, ["pistachiolane", "objects", kind]) => self.list(kind, &query).await,
            (Method::GET, ["pistachiolane", "objects", kind, name]) => self.get(kind, name),
            (Method::POST, ["pistachiolane", "objects", kind]) => {
                self.write(kind, "", WriteOperation::Create, req).await
            }
            (Method::PUT, ["pistachiolane", "objects", kind, name]) => {
                self.write(kind, name, WriteOperation::Replace { expected: None }, req).await
            }
            (Method::DELETE, ["pistachiolane", "objects", kind, name]) => {
                let expected = query_parameter(&query, "revision");
                self.write(kind, name, WriteOperation::Delete { expected }, req).await
            }
            (Method::GET, ["lab", "counts"]) => json_response(StatusCode::OK, &self.counts()),
            _ => text_response(StatusCode::NOT_FOUND, ""),
        }
    }

    fn store(&self) -> MutexGuard<'_, StoreContents> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn get(&self, kind: &str, name: &str) -> Response<Body> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        match self.store().objects.get(&(kind.to_owned(), name.to_owned())) {
            None => text_response(StatusCode::NOT_FOUND, ""),
            Some(object) => json_response(StatusCode::OK, object),
        }
    }

    async fn list(&self, kind: &str, query: &str) -> Response<Body> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let Some(since) = query_parameter(query, "watch") else {
            return json_response(StatusCode::OK, &self.list_page(kind));
        };
        self.watches.fetch_add(1, Ordering::Relaxed);
        let is_unknown = since > self.store().revision;
        if is_unknown || since < self.faults.oldest_watch_revision.load(Ordering::Relaxed) {
            return text_response(StatusCode::GONE, "");
        }
        self.wait_for_change(kind, since, query_parameter(query, "wait_ms").unwrap_or(0)).await;
        let (events, revision) = self.changes_since(kind, since);
        json_response(StatusCode::OK, &json_value!({ "events": events, "at": revision }))
    }

    async fn wait_for_change(&self, kind: &str, since: u64, wait_ms: u64) {
        let mut revision = self.revision.subscribe();
        let era = self.era.load(Ordering::SeqCst);
        let changed = async {
            while self.changes_since(kind, since).0.is_empty()
                && era == self.era.load(Ordering::SeqCst)
            {
                if revision.changed().await.is_err() {
                    return;
                }
            }
        };
        // A timeout is not an error: the watch then returns no events.
        let _waited = timeout(Duration::from_millis(wait_ms), changed).await;
    }

    fn list_page(&self, kind: &str) -> Value {
        let store = self.store();
        let items: Vec<&StoredObject> =
            store.objects.iter().filter(|((k, _), _)| k == kind).map(|(_, o)| o).collect();
        json_value!({ "items": items, "has_more": false, "at": store.revision })
    }

    fn changes_since(&self, kind: &str, since: u64) -> (Vec<Value>, u64) {
        let store = self.store();
        let newer = |e: &&StoreEvent| e.kind == kind && e.object.metadata.revision > since;
        let events = store.history.iter().filter(newer);
        let events = events.map(|e| json_value!({ "object": e.object, "deleted": e.deleted }));
        (events.collect(), store.revision)
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        write: WriteOperation,
        req: Request<Incoming>,
    ) -> Response<Body> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        let Ok(body) = req.into_body().collect().await else {
            return text_response(StatusCode::BAD_REQUEST, "");
        };
        let body = body.to_bytes();
        let sent = match (write, serde_json::from_slice::<StoredObject>(&body)) {
            (WriteOperation::Delete { .. }, _) => StoredObject::default(),
            (_, Ok(sent)) => sent,
            (_, Err(_)) => return text_response(StatusCode::BAD_REQUEST, ""),
        };
        let name = if write == WriteOperation::Create {
            sent.metadata.name.to_string()
        } else {
            name.to_owned()
        };
        let write = match write {
            WriteOperation::Replace { .. } => WriteOperation::Replace {
                expected: Some(sent.metadata.revision).filter(|revision| *revision > 0),
            },
            other => other,
        };
        let (code, object) = self.apply(kind, &name, write, sent.spec);
        let decrement = |remaining: u64| remaining.checked_sub(1);
        let lost = self
            .faults
            .lost_write_responses
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
            .is_ok();
        if lost {
            return text_response(StatusCode::GATEWAY_TIMEOUT, "");
        }
        json_response(code, &object)
    }

    fn apply(
        &self,
        kind: &str,
        name: &str,
        write: WriteOperation,
        spec: Value,
    ) -> (StatusCode, StoredObject) {
        let mut store = self.store();
        let key = (kind.to_owned(), name.to_owned());
        let current = store.objects.get(&key).cloned();
        let revision = current.as_ref().map(|o| o.metadata.revision);
        let error = match (write, revision) {
            (WriteOperation::Create, Some(_)) => Some(StatusCode::CONFLICT),
            (WriteOperation::Replace { .. } | WriteOperation::Delete { .. }, None) => {
                Some(StatusCode::NOT_FOUND)
            }
            (
                WriteOperation::Replace { expected } | WriteOperation::Delete { expected },
                present,
            ) => expected.filter(|e| Some(*e) != present).map(|_| StatusCode::CONFLICT),
            (WriteOperation::Create, None) => None,
        };
        if let Some(code) = error {
            return (code, current.unwrap_or_default());
        }
        store.revision += 1;
        let metadata = StoredMetadata { name: name.into(), revision: store.revision };
        let deleted = matches!(write, WriteOperation::Delete { .. });
        let object = StoredObject { metadata, spec };
        if deleted {
            store.objects.remove(&key);
        } else {
            store.objects.insert(key, object.clone());
        }
        let event = StoreEvent { kind: kind.to_owned(), object: object.clone(), deleted };
        store.history.push(event);
        let revision = store.revision;
        drop(store);
        self.revision.send_replace(revision);
        (StatusCode::OK, object)
    }
}

fn query_parameter(query: &str, name: &str) -> Option<u64> {
    query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)?.1.parse().ok()
}
