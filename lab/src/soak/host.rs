//! A host of a soak: a process of the program under test, its upstream, and the links around them.

use {
    super::{
        checks::{Checks, Guarantee, UpstreamRecord},
        fault::LinkKind,
        program::Program,
    },
    crate::{
        fleet::{NodeAddresses, free_addresses, loopback},
        http::HttpClient,
        relay::Relay,
        stand_in::{Capacity, HostOutage, PlatformStandIn, PlatformUpstream},
    },
    rustix::process::{Pid, Signal},
    serde_json::json,
    std::{
        fs, io,
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::{Instant, sleep, timeout},
    tokio_util::sync::CancellationToken,
};

/// Interval between announcements, also in the node's settings.
const HEARTBEAT: Duration = Duration::from_millis(750);

/// Timeout for the response to an announcement or a readiness probe.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which an upstream keeps serving after its draining was announced.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Delay after which another upstream may take over the address of a stopped one.
const ADDRESS_REUSE_DELAY: Duration = Duration::from_secs(2);

/// Time between SIGTERM and SIGKILL, also in the node's settings.
const STOP_GRACE_PERIOD: Duration = Duration::from_secs(6);

/// Poll interval while waiting for a process to exit or an announcement to be acknowledged.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Tracks whether faults disturb one kind of observation, and counts the faults that have begun.
#[derive(Debug, Default)]
pub struct DisturbanceTracker {
    ongoing: AtomicU64,
    epoch: AtomicU64,
    last_end: Mutex<Option<Instant>>,
}

/// Guard of a disturbance; the disturbance ends when the guard is dropped.
#[derive(Debug)]
pub struct DisturbanceGuard(Arc<DisturbanceTracker>);

impl DisturbanceTracker {
    /// Begins a disturbance that lasts until the guard is dropped.
    pub fn begin(self: &Arc<Self>) -> DisturbanceGuard {
        self.ongoing.fetch_add(1, Ordering::SeqCst);
        self.epoch.fetch_add(1, Ordering::SeqCst);
        DisturbanceGuard(Arc::clone(self))
    }

    /// Returns the current epoch, or `None` during a disturbance.
    ///
    /// Two equal epochs mean that no disturbance began between the calls.
    pub fn undisturbed_epoch(&self) -> Option<u64> {
        let epoch = self.epoch.load(Ordering::SeqCst);
        (self.ongoing.load(Ordering::SeqCst) == 0).then_some(epoch)
    }

    /// Whether there is no disturbance now and the last one ended before `since`.
    pub fn is_undisturbed_since(&self, since: Instant) -> bool {
        let last_end = *self.last_end.lock().unwrap_or_else(PoisonError::into_inner);
        self.undisturbed_epoch().is_some() && last_end.is_none_or(|end| end < since)
    }
}

impl Drop for DisturbanceGuard {
    fn drop(&mut self) {
        *self.0.last_end.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        self.0.ongoing.fetch_sub(1, Ordering::SeqCst);
    }
}

#[derive(Debug)]
struct CurrentUpstream {
    upstream: Arc<PlatformUpstream>,
    draining: bool,
    sequence: u64,
    started_ms: u64,
}

/// State that all hosts of a soak share.
#[derive(Debug)]
pub struct SoakContext {
    /// The program under test.
    pub program: PathBuf,
    /// Directory for settings files and logs.
    pub directory: PathBuf,
    /// Recorded outcomes and violations.
    pub checks: Checks,
    /// Records of all upstreams that were started.
    pub upstreams: Mutex<Vec<UpstreamRecord>>,
    /// Time of the start of the soak.
    pub started: Instant,
    /// Number of the next upstream.
    pub next_upstream: AtomicU64,
    /// HTTP client for announcements.
    pub http: HttpClient,
    /// Additional lines of the settings files, each with its line break.
    pub settings: String,
}

impl SoakContext {
    /// Creates the context of a soak of `program` with its files in `directory`.
    pub fn new(program: PathBuf, directory: PathBuf) -> Self {
        Self {
            program,
            directory,
            checks: Checks::default(),
            upstreams: Mutex::default(),
            started: Instant::now(),
            next_upstream: AtomicU64::new(1),
            http: HttpClient::new(),
            settings: String::new(),
        }
    }

    /// Adds a line to the settings file of each host; `name` has no prefix.
    #[must_use]
    pub fn with_setting(mut self, name: &str, value: &str) -> Self {
        self.settings.push_str(&settings_line(name, value));
        self
    }
}

/// A host with a node process, an upstream and their links.
#[derive(Debug)]
pub struct Host {
    /// Host name.
    pub name: String,
    /// Link from callers to the node.
    pub callers: Relay,
    /// Store outage of this host only.
    pub outage: Arc<HostOutage>,
    /// Disturbances of the responses to callers.
    pub response_disturbances: Arc<DisturbanceTracker>,
    /// Disturbances that delay the configuration of the node.
    pub configuration_disturbances: Arc<DisturbanceTracker>,
    /// Number of starts of the process.
    pub starts: AtomicU64,
    service: &'static str,
    addresses: NodeAddresses,
    /// Addresses of the readiness listener (`listen`) and of the announcement listener (`gate`).
    extra_addresses: NodeAddresses,
    gate: Relay,
    upstream_link: Relay,
    store: SocketAddr,
    program: Mutex<Program>,
    restarting: AtomicBool,
    replacing: AtomicBool,
    upstream: Mutex<CurrentUpstream>,
    context: Arc<SoakContext>,
}

/// Locks a mutex and ignores poisoning: a panic can't leave its value inconsistent.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Host {
    /// Starts the process and the upstream of a host.
    ///
    /// # Errors
    /// Fails when a socket or a file cannot be opened or the process cannot be started.
    pub async fn start(
        index: usize,
        store: &Arc<PlatformStandIn>,
        context: Arc<SoakContext>,
    ) -> io::Result<Arc<Self>> {
        let name = format!("host-{index}");
        let (addresses, extra_addresses) = (free_addresses().await?, free_addresses().await?);
        let outage = Arc::<HostOutage>::default();
        let stop = CancellationToken::new();
        let store = store.start_for_host(loopback(0), stop, Arc::clone(&outage)).await?;
        let links = (Relay::start().await?, Relay::start().await?, Relay::start().await?);
        let (callers, gate, upstream_link) = links;
        callers.set_target(addresses.listen);
        gate.set_target(addresses.gate);
        let upstream = new_upstream(&context, &upstream_link).await?;
        let settings = context.directory.join(format!("{name}.env"));
        let addresses = NodeAddresses { advertised_gate: gate.address, ..addresses };
        let service = if index.is_multiple_of(2) { "booking" } else { "sorting" };
        let text = settings_text(index, &addresses, &extra_addresses, store, service, 80);
        fs::write(&settings, text + &context.settings)?;
        let log = context.directory.join(format!("{name}-1.log"));
        let program = Program::start(&context.program, &settings, &log)?;
        let host = Arc::new(Self {
            name,
            callers,
            outage,
            response_disturbances: Arc::default(),
            configuration_disturbances: Arc::default(),
            starts: AtomicU64::new(1),
            service,
            addresses,
            extra_addresses,
            gate,
            upstream_link,
            store,
            program: Mutex::new(program),
            restarting: AtomicBool::new(false),
            replacing: AtomicBool::new(false),
            upstream: Mutex::new(upstream),
            context,
        });
        tokio::spawn(Arc::clone(&host).announce_periodically());
        Ok(host)
    }

    /// Returns a link of the host.
    pub fn link(&self, kind: LinkKind) -> &Relay {
        match kind {
            LinkKind::Callers => &self.callers,
            LinkKind::Gate => &self.gate,
            LinkKind::Upstream => &self.upstream_link,
        }
    }

    /// Returns the addresses of the node itself, without relays.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Returns the addresses of the readiness listener and of the announcement listener.
    pub fn service_addresses(&self) -> (SocketAddr, SocketAddr) {
        (self.extra_addresses.listen, self.extra_addresses.gate)
    }

    /// Returns the id of the process; `None` if its exit was observed.
    pub fn process_id(&self) -> Option<Pid> {
        lock(&self.program).id()
    }

    /// Whether the process has exited.
    pub fn has_exited(&self) -> bool {
        lock(&self.program).has_exited()
    }

    /// Whether the node reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        let uri = format!("http://{}/pistachiolane/readiness", self.extra_addresses.listen);
        let http = HttpClient::new();
        let status = timeout(ACKNOWLEDGEMENT_TIMEOUT, http.get_status(&uri)).await;
        matches!(status, Ok(Ok(200)))
    }

    /// Sends a signal to the process; a failure is only logged.
    pub fn signal(&self, signal: Signal) {
        if let Err(e) = lock(&self.program).signal(signal) {
            eprintln!("{}: cannot send {signal:?}: {e}", self.name);
        }
    }

    /// Replaces the settings file, which a running node reloads.
    ///
    /// # Errors
    /// Fails when it cannot be written.
    pub fn change_settings(&self, index: usize, usable_percent: u32) -> io::Result<()> {
        let Self { addresses, extra_addresses, store, service, .. } = self;
        let text =
            settings_text(index, addresses, extra_addresses, *store, service, usable_percent);
        fs::write(self.settings_path(), text + &self.context.settings)
    }

    /// Stops the process with SIGTERM if `planned`, else with SIGKILL, and starts a new one after its exit.
    ///
    /// # Errors
    /// Fails when the process cannot be waited for or started.
    pub async fn restart(&self, planned: bool) -> io::Result<()> {
        let _configuration = self.configuration_disturbances.begin();
        let killed = (!planned).then(|| self.response_disturbances.begin());
        self.signal(if planned { Signal::TERM } else { Signal::KILL });
        if self.restarting.swap(true, Ordering::SeqCst) {
            // Another restart is in progress; it waits for the exit and starts the new process.
            return Ok(());
        }
        let epoch = self.response_disturbances.undisturbed_epoch();
        let requested = Instant::now();
        while requested.elapsed() < STOP_GRACE_PERIOD && !lock(&self.program).has_exited() {
            sleep(POLL_INTERVAL).await;
        }
        let exited = lock(&self.program).has_exited();
        let undisturbed =
            epoch.is_some() && self.response_disturbances.undisturbed_epoch() == epoch;
        if planned && undisturbed && !exited {
            let violation = format!("{} still running after {STOP_GRACE_PERIOD:?}", self.name);
            self.context.checks.record_violation(Guarantee::PlannedStop, violation);
        }
        let forced = (!exited).then(|| self.response_disturbances.begin());
        self.signal(Signal::KILL);
        while !lock(&self.program).has_exited() {
            sleep(POLL_INTERVAL).await;
        }
        let start = self.starts.fetch_add(1, Ordering::SeqCst) + 1;
        let log = self.context.directory.join(format!("{}-{start}.log", self.name));
        let next = Program::start(&self.context.program, &self.settings_path(), &log)?;
        *lock(&self.program) = next;
        self.restarting.store(false, Ordering::SeqCst);
        drop((killed, forced));
        Ok(())
    }

    /// Replaces the upstream; if `drains`, the old one first drains and announces its stop.
    ///
    /// # Errors
    /// Fails when the new upstream cannot listen.
    pub async fn replace_upstream(&self, drains: bool) -> io::Result<()> {
        if self.replacing.swap(true, Ordering::SeqCst) {
            return Ok(());
        }
        if drains {
            lock(&self.upstream).draining = true;
            let started = Instant::now();
            while !self.announce().await && started.elapsed() < STOP_GRACE_PERIOD {
                sleep(POLL_INTERVAL).await;
            }
            sleep(DRAIN_TIME).await;
            self.post_announcement("deregister").await;
        }
        let old = Arc::clone(&lock(&self.upstream).upstream);
        old.stop();
        sleep(ADDRESS_REUSE_DELAY).await;
        let next = new_upstream(&self.context, &self.upstream_link).await?;
        *lock(&self.upstream) = next;
        self.replacing.store(false, Ordering::SeqCst);
        Ok(())
    }

    fn settings_path(&self) -> PathBuf {
        self.context.directory.join(format!("{}.env", self.name))
    }

    async fn announce_periodically(self: Arc<Self>) {
        loop {
            self.announce().await;
            sleep(HEARTBEAT).await;
        }
    }

    /// Announces the upstream; returns whether the node acknowledged that it is draining.
    async fn announce(&self) -> bool {
        let (upstream, draining) = {
            let current = lock(&self.upstream);
            (Arc::clone(&current.upstream), current.draining)
        };
        let acknowledged = self.post_announcement("heartbeat").await && draining;
        if acknowledged {
            let mut records = lock(&self.context.upstreams);
            let record = records.iter_mut().find(|r| Arc::ptr_eq(&r.upstream, &upstream));
            if let Some(record) = record {
                record.drain_acknowledged.get_or_insert_with(|| upstream.age());
            }
        }
        acknowledged
    }

    async fn post_announcement(&self, operation: &str) -> bool {
        let (instance, body) = {
            let mut current = lock(&self.upstream);
            current.sequence += 1;
            let state = if current.draining { "draining" } else { "ready" };
            let body = json!({
                "service": self.service, "address": self.upstream_link.address, "zone": "a",
                "version": "v1", "slots": current.upstream.capacity.slots, "state": state,
                "warmup_left_s": 0, "seq": current.sequence, "born": current.started_ms,
            });
            (current.upstream.instance.clone(), body)
        };
        let uri = format!(
            "http://{}/pistachiolane/instances/{instance}/{operation}",
            self.extra_addresses.gate
        );
        let sent = timeout(ACKNOWLEDGEMENT_TIMEOUT, self.context.http.post_json(&uri, &body)).await;
        matches!(sent, Ok(Ok(response)) if response.head.status() == 200)
    }
}

/// Starts an upstream, records it, and makes it the target of the link.
async fn new_upstream(context: &SoakContext, link: &Relay) -> io::Result<CurrentUpstream> {
    let number = context.next_upstream.fetch_add(1, Ordering::SeqCst);
    let capacity = Capacity {
        base_service_time: Duration::from_millis(15),
        slowdown_percent: 130,
        max_added_slowness_percent: 60,
        ..Capacity::default()
    };
    let (upstream, address) =
        PlatformUpstream::start_with_capacity(&format!("i-{number}"), capacity).await?;
    link.set_target(address);
    let started = context.started.elapsed();
    let record =
        UpstreamRecord { upstream: Arc::clone(&upstream), started, drain_acknowledged: None };
    lock(&context.upstreams).push(record);
    let started_ms = 1_000 + number * 10_000;
    Ok(CurrentUpstream { upstream, draining: false, sequence: 0, started_ms })
}

fn settings_text(
    index: usize,
    addresses: &NodeAddresses,
    extra_addresses: &NodeAddresses,
    store: SocketAddr,
    service: &str,
    usable_percent: u32,
) -> String {
    let region = ["north", "south"][index % 4 / 2];
    let values = [
        ("INTERFACE", "platform".to_owned()),
        ("LISTEN", addresses.listen.to_string()),
        ("GATE_LISTEN", addresses.gate.to_string()),
        ("GATE_ADVERTISE", addresses.advertised_gate.to_string()),
        ("CONTROL_LISTEN", addresses.control.to_string()),
        ("ADMIN_LISTEN", addresses.admin.to_string()),
        ("READY_LISTEN", extra_addresses.listen.to_string()),
        ("ANNOUNCE_LISTEN", extra_addresses.gate.to_string()),
        ("PLATFORM", format!("http://{store}")),
        ("REGION", region.to_owned()),
        ("ZONE", format!("{region}-{}", index % 3)),
        ("SERVICE", service.to_owned()),
        ("HEARTBEAT", HEARTBEAT.as_secs_f64().to_string()),
        (
            "BOUNDS",
            format!(
                "grace_s={},retry_budget_ratio=0.2,budget_slack=64",
                STOP_GRACE_PERIOD.as_secs()
            ),
        ),
        ("USABLE_SLOTS", usable_percent.to_string()),
    ];
    let mut text = String::new();
    for (name, value) in values {
        text.push_str(&settings_line(name, &value));
    }
    text
}

fn settings_line(name: &str, value: &str) -> String {
    format!("PISTACHIOLANE_{name}={value}\n")
}

/// Creates an empty directory; removes what exists at the path.
///
/// # Errors
/// Fails when the directory cannot be removed or created.
pub fn empty_directory(path: &Path) -> io::Result<()> {
    if path.exists() {
        fs::remove_dir_all(path)?;
    }
    fs::create_dir_all(path)
}
