//! The run: hosts, the messages between them, and the faults.

use {
    super::{
        host::{Host, SLOTS, host_of},
        ledger_of_truth::Truth,
        network::{CONNECTION_ODDS, Connections, DATAGRAM_ODDS, Odds, SILENCE, arrivals},
    },
    crate::report::{Check, Report},
    pistachiolane::{
        attempt::{CallAction, CallEvent, CallSpec},
        engine::{EngineAction, EngineEvent, RunResult},
        invariants,
        membership::{MembershipAction, MembershipEvent},
        routing::Candidate,
        schema::{AttemptHeader, AttemptId, SettleRequest, WorkKind},
        tick::{Tick, micros},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    serde_json::json,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

const HOSTS: usize = 6;

const TIMER: Duration = Duration::from_millis(20);

/// Mean time between two requests.
const REQUEST_GAP_US: u64 = 1_000;

/// Mean time between two faults.
const FAULT_GAP_US: u64 = 1_000_000;

/// Requests after which one is too old for anything still on its way.
const MEMORY_CALLS: u64 = 100_000;

#[derive(Debug)]
enum Item {
    ToNode { host: usize, node: u64, event: EngineEvent },
    Timer(usize),
    Request,
    Fault,
}

#[derive(Clone, Debug)]
struct Delivery {
    call: u64,
    id: AttemptId,
    entry: usize,
    entry_node: u64,
    gate: usize,
    gate_node: u64,
    failed: bool,
}

struct Question {
    call: u64,
    id: AttemptId,
    entry: usize,
    entry_node: u64,
}

struct World {
    now: Tick,
    rng: SmallRng,
    order: u64,
    heap: BinaryHeap<Reverse<(Tick, u64)>>,
    items: HashMap<u64, Item>,
    hosts: Vec<Host>,
    connections: Connections,
    deliveries: HashMap<u64, Delivery>,
    questions: HashMap<u64, Question>,
    names: u64,
    truth: Truth,
    calls: u64,
    faults: BTreeMap<&'static str, u64>,
    over_budget: u64,
    over_slots: u64,
    probes: u64,
}

/// Runs `steps` events.
pub fn run(steps: u64, seed: u64) -> Report {
    let mut world = World::new(seed);
    for _ in 0..steps {
        world.step();
    }
    world.report(steps, seed)
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            now: Tick(1),
            rng: SmallRng::seed_from_u64(seed),
            order: 0,
            heap: BinaryHeap::new(),
            items: HashMap::new(),
            hosts: Vec::new(),
            connections: Connections::default(),
            deliveries: HashMap::new(),
            questions: HashMap::new(),
            names: 0,
            truth: Truth::default(),
            calls: 0,
            faults: BTreeMap::new(),
            over_budget: 0,
            over_slots: 0,
            probes: 0,
        };
        for at in 0..HOSTS {
            let node = world.name();
            world.hosts.push(Host::new(Tick(1), at, node));
            world.announce(at);
            world.push(TIMER, Item::Timer(at));
        }
        world.push(Duration::from_secs(1), Item::Request);
        world.push(Duration::from_secs(2), Item::Fault);
        world
    }

    fn name(&mut self) -> u64 {
        self.names += 1;
        self.names
    }

    fn push(&mut self, after: Duration, item: Item) {
        self.order += 1;
        self.heap.push(Reverse((self.now + after, self.order)));
        self.items.insert(self.order, item);
    }

    fn step(&mut self) {
        let Some(Reverse((at, order))) = self.heap.pop() else { return };
        self.now = at;
        let Some(item) = self.items.remove(&order) else { return };
        match item {
            Item::ToNode { host, node, event } => self.node_event(host, node, event),
            Item::Timer(host) => self.timer(host),
            Item::Request => self.request(),
            Item::Fault => self.fault(),
        }
    }

    fn node_event(&mut self, host: usize, node: u64, event: EngineEvent) {
        if self.hosts[host].engine.node() != node {
            self.undeliverable(&event);
            return;
        }
        let paused_until = self.hosts[host].paused_until;
        if self.now < paused_until {
            let wait = paused_until.since(self.now);
            self.push(wait, Item::ToNode { host, node, event });
            return;
        }
        let actions = self.hosts[host].engine.step(self.now, &mut self.rng, event);
        let running = self.hosts[host].engine.admission().gate.running();
        self.over_slots += u64::from(running > u32::from(SLOTS));
        for action in actions {
            self.act(host, action);
        }
    }

    /// The node that a message was for is gone: an attempt's connection breaks.
    fn undeliverable(&mut self, event: &EngineEvent) {
        if let EngineEvent::Attempt { delivery, .. } = event {
            self.lose(*delivery, Duration::from_millis(1));
        }
    }

    fn act(&mut self, host: usize, action: EngineAction) {
        match action {
            EngineAction::Call(call, action) => self.call_action(host, call, action),
            EngineAction::Run(delivery) => self.run_upstream(host, delivery),
            EngineAction::Refuse(delivery, reason, report) => {
                self.reply(delivery, |id| CallEvent::Refused(id, reason, Some(report)));
            }
            EngineAction::Doubt(delivery) => self.reply(delivery, CallEvent::Lost),
            EngineAction::Answer(delivery, report) => {
                let failed = self.deliveries.get(&delivery).is_some_and(|d| d.failed);
                let report = Some(report);
                self.reply(delivery, |id| CallEvent::Answered { id, report, failed });
            }
            EngineAction::Settled(question, settlement) => {
                let Some(q) = self.questions.remove(&question) else { return };
                let event = CallEvent::Settled(q.id, Some(settlement));
                let lost = CallEvent::Settled(q.id, None);
                self.send_call(host, (q.entry, q.entry_node), q.call, event, lost);
            }
            EngineAction::Membership(action) => self.membership(host, action),
        }
    }

    fn call_action(&mut self, host: usize, call: u64, action: CallAction) {
        match action {
            CallAction::Send { id, candidate, may_queue, .. } => {
                self.truth.attempt(id, call);
                self.send_attempt(host, call, id, &candidate, may_queue);
            }
            CallAction::Settle { id, candidate } => self.ask(host, call, id, &candidate),
            CallAction::Cancel(id) => self.cancel(id),
            CallAction::WakeAt(at) => {
                let event = EngineEvent::Call(call, CallEvent::Timer);
                let node = self.hosts[host].engine.node();
                self.push(at.since(self.now), Item::ToNode { host, node, event });
            }
            CallAction::Finish(outcome) => self.truth.tell(call, outcome),
        }
    }

    fn send_attempt(
        &mut self,
        entry: usize,
        call: u64,
        id: AttemptId,
        candidate: &Candidate,
        may_queue: bool,
    ) {
        let gate = host_of(candidate.member.gate);
        let gate_node = candidate.member.node;
        let entry_node = self.hosts[entry].engine.node();
        if self.hosts[gate].engine.node() != gate_node {
            let event = EngineEvent::Call(call, CallEvent::Unsent(id));
            self.push(
                Duration::from_millis(1),
                Item::ToNode { host: entry, node: entry_node, event },
            );
            return;
        }
        let header = AttemptHeader {
            id,
            gate: gate_node,
            connection: self.connections.number(entry_node, gate_node),
            budget_us: 1_000_000,
            repeatable: candidate.member.upstreams[0].service.as_ref() == "lookups",
            may_queue,
            priority: 0,
            class: 0,
            target_us: u64::MAX,
            service: Arc::clone(&candidate.member.upstreams[0].service),
            caller: Arc::from(if call.is_multiple_of(3) { "" } else { "lookups" }),
        };
        // A connection never doubles what it carries. Attempts that must not repeat are doubled all the
        // same, since the ledger must stand even that.
        let doubled = if header.repeatable { 0 } else { CONNECTION_ODDS.doubled };
        let odds = Odds { doubled, ..CONNECTION_ODDS };
        let arrivals = arrivals(&mut self.rng, odds, far(entry, gate));
        let silent = arrivals.is_empty() || arrivals[0] > Duration::from_millis(100);
        let mut first = None;
        for after in arrivals {
            let delivery = self.name();
            first = first.or(Some(delivery));
            let failed = false;
            let record = Delivery { call, id, entry, entry_node, gate, gate_node, failed };
            self.deliveries.insert(delivery, record);
            let event = EngineEvent::Attempt { delivery, header: header.clone() };
            self.push(after, Item::ToNode { host: gate, node: gate_node, event });
        }
        if silent {
            let event = EngineEvent::Call(call, CallEvent::Lost(id));
            self.push(SILENCE, Item::ToNode { host: entry, node: entry_node, event });
        }
    }

    fn run_upstream(&mut self, host: usize, delivery: u64) {
        let Some(call) = self.deliveries.get(&delivery).map(|d| d.call) else { return };
        let node = self.hosts[host].engine.node();
        let service_time = Duration::from_micros(self.rng.random_range(500..30_000));
        let result = match self.rng.random_range(0..1_000) {
            0..10 => RunResult::Unsent,
            10..20 => RunResult::Lost,
            20..40 => RunResult::Answered { service_time, failed: true },
            _ => RunResult::Answered { service_time, failed: false },
        };
        if result != RunResult::Unsent {
            self.truth.run(call);
        }
        if let Some(d) = self.deliveries.get_mut(&delivery) {
            d.failed = matches!(result, RunResult::Answered { failed: true, .. });
        }
        let event = EngineEvent::Ended(delivery, result);
        self.push(service_time, Item::ToNode { host, node, event });
    }

    /// Sends a gate's word on a delivery to its entry; the connection may fall silent instead.
    fn reply(&mut self, delivery: u64, event: impl Fn(AttemptId) -> CallEvent) {
        let Some(d) = self.deliveries.remove(&delivery) else { return };
        let to = (d.entry, d.entry_node);
        self.send_call(d.gate, to, d.call, event(d.id), CallEvent::Lost(d.id));
    }

    fn send_call(
        &mut self,
        from: usize,
        to: (usize, u64),
        call: u64,
        event: CallEvent,
        lost: CallEvent,
    ) {
        let (host, node) = to;
        let arrivals = arrivals(&mut self.rng, CONNECTION_ODDS, far(from, host));
        if arrivals.is_empty() {
            let event = EngineEvent::Call(call, lost);
            self.push(SILENCE, Item::ToNode { host, node, event });
        }
        for after in arrivals {
            let event = EngineEvent::Call(call, event);
            self.push(after, Item::ToNode { host, node, event });
        }
    }

    fn lose(&mut self, delivery: u64, after: Duration) {
        let Some(d) = self.deliveries.remove(&delivery) else { return };
        self.connections.retire(d.entry_node, d.gate_node);
        let event = EngineEvent::Call(d.call, CallEvent::Lost(d.id));
        self.push(after, Item::ToNode { host: d.entry, node: d.entry_node, event });
    }

    fn ask(&mut self, entry: usize, call: u64, id: AttemptId, candidate: &Candidate) {
        let entry_node = self.hosts[entry].engine.node();
        let gate_node = candidate.member.node;
        let connection = self.connections.number(entry_node, gate_node);
        self.connections.retire(entry_node, gate_node);
        let gate = host_of(candidate.member.gate);
        let question = self.name();
        self.questions.insert(question, Question { call, id, entry, entry_node });
        let req = SettleRequest { id, gate: gate_node, connection };
        // Whoever answers at the address now is asked.
        let node = self.hosts[gate].engine.node();
        let arrivals = arrivals(&mut self.rng, CONNECTION_ODDS, far(entry, gate));
        if arrivals.is_empty() {
            let event = EngineEvent::Call(call, CallEvent::Settled(id, None));
            self.push(
                Duration::from_millis(300),
                Item::ToNode { host: entry, node: entry_node, event },
            );
        }
        for after in arrivals {
            let event = EngineEvent::Settle { question, req: req.clone() };
            self.push(after, Item::ToNode { host: gate, node, event });
        }
    }

    fn cancel(&mut self, id: AttemptId) {
        let found = self.deliveries.iter().find(|(_, d)| d.id == id);
        if let Some((&delivery, d)) = found {
            let item = Item::ToNode {
                host: d.gate,
                node: d.gate_node,
                event: EngineEvent::Cancelled(delivery),
            };
            self.push(Duration::from_millis(1), item);
        }
    }

    fn membership(&mut self, host: usize, action: MembershipAction) {
        match action {
            MembershipAction::Send(to, packet) => {
                let to = host_of(to);
                let from = self.hosts[host].engine.members().own().control;
                let node = self.hosts[to].engine.node();
                for after in arrivals(&mut self.rng, DATAGRAM_ODDS, far(host, to)) {
                    let event = MembershipEvent::Packet(from, packet.clone());
                    let event = EngineEvent::Membership(event);
                    self.push(after, Item::ToNode { host: to, node, event });
                }
            }
            MembershipAction::Exchange(from) => {
                let members = self.hosts[host_of(from)].engine.members();
                let records = members.living().cloned().collect();
                let event = EngineEvent::Membership(MembershipEvent::Records(records));
                let node = self.hosts[host].engine.node();
                self.push(Duration::from_millis(5), Item::ToNode { host, node, event });
            }
            MembershipAction::SettingsDiffer(_)
            | MembershipAction::Changed
            | MembershipAction::RoundTrip(..)
            | MembershipAction::Load(..) => {}
        }
    }

    fn request(&mut self) {
        self.calls += 1;
        let call = self.calls;
        let lookup = self.rng.random_bool(0.5);
        let kind = if lookup { WorkKind::Idempotent } else { WorkKind::NonIdempotent };
        let service: Arc<str> = Arc::from(if lookup { "lookups" } else { "orders" });
        let host = self.rng.random_range(0..HOSTS);
        let spec = CallSpec {
            retry_percent: 20,
            target: Tick(u64::MAX),
            ..CallSpec::new(
                kind,
                self.now + Duration::from_millis(self.rng.random_range(50..4_000)),
            )
        };
        self.truth.begin(call, kind);
        self.probe(host, &service);
        let event = EngineEvent::Request { call, service, spec };
        let node = self.hosts[host].engine.node();
        self.node_event(host, node, event);
        if self.rng.random_bool(0.01) {
            let event = EngineEvent::Call(call, CallEvent::CallerLeft);
            self.push(Duration::from_millis(15), Item::ToNode { host, node, event });
        }
        if call.is_multiple_of(MEMORY_CALLS / 4) {
            self.truth.forget_before(call.saturating_sub(MEMORY_CALLS));
        }
        let gap = Duration::from_micros(self.rng.random_range(0..2 * REQUEST_GAP_US));
        self.push(gap, Item::Request);
    }

    fn probe(&mut self, host: usize, service: &str) {
        let engine = &self.hosts[host].engine;
        let Some(target) = engine.probe(self.now, service) else { return };
        self.probes += 1;
        let found = self.hosts.iter().find(|h| h.engine.node() == target);
        if let Some(gate) = found.filter(|h| h.paused_until <= self.now) {
            let report = gate.engine.admission().gate.next_load_report(self.now);
            engine.probed(self.now, service, target, &report);
        }
    }

    fn timer(&mut self, host: usize) {
        self.push(TIMER, Item::Timer(host));
        if self.now < self.hosts[host].paused_until {
            return;
        }
        if self.hosts[host].restart_at.is_some_and(|at| at <= self.now) {
            self.restart(host);
        }
        let node = self.hosts[host].engine.node();
        self.node_event(host, node, EngineEvent::Timer);
        self.check_budgets(host);
    }

    fn check_budgets(&mut self, host: usize) {
        let host = &self.hosts[host];
        let lived = self.now.since(Tick(0));
        let (paid, probes) = host.engine.budgets();
        let over = |bucket: &pistachiolane::limits::TokenBucket| {
            bucket.granted() > bucket.allowance(lived)
        };
        self.over_budget += u64::from(over(paid)) + u64::from(over(probes));
    }

    fn fault(&mut self) {
        let host = self.rng.random_range(0..HOSTS);
        let name = match self.rng.random_range(0..10) {
            0..5 => {
                let pause = Duration::from_millis(self.rng.random_range(20..4_000));
                self.hosts[host].paused_until = self.now + pause;
                "pause"
            }
            5..7 => {
                self.restart(host);
                "restart"
            }
            7..9 => {
                let node = self.hosts[host].engine.node();
                self.node_event(host, node, EngineEvent::Drain);
                self.hosts[host].restart_at = Some(self.now + Duration::from_secs(1));
                "drain"
            }
            _ => {
                let node = self.hosts[host].engine.node();
                self.node_event(host, node, EngineEvent::Withdrawn);
                self.announce(host);
                "upstream restart"
            }
        };
        *self.faults.entry(name).or_default() += 1;
        let gap = Duration::from_micros(self.rng.random_range(0..2 * FAULT_GAP_US));
        self.push(gap, Item::Fault);
    }

    fn restart(&mut self, host: usize) {
        let node = self.name();
        self.hosts[host].restart(self.now, host, node);
        let cut: Vec<u64> =
            self.deliveries.iter().filter(|(_, d)| d.gate == host).map(|(&n, _)| n).collect();
        for delivery in cut {
            let after = Duration::from_micros(self.rng.random_range(500..1_500_000));
            self.lose(delivery, after);
        }
        self.announce(host);
    }

    fn announce(&mut self, host: usize) {
        let node = self.hosts[host].engine.node();
        let service = Arc::clone(&self.hosts[host].service);
        let event = EngineEvent::Announced { service, slots: SLOTS, draining: false };
        self.push(Duration::from_millis(200), Item::ToNode { host, node, event });
    }

    fn report(&self, steps: u64, seed: u64) -> Report {
        let mut report = Report::new("faults", seed);
        let told = self.truth.counts;
        report.figure("steps", json!(steps));
        report.figure("virtual_seconds", json!(micros(self.now.since(Tick(0))) / 1_000_000));
        report.figure("calls", json!(self.calls));
        report.figure("answers", json!(told.answers));
        report.figure("not_run", json!(told.not_run));
        report.figure("service_full", json!(told.service_full));
        report.figure("no_upstream", json!(told.no_upstream));
        report.figure("unknown", json!(told.unknown));
        report.figure("probes", json!(self.probes));
        report.figure("faults", json!(self.faults));
        let zero = |name: &str, figure: u64| Check::at_most(name, 0.0, figure as f64);
        report.check(zero("doubled non-idempotent", self.truth.doubled));
        report.check(zero("false not run", self.truth.false_not_run));
        report.check(zero("answers to the wrong caller", self.truth.foreign));
        report.check(zero("over budget", self.over_budget));
        report.check(zero("over slots", self.over_slots));
        report.check(zero("invariants violated", invariants::violations()));
        let share = told.answers as f64 / self.calls.max(1) as f64;
        report.figure("answered_share", json!(share));
        report
    }
}

fn far(a: usize, b: usize) -> bool {
    (a < 4) != (b < 4)
}
