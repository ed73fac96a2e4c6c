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
        platform_task,
        queue_task::run_queue,
        shared::Shared,
    },
    crate::{
        schema::{Health, Placement},
        settings::ProcessSettings,
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

/// Time for which a leaving node goes on accepting callers, while the others learn of it.
const SPREAD_TIME: Duration = Duration::from_millis(700);

/// Time between two looks at what still runs.
const STOP_POLL: Duration = Duration::from_millis(10);

/// Time for the last bytes of connections between nodes.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

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
pub async fn run(settings: ProcessSettings) -> Result<RunningNode, NodeError> {
    let callers = bind("listen", settings.listen).await?;
    let gates = bind("gate-listen", settings.gate_listen).await?;
    let controls = bind("control-listen", settings.control_listen).await?;
    let admins = bind("admin-listen", settings.admin_listen).await?;
    let address = settings.control_listen;
    let gossip = UdpSocket::bind(address).await;
    let gossip =
        gossip.map_err(|source| NodeError::Bind { flag: "control-listen", address, source })?;

    let node = rand::rng().random_range(1..u64::MAX);
    let (shared, items) = Shared::new(settings, node);
    let socket = GossipSocket::new(Arc::clone(&shared), gossip);
    let (control_loop, control) = ControlLoop::new(Arc::clone(&shared), Arc::clone(&socket));
    let gate = GateServer::new(Arc::clone(&shared));
    let driver = Driver { shared: Arc::clone(&shared), gate: Arc::clone(&gate) };
    let (announce, announced) = mpsc::channel(16);
    let server = ControlServer::new(Arc::clone(&shared), Arc::clone(&gate), control.clone());
    let admin = Admin::new(Arc::clone(&shared), control.clone(), announce);

    tokio::spawn(run_queue(Arc::clone(&shared), items));
    tokio::spawn(control_loop.run());
    tokio::spawn(socket.receive(control.clone()));
    tokio::spawn(server.serve(controls));
    tokio::spawn(admin.serve(admins));
    tokio::spawn(Arc::clone(&gate).serve(gates));
    tokio::spawn(Entry::new(driver).serve(callers));
    tokio::spawn(run_announcements(Arc::clone(&shared), control.clone(), announced));
    tokio::spawn(platform_task::run_settings(Arc::clone(&shared), control.clone()));
    tokio::spawn(platform_task::run_seeds(Arc::clone(&shared), control.clone()));
    tokio::spawn(sweep(Arc::clone(&shared)));
    log::info!(target: "node", "started node={node:016x}");
    Ok(RunningNode { shared, control, gate })
}

impl RunningNode {
    /// The node's state.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Leaves the fleet: refuses new work, finishes what runs, and returns when nothing is left or
    /// `limit` has passed; `true` if nothing was cut.
    pub async fn stop(self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        log::info!(target: "node", "leaving running={}", self.shared.admission.gate.running());
        self.shared.leaving.store(true, Ordering::SeqCst);
        self.shared.admission.gate.drain();
        let upstreams = self
            .shared
            .upstream
            .load_full()
            .map(|u| Placement { service: Arc::clone(&u.service), slots: u.slots });
        self.control.placement(upstreams.into_iter().collect(), Health::Draining).await;
        sleep(SPREAD_TIME).await;
        self.shared.stopping.cancel();
        self.shared.work.close();
        while Instant::now() < until && !self.is_idle() {
            sleep(STOP_POLL).await;
        }
        let whole = self.is_idle();
        self.gate.close(CLOSE_TIMEOUT).await;
        log::info!(target: "node", "left whole={whole}");
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
