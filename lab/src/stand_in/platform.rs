//! The platform's object API: versions, conditional writes, watches, and the faults it has.

use {
    super::http_server::{Body, json, serve, text},
    http_body_util::BodyExt,
    hyper::{Method, Request, Response, StatusCode, body::Incoming},
    pistachiolane::platform::{Listing, Object, PutAnswer},
    serde::Serialize,
    serde_json::Value,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
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
    pub lose_answers: AtomicU64,
}

#[derive(Debug, Default)]
struct Store {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
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
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let platform = Arc::clone(self);
        tokio::spawn(serve(listener, stop, move |req| {
            let platform = Arc::clone(&platform);
            async move { platform.answer(req).await }
        }));
        Ok(address)
    }

    /// Calls taken so far.
    pub fn counts(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
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
        match (req.method(), parts.as_slice()) {
            (&Method::GET, ["v1", "objects", kind]) => self.list(kind, &query).await,
            (&Method::GET, ["v1", "objects", kind, name]) => self.get(kind, name),
            (&Method::PUT, ["v1", "objects", kind, name]) => {
                let (kind, name) = ((*kind).to_owned(), (*name).to_owned());
                self.put(kind, name, &query, req).await
            }
            (&Method::GET, ["lab", "counts"]) => json(StatusCode::OK, &self.counts()),
            _ => text(StatusCode::NOT_FOUND, ""),
        }
    }

    fn get(&self, kind: &str, name: &str) -> Response<Body> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        match store.objects.get(&(kind.to_owned(), name.to_owned())) {
            None => text(StatusCode::NOT_FOUND, ""),
            Some((version, value)) => {
                let object = Object { name: name.into(), version: *version, value: value.clone() };
                json(StatusCode::OK, &object)
            }
        }
    }

    async fn list(&self, kind: &str, query: &str) -> Response<Body> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let since = parameter(query, "watch");
        if let Some(since) = since {
            self.watches.fetch_add(1, Ordering::Relaxed);
            self.wait(kind, since, parameter(query, "wait_ms").unwrap_or(0)).await;
        }
        json(StatusCode::OK, &self.listing(kind, since.unwrap_or(0)))
    }

    async fn wait(&self, kind: &str, since: u64, wait_ms: u64) {
        let mut revision = self.revision.subscribe();
        let changed = async {
            while self.listing(kind, since).items.is_empty() {
                if revision.changed().await.is_err() {
                    return;
                }
            }
        };
        // Without a change the listing is empty.
        let _waited = timeout(Duration::from_millis(wait_ms), changed).await;
    }

    fn listing(&self, kind: &str, since: u64) -> Listing {
        let store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        let items = store
            .objects
            .iter()
            .filter(|((k, _), (version, _))| k == kind && *version > since)
            .map(|((_, name), (version, value))| Object {
                name: name.as_str().into(),
                version: *version,
                value: value.clone(),
            })
            .collect();
        Listing { revision: store.revision, items }
    }

    async fn put(
        &self,
        kind: String,
        name: String,
        query: &str,
        req: Request<Incoming>,
    ) -> Response<Body> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        let Ok(body) = req.into_body().collect().await else {
            return text(StatusCode::BAD_REQUEST, "");
        };
        let Ok(value) = serde_json::from_slice(&body.to_bytes()) else {
            return text(StatusCode::BAD_REQUEST, "");
        };
        let expected = parameter(query, "version").unwrap_or(0);
        let (code, version) = self.write(kind, name, expected, value);
        let one_fewer = |left: u64| left.checked_sub(1);
        let lost = self
            .faults
            .lose_answers
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, one_fewer)
            .is_ok();
        if lost {
            return text(StatusCode::GATEWAY_TIMEOUT, "");
        }
        json(code, &PutAnswer { version })
    }

    fn write(&self, kind: String, name: String, expected: u64, value: Value) -> (StatusCode, u64) {
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        let present = store.objects.get(&(kind.clone(), name.clone())).map_or(0, |o| o.0);
        if present != expected {
            return (StatusCode::CONFLICT, present);
        }
        store.revision += 1;
        let version = store.revision;
        store.objects.insert((kind, name), (version, value));
        drop(store);
        self.revision.send_replace(version);
        (StatusCode::OK, version)
    }
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)?.1.parse().ok()
}
