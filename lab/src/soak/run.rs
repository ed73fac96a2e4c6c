//! A soak from its start to its report.

use {
    super::{
        checks::{Guarantee, RequestRecord},
        fault::{Fault, FaultKind, LinkKind, schedule},
        host::{DisturbanceGuard, DisturbanceTracker, Host, SoakContext, empty_directory, lock},
    },
    crate::{
        http::{HttpClient, WholeAnswer},
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

/// Requests a second for each host.
const REQUESTS_PER_SECOND: f64 = 25.0;

/// Largest time between two requests of all callers together.
const MAX_REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Time that callers give a request.
const DEADLINE: Duration = Duration::from_secs(2);

/// Time after the deadline in which its answer must be there: links are delayed by up to 0.4 s each way.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(800);

/// Time for a fleet to become ready, and after the last fault to serve again.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Bound on the time in which a configuration is in force: the sites' 2.5 s, and two looks at it.
const IN_FORCE_LIMIT: Duration = Duration::from_millis(2_800);

/// Calm before a change that lets a node be measured by it.
const UNDISTURBED_BEFORE_CHANGE: Duration = Duration::from_secs(4);

/// Time between two looks at the configuration of a host.
const CHECK_PERIOD: Duration = Duration::from_millis(150);

/// Time for work that is still on its way after the last fault.
const LAST_WORK_TIME: Duration = Duration::from_secs(4);

/// Time that a store takes for a call when it is slow, in milliseconds.
const SLOW_STORE_DELAY_MS: u64 = 700;

/// What a soak is run with.
#[derive(Clone, Debug)]
pub struct SoakSpec {
    /// Seed of the faults and requests.
    pub seed: u64,
    /// Time of faults.
    pub duration: Duration,
    /// Hosts.
    pub hosts: usize,
    /// The program under test.
    pub program: PathBuf,
    /// Where the processes' settings and logs go.
    pub logs: PathBuf,
}

/// Why a soak did not run.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A socket, a file or a process could not be had.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The fleet did not come up.
    #[error("the hosts were not ready in {READY_TIMEOUT:?}")]
    NotReady,
}

struct Soak {
    hosts: Vec<Arc<Host>>,
    store: Arc<PlatformStandIn>,
    store_disturbances: Arc<DisturbanceTracker>,
    context: Arc<SoakContext>,
    /// When each version was written; the first has the number 0.
    versions: Mutex<Vec<Instant>>,
    http: HttpClient,
    requests_sent: AtomicUsize,
    finished: AtomicBool,
}

/// Runs a soak.
///
/// # Errors
/// Fails when the fleet does not come up; broken promises are in the report.
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
    let mut tasks = JoinSet::new();
    for host in &soak.hosts {
        tasks.spawn(watch_configuration(Arc::clone(&soak), Arc::clone(host)));
    }
    let traffic = tokio::spawn(send_requests(Arc::clone(&soak), spec.seed));
    let started = Instant::now();
    let mut running = JoinSet::new();
    for fault in faults {
        tokio::time::sleep_until(started + fault.at).await;
        let soak = Arc::clone(&soak);
        running.spawn(async move { soak.apply(fault).await });
    }
    while let Some(done) = running.join_next().await {
        if let Ok(Err(e)) = done {
            eprintln!("a fault could not be applied: {e}");
        }
    }
    soak.check_recovery().await;
    soak.finished.store(true, Ordering::SeqCst);
    while tasks.join_next().await.is_some() {}
    // A request that panicked is a fault of the soak, which its counts would show.
    let _sent = traffic.await;
    sleep(LAST_WORK_TIME).await;
    soak.context.checks.check_runs(&lock(&soak.context.upstreams));
    let mut report = Report::new("soak", spec.seed);
    report.figure("faults", json!(counts));
    report.figure("answers", soak.context.checks.statuses());
    report.figure("requests", json!(soak.requests_sent.load(Ordering::SeqCst)));
    report.figure("versions", json!(lock(&soak.versions).len()));
    let violations = soak.context.checks.violations();
    for (at, what) in violations.iter().take(20).enumerate() {
        report.figure(&format!("broken {at:02}"), json!(what));
    }
    soak.context.checks.report().into_iter().for_each(|check| report.check(check));
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
        versions: Mutex::new(vec![Instant::now()]),
        http: HttpClient::new(),
        requests_sent: AtomicUsize::new(0),
        finished: AtomicBool::new(false),
    };
    if soak.first_not_ready(READY_TIMEOUT).await.is_some() {
        return Err(SoakError::NotReady);
    }
    // Announcements reach the other nodes.
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
                // What its clocks and sockets have to catch up with is still an effect of the pause.
                sleep(DEADLINE).await;
            }
            FaultKind::Reload { signalled } => {
                host.change_settings(fault.host, 70 + fault.duration.subsec_millis() % 30)?;
                if signalled {
                    host.signal(Signal::HUP);
                }
            }
            FaultKind::Link(kind, lost) => {
                let _disturbance = disturb_responses(host, kind);
                host.link(kind).set_fault(lost);
                sleep(fault.duration).await;
                host.link(kind).set_fault(LinkFault::None);
            }
            FaultKind::ResetConnections(kind) => {
                let _disturbance = disturb_responses(host, kind);
                host.link(kind).reset_open();
            }
            FaultKind::SilenceConnections(kind) => {
                let _disturbance = disturb_responses(host, kind);
                host.link(kind).silence_open();
            }
            FaultKind::HostOutage(kind) => {
                host.outage.set(Some(kind));
                sleep(fault.duration).await;
                host.outage.set(None);
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
            FaultKind::UpstreamDrains => host.replace_upstream(true).await?,
            FaultKind::UpstreamCrashes => host.replace_upstream(false).await?,
            FaultKind::ConfigurationChange => self.write_next_version(),
        }
        Ok(())
    }

    /// Writes the next version.
    fn write_next_version(&self) {
        let mut versions = lock(&self.versions);
        self.store.write_as_operator("config", "main", configuration(versions.len()));
        versions.push(Instant::now());
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

    /// After the last fault every host is ready and serves both kinds of work.
    async fn check_recovery(&self) {
        let begun = Instant::now();
        if let Some(host) = self.first_not_ready(READY_TIMEOUT).await {
            self.context
                .checks
                .record_violation(Guarantee::Recovery, format!("{} is not ready", host.name));
        }
        // Connections from before the faults are not the nodes' concern.
        let http = HttpClient::new();
        for host in &self.hosts {
            for kind in ["o", "s"] {
                let mut tries = 0;
                loop {
                    tries += 1;
                    let id = format!("{kind}-last-{}-{tries}", host.name);
                    let answer = call(&http, host, &id).await;
                    if answer.is_ok_and(|a| a.head.status() == 200) {
                        break;
                    }
                    if begun.elapsed() > READY_TIMEOUT {
                        let what = format!("{} serves no {kind}", host.name);
                        self.context.checks.record_violation(Guarantee::Recovery, what);
                        break;
                    }
                    sleep(CHECK_PERIOD).await;
                }
            }
        }
    }
}

/// Sends requests until the soak is over; their rate rises and falls.
async fn send_requests(soak: Arc<Soak>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let mut tasks = JoinSet::new();
    let mut number = 0_u64;
    while !soak.finished.load(Ordering::SeqCst) {
        let burst = if soak.context.started.elapsed().as_secs() % 10 < 2 { 3.0 } else { 1.0 };
        let mean = 1.0 / (REQUESTS_PER_SECOND * burst * soak.hosts.len() as f64);
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        sleep(Duration::from_secs_f64(-uniform.ln() * mean).min(MAX_REQUEST_INTERVAL)).await;
        number += 1;
        let kind = if rng.random_bool(0.5) { "o" } else { "s" };
        let (id, host) = (format!("{kind}-{number}"), rng.random_range(0..soak.hosts.len()));
        let soak = Arc::clone(&soak);
        tasks.spawn(async move { soak.request(id, host).await });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
}

impl Soak {
    async fn request(&self, id: String, host: usize) {
        let host = &self.hosts[host];
        self.requests_sent.fetch_add(1, Ordering::SeqCst);
        let epoch = host.response_disturbances.undisturbed_epoch();
        let begun = Instant::now();
        let answer = call(&self.http, host, &id).await;
        let past_deadline = answer.is_ok() && begun.elapsed() > DEADLINE + DEADLINE_TOLERANCE;
        let undisturbed =
            epoch.is_some() && host.response_disturbances.undisturbed_epoch() == epoch;
        let matches_request = answer.as_ref().is_ok_and(|a| is_matching(a, &id));
        let status = answer.map(|a| a.head.status().as_u16());
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

/// Only the callers' link disturbs what a node answers.
fn disturb_responses(host: &Host, kind: LinkKind) -> Option<DisturbanceGuard> {
    (kind == LinkKind::Callers).then(|| host.response_disturbances.begin())
}

async fn call(
    http: &HttpClient,
    host: &Host,
    id: &str,
) -> Result<WholeAnswer, crate::http::HttpError> {
    let (method, path) = if id.starts_with('o') { ("POST", "orders") } else { ("GET", "sizing") };
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{}/{path}/ok", host.callers.address))
        .header("host", "shop.example")
        .header(PLATFORM_REQUEST_ID, id)
        .header("x-pistachiolane-deadline-ms", DEADLINE.as_millis().to_string())
        .body(Full::new(Bytes::new()));
    http.send(req.map_err(|_e| crate::http::HttpError::Invalid)?).await
}

fn is_matching(answer: &WholeAnswer, id: &str) -> bool {
    let signature = answer.head.headers().get("x-pistachiolane-response-signature");
    let signed = signature.is_some_and(|s| *s == format!("{id}.s").as_str());
    signed && answer.body == format!("answer to {id}")
}

/// Asks a node for the routes of versions: those it has known stay, and new ones come in time.
async fn watch_configuration(soak: Arc<Soak>, host: Arc<Host>) {
    let (mut start, mut observed_version) = (0, 0);
    let mut reported_version = 0;
    while !soak.finished.load(Ordering::SeqCst) {
        sleep(CHECK_PERIOD).await;
        let present = host.starts.load(Ordering::SeqCst);
        if present != start {
            (start, observed_version) = (present, 0);
        }
        let newest = lock(&soak.versions).len() - 1;
        let epoch = host.response_disturbances.undisturbed_epoch();
        let checks = &soak.context.checks;
        match soak.has_version_route(&host, observed_version).await {
            Some(false) if host.starts.load(Ordering::SeqCst) == start => {
                checks.record_violation(
                    Guarantee::NoConfigurationRollback,
                    format!("{}: version {observed_version}", host.name),
                );
            }
            _ => {}
        }
        if newest > observed_version && soak.has_version_route(&host, newest).await == Some(true) {
            observed_version = newest;
        }
        let written = lock(&soak.versions)[newest];
        let settled = written.checked_sub(UNDISTURBED_BEFORE_CHANGE).unwrap_or(written);
        let measured = host.configuration_disturbances.is_undisturbed_since(settled)
            && soak.store_disturbances.is_undisturbed_since(settled)
            && epoch.is_some()
            && host.response_disturbances.undisturbed_epoch() == epoch;
        if observed_version < newest
            && measured
            && written.elapsed() > IN_FORCE_LIMIT
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
    /// Whether a node has the route of a version; `None` without an answer that says so.
    async fn has_version_route(&self, host: &Host, version: usize) -> Option<bool> {
        let uri = format!("http://{}/v{version}/", host.callers.address);
        let req = Request::builder()
            .uri(uri)
            .header("host", "shop.example")
            // No time left: nothing is run.
            .header("x-pistachiolane-deadline-ms", "0")
            .body(Full::new(Bytes::new()))
            .ok()?;
        let answer = HttpClient::new().send(req).await.ok()?;
        let reason = answer.head.headers().get("pistachiolane-reason");
        let has_no_configuration = reason.is_some_and(|r| r == "not-ready");
        (!has_no_configuration).then_some(answer.head.status() != 404)
    }
}

/// A configuration with a route for each version so far.
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
