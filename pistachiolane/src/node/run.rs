//! Start and graceful shutdown of a node.

use {
    crate::node::{
        admin::admin_server::Admin,
        control::{
            control_loop::{ControlHandle, ControlLoop},
            control_service::ControlServer,
            evacuation_task::watch_evacuations,
            gossip_socket::GossipSocket,
            store_task::{maintain_member_registrations, native_settings_watch, watch_settings},
        },
        entry::{attempt_driver::AttemptDriver, entry_server::Entry},
        error::NodeError,
        gate::{
            announcements::run_announcements, cold_upstream::run_cold_checks,
            gate_server::GateServer, load_probe::run_load_probes, queue_task::run_queue,
            reopening::run_reopening,
        },
        integration::Integration,
        node_handle::NodeHandle,
        shared::{NodeDependencies, Shared},
    },
    crate::{
        schema::{Health, Placement},
        settings::ProcessSettings,
        store::Store,
    },
    rand::RngExt,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::mpsc,
        time::{Instant, interval, sleep},
    },
};

/// Time after [`CONTINUED_SERVICE_TIME`] during which a node that shuts down still accepts callers.
/// Callers are directed to other nodes after two failed readiness checks, one a second; in the
/// meantime the other nodes receive the new state of this one.
const CALLER_MIGRATION_TIME: Duration = Duration::from_millis(1_300);

/// Time during which the gate of a node that shuts down still accepts attempts. Callers already
/// move to other nodes, and each attempt that this gate refused would be extra load for other
/// gates.
const CONTINUED_SERVICE_TIME: Duration = Duration::from_millis(1_400);

/// Maximum number of upstream events that wait to be applied.
const MAX_PENDING_UPSTREAM_EVENTS: usize = 64;

/// Time in which the answers of the calls that end last are sent, before connections are closed.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(100);

/// Interval between two checks, during the shutdown, of whether work is still running.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Part of the stop limit that is reserved for the graceful close of connections between nodes.
const CONNECTION_CLOSE_TIME: Duration = Duration::from_millis(300);

/// Interval between two removals of expired entries from the ledger.
const LEDGER_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Handle to a running node, for reloads and the shutdown.
#[derive(Debug)]
pub struct RunningNode {
    shared: Arc<Shared>,
    control: ControlHandle,
    gate: Arc<GateServer>,
}

/// Binds all addresses and starts a node.
///
/// # Errors
/// Fails if an address cannot be bound or the adapter's services cannot be started.
pub async fn run(
    settings: ProcessSettings,
    integration: Integration,
) -> Result<RunningNode, NodeError> {
    let caller_listener = bind("listen", settings.listen).await?;
    let gate_listener = bind("gate-listen", settings.gate_listen).await?;
    let control_listener = bind("control-listen", settings.control_listen).await?;
    let admin_listener = bind("admin-listen", settings.admin_listen).await?;
    let address = settings.control_listen;
    let bound = UdpSocket::bind(address).await;
    let gossip_socket =
        bound.map_err(|source| NodeError::Bind { flag: "control-listen", address, source })?;

    let node = rand::rng().random_range(1..u64::MAX);
    let Integration { store, settings: settings_watch, evacuations, dialect, start_services } =
        integration;
    let store = Store::new(store);
    let dependencies = NodeDependencies { store, dialect, needs_routes: settings_watch.is_some() };
    let (shared, queue_items) = Shared::new(settings, dependencies, node);
    let socket = GossipSocket::new(Arc::clone(&shared), gossip_socket);
    let (control_loop, control) = ControlLoop::new(Arc::clone(&shared), Arc::clone(&socket));
    let gate = GateServer::new(Arc::clone(&shared));
    let driver = AttemptDriver { shared: Arc::clone(&shared), gate: Arc::clone(&gate) };
    let (upstream_events, events) = mpsc::channel(MAX_PENDING_UPSTREAM_EVENTS);
    let handle = NodeHandle { shared: Arc::clone(&shared), upstream_events };
    let server = ControlServer::new(Arc::clone(&shared), Arc::clone(&gate), control.clone());
    let admin = Admin::new(Arc::clone(&shared), control.clone(), handle.clone());

    tokio::spawn(run_queue(Arc::clone(&shared), queue_items));
    tokio::spawn(run_load_probes(Arc::clone(&shared), Arc::clone(&gate)));
    tokio::spawn(run_cold_checks(Arc::clone(&shared), Arc::clone(&gate)));
    tokio::spawn(control_loop.run());
    tokio::spawn(socket.receive(control.clone()));
    tokio::spawn(server.serve(control_listener));
    tokio::spawn(admin.serve(admin_listener));
    tokio::spawn(Arc::clone(&gate).serve(gate_listener));
    // Tracked as work, because the shutdown must also wait for a connection that the entry has just
    // accepted.
    shared.work.spawn(Entry::new(driver).serve(caller_listener));
    tokio::spawn(run_announcements(
        Arc::clone(&shared),
        Arc::clone(&gate),
        control.clone(),
        events,
    ));
    for watch in settings_watch.into_iter().chain([native_settings_watch()]) {
        tokio::spawn(watch_settings(Arc::clone(&shared), control.clone(), watch));
    }
    if let Some(watch) = evacuations {
        tokio::spawn(watch_evacuations(Arc::clone(&shared), control.clone(), watch));
    }
    tokio::spawn(run_reopening(Arc::clone(&shared), Arc::clone(&gate)));
    tokio::spawn(maintain_member_registrations(Arc::clone(&shared), control.clone()));
    tokio::spawn(sweep_ledger(Arc::clone(&shared)));
    start_services(handle).await.map_err(NodeError::Services)?;
    let settings = &shared.settings;
    log::info!(
        target: "node", node = format!("{node:016x}").as_str(), version = env!("CARGO_PKG_VERSION"),
        listen = settings.listen.to_string().as_str(),
        gate = settings.gate_listen.to_string().as_str(),
        zone = &*settings.zone, service = &*shared.local_service(),
        stop_timeout_ms = settings.tunables.stop_timeout.as_millis() as u64,
        heartbeat_ms = settings.tunables.heartbeat.as_millis() as u64,
        retry_percent = settings.tunables.retry_percent,
        retry_reserve = settings.tunables.retry_reserve,
        usable_slots = settings.tunables.usable_slots,
        zone_balance = settings.tunables.zone_balance.is_some();
        "started"
    );
    Ok(RunningNode { shared, control, gate })
}

impl RunningNode {
    /// Returns the shared state of the node.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Puts the tunable settings in force, and logs whether other settings changed, which take
    /// effect only after a restart.
    pub fn reload(&self, cause: &str, settings: &ProcessSettings) {
        let previous = self.shared.tunables.swap(Arc::new(settings.tunables));
        let reloaded =
            ProcessSettings { tunables: settings.tunables, ..self.shared.settings.clone() };
        let needs_restart = reloaded != *settings;
        self.shared.update_retry_reserves();
        let changed = *previous != settings.tunables;
        log::info!(target: "node", cause, changed, needs_restart; "settings reloaded");
    }

    /// Shuts the node down gracefully: accepts work for a short time, then refuses new work, and
    /// returns once the running work is finished or `limit` has passed. Returns `true` if all work
    /// was finished.
    pub async fn stop(self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        let running = self.shared.admission.gate.running();
        log::info!(target: "node", running; "leaving");
        let time_for_calls = limit.saturating_sub(CONNECTION_CLOSE_TIME + LAST_ANSWER_TIME);
        self.shared.start_shutdown(self.shared.now() + time_for_calls);
        sleep(CONTINUED_SERVICE_TIME.min(limit / 4)).await;
        self.shared.admission.gate.drain();
        let upstreams = self
            .shared
            .upstream
            .load_full()
            .map(|u| Placement { service: Arc::clone(&u.service), slots: u.slots });
        self.control.set_placement(upstreams.into_iter().collect(), Health::Draining).await;
        sleep(CALLER_MIGRATION_TIME.min(limit / 4)).await;
        self.shared.stopping.cancel();
        self.shared.work.close();
        while Instant::now() + CONNECTION_CLOSE_TIME < deadline && !self.is_idle() {
            sleep(IDLE_CHECK_INTERVAL).await;
        }
        let whole = self.is_idle();
        self.gate.close(deadline.saturating_duration_since(Instant::now())).await;
        log::info!(target: "node", whole; "left");
        whole
    }

    fn is_idle(&self) -> bool {
        self.shared.admission.gate.running() == 0 && self.shared.work.is_empty()
    }
}

async fn bind(flag: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| NodeError::Bind { flag, address, source })
}

async fn sweep_ledger(shared: Arc<Shared>) {
    let mut timer = interval(LEDGER_SWEEP_INTERVAL);
    loop {
        timer.tick().await;
        shared.admission.ledger.sweep(shared.now());
    }
}
