//! Discrete-event queue model of entries, links and upstreams under one policy.

use {
    super::{
        policies::{BaselineState, Policy},
        upstreams::{JobEnd, StartedJob, Upstream},
    },
    crate::virtual_member,
    hdrhistogram::Histogram,
    pistachiolane::{
        attempt::{AttemptCause, CallAction, CallEvent, CallSpec, Outcome},
        engine::{Engine, EngineAction, EngineEvent, RunResult},
        membership::MembershipEvent,
        schema::{AttemptHeader, AttemptId, LoadReport, MemberRecord, Placement, WorkKind},
        tick::{Tick, micros},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// Number of upstreams of the service.
pub const UPSTREAMS: usize = 6;

/// Number of nodes of other services, which are entries too.
const OTHER_NODES: usize = 18;

/// Round-trip time between availability zones.
const CROSS_ZONE_ROUND_TRIP: Duration = Duration::from_millis(2);

/// Round-trip time within an availability zone.
const SAME_ZONE_ROUND_TRIP: Duration = Duration::from_micros(200);

/// Time budget of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time at the start that is excluded from the measurements.
const WARM_UP: Duration = Duration::from_secs(5);

/// Maximum length of one burst of the noisy neighbour, or of the pause after it, in microseconds.
const MAX_NEIGHBOUR_BURST_US: u64 = 200_000;

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Number of slots of each upstream.
    pub slots: usize,
    /// Mean service time.
    pub mean_service_time: Duration,
    /// Load as a share of the total capacity that the straggler and the noisy neighbour leave to the upstreams.
    pub load: f64,
    /// Factor on the service time of upstream 1, the straggler; 1 for no straggler.
    pub straggler_factor: f64,
    /// Slots of upstream 3 that a noisy neighbour occupies during its bursts, which fill half of the time.
    pub neighbour_slots: usize,
    /// Delay added to every load report on a response, and the interval of load reports to the two-choices policy.
    pub staleness: Duration,
    /// Duration of the measurement.
    pub measured_time: Duration,
}

/// Measurements of one run; calls of the warm-up are excluded.
#[derive(Clone, Debug)]
pub struct Measurements {
    /// Latency at the entry, in microseconds; a failed call counts with its whole time budget.
    pub latency: Histogram<u64>,
    /// Number of calls.
    pub calls: u64,
    /// Number of calls without a response in time.
    pub failed: u64,
    /// Number of attempts sent.
    pub attempts: u64,
    /// Number of attempts that were hedges.
    pub hedges: u64,
    /// Number of refused attempts.
    pub refused: u64,
    /// Number of load probes sent.
    pub probes: u64,
}

enum SimEvent {
    /// A call arrives at a random entry.
    Arrival,
    /// Node and the input of its engine.
    Step(usize, EngineEvent),
    /// Entry, node id of the reporting gate, and its load report.
    Report(usize, u64, LoadReport),
    /// Upstream and call of a baseline policy.
    Submit(usize, u64),
    /// Upstream and the job whose service time is over.
    JobEnded(usize, StartedJob),
    /// Call of a baseline policy whose response arrives at the entry.
    BaselineResponse(u64),
    /// The loads of all upstreams are reported to the baseline policies.
    BaselineReports,
    /// A burst of the noisy neighbour begins (`true`) or ends (`false`).
    NeighbourBurst(bool),
}

#[derive(Clone, Copy)]
struct PendingCall {
    entry: usize,
    upstream: usize,
    arrived: Tick,
}

/// Attempt that was sent to a gate.
#[derive(Clone)]
struct Delivery {
    call: u64,
    id: AttemptId,
    entry: usize,
    gate: usize,
    submitted: Tick,
}

/// State of one run.
pub struct Model {
    scenario: Scenario,
    policy: Policy,
    rng: SmallRng,
    now: Tick,
    last_event_number: u64,
    /// Times of future events and their numbers, which order events of the same time.
    queue: BinaryHeap<Reverse<(Tick, u64)>>,
    events: HashMap<u64, SimEvent>,
    upstreams: Vec<Upstream>,
    engines: Vec<Engine>,
    baseline: BaselineState,
    calls: HashMap<u64, PendingCall>,
    deliveries: HashMap<u64, Delivery>,
    last_id: u64,
    measured: Measurements,
}

impl Model {
    /// Creates a model that has not run.
    pub fn new(scenario: Scenario, policy: Policy, seed: u64) -> Self {
        let mut upstreams: Vec<Upstream> = (0..UPSTREAMS)
            .map(|_| Upstream::new(scenario.slots, scenario.mean_service_time))
            .collect();
        upstreams[1].mean_service_time =
            scenario.mean_service_time.mul_f64(scenario.straggler_factor);
        let latency = Histogram::new_with_bounds(1, 60_000_000, 3);
        let latency = latency.unwrap_or_else(|_e| unreachable!("the bounds are valid"));
        Self {
            scenario,
            policy,
            rng: SmallRng::seed_from_u64(seed),
            now: Tick(1),
            last_event_number: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            upstreams,
            engines: Vec::new(),
            baseline: BaselineState::new(UPSTREAMS + OTHER_NODES, UPSTREAMS),
            calls: HashMap::new(),
            deliveries: HashMap::new(),
            last_id: 0,
            measured: Measurements {
                latency,
                calls: 0,
                failed: 0,
                attempts: 0,
                hedges: 0,
                refused: 0,
                probes: 0,
            },
        }
    }

    /// Runs the scenario and returns its measurements.
    pub fn run(mut self) -> Measurements {
        self.start_engines();
        self.push(Duration::ZERO, SimEvent::Arrival);
        self.push(Duration::ZERO, SimEvent::BaselineReports);
        self.push(Duration::ZERO, SimEvent::NeighbourBurst(true));
        let end = Tick(1) + WARM_UP + self.scenario.measured_time;
        while let Some(Reverse((at, event_number))) = self.queue.pop() {
            if at > end + CALL_TIMEOUT {
                break;
            }
            self.now = at;
            let Some(event) = self.events.remove(&event_number) else { continue };
            match event {
                SimEvent::Arrival if at < end => self.arrival(),
                SimEvent::Arrival => {}
                other => self.handle(other),
            }
        }
        let open_calls: Vec<Tick> = self.calls.values().map(|c| c.arrived).collect();
        for arrived in open_calls {
            self.record_failure(arrived);
        }
        self.measured
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival => {}
            SimEvent::Step(host, event) => self.step(host, event),
            SimEvent::Report(entry, node, report) => {
                self.engines[entry].record_probe(self.now, "sizing", node, &report);
            }
            SimEvent::Submit(upstream, call) => self.submit(upstream, call),
            SimEvent::JobEnded(upstream, started) => self.end_job(upstream, started),
            SimEvent::BaselineResponse(call) => self.complete_baseline_call(call),
            SimEvent::BaselineReports => {
                self.baseline.reported = self.upstreams.iter().map(Upstream::load).collect();
                self.push(self.scenario.staleness, SimEvent::BaselineReports);
            }
            SimEvent::NeighbourBurst(begins) => self.toggle_neighbour(begins),
        }
    }

    fn push(&mut self, after: Duration, event: SimEvent) {
        self.last_event_number += 1;
        self.queue.push(Reverse((self.now + after, self.last_event_number)));
        self.events.insert(self.last_event_number, event);
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn start_engines(&mut self) {
        let records: Vec<MemberRecord> = (0..UPSTREAMS + OTHER_NODES).map(member_record).collect();
        for (index, local) in records.iter().enumerate() {
            let mut engine = Engine::new(self.now, local.clone(), Vec::new());
            let others = records.iter().filter(|r| r.node != local.node).cloned().collect();
            let event = EngineEvent::Membership(MembershipEvent::Records(others));
            engine.step(self.now, &mut self.rng, event);
            if index < UPSTREAMS {
                let slots = self.scenario.slots as u16;
                let service = Arc::from("sizing");
                let event = EngineEvent::UpstreamAnnounced { service, slots, draining: false };
                engine.step(self.now, &mut self.rng, event);
            }
            self.engines.push(engine);
        }
    }

    fn arrival(&mut self) {
        let rate = self.arrival_rate();
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        self.push(Duration::from_secs_f64(-uniform.ln() / rate), SimEvent::Arrival);
        let call = self.next_id();
        let entry = self.rng.random_range(0..UPSTREAMS + OTHER_NODES);
        self.measured.calls += u64::from(self.is_measured(self.now));
        let arrived = self.now;
        if self.policy.uses_engine() {
            self.calls.insert(call, PendingCall { entry, upstream: 0, arrived });
            self.probe(entry);
            let spec = CallSpec {
                hedge: self.policy == Policy::Pistachiolane,
                target: Tick(u64::MAX),
                ..CallSpec::new(WorkKind::Idempotent, self.now + CALL_TIMEOUT)
            };
            let service = Arc::from("sizing");
            self.step(entry, EngineEvent::Request { call, service, spec });
            return;
        }
        let round_trip_from_entry = |u: usize| round_trip(entry, u);
        let upstream = self.baseline.choose(
            self.policy,
            &mut self.rng,
            entry,
            &self.upstreams,
            round_trip_from_entry,
        );
        self.baseline.outstanding[entry][upstream] += 1;
        self.calls.insert(call, PendingCall { entry, upstream, arrived });
        self.push(round_trip(entry, upstream) / 2, SimEvent::Submit(upstream, call));
    }

    /// Returns the request rate per second that produces the scenario's load.
    fn arrival_rate(&self) -> f64 {
        let capacity: f64 =
            self.upstreams.iter().map(|u| u.slots as f64 / u.mean_service_time.as_secs_f64()).sum();
        let neighbour_capacity = self.scenario.neighbour_slots as f64 * 0.5
            / self.scenario.mean_service_time.as_secs_f64();
        (capacity - neighbour_capacity) * self.scenario.load
    }

    fn toggle_neighbour(&mut self, begins: bool) {
        if self.scenario.neighbour_slots == 0 {
            return;
        }
        let burst = Duration::from_micros(self.rng.random_range(1_000..MAX_NEIGHBOUR_BURST_US));
        if begins {
            self.upstreams[3].slots -= self.scenario.neighbour_slots;
        } else {
            self.upstreams[3].slots += self.scenario.neighbour_slots;
        }
        self.push(burst, SimEvent::NeighbourBurst(!begins));
    }

    fn submit(&mut self, upstream: usize, job: u64) {
        let started = self.upstreams[upstream].submit(self.now, &mut self.rng, job);
        self.schedule(upstream, started);
    }

    fn schedule(&mut self, upstream: usize, started: Option<StartedJob>) {
        if let Some(started) = started {
            self.push(started.ends_at.since(self.now), SimEvent::JobEnded(upstream, started));
        }
    }

    fn end_job(&mut self, upstream: usize, started: StartedJob) {
        let ended = self.upstreams[upstream].end(self.now, &mut self.rng, started);
        let JobEnd::Done(next) = ended else { return };
        self.schedule(upstream, next);
        let job = started.job;
        if self.policy.uses_engine() {
            let Some(d) = self.deliveries.get(&job) else { return };
            let service_time = self.now.since(d.submitted);
            let result = RunResult::Answered { service_time, failed: false };
            self.step(upstream, EngineEvent::Ended(job, result));
            return;
        }
        let Some(call) = self.calls.get(&job).copied() else { return };
        self.push(round_trip(call.entry, upstream) / 2, SimEvent::BaselineResponse(job));
    }

    fn complete_baseline_call(&mut self, call: u64) {
        let Some(call) = self.calls.remove(&call) else { return };
        self.baseline.outstanding[call.entry][call.upstream] -= 1;
        if self.now.since(call.arrived) > CALL_TIMEOUT {
            self.record_failure(call.arrived);
        } else {
            self.record_latency(call.arrived);
        }
    }

    fn record_latency(&mut self, arrived: Tick) {
        if self.is_measured(arrived) {
            self.measured.latency.saturating_record(micros(self.now.since(arrived)).max(1));
        }
    }

    /// Records a failed call, with its whole time budget as the latency.
    fn record_failure(&mut self, arrived: Tick) {
        if self.is_measured(arrived) {
            self.measured.failed += 1;
            self.measured.latency.saturating_record(micros(CALL_TIMEOUT));
        }
    }

    fn is_measured(&self, at: Tick) -> bool {
        at >= Tick(1) + WARM_UP && at < Tick(1) + WARM_UP + self.scenario.measured_time
    }

    fn step(&mut self, host: usize, event: EngineEvent) {
        for action in self.engines[host].step(self.now, &mut self.rng, event) {
            self.apply_action(host, action);
        }
    }

    fn apply_action(&mut self, host: usize, action: EngineAction) {
        match action {
            EngineAction::Call(call, action) => self.call_action(host, call, action),
            EngineAction::Run(delivery) => {
                if let Some(d) = self.deliveries.get_mut(&delivery) {
                    d.submitted = self.now;
                }
                self.submit(host, delivery);
            }
            EngineAction::Refuse(delivery, reason, report) => {
                self.measured.refused += u64::from(self.is_measured(self.now));
                self.send_response(delivery, |id| CallEvent::Refused(id, reason, Some(report)));
            }
            EngineAction::Answer(delivery, report) => {
                if let Some(d) = self.deliveries.get(&delivery) {
                    let node = self.engines[d.gate].node();
                    let after = round_trip(d.entry, d.gate) / 2 + self.scenario.staleness;
                    let entry = d.entry;
                    self.push(after, SimEvent::Report(entry, node, report));
                }
                self.send_response(delivery, |id| CallEvent::Answered {
                    id,
                    report: None,
                    failed: false,
                });
            }
            EngineAction::OutcomeUnknown(delivery) => {
                self.deliveries.remove(&delivery);
            }
            EngineAction::Settled(..) | EngineAction::Membership(_) => {}
        }
    }

    fn send_response(&mut self, delivery: u64, event: impl Fn(AttemptId) -> CallEvent) {
        let Some(d) = self.deliveries.remove(&delivery) else { return };
        let event = EngineEvent::Call(d.call, event(d.id));
        self.push(round_trip(d.entry, d.gate) / 2, SimEvent::Step(d.entry, event));
    }

    fn call_action(&mut self, host: usize, call: u64, action: CallAction) {
        match action {
            CallAction::Send { id, candidate, may_queue, cause, .. } => {
                let measured = self.is_measured(self.now);
                self.measured.attempts += u64::from(measured);
                self.measured.hedges += u64::from(measured && cause == AttemptCause::Hedge);
                let gate = candidate.member.node as usize - 1;
                let delivery = self.next_id();
                let header = AttemptHeader {
                    id,
                    gate: candidate.member.node,
                    connection: 1,
                    budget_us: micros(CALL_TIMEOUT),
                    repeatable: true,
                    may_queue,
                    priority: 0,
                    class: 0,
                    target_us: u64::MAX,
                    service: Arc::from("sizing"),
                    caller: Arc::from(""),
                    workspace: Arc::from(""),
                };
                let submitted = self.now;
                self.deliveries
                    .insert(delivery, Delivery { call, id, entry: host, gate, submitted });
                let event = EngineEvent::Attempt { delivery, header };
                self.push(round_trip(host, gate) / 2, SimEvent::Step(gate, event));
            }
            CallAction::Cancel(id) => self.cancel(id),
            CallAction::WakeAt(at) => {
                let event = EngineEvent::Call(call, CallEvent::Timer);
                self.push(at.since(self.now), SimEvent::Step(host, event));
            }
            CallAction::Finish(outcome) => {
                let Some(call) = self.calls.remove(&call) else { return };
                if matches!(outcome, Outcome::Answer(_)) {
                    self.record_latency(call.arrived);
                } else {
                    self.record_failure(call.arrived);
                }
            }
            CallAction::Settle { .. } => {}
        }
    }

    /// Removes a cancelled attempt from its upstream, without a network delay.
    fn cancel(&mut self, id: AttemptId) {
        let found = self.deliveries.iter().find(|(_, d)| d.id == id).map(|(&n, d)| (n, d.gate));
        let Some((delivery, gate)) = found else { return };
        let next = self.upstreams[gate].cancel(self.now, &mut self.rng, delivery);
        self.schedule(gate, next);
        self.step(gate, EngineEvent::Cancelled(delivery));
        self.step(gate, EngineEvent::Ended(delivery, RunResult::Lost));
    }

    fn probe(&mut self, entry: usize) {
        let Some(node) = self.engines[entry].choose_probe_target(self.now, "sizing") else {
            return;
        };
        self.measured.probes += u64::from(self.is_measured(self.now));
        let gate = node as usize - 1;
        let report = self.engines[gate].admission().gate.next_load_report(self.now);
        self.push(round_trip(entry, gate), SimEvent::Report(entry, node, report));
    }
}

fn member_record(index: usize) -> MemberRecord {
    let placement = Placement { service: Arc::from("sizing"), slots: 13 };
    virtual_member::record(index, index % UPSTREAMS, (index < UPSTREAMS).then_some(placement))
}

fn round_trip(entry: usize, upstream: usize) -> Duration {
    match entry {
        e if e == upstream => Duration::ZERO,
        e if e % UPSTREAMS == upstream => SAME_ZONE_ROUND_TRIP,
        _ => CROSS_ZONE_ROUND_TRIP,
    }
}
