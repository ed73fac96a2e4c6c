//! The queue model: entries, links, upstreams, and one policy.

use {
    super::{
        policies::{Policy, SimpleState},
        upstreams::{Ended, Started, Upstream},
    },
    hdrhistogram::Histogram,
    pistachiolane::{
        attempt::{AttemptCause, CallAction, CallEvent, CallSpec, Outcome},
        engine::{Engine, EngineAction, EngineEvent, RunResult},
        membership::MembershipEvent,
        schema::{AttemptHeader, AttemptId, Health, LoadReport, MemberRecord, Placement, WorkKind},
        tick::{Tick, micros},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
};

/// Upstreams of the service.
pub const UPSTREAMS: usize = 6;

/// Nodes of the other services, which are entries too.
const OTHER_NODES: usize = 18;

/// Round trip between availability zones.
const ZONE_ROUND_TRIP: Duration = Duration::from_millis(2);

/// Round trip within an availability zone.
const NEAR_ROUND_TRIP: Duration = Duration::from_micros(200);

/// Time budget of a call.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Time at the start that is not measured.
const WARM_UP: Duration = Duration::from_secs(5);

/// Length of one burst of the neighbour, at most.
const MAX_BURST_US: u64 = 200_000;

/// One scenario.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Slots of each upstream.
    pub slots: usize,
    /// Mean service time.
    pub mean: Duration,
    /// Load as a share of what the upstreams can do, straggler and neighbour counted.
    pub load: f64,
    /// Factor on the straggler's service time; one for none.
    pub straggler: f64,
    /// Slots that the noisy neighbour takes at one upstream during its bursts, half of the time.
    pub neighbour: usize,
    /// Age added to every report on an answer, and the period of the reports to two choices.
    pub staleness: Duration,
    /// Measured time.
    pub duration: Duration,
}

/// What a policy achieved.
#[derive(Clone, Debug)]
pub struct Measured {
    /// Latency from the entry's sight in microseconds.
    pub latency: Histogram<u64>,
    /// Calls measured.
    pub calls: u64,
    /// Calls that got no answer in time.
    pub failed: u64,
    /// Attempts sent while measured.
    pub attempts: u64,
    /// Hedges among them.
    pub hedges: u64,
    /// Attempts refused while measured.
    pub refused: u64,
    /// Load probes sent while measured.
    pub probes: u64,
}

enum Item {
    Arrival,
    Step(usize, EngineEvent),
    Report(usize, u64, LoadReport),
    Submit(usize, u64),
    Ended(usize, Started),
    Answered(u64),
    Snapshot,
    Neighbour(bool),
}

#[derive(Clone, Copy)]
struct SimpleCall {
    entry: usize,
    upstream: usize,
    arrived: Tick,
}

#[derive(Clone)]
struct Delivery {
    call: u64,
    id: AttemptId,
    entry: usize,
    gate: usize,
    submitted: Tick,
}

/// The model of one run.
pub struct Model {
    scenario: Scenario,
    policy: Policy,
    rng: SmallRng,
    now: Tick,
    order: u64,
    heap: BinaryHeap<Reverse<(Tick, u64)>>,
    items: HashMap<u64, Item>,
    upstreams: Vec<Upstream>,
    engines: Vec<Engine>,
    simple: SimpleState,
    calls: HashMap<u64, SimpleCall>,
    deliveries: HashMap<u64, Delivery>,
    names: u64,
    measured: Measured,
}

impl Model {
    /// A model that has not run.
    pub fn new(scenario: Scenario, policy: Policy, seed: u64) -> Self {
        let mut upstreams: Vec<Upstream> =
            (0..UPSTREAMS).map(|_| Upstream::new(scenario.slots, scenario.mean)).collect();
        upstreams[1].mean = scenario.mean.mul_f64(scenario.straggler);
        let latency = Histogram::new_with_bounds(1, 60_000_000, 3);
        let latency = latency.unwrap_or_else(|_e| unreachable!("the bounds are valid"));
        Self {
            scenario,
            policy,
            rng: SmallRng::seed_from_u64(seed),
            now: Tick(1),
            order: 0,
            heap: BinaryHeap::new(),
            items: HashMap::new(),
            upstreams,
            engines: Vec::new(),
            simple: SimpleState::new(UPSTREAMS + OTHER_NODES, UPSTREAMS),
            calls: HashMap::new(),
            deliveries: HashMap::new(),
            names: 0,
            measured: Measured {
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

    /// Runs the scenario.
    pub fn run(mut self) -> Measured {
        self.start_engines();
        self.push(Duration::ZERO, Item::Arrival);
        self.push(Duration::ZERO, Item::Snapshot);
        self.push(Duration::ZERO, Item::Neighbour(true));
        let end = Tick(1) + WARM_UP + self.scenario.duration;
        while let Some(Reverse((at, order))) = self.heap.pop() {
            if at > end + TIMEOUT {
                break;
            }
            self.now = at;
            let Some(item) = self.items.remove(&order) else { continue };
            match item {
                Item::Arrival if at < end => self.arrival(),
                Item::Arrival => {}
                other => self.item(other),
            }
        }
        let unanswered: Vec<Tick> = self.calls.values().map(|c| c.arrived).collect();
        for arrived in unanswered {
            self.fail(arrived);
        }
        self.measured
    }

    fn item(&mut self, item: Item) {
        match item {
            Item::Arrival => {}
            Item::Step(host, event) => self.step(host, event),
            Item::Report(host, node, report) => {
                self.engines[host].record_probe(self.now, "sizing", node, &report);
            }
            Item::Submit(upstream, call) => self.submit(upstream, call),
            Item::Ended(upstream, started) => self.ended(upstream, started),
            Item::Answered(call) => self.answered(call),
            Item::Snapshot => {
                self.simple.reported = self.upstreams.iter().map(Upstream::load).collect();
                self.push(self.scenario.staleness, Item::Snapshot);
            }
            Item::Neighbour(begins) => self.neighbour(begins),
        }
    }

    fn push(&mut self, after: Duration, item: Item) {
        self.order += 1;
        self.heap.push(Reverse((self.now + after, self.order)));
        self.items.insert(self.order, item);
    }

    fn name(&mut self) -> u64 {
        self.names += 1;
        self.names
    }

    fn start_engines(&mut self) {
        let records: Vec<MemberRecord> = (0..UPSTREAMS + OTHER_NODES).map(record).collect();
        for (at, own) in records.iter().enumerate() {
            let mut engine = Engine::new(self.now, own.clone(), Vec::new());
            let others = records.iter().filter(|r| r.node != own.node).cloned().collect();
            let event = EngineEvent::Membership(MembershipEvent::Records(others));
            engine.step(self.now, &mut self.rng, event);
            if at < UPSTREAMS {
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
        self.push(Duration::from_secs_f64(-uniform.ln() / rate), Item::Arrival);
        let call = self.name();
        let entry = self.rng.random_range(0..UPSTREAMS + OTHER_NODES);
        self.measured.calls += u64::from(self.is_measured(self.now));
        let arrived = self.now;
        if self.policy.is_own() {
            self.calls.insert(call, SimpleCall { entry, upstream: 0, arrived });
            self.probe(entry);
            let spec = CallSpec {
                hedge: self.policy == Policy::Pistachiolane,
                target: Tick(u64::MAX),
                ..CallSpec::new(WorkKind::Idempotent, self.now + TIMEOUT)
            };
            let service = Arc::from("sizing");
            self.step(entry, EngineEvent::Request { call, service, spec });
            return;
        }
        let trip = |u: usize| round_trip(entry, u);
        let upstream = self.simple.choose(self.policy, &mut self.rng, entry, &self.upstreams, trip);
        self.simple.outstanding[entry][upstream] += 1;
        self.calls.insert(call, SimpleCall { entry, upstream, arrived });
        self.push(round_trip(entry, upstream) / 2, Item::Submit(upstream, call));
    }

    /// Requests a second that make the scenario's load.
    fn arrival_rate(&self) -> f64 {
        let capacity: f64 =
            self.upstreams.iter().map(|u| u.slots as f64 / u.mean.as_secs_f64()).sum();
        let taken = self.scenario.neighbour as f64 * 0.5 / self.scenario.mean.as_secs_f64();
        (capacity - taken) * self.scenario.load
    }

    fn neighbour(&mut self, begins: bool) {
        if self.scenario.neighbour == 0 {
            return;
        }
        let burst = Duration::from_micros(self.rng.random_range(1_000..MAX_BURST_US));
        if begins {
            self.upstreams[3].slots -= self.scenario.neighbour;
        } else {
            self.upstreams[3].slots += self.scenario.neighbour;
        }
        self.push(burst, Item::Neighbour(!begins));
    }

    fn submit(&mut self, upstream: usize, job: u64) {
        let started = self.upstreams[upstream].submit(self.now, &mut self.rng, job);
        self.schedule(upstream, started);
    }

    fn schedule(&mut self, upstream: usize, started: Option<Started>) {
        if let Some(started) = started {
            self.push(started.ends.since(self.now), Item::Ended(upstream, started));
        }
    }

    fn ended(&mut self, upstream: usize, started: Started) {
        let ended = self.upstreams[upstream].end(self.now, &mut self.rng, started);
        let Ended::Done(next) = ended else { return };
        self.schedule(upstream, next);
        let name = started.job;
        if self.policy.is_own() {
            let Some(d) = self.deliveries.get(&name) else { return };
            let service_time = self.now.since(d.submitted);
            let result = RunResult::Answered { service_time, failed: false };
            self.step(upstream, EngineEvent::Ended(name, result));
            return;
        }
        let Some(call) = self.calls.get(&name).copied() else { return };
        self.push(round_trip(call.entry, upstream) / 2, Item::Answered(name));
    }

    fn answered(&mut self, call: u64) {
        let Some(call) = self.calls.remove(&call) else { return };
        self.simple.outstanding[call.entry][call.upstream] -= 1;
        if self.now.since(call.arrived) > TIMEOUT {
            self.fail(call.arrived);
        } else {
            self.record(call.arrived);
        }
    }

    fn record(&mut self, arrived: Tick) {
        if self.is_measured(arrived) {
            self.measured.latency.saturating_record(micros(self.now.since(arrived)).max(1));
        }
    }

    /// A call without an answer counts with its whole time budget.
    fn fail(&mut self, arrived: Tick) {
        if self.is_measured(arrived) {
            self.measured.failed += 1;
            self.measured.latency.saturating_record(micros(TIMEOUT));
        }
    }

    fn is_measured(&self, at: Tick) -> bool {
        at >= Tick(1) + WARM_UP && at < Tick(1) + WARM_UP + self.scenario.duration
    }

    fn step(&mut self, host: usize, event: EngineEvent) {
        for action in self.engines[host].step(self.now, &mut self.rng, event) {
            self.act(host, action);
        }
    }

    fn act(&mut self, host: usize, action: EngineAction) {
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
                self.reply(delivery, |id| CallEvent::Refused(id, reason, Some(report)));
            }
            EngineAction::Answer(delivery, report) => {
                if let Some(d) = self.deliveries.get(&delivery) {
                    let node = self.engines[d.gate].node();
                    let after = round_trip(d.entry, d.gate) / 2 + self.scenario.staleness;
                    let entry = d.entry;
                    self.push(after, Item::Report(entry, node, report));
                }
                self.reply(delivery, |id| CallEvent::Answered { id, report: None, failed: false });
            }
            EngineAction::OutcomeUnknown(delivery) => {
                self.deliveries.remove(&delivery);
            }
            EngineAction::Settled(..) | EngineAction::Membership(_) => {}
        }
    }

    fn reply(&mut self, delivery: u64, event: impl Fn(AttemptId) -> CallEvent) {
        let Some(d) = self.deliveries.remove(&delivery) else { return };
        let event = EngineEvent::Call(d.call, event(d.id));
        self.push(round_trip(d.entry, d.gate) / 2, Item::Step(d.entry, event));
    }

    fn call_action(&mut self, host: usize, call: u64, action: CallAction) {
        match action {
            CallAction::Send { id, candidate, may_queue, cause } => {
                let measured = self.is_measured(self.now);
                self.measured.attempts += u64::from(measured);
                self.measured.hedges += u64::from(measured && cause == AttemptCause::Hedge);
                let gate = candidate.member.node as usize - 1;
                let delivery = self.name();
                let header = AttemptHeader {
                    id,
                    gate: candidate.member.node,
                    connection: 1,
                    budget_us: micros(TIMEOUT),
                    repeatable: true,
                    may_queue,
                    priority: 0,
                    class: 0,
                    target_us: u64::MAX,
                    service: Arc::from("sizing"),
                    caller: Arc::from(""),
                };
                let submitted = self.now;
                self.deliveries
                    .insert(delivery, Delivery { call, id, entry: host, gate, submitted });
                let event = EngineEvent::Attempt { delivery, header };
                self.push(round_trip(host, gate) / 2, Item::Step(gate, event));
            }
            CallAction::Cancel(id) => self.cancel(id),
            CallAction::WakeAt(at) => {
                let event = EngineEvent::Call(call, CallEvent::Timer);
                self.push(at.since(self.now), Item::Step(host, event));
            }
            CallAction::Finish(outcome) => {
                let Some(call) = self.calls.remove(&call) else { return };
                if matches!(outcome, Outcome::Answer(_)) {
                    self.record(call.arrived);
                } else {
                    self.fail(call.arrived);
                }
            }
            CallAction::Settle { .. } => {}
        }
    }

    /// A cancelled attempt is taken from the upstream, after the word has travelled there.
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
        self.push(round_trip(entry, gate), Item::Report(entry, node, report));
    }
}

fn record(at: usize) -> MemberRecord {
    let address = |port| SocketAddr::from((Ipv4Addr::new(10, 0, 0, at as u8 + 1), port));
    let placement = Placement { service: Arc::from("sizing"), slots: 13 };
    MemberRecord {
        node: at as u64 + 1,
        revision: 1,
        health: Health::Alive,
        gate: address(8081),
        control: address(8082),
        region: "svealand".into(),
        zone: format!("svealand-{}", at % UPSTREAMS).into(),
        upstreams: if at < UPSTREAMS { vec![placement] } else { Vec::new() },
    }
}

fn round_trip(entry: usize, upstream: usize) -> Duration {
    match entry {
        e if e == upstream => Duration::ZERO,
        e if e % UPSTREAMS == upstream => NEAR_ROUND_TRIP,
        _ => ZONE_ROUND_TRIP,
    }
}
