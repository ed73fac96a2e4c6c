//! The admin server: announcements of the local upstream, operator commands, metrics and state
//! dumps.

use {
    crate::node::{
        accept::BoundedListener,
        admin::{
            operator::{ChangeReport, ChangeRequest, change, document},
            status,
        },
        body::Body,
        control::control_loop::ControlHandle,
        node_handle::NodeHandle,
        responses,
        shared::Shared,
    },
    crate::{
        config::{check_document, get_path},
        invariants,
        membership::UpstreamEvent,
        schema::Announcement,
    },
    http_body_util::{BodyExt, Limited},
    hyper::{Method, Request, Response, StatusCode, body::Incoming, header, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    serde_json::{Value, json},
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

/// Maximum size in bytes of the body of an admin request.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Time limit for the headers of an admin request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Request header with the subtree version that a change is based on.
pub const IF_VERSION: &str = "if-version";

/// The admin server of a node.
#[derive(Clone, Debug)]
pub struct Admin {
    shared: Arc<Shared>,
    control: ControlHandle,
    node: NodeHandle,
}

impl Admin {
    /// Creates a server that forwards announcements to `node`.
    pub fn new(shared: Arc<Shared>, control: ControlHandle, node: NodeHandle) -> Self {
        Self { shared, control, node }
    }

    /// Accepts and serves connections until its task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        let max_connections = self.shared.settings.resources.service_connections();
        let listener =
            BoundedListener::new(listener, "admin", max_connections, Arc::clone(&self.shared));
        loop {
            let (socket, place) = listener.accept().await;
            let admin = self.clone();
            let service = service_fn(move |req| {
                let admin = admin.clone();
                async move { Ok::<_, Infallible>(admin.handle_request(req).await) }
            });
            tokio::spawn(place.run(async move {
                let mut http = hyper::server::conn::http1::Builder::new();
                http.timer(TokioTimer::new()).header_read_timeout(HEADER_READ_TIMEOUT);
                // A failed admin connection affects no other connection.
                let _ignored = http.serve_connection(TokioIo::new(socket), service).await;
            }));
        }
    }

    async fn handle_request(self, req: Request<Incoming>) -> Response<Body> {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let segments: Vec<&str> = path.split('/').filter(|s| !s.is_empty()).collect();
        match (&method, segments.as_slice()) {
            (&Method::GET, ["ready"]) => self.ready(),
            (&Method::GET, ["metrics"]) => self.metrics(),
            (&Method::GET, ["status"]) => {
                responses::json(StatusCode::OK, &status::status(&self.shared, &self.control).await)
            }
            (&Method::GET, ["dump"]) => {
                responses::json(StatusCode::OK, &status::dump(&self.shared, &self.control).await)
            }
            (&Method::POST, ["announce"]) => self.announce(req).await,
            (&Method::GET, ["settings"]) => self.list_settings().await,
            (&Method::GET, ["settings", subtree, rest @ ..]) => {
                self.get_setting(subtree, &rest.join("/")).await
            }
            (&Method::PUT | &Method::DELETE, ["settings", subtree, rest @ ..]) => {
                self.change_setting(req, subtree, &rest.join("/")).await
            }
            (&Method::POST, ["check", subtree]) => self.check_subtree(req, subtree).await,
            _ => responses::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn ready(&self) -> Response<Body> {
        let ready = self.node.is_ready();
        let code = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        responses::text(code, if ready { "ready" } else { "not ready" })
    }

    fn metrics(&self) -> Response<Body> {
        let violations = i64::try_from(invariants::violations()).unwrap_or(i64::MAX);
        self.shared.metrics.invariant_violations.set(violations);
        let held = i64::try_from(self.shared.held_bytes.held()).unwrap_or(i64::MAX);
        self.shared.metrics.held_bytes.set(held);
        self.shared.metrics.text().map_or_else(
            |e| responses::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
            |text| responses::text(StatusCode::OK, text),
        )
    }

    async fn announce(&self, req: Request<Incoming>) -> Response<Body> {
        let body = match read_body(req).await {
            Ok(body) => body,
            Err(res) => return res,
        };
        match serde_json::from_slice::<Announcement>(&body) {
            Ok(announcement) if announcement.slots == 0 => {
                responses::text(StatusCode::UNPROCESSABLE_ENTITY, "slots: expected at least 1")
            }
            Ok(announcement) => {
                if self.node.announce(UpstreamEvent::Announced(announcement)).await {
                    return responses::text(StatusCode::OK, "announced");
                }
                responses::text(StatusCode::SERVICE_UNAVAILABLE, "the node is shutting down")
            }
            Err(e) => responses::text(StatusCode::UNPROCESSABLE_ENTITY, e.to_string()),
        }
    }

    async fn list_settings(&self) -> Response<Body> {
        let snapshot = self.control.snapshot().await;
        let subtrees: Vec<Value> = snapshot
            .iter()
            .flat_map(|s| &s.subtrees)
            .map(|s| json!({ "name": s.name, "version": s.version, "document": document(s) }))
            .collect();
        responses::json(StatusCode::OK, &json!({ "subtrees": subtrees }))
    }

    async fn get_setting(&self, name: &str, path: &str) -> Response<Body> {
        let snapshot = self.control.snapshot().await;
        let subtree = snapshot.iter().flat_map(|s| &s.subtrees).find(|s| s.name.as_ref() == name);
        let setting = subtree.and_then(|s| {
            let document = document(s);
            let value = get_path(&document, path)?.clone();
            Some(json!({ "version": s.version, "change": s.change, "value": value }))
        });
        setting.map_or_else(
            || responses::text(StatusCode::NOT_FOUND, format!("no setting at `{name}/{path}`")),
            |setting| responses::json(StatusCode::OK, &setting),
        )
    }

    async fn change_setting(
        &self,
        req: Request<Incoming>,
        subtree: &str,
        path: &str,
    ) -> Response<Body> {
        let is_removal = req.method() == Method::DELETE;
        let if_version = header_text(&req, IF_VERSION).and_then(|v| v.parse().ok());
        let bearer = header_text(&req, header::AUTHORIZATION.as_str());
        let token = bearer.and_then(|v| v.strip_prefix("Bearer ").map(str::to_owned));
        let body = match read_body(req).await {
            Ok(body) => body,
            Err(res) => return res,
        };
        let value = if is_removal {
            None
        } else {
            match serde_json::from_slice(&body) {
                Ok(value) => Some(value),
                Err(e) => {
                    return responses::text(StatusCode::BAD_REQUEST, format!("invalid JSON: {e}"));
                }
            }
        };
        let path = path.to_owned();
        let request = ChangeRequest { subtree: Arc::from(subtree), path, value, if_version, token };
        let report = change(&self.shared, &self.control, request).await;
        responses::json(status_code(&report), &report)
    }

    async fn check_subtree(&self, req: Request<Incoming>, subtree: &str) -> Response<Body> {
        let body = match read_body(req).await {
            Ok(body) => body,
            Err(res) => return res,
        };
        let text = String::from_utf8_lossy(&body);
        let root = self.shared.settings_tree.load().root.clone();
        let faults = check_document(subtree, &text, &root).err().unwrap_or_default();
        let code =
            if faults.is_empty() { StatusCode::OK } else { StatusCode::UNPROCESSABLE_ENTITY };
        responses::json(code, &json!({ "faults": faults }))
    }
}

fn status_code(report: &ChangeReport) -> StatusCode {
    match report {
        ChangeReport::Accepted { .. } => StatusCode::OK,
        ChangeReport::Pending { .. } | ChangeReport::Unknown { .. } => StatusCode::ACCEPTED,
        ChangeReport::Conflict { .. } => StatusCode::CONFLICT,
        ChangeReport::Refused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ChangeReport::Forbidden => StatusCode::FORBIDDEN,
        ChangeReport::NotWritten => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn header_text(req: &Request<Incoming>, name: &str) -> Option<String> {
    req.headers().get(name)?.to_str().ok().map(str::to_owned)
}

async fn read_body(req: Request<Incoming>) -> Result<bytes::Bytes, Response<Body>> {
    let limited = Limited::new(req.into_body(), MAX_BODY_BYTES);
    let collected = limited.collect().await.map_err(|_e| {
        responses::text(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the request body is too large or incomplete",
        )
    })?;
    Ok(collected.to_bytes())
}
