//! Offered load above the capacity of a service, in virtual time: each message takes processor time of the node that
//! handles it, so refused attempts delay the answers of the nodes that refuse them.

use {
    crate::virtual_member,
    pistachiolane::{
        attempt::{CallAction, CallEvent, CallSpec, Outcome},
        engine::{Engine, EngineAction, EngineEvent, RunResult},
        membership::MembershipEvent,
        schema::{AttemptHeader, AttemptId, MemberRecord, Placement, WorkKind},
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

/// Number of upstreams; each runs beside one of the nodes.
const UPSTREAMS: usize = 18;

/// Number of nodes, all of which accept callers' requests.
const NODES: usize = 61;

/// Number of availability zones.
const ZONES: usize = 3;

/// Slots of an upstream.
const SLOTS: u16 = 4;

/// Mean service time; a request takes half to one and a half times as long.
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(100);

/// Time budget of a call, after which its caller has left.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Processor time to answer a call that caused no attempt.
const REJECT_COST: Duration = Duration::from_millis(1);

/// One-way latency within a zone and between zones.
const LINKS: [Duration; 2] = [Duration::from_micros(100), Duration::from_millis(1)];

/// Number of times that a caller repeats a request that was not run.
const CALLER_RETRIES: u32 = 2;

const SERVICE: &str = "sizing";

/// Counts of one second. Requests count in the second of their first arrival, the rest when it happens.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    /// New requests, without callers' repetitions.
    pub offered: u64,
    /// Responses within the time budget.
    pub in_time: u64,
    /// Sum of the latencies of these responses, in milliseconds.
    pub latency_ms: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Requests that an upstream started to run.
    pub ran: u64,
    /// Calls answered as not run without an attempt.
    pub throttled: u64,
}

enum Event {
    /// A new request arrives at a random node.
    Arrival,
    /// A caller sends a request, possibly again.
    Request { entry: usize, sent_before: u32 },
    /// A message reaches a node, which handles it when its processor is free.
    Message(usize, EngineEvent),
    /// Input of a node's engine.
    Step(usize, EngineEvent),
}

struct OpenCall {
    sent_before: u32,
    arrived: Tick,
    has_attempts: bool,
}

struct Delivery {
    id: AttemptId,
    call: u64,
    entry: usize,
    gate: usize,
}

struct Model {
    message_cost: Duration,
    rng: SmallRng,
    now: Tick,
    queue: BinaryHeap<Reverse<(Tick, u64)>>,
    events: HashMap<u64, Event>,
    engines: Vec<Engine>,
    /// Time at which the processor of each node has done all that it received.
    busy_until: Vec<Tick>,
    calls: HashMap<u64, OpenCall>,
    deliveries: HashMap<u64, Delivery>,
    last_id: u64,
    seconds: Vec<Second>,
}

/// Returns the requests per second that the upstreams can run.
pub fn capacity() -> f64 {
    UPSTREAMS as f64 * f64::from(SLOTS) / MEAN_SERVICE_TIME.as_secs_f64()
}

/// Runs the model and returns its counts; `loads` is the offered load in each second, relative to [`capacity`], and
/// `message_cost` the processor time to receive or send one message of an attempt.
pub fn run(loads: &[f64], message_cost: Duration, seed: u64) -> Vec<Second> {
    let mut model = Model {
        message_cost,
        rng: SmallRng::seed_from_u64(seed),
        now: Tick(1),
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        engines: Vec::new(),
        busy_until: vec![Tick(0); NODES],
        calls: HashMap::new(),
        deliveries: HashMap::new(),
        last_id: 0,
        seconds: vec![Second::default(); loads.len()],
    };
    model.start_engines();
    model.push(Duration::ZERO, Event::Arrival);
    while let Some(Reverse((at, number))) = model.queue.pop() {
        model.now = at;
        let Some(load) = loads.get(model.second()) else { break };
        match model.events.remove(&number) {
            Some(Event::Arrival) => model.arrival(*load),
            Some(Event::Request { entry, sent_before }) => model.request(entry, sent_before),
            Some(Event::Message(node, event)) => {
                let delay = model.charge(node, model.message_cost);
                model.push(delay, Event::Step(node, event));
            }
            Some(Event::Step(node, event)) => model.step(node, event),
            None => {}
        }
    }
    model.seconds
}

impl Model {
    fn second(&self) -> usize {
        (self.now.0 / micros(Duration::from_secs(1))) as usize
    }

    fn count(&mut self, add: impl Fn(&mut Second)) {
        let second = self.second();
        add(&mut self.seconds[second]);
    }

    fn push(&mut self, after: Duration, event: Event) {
        let number = self.next_id();
        self.queue.push(Reverse((self.now + after, number)));
        self.events.insert(number, event);
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Takes processor time of a node, and returns the time until that work is done.
    fn charge(&mut self, node: usize, cost: Duration) -> Duration {
        self.busy_until[node] = self.busy_until[node].max(self.now) + cost;
        self.busy_until[node].since(self.now)
    }

    fn start_engines(&mut self) {
        let records: Vec<MemberRecord> = (0..NODES).map(member_record).collect();
        for (index, local) in records.iter().enumerate() {
            let mut engine = Engine::new(self.now, local.clone(), Vec::new());
            let others = records.iter().filter(|r| r.node != local.node).cloned().collect();
            let event = EngineEvent::Membership(MembershipEvent::Records(others));
            engine.step(self.now, &mut self.rng, event);
            if index < UPSTREAMS {
                let (service, slots) = (Arc::from(SERVICE), SLOTS);
                let event = EngineEvent::UpstreamAnnounced { service, slots, draining: false };
                engine.step(self.now, &mut self.rng, event);
            }
            self.engines.push(engine);
        }
    }

    fn arrival(&mut self, load: f64) {
        self.count(|s| s.offered += 1);
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let interval = Duration::from_secs_f64(-uniform.ln() / (capacity() * load));
        self.push(interval, Event::Arrival);
        let entry = self.rng.random_range(0..NODES);
        self.request(entry, 0);
    }

    fn request(&mut self, entry: usize, sent_before: u32) {
        let call = self.next_id();
        let open = OpenCall { sent_before, arrived: self.now, has_attempts: false };
        self.calls.insert(call, open);
        let spec = CallSpec::new(WorkKind::Idempotent, self.now + CALL_TIMEOUT);
        let event = EngineEvent::Request { call, service: Arc::from(SERVICE), spec };
        let delay = self.charge(entry, REJECT_COST);
        self.push(delay, Event::Step(entry, event));
    }

    fn step(&mut self, node: usize, event: EngineEvent) {
        for action in self.engines[node].step(self.now, &mut self.rng, event) {
            match action {
                EngineAction::Call(call, action) => self.call_action(node, call, action),
                EngineAction::Run(delivery) => self.run(node, delivery),
                EngineAction::Refuse(delivery, reason, report) => {
                    self.respond(delivery, |id| CallEvent::Refused(id, reason, Some(report)));
                }
                EngineAction::Answer(delivery, report) => {
                    let report = Some(report);
                    self.respond(delivery, |id| CallEvent::Answered { id, report, failed: false });
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, gate: usize, delivery: u64) {
        self.count(|s| s.ran += 1);
        let service_time = MEAN_SERVICE_TIME.mul_f64(self.rng.random_range(0.5..1.5));
        let result = RunResult::Answered { service_time, failed: false };
        self.push(service_time, Event::Step(gate, EngineEvent::Ended(delivery, result)));
    }

    fn respond(&mut self, delivery: u64, event: impl Fn(AttemptId) -> CallEvent) {
        let Some(d) = self.deliveries.remove(&delivery) else { return };
        let delay = self.charge(d.gate, self.message_cost) + link(d.entry, d.gate);
        let event = EngineEvent::Call(d.call, event(d.id));
        self.push(delay, Event::Message(d.entry, event));
    }

    fn call_action(&mut self, entry: usize, call: u64, action: CallAction) {
        match action {
            CallAction::Send { id, candidate, may_queue, .. } => {
                self.count(|s| s.attempts += 1);
                let gate = candidate.member.node as usize - 1;
                let Some(open) = self.calls.get_mut(&call) else { return };
                open.has_attempts = true;
                let remaining = micros((open.arrived + CALL_TIMEOUT).since(self.now));
                let header = AttemptHeader {
                    id,
                    gate: candidate.member.node,
                    connection: 1,
                    budget_us: remaining,
                    repeatable: true,
                    may_queue,
                    priority: 0,
                    class: 0,
                    target_us: remaining,
                    service: Arc::from(SERVICE),
                    caller: Arc::from(""),
                    workspace: Arc::from(""),
                };
                let delivery = self.next_id();
                self.deliveries.insert(delivery, Delivery { id, call, entry, gate });
                let delay = self.charge(entry, self.message_cost) + link(entry, gate);
                let event = EngineEvent::Attempt { delivery, header };
                self.push(delay, Event::Message(gate, event));
            }
            CallAction::Cancel(id) => {
                // The upstream runs a cancelled request to its end; a queued one leaves the queue.
                let found = self.deliveries.iter().find(|(_, d)| d.id == id);
                if let Some((delivery, gate)) = found.map(|(&delivery, d)| (delivery, d.gate)) {
                    self.step(gate, EngineEvent::Cancelled(delivery));
                }
            }
            CallAction::WakeAt(at) => {
                let event = EngineEvent::Call(call, CallEvent::Timer);
                self.push(at.since(self.now), Event::Step(entry, event));
            }
            CallAction::Finish(outcome) => self.finish(entry, call, outcome),
            CallAction::Settle { .. } => {}
        }
    }

    fn finish(&mut self, entry: usize, call: u64, outcome: Outcome) {
        let Some(open) = self.calls.remove(&call) else { return };
        match outcome {
            Outcome::Answer(_) => {
                let in_time = self.now.since(open.arrived) <= CALL_TIMEOUT;
                let latency_ms = self.now.since(open.arrived).as_millis() as u64;
                self.count(|s| {
                    s.in_time += u64::from(in_time);
                    s.latency_ms += latency_ms * u64::from(in_time);
                });
            }
            Outcome::NotRun { retry_after, .. } => {
                self.count(|s| s.throttled += u64::from(!open.has_attempts));
                let sent_before = open.sent_before + 1;
                if sent_before <= CALLER_RETRIES {
                    self.push(retry_after, Event::Request { entry, sent_before });
                }
            }
            Outcome::Unknown => {}
        }
    }
}

fn member_record(index: usize) -> MemberRecord {
    let placement = Placement { service: Arc::from(SERVICE), slots: SLOTS };
    virtual_member::record(index, index % ZONES, (index < UPSTREAMS).then_some(placement))
}

fn link(entry: usize, gate: usize) -> Duration {
    match entry {
        e if e == gate => Duration::ZERO,
        e => LINKS[usize::from(e % ZONES != gate % ZONES)],
    }
}
