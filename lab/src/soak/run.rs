//! Runs a soak and builds its report.

use {
    super::{
        checks::{Guarantee, RequestRecord},
        fault::{Fault, FaultKind, LinkKind, schedule},
        host::{DisturbanceGuard, DisturbanceTracker, Host, SoakContext, empty_directory, lock},
    },
    crate::{
        http::{CompleteResponse, HttpClient},
        relay::LinkFault,
        report::Report,
        stand_in::{self, PLATFORM_REQUEST_ID, PlatformStandIn, RouteRow},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::Request,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    rustix::process::Signal,
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        io,
        path::PathBuf,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        task::JoinSet,
        time::{Instant, sleep},
    },
};

/// Mean request rate per host, outside bursts.
const REQUESTS_PER_SECOND: f64 = 25.0;

/// Longest interval between two requests over all callers.
const MAX_REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Time budget that callers send with a request.
const TIME_BUDGET: Duration = Duration::from_secs(2);

/// Time after the deadline within which a response must arrive.
///
/// Covers the injected link delay of up to 0.4 s in each direction.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(800);

/// Time limit for all hosts to become ready at the start, and to recover after the last fault.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Time limit for a written configuration to be in force: the 2.5 s that the sites require, plus two check periods.
const IN_FORCE_LIMIT: Duration = Duration::from_millis(2_800);

/// Addition to that limit while the store rejects some hosts, and until they are in touch again.
const UNSTABLE_STORE_LIMIT: Duration = Duration::from_secs(5);

/// Time after which hosts that the store rejected are in touch again.
const STABLE_TIME: Duration = Duration::from_secs(4);

/// Time before a configuration change from which no disturbance may occur; otherwise its time limit is not checked.
const UNDISTURBED_BEFORE_CHANGE: Duration = Duration::from_secs(4);

/// Interval between checks of a host's configuration or readiness.
const CHECK_PERIOD: Duration = Duration::from_millis(150);

/// Time for executions that still run at upstreams after all callers' requests have ended.
const LAST_EXECUTIONS_TIME: Duration = Duration::from_secs(4);

/// Delay of every call to a slow store, in milliseconds.
const SLOW_STORE_DELAY_MS: u64 = 700;

/// Time for which the store is away before it comes back from an older copy.
const STORE_RESTORE_TIME: Duration = Duration::from_millis(400);

/// Parameters of a soak.
#[derive(Clone, Debug)]
pub struct SoakSpec {
    /// Seed of the faults and requests.
    pub seed: u64,
    /// Duration of the fault schedule.
    pub duration: Duration,
    /// Number of hosts.
    pub hosts: usize,
    /// The program under test.
    pub program: PathBuf,
    /// Directory for settings files and logs of the processes.
    pub logs: PathBuf,
}

/// Error that prevents a soak from running.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A socket, a file or a process could not be opened or started.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// Not all hosts became ready in time.
    #[error("hosts not ready within {READY_TIMEOUT:?}")]
    NotReady,
}

/// Version of the configuration.
#[derive(Clone, Copy, Debug)]
struct Version {
    written: Instant,
    /// Time within which it must be in force.
    limit: Duration,
}

struct Soak {
    hosts: Vec<Arc<Host>>,
    store: Arc<PlatformStandIn>,
    store_disturbances: Arc<DisturbanceTracker>,
    context: Arc<SoakContext>,
    /// Versions of the configuration, starting with version 0.
    versions: Mutex<Vec<Version>>,
    /// End of the time for which the store rejects the hosts that watch it, and until they are in touch again.
    unstable_until: Mutex<Instant>,
    http: HttpClient,
    requests_sent: AtomicUsize,
    finished: AtomicBool,
}

/// Runs a soak and reports its checks.
///
/// # Errors
/// Fails when the fleet does not become ready; violated guarantees are failed checks of the report.
pub async fn run(spec: &SoakSpec) -> Result<Report, SoakError> {
    let mut rng = SmallRng::seed_from_u64(spec.seed);
    let soak = Arc::new(start(spec).await?);
    let faults = schedule(&mut rng, spec.duration, spec.hosts);
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for fault in &faults {
        let name = format!("{:?}", fault.kind);
        let name = name.split([' ', '(', '{']).next().unwrap_or_default();
        *counts.entry(name.to_owned()).or_default() += 1;
    }
    let mut watchers = JoinSet::new();
    for host in &soak.hosts {
        watchers.spawn(watch_configuration(Arc::clone(&soak), Arc::clone(host)));
    }
    let traffic = tokio::spawn(send_requests(Arc::clone(&soak), spec.seed));
    let started = Instant::now();
    let mut fault_tasks = JoinSet::new();
    for fault in faults {
        tokio::time::sleep_until(started + fault.at).await;
        let soak = Arc::clone(&soak);
        fault_tasks.spawn(async move { soak.apply(fault).await });
    }
    while let Some(done) = fault_tasks.join_next().await {
        if let Ok(Err(e)) = done {
            eprintln!("cannot apply a fault: {e}");
        }
    }
    soak.check_recovery().await;
    soak.finished.store(true, Ordering::SeqCst);
    while watchers.join_next().await.is_some() {}
    // An error is ignored: a panic in the traffic task is a bug in the soak, and shows in the request counts.
    let _sent = traffic.await;
    sleep(LAST_EXECUTIONS_TIME).await;
    soak.context.checks.check_runs(&lock(&soak.context.upstreams));
    let mut report = Report::new("soak", spec.seed);
    report.add_measurement("faults", json!(counts));
    report.add_measurement("answers", soak.context.checks.outcome_counts());
    report.add_measurement("requests", json!(soak.requests_sent.load(Ordering::SeqCst)));
    report.add_measurement("versions", json!(lock(&soak.versions).len()));
    let violations = soak.context.checks.violations();
    for (index, violation) in violations.iter().take(20).enumerate() {
        report.add_measurement(&format!("violation {index:02}"), json!(violation));
    }
    soak.context.checks.report().into_iter().for_each(|check| report.add_check(check));
    Ok(report)
}

async fn start(spec: &SoakSpec) -> Result<Soak, SoakError> {
    let directory = spec.logs.join(format!("seed-{}", spec.seed));
    empty_directory(&directory)?;
    let context = Arc::new(SoakContext::new(spec.program.clone(), directory));
    let store = PlatformStandIn::new();
    store.write_as_operator("config", "main", configuration(0));
    let mut hosts = Vec::new();
    for index in 0..spec.hosts {
        hosts.push(Host::start(index, &store, Arc::clone(&context)).await?);
    }
    let soak = Soak {
        hosts,
        store,
        store_disturbances: Arc::default(),
        context,
        versions: Mutex::new(vec![Version { written: Instant::now(), limit: IN_FORCE_LIMIT }]),
        unstable_until: Mutex::new(Instant::now()),
        http: HttpClient::new(),
        requests_sent: AtomicUsize::new(0),
        finished: AtomicBool::new(false),
    };
    if soak.first_not_ready(READY_TIMEOUT).await.is_some() {
        return Err(SoakError::NotReady);
    }
    // Time for the announcements to reach the other nodes.
    sleep(Duration::from_secs(1)).await;
    Ok(soak)
}

impl Soak {
    async fn apply(&self, fault: Fault) -> io::Result<()> {
        let host = &self.hosts[fault.host];
        match fault.kind {
            FaultKind::Kill => host.restart(false).await?,
            FaultKind::PlannedStop => host.restart(true).await?,
            FaultKind::KillAllAfterChange => {
                self.write_next_version();
                let mut restarts = JoinSet::new();
                for host in &self.hosts {
                    let host = Arc::clone(host);
                    restarts.spawn(async move { host.restart(false).await });
                }
                while let Some(done) = restarts.join_next().await {
                    done.map_err(io::Error::other)??;
                }
            }
            FaultKind::Pause => {
                let _disturbance =
                    (host.response_disturbances.begin(), host.configuration_disturbances.begin());
                host.signal(Signal::STOP);
                sleep(fault.duration).await;
                host.signal(Signal::CONT);
                // The pause has effects until the timers and sockets of the process have caught up.
                sleep(TIME_BUDGET).await;
            }
            FaultKind::Reload { signalled } => {
                host.change_settings(fault.host, 70 + fault.duration.subsec_millis() % 30)?;
                if signalled {
                    host.signal(Signal::HUP);
                }
            }
            FaultKind::Link(kind, link_fault) => {
                let _disturbance = begin_link_disturbance(host, kind);
                host.link(kind).set_fault(link_fault);
                sleep(fault.duration).await;
                host.link(kind).set_fault(LinkFault::None);
            }
            FaultKind::ResetConnections(kind) => {
                let _disturbance = begin_link_disturbance(host, kind);
                host.link(kind).reset_open_connections();
            }
            FaultKind::SilenceConnections(kind) => {
                let _disturbance = begin_link_disturbance(host, kind);
                host.link(kind).silence_open_connections();
            }
            FaultKind::HostOutage(kind) => {
                host.outage.set(Some(kind));
                sleep(fault.duration).await;
                host.outage.set(None);
            }
            FaultKind::WatchersOutage(kind) => {
                let watchers: Vec<_> = self
                    .hosts
                    .iter()
                    .filter(|host| host.outage.waits_for_configuration())
                    .collect();
                self.extend_unstable_time(fault.duration + STABLE_TIME);
                for host in &watchers {
                    host.outage.set(Some(kind));
                }
                sleep(fault.duration / 4).await;
                self.write_next_version();
                sleep(fault.duration * 3 / 4).await;
                for host in &watchers {
                    host.outage.set(None);
                }
            }
            FaultKind::StoreDown => {
                let _disturbance = self.store_disturbances.begin();
                self.store.faults.down.store(true, Ordering::SeqCst);
                sleep(fault.duration).await;
                self.store.faults.down.store(false, Ordering::SeqCst);
            }
            FaultKind::StoreSlow => {
                let _disturbance = self.store_disturbances.begin();
                self.store.faults.delay_ms.store(SLOW_STORE_DELAY_MS, Ordering::SeqCst);
                sleep(fault.duration).await;
                self.store.faults.delay_ms.store(0, Ordering::SeqCst);
            }
            FaultKind::StoreLosesResponses => {
                self.store.faults.lost_write_responses.fetch_add(2, Ordering::SeqCst);
            }
            FaultKind::StoreDropsHistory => self.store.discard_history(),
            FaultKind::StoreOlderCopy => {
                let copy = self.store.copy();
                sleep(fault.duration).await;
                let _disturbance = self.store_disturbances.begin();
                self.store.faults.down.store(true, Ordering::SeqCst);
                sleep(STORE_RESTORE_TIME).await;
                self.store.restore(copy);
                self.store.faults.down.store(false, Ordering::SeqCst);
                let latest = lock(&self.versions).len() - 1;
                self.store.write_as_operator("config", "main", configuration(latest));
            }
            FaultKind::UpstreamDrains => host.replace_upstream(true).await?,
            FaultKind::UpstreamCrashes => host.replace_upstream(false).await?,
            FaultKind::ConfigurationChange => self.write_next_version(),
        }
        Ok(())
    }

    fn extend_unstable_time(&self, time: Duration) {
        let mut until = lock(&self.unstable_until);
        *until = (*until).max(Instant::now() + time);
    }

    /// Writes the next version of the configuration.
    fn write_next_version(&self) {
        let mut versions = lock(&self.versions);
        self.store.write_as_operator("config", "main", configuration(versions.len()));
        let written = Instant::now();
        let is_unstable = written < *lock(&self.unstable_until);
        let limit =
            IN_FORCE_LIMIT + if is_unstable { UNSTABLE_STORE_LIMIT } else { Duration::ZERO };
        versions.push(Version { written, limit });
    }

    async fn first_not_ready(&self, limit: Duration) -> Option<&Arc<Host>> {
        let until = Instant::now() + limit;
        for host in &self.hosts {
            while !host.is_ready().await {
                if Instant::now() > until {
                    return Some(host);
                }
                sleep(CHECK_PERIOD).await;
            }
        }
        None
    }

    /// Checks that after the last fault every host becomes ready and serves both kinds of requests.
    async fn check_recovery(&self) {
        let started = Instant::now();
        if let Some(host) = self.first_not_ready(READY_TIMEOUT).await {
            self.context
                .checks
                .record_violation(Guarantee::Recovery, format!("{} is not ready", host.name));
        }
        // A new client: connections opened before or during the faults may be unusable through no fault of the nodes.
        let http = HttpClient::new();
        for host in &self.hosts {
            for kind in ["o", "s"] {
                let mut tries = 0;
                loop {
                    tries += 1;
                    let id = format!("{kind}-last-{}-{tries}", host.name);
                    let response = call(&http, host, &id).await;
                    if response.is_ok_and(|res| res.head.status() == 200) {
                        break;
                    }
                    if started.elapsed() > READY_TIMEOUT {
                        let violation = format!("{} serves no requests of kind {kind}", host.name);
                        self.context.checks.record_violation(Guarantee::Recovery, violation);
                        break;
                    }
                    sleep(CHECK_PERIOD).await;
                }
            }
        }
    }
}

/// Sends requests until the soak is finished; in 2 of every 10 seconds the rate is tripled.
async fn send_requests(soak: Arc<Soak>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let mut tasks = JoinSet::new();
    let mut number = 0_u64;
    while !soak.finished.load(Ordering::SeqCst) {
        let burst_factor =
            if soak.context.started.elapsed().as_secs() % 10 < 2 { 3.0 } else { 1.0 };
        let mean_interval_s = 1.0 / (REQUESTS_PER_SECOND * burst_factor * soak.hosts.len() as f64);
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        sleep(Duration::from_secs_f64(-uniform.ln() * mean_interval_s).min(MAX_REQUEST_INTERVAL))
            .await;
        number += 1;
        let kind = if rng.random_bool(0.5) { "o" } else { "s" };
        let (id, host) = (format!("{kind}-{number}"), rng.random_range(0..soak.hosts.len()));
        let soak = Arc::clone(&soak);
        tasks.spawn(async move { soak.send_request(id, host).await });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
}

impl Soak {
    async fn send_request(&self, id: String, host: usize) {
        let host = &self.hosts[host];
        self.requests_sent.fetch_add(1, Ordering::SeqCst);
        let epoch = host.response_disturbances.undisturbed_epoch();
        let started = Instant::now();
        let response = call(&self.http, host, &id).await;
        let past_deadline =
            response.is_ok() && started.elapsed() > TIME_BUDGET + DEADLINE_TOLERANCE;
        let undisturbed =
            epoch.is_some() && host.response_disturbances.undisturbed_epoch() == epoch;
        let matches_request = response.as_ref().is_ok_and(|res| is_matching(res, &id));
        let status = response.map(|res| res.head.status().as_u16());
        let name = host.name.clone();
        self.context.checks.record_request(RequestRecord {
            id,
            host: name,
            status,
            matches_request,
            undisturbed,
            past_deadline,
        });
    }
}

/// Begins a disturbance of the responses to callers if the fault is on the link from callers.
///
/// Faults on other links must not disturb these responses.
fn begin_link_disturbance(host: &Host, kind: LinkKind) -> Option<DisturbanceGuard> {
    (kind == LinkKind::Callers).then(|| host.response_disturbances.begin())
}

/// Sends a request of a caller: non-idempotent if the id starts with `o`, else idempotent.
async fn call(
    http: &HttpClient,
    host: &Host,
    id: &str,
) -> Result<CompleteResponse, crate::http::HttpError> {
    let (method, path) = if id.starts_with('o') { ("POST", "orders") } else { ("GET", "sizing") };
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{}/{path}/ok", host.callers.address))
        .header("host", "shop.example")
        .header(PLATFORM_REQUEST_ID, id)
        .header("x-pistachiolane-deadline-ms", TIME_BUDGET.as_millis().to_string())
        .body(Full::new(Bytes::new()));
    http.send(req.map_err(|_e| crate::http::HttpError::Invalid)?).await
}

fn is_matching(response: &CompleteResponse, id: &str) -> bool {
    let signature = response.head.headers().get("x-pistachiolane-response-signature");
    let signed = signature.is_some_and(|s| *s == format!("{id}.s").as_str());
    signed && response.body == format!("answer to {id}")
}

/// Checks on a node, until the soak is finished, that a version once observed stays in force and that new versions are
/// in force in time.
async fn watch_configuration(soak: Arc<Soak>, host: Arc<Host>) {
    let (mut last_start, mut observed_version) = (0, 0);
    let mut reported_version = 0;
    while !soak.finished.load(Ordering::SeqCst) {
        sleep(CHECK_PERIOD).await;
        let current_start = host.starts.load(Ordering::SeqCst);
        if current_start != last_start {
            (last_start, observed_version) = (current_start, 0);
        }
        let newest = lock(&soak.versions).len() - 1;
        let epoch = host.response_disturbances.undisturbed_epoch();
        let checks = &soak.context.checks;
        match soak.has_version_route(&host, observed_version).await {
            Some(false) if host.starts.load(Ordering::SeqCst) == last_start => {
                checks.record_violation(
                    Guarantee::NoRollback,
                    format!("{}: version {observed_version}", host.name),
                );
            }
            _ => {}
        }
        if newest > observed_version && soak.has_version_route(&host, newest).await == Some(true) {
            observed_version = newest;
        }
        let Version { written, limit } = lock(&soak.versions)[newest];
        let since = written.checked_sub(UNDISTURBED_BEFORE_CHANGE).unwrap_or(written);
        let is_measurable = host.configuration_disturbances.is_undisturbed_since(since)
            && soak.store_disturbances.is_undisturbed_since(since)
            && epoch.is_some()
            && host.response_disturbances.undisturbed_epoch() == epoch;
        if observed_version < newest
            && is_measurable
            && written.elapsed() > limit
            && reported_version != newest
        {
            reported_version = newest;
            checks.record_violation(
                Guarantee::ConfigurationInForce,
                format!("{}: version {newest}", host.name),
            );
        }
    }
}

impl Soak {
    /// Whether a node has the route of a version; `None` if there is no response or the node has no configuration.
    async fn has_version_route(&self, host: &Host, version: usize) -> Option<bool> {
        let uri = format!("http://{}/v{version}/", host.callers.address);
        let req = Request::builder()
            .uri(uri)
            .header("host", "shop.example")
            // With no time budget the request is not sent to an upstream.
            .header("x-pistachiolane-deadline-ms", "0")
            .body(Full::new(Bytes::new()))
            .ok()?;
        let response = HttpClient::new().send(req).await.ok()?;
        let reason = response.head.headers().get("pistachiolane-reason");
        let has_no_configuration = reason.is_some_and(|r| r == "not-ready");
        (!has_no_configuration).then_some(response.head.status() != 404)
    }
}

/// Builds a configuration version, with a route for each version up to it.
pub fn configuration(version: usize) -> Value {
    let row = |name: String, route_type, service| RouteRow {
        name,
        host: "shop.example",
        route_type,
        timeout_s: 2.0,
        service,
        max_attempts: 3,
    };
    let mut routes = vec![
        row("orders".to_owned(), "non_idempotent", "booking"),
        row("sizing".to_owned(), "idempotent", "sorting"),
    ];
    routes.extend((0..=version).map(|v| row(format!("v{v}"), "idempotent", "sorting")));
    let version = format!("r{}", version * 3 + 7);
    stand_in::configuration(&version, &routes, &["booking", "sorting"])
}
