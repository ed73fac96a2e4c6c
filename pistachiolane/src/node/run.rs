//! Start and graceful stop of a node.

use {
    super::{
        admin::Admin,
        announcements::run_announcements,
        attempt_driver::Driver,
        control_loop::{ControlHandle, ControlLoop},
        control_service::ControlServer,
        entry::Entry,
        error::NodeError,
        gate_server::GateServer,
        gossip_socket::GossipSocket,
        integration::Integration,
        node_handle::NodeHandle,
        queue_task::run_queue,
        shared::{NodeDependencies, Shared},
        store_task::{maintain_member_registrations, native_settings_watch, watch_settings},
    },
    crate::{
        schema::{Health, Placement},
        settings::ProcessSettings,
        store::Store,
    },
    rand::RngExt,
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::mpsc,
        time::{Instant, interval, sleep},
    },
};

/// Time after that for which a leaving node goes on accepting callers: they are asked to go after two looks at
/// its readiness, one a second, and the other nodes learn of it meanwhile.
const MOVE_TIME: Duration = Duration::from_millis(1_300);

/// Time for which the gate of a leaving node still takes work: callers are on their way off anyhow, and what
/// the gate would refuse, others would have to carry.
const SERVE_ON_TIME: Duration = Duration::from_millis(1_400);

/// Announcements that may wait to be taken.
const MAX_PENDING_UPSTREAM_EVENTS: usize = 64;

/// Time between two looks at what still runs.
const STOP_POLL: Duration = Duration::from_millis(10);

/// Time for the last bytes of connections between nodes.
const CLOSE_TIME: Duration = Duration::from_millis(300);

/// Time between two clean-ups of the ledger.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// A node that runs.
#[derive(Debug)]
pub struct RunningNode {
    shared: Arc<Shared>,
    control: ControlHandle,
    gate: Arc<GateServer>,
}

/// Binds all addresses and starts a node.
///
/// # Errors
/// Fails when an address cannot be bound.
pub async fn run(
    settings: ProcessSettings,
    integration: Integration,
) -> Result<RunningNode, NodeError> {
    let callers = bind("listen", settings.listen).await?;
    let gates = bind("gate-listen", settings.gate_listen).await?;
    let controls = bind("control-listen", settings.control_listen).await?;
    let admins = bind("admin-listen", settings.admin_listen).await?;
    let address = settings.control_listen;
    let gossip = UdpSocket::bind(address).await;
    let gossip =
        gossip.map_err(|source| NodeError::Bind { flag: "control-listen", address, source })?;

    let node = rand::rng().random_range(1..u64::MAX);
    let Integration { store, settings: settings_watch, dialect, start_services } = integration;
    let store = Store::new(store);
    let dependencies = NodeDependencies { store, dialect, needs_routes: settings_watch.is_some() };
    let (shared, items) = Shared::new(settings, dependencies, node);
    let socket = GossipSocket::new(Arc::clone(&shared), gossip);
    let (control_loop, control) = ControlLoop::new(Arc::clone(&shared), Arc::clone(&socket));
    let gate = GateServer::new(Arc::clone(&shared));
    let driver = Driver { shared: Arc::clone(&shared), gate: Arc::clone(&gate) };
    let (upstream_events, events) = mpsc::channel(MAX_PENDING_UPSTREAM_EVENTS);
    let handle = NodeHandle { shared: Arc::clone(&shared), upstream_events };
    let server = ControlServer::new(Arc::clone(&shared), Arc::clone(&gate), control.clone());
    let admin = Admin::new(Arc::clone(&shared), control.clone(), handle.clone());

    tokio::spawn(run_queue(Arc::clone(&shared), items));
    tokio::spawn(control_loop.run());
    tokio::spawn(socket.receive(control.clone()));
    tokio::spawn(server.serve(controls));
    tokio::spawn(admin.serve(admins));
    tokio::spawn(Arc::clone(&gate).serve(gates));
    // A stop waits for it, too: it may have just taken a connection.
    shared.work.spawn(Entry::new(driver).serve(callers));
    tokio::spawn(run_announcements(Arc::clone(&shared), control.clone(), events));
    for watch in settings_watch.into_iter().chain([native_settings_watch()]) {
        tokio::spawn(watch_settings(Arc::clone(&shared), control.clone(), watch));
    }
    tokio::spawn(maintain_member_registrations(Arc::clone(&shared), control.clone()));
    tokio::spawn(sweep(Arc::clone(&shared)));
    start_services(handle).await.map_err(NodeError::Services)?;
    let at = &shared.settings;
    log::info!(
        target: "node", node = format!("{node:016x}").as_str(), version = env!("CARGO_PKG_VERSION"),
        listen = at.listen.to_string().as_str(), gate = at.gate_listen.to_string().as_str(),
        zone = &*at.zone, service = &*shared.local_service(),
        stop_timeout_ms = at.tunables.stop_timeout.as_millis() as u64,
        heartbeat_ms = at.tunables.heartbeat.as_millis() as u64,
        retry_percent = at.tunables.retry_percent, retry_reserve = at.tunables.retry_reserve,
        usable_slots = at.tunables.usable_slots;
        "started"
    );
    Ok(RunningNode { shared, control, gate })
}

impl RunningNode {
    /// The node's state.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Puts the settings in force that a running node can change, and names those that need a restart.
    pub fn reload(&self, cause: &str, settings: &ProcessSettings) {
        let old = self.shared.tunables.swap(Arc::new(settings.tunables));
        let started =
            ProcessSettings { tunables: settings.tunables, ..self.shared.settings.clone() };
        let needs_restart = started != *settings;
        self.shared.update_retry_reserves();
        let changed = *old != settings.tunables;
        log::info!(target: "node", cause, changed, needs_restart; "settings reloaded");
    }

    /// Leaves the fleet: refuses new work, finishes what runs, and returns when nothing is left or
    /// `limit` has passed; `true` if nothing was cut.
    pub async fn stop(self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let running = self.shared.admission.gate.running();
        log::info!(target: "node", running; "leaving");
        self.shared.leaving.store(true, Ordering::SeqCst);
        sleep(SERVE_ON_TIME.min(limit / 4)).await;
        self.shared.admission.gate.drain();
        let upstreams = self
            .shared
            .upstream
            .load_full()
            .map(|u| Placement { service: Arc::clone(&u.service), slots: u.slots });
        self.control.set_placement(upstreams.into_iter().collect(), Health::Draining).await;
        sleep(MOVE_TIME.min(limit / 4)).await;
        self.shared.stopping.cancel();
        self.shared.work.close();
        while Instant::now() + CLOSE_TIME < until && !self.is_idle() {
            sleep(STOP_POLL).await;
        }
        let whole = self.is_idle();
        self.gate.close(until.saturating_duration_since(Instant::now())).await;
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

async fn sweep(shared: Arc<Shared>) {
    let mut timer = interval(SWEEP_PERIOD);
    loop {
        timer.tick().await;
        shared.admission.ledger.sweep(shared.now());
    }
}
