//! Events of the simulation: messages between hosts, timers, requests and injected faults.

use {
    super::{
        call_history::CallHistory,
        host::{Host, SLOTS_PER_UPSTREAM, host_index},
        network::{
            CONNECTION_FAULTS, Connections, DATAGRAM_FAULTS, FaultRates, SILENCE_TIMEOUT,
            arrival_delays,
        },
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

const HOST_COUNT: usize = 6;

const TIMER_INTERVAL: Duration = Duration::from_millis(20);

/// Mean time between two requests, in microseconds.
const MEAN_CALL_INTERVAL_US: u64 = 1_000;

/// Mean time between two faults, in microseconds.
const MEAN_FAULT_INTERVAL_US: u64 = 1_000_000;

/// Number of latest requests that are kept at least; no message in flight refers to an older one.
const CALL_HISTORY_SIZE: u64 = 100_000;

#[derive(Debug)]
enum SimEvent {
    NodeEvent { host: usize, node: u64, event: EngineEvent },
    Timer(usize),
    Request,
    Fault,
}

/// One copy of an attempt, from its sending until its result is sent.
#[derive(Clone, Debug)]
struct Delivery {
    call: u64,
    id: AttemptId,
    entry: usize,
    entry_node: u64,
    gate: usize,
    gate_node: u64,
    /// Whether the upstream's response is a failure.
    failed: bool,
}

/// Settle request of an entry that no gate has answered yet.
struct PendingSettlement {
    call: u64,
    id: AttemptId,
    entry: usize,
    entry_node: u64,
}

struct Simulation {
    now: Tick,
    rng: SmallRng,
    sequence: u64,
    queue: BinaryHeap<Reverse<(Tick, u64)>>,
    events: HashMap<u64, SimEvent>,
    hosts: Vec<Host>,
    connections: Connections,
    deliveries: HashMap<u64, Delivery>,
    pending_settlements: HashMap<u64, PendingSettlement>,
    last_id: u64,
    history: CallHistory,
    calls: u64,
    faults: BTreeMap<&'static str, u64>,
    budget_violations: u64,
    slot_violations: u64,
    probes: u64,
}

/// Runs the simulation for `steps` events.
pub fn run(steps: u64, seed: u64) -> Report {
    let mut simulation = Simulation::new(seed);
    for _ in 0..steps {
        simulation.step();
    }
    simulation.report(steps, seed)
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            now: Tick(1),
            rng: SmallRng::seed_from_u64(seed),
            sequence: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            hosts: Vec::new(),
            connections: Connections::default(),
            deliveries: HashMap::new(),
            pending_settlements: HashMap::new(),
            last_id: 0,
            history: CallHistory::default(),
            calls: 0,
            faults: BTreeMap::new(),
            budget_violations: 0,
            slot_violations: 0,
            probes: 0,
        };
        for host in 0..HOST_COUNT {
            let node = simulation.next_id();
            simulation.hosts.push(Host::new(Tick(1), host, node));
            simulation.announce_upstream(host);
            simulation.schedule(TIMER_INTERVAL, SimEvent::Timer(host));
        }
        simulation.schedule(Duration::from_secs(1), SimEvent::Request);
        simulation.schedule(Duration::from_secs(2), SimEvent::Fault);
        simulation
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn schedule(&mut self, delay: Duration, event: SimEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn step(&mut self) {
        let Some(Reverse((at, sequence))) = self.queue.pop() else { return };
        self.now = at;
        let Some(event) = self.events.remove(&sequence) else { return };
        match event {
            SimEvent::NodeEvent { host, node, event } => self.step_node(host, node, event),
            SimEvent::Timer(host) => self.run_timer(host),
            SimEvent::Request => self.start_call(),
            SimEvent::Fault => self.inject_fault(),
        }
    }

    fn step_node(&mut self, host: usize, node: u64, event: EngineEvent) {
        if self.hosts[host].engine.node() != node {
            self.drop_undeliverable(&event);
            return;
        }
        let paused_until = self.hosts[host].paused_until;
        if self.now < paused_until {
            let wait = paused_until.since(self.now);
            self.schedule(wait, SimEvent::NodeEvent { host, node, event });
            return;
        }
        let actions = self.hosts[host].engine.step(self.now, &mut self.rng, event);
        let running = self.hosts[host].engine.admission().gate.running();
        self.slot_violations += u64::from(running > u32::from(SLOTS_PER_UPSTREAM));
        for action in actions {
            self.apply_action(host, action);
        }
    }

    /// Drops a message to a previous incarnation of a node; the connection of an attempt is lost.
    fn drop_undeliverable(&mut self, event: &EngineEvent) {
        if let EngineEvent::Attempt { delivery, .. } = event {
            self.lose_delivery(*delivery, Duration::from_millis(1));
        }
    }

    fn apply_action(&mut self, host: usize, action: EngineAction) {
        match action {
            EngineAction::Call(call, action) => self.apply_call_action(host, call, action),
            EngineAction::Run(delivery) => self.run_upstream(host, delivery),
            EngineAction::Refuse(delivery, reason, report) => {
                self.send_attempt_result(delivery, |id| {
                    CallEvent::Refused(id, reason, Some(report))
                });
            }
            EngineAction::OutcomeUnknown(delivery) => {
                self.send_attempt_result(delivery, CallEvent::OutcomeUnknown);
            }
            EngineAction::Answer(delivery, report) => {
                let failed = self.deliveries.get(&delivery).is_some_and(|d| d.failed);
                let report = Some(report);
                self.send_attempt_result(delivery, |id| CallEvent::Answered { id, report, failed });
            }
            EngineAction::Settled(request_id, settlement) => {
                let Some(pending) = self.pending_settlements.remove(&request_id) else { return };
                let event = CallEvent::Settled(pending.id, Some(settlement));
                let lost = CallEvent::Settled(pending.id, None);
                self.send_call_event(
                    host,
                    (pending.entry, pending.entry_node),
                    pending.call,
                    event,
                    lost,
                );
            }
            EngineAction::Membership(action) => self.apply_membership_action(host, action),
        }
    }

    fn apply_call_action(&mut self, host: usize, call: u64, action: CallAction) {
        match action {
            CallAction::Send { id, candidate, may_queue, .. } => {
                self.history.record_attempt(id, call);
                self.send_attempt(host, call, id, &candidate, may_queue);
            }
            CallAction::Settle { id, candidate } => {
                self.send_settle_request(host, call, id, &candidate);
            }
            CallAction::Cancel(id) => self.cancel(id),
            CallAction::WakeAt(at) => {
                let event = EngineEvent::Call(call, CallEvent::Timer);
                let node = self.hosts[host].engine.node();
                self.schedule(at.since(self.now), SimEvent::NodeEvent { host, node, event });
            }
            CallAction::Finish(outcome) => self.history.record_outcome(call, outcome),
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
        let gate = host_index(candidate.member.gate);
        let gate_node = candidate.member.node;
        let entry_node = self.hosts[entry].engine.node();
        if self.hosts[gate].engine.node() != gate_node {
            let event = EngineEvent::Call(call, CallEvent::Unsent(id));
            self.schedule(
                Duration::from_millis(1),
                SimEvent::NodeEvent { host: entry, node: entry_node, event },
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
            workspace: Arc::from(""),
        };
        // A real connection never duplicates a message. Non-idempotent attempts are duplicated
        // nevertheless, because the ledger must prevent a second run even then.
        let duplicated = if header.repeatable { 0 } else { CONNECTION_FAULTS.duplicated };
        let rates = FaultRates { duplicated, ..CONNECTION_FAULTS };
        let arrivals = arrival_delays(&mut self.rng, rates, is_inter_region(entry, gate));
        // A delayed attempt leaves the connection silent too: the entry reports it as lost although
        // it may still arrive.
        let silent = arrivals.is_empty() || arrivals[0] > Duration::from_millis(100);
        let mut first = None;
        for delay in arrivals {
            let delivery = self.next_id();
            first = first.or(Some(delivery));
            let failed = false;
            let record = Delivery { call, id, entry, entry_node, gate, gate_node, failed };
            self.deliveries.insert(delivery, record);
            let event = EngineEvent::Attempt { delivery, header: header.clone() };
            self.schedule(delay, SimEvent::NodeEvent { host: gate, node: gate_node, event });
        }
        if silent {
            let event = EngineEvent::Call(call, CallEvent::Lost(id));
            self.schedule(
                SILENCE_TIMEOUT,
                SimEvent::NodeEvent { host: entry, node: entry_node, event },
            );
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
            self.history.record_run(call);
        }
        if let Some(d) = self.deliveries.get_mut(&delivery) {
            d.failed = matches!(result, RunResult::Answered { failed: true, .. });
        }
        let event = EngineEvent::Ended(delivery, result);
        self.schedule(service_time, SimEvent::NodeEvent { host, node, event });
    }

    /// Sends the gate's result of an attempt to the entry. The message may be delayed or
    /// duplicated; if it is lost, the entry detects that the connection no longer responds.
    fn send_attempt_result(&mut self, delivery: u64, event: impl Fn(AttemptId) -> CallEvent) {
        let Some(d) = self.deliveries.remove(&delivery) else { return };
        let to = (d.entry, d.entry_node);
        self.send_call_event(d.gate, to, d.call, event(d.id), CallEvent::Lost(d.id));
    }

    fn send_call_event(
        &mut self,
        from: usize,
        to: (usize, u64),
        call: u64,
        event: CallEvent,
        lost: CallEvent,
    ) {
        let (host, node) = to;
        let arrivals =
            arrival_delays(&mut self.rng, CONNECTION_FAULTS, is_inter_region(from, host));
        if arrivals.is_empty() {
            let event = EngineEvent::Call(call, lost);
            self.schedule(SILENCE_TIMEOUT, SimEvent::NodeEvent { host, node, event });
        }
        for delay in arrivals {
            let event = EngineEvent::Call(call, event);
            self.schedule(delay, SimEvent::NodeEvent { host, node, event });
        }
    }

    fn lose_delivery(&mut self, delivery: u64, delay: Duration) {
        let Some(d) = self.deliveries.remove(&delivery) else { return };
        self.connections.retire(d.entry_node, d.gate_node);
        let event = EngineEvent::Call(d.call, CallEvent::Lost(d.id));
        self.schedule(delay, SimEvent::NodeEvent { host: d.entry, node: d.entry_node, event });
    }

    fn send_settle_request(
        &mut self,
        entry: usize,
        call: u64,
        id: AttemptId,
        candidate: &Candidate,
    ) {
        let entry_node = self.hosts[entry].engine.node();
        let gate_node = candidate.member.node;
        let connection = self.connections.number(entry_node, gate_node);
        self.connections.retire(entry_node, gate_node);
        let gate = host_index(candidate.member.gate);
        let request_id = self.next_id();
        self.pending_settlements
            .insert(request_id, PendingSettlement { call, id, entry, entry_node });
        let req = SettleRequest { id, gate: gate_node, connection };
        // The request goes to the incarnation that currently listens at the address.
        let node = self.hosts[gate].engine.node();
        let arrivals =
            arrival_delays(&mut self.rng, CONNECTION_FAULTS, is_inter_region(entry, gate));
        if arrivals.is_empty() {
            let event = EngineEvent::Call(call, CallEvent::Settled(id, None));
            self.schedule(
                Duration::from_millis(300),
                SimEvent::NodeEvent { host: entry, node: entry_node, event },
            );
        }
        for delay in arrivals {
            let event = EngineEvent::Settle { request_id, req: req.clone() };
            self.schedule(delay, SimEvent::NodeEvent { host: gate, node, event });
        }
    }

    fn cancel(&mut self, id: AttemptId) {
        let found = self.deliveries.iter().find(|(_, d)| d.id == id);
        if let Some((&delivery, d)) = found {
            let event = SimEvent::NodeEvent {
                host: d.gate,
                node: d.gate_node,
                event: EngineEvent::Cancelled(delivery),
            };
            self.schedule(Duration::from_millis(1), event);
        }
    }

    fn apply_membership_action(&mut self, host: usize, action: MembershipAction) {
        match action {
            MembershipAction::Send(to, packet) => {
                let to = host_index(to);
                let from = self.hosts[host].engine.members().local_record().control;
                let node = self.hosts[to].engine.node();
                for delay in
                    arrival_delays(&mut self.rng, DATAGRAM_FAULTS, is_inter_region(host, to))
                {
                    let event = MembershipEvent::Packet(from, packet.clone());
                    let event = EngineEvent::Membership(event);
                    self.schedule(delay, SimEvent::NodeEvent { host: to, node, event });
                }
            }
            MembershipAction::Exchange(from) => {
                let members = self.hosts[host_index(from)].engine.members();
                let records = members.live_records().cloned().collect();
                let event = EngineEvent::Membership(MembershipEvent::Records(records));
                let node = self.hosts[host].engine.node();
                self.schedule(Duration::from_millis(5), SimEvent::NodeEvent { host, node, event });
            }
            MembershipAction::SettingsDiffer(_)
            | MembershipAction::MembersChanged
            | MembershipAction::RoundTrip(..)
            | MembershipAction::Load(..)
            | MembershipAction::Suspects(_)
            | MembershipAction::Limits(..) => {}
        }
    }

    fn start_call(&mut self) {
        self.calls += 1;
        let call = self.calls;
        let is_lookup = self.rng.random_bool(0.5);
        let kind = if is_lookup { WorkKind::Idempotent } else { WorkKind::NonIdempotent };
        let service: Arc<str> = Arc::from(if is_lookup { "lookups" } else { "orders" });
        let host = self.rng.random_range(0..HOST_COUNT);
        let spec = CallSpec {
            retry_percent: 20,
            target: Tick(u64::MAX),
            ..CallSpec::new(
                kind,
                self.now + Duration::from_millis(self.rng.random_range(50..4_000)),
            )
        };
        self.history.record_call(call, kind);
        self.probe(host, &service);
        let event = EngineEvent::Request { call, service, spec };
        let node = self.hosts[host].engine.node();
        self.step_node(host, node, event);
        if self.rng.random_bool(0.01) {
            let event = EngineEvent::Call(call, CallEvent::CallerDisconnected);
            self.schedule(Duration::from_millis(15), SimEvent::NodeEvent { host, node, event });
        }
        if call.is_multiple_of(CALL_HISTORY_SIZE / 4) {
            self.history.remove_before(call.saturating_sub(CALL_HISTORY_SIZE));
        }
        let delay = Duration::from_micros(self.rng.random_range(0..2 * MEAN_CALL_INTERVAL_US));
        self.schedule(delay, SimEvent::Request);
    }

    fn probe(&mut self, host: usize, service: &str) {
        let engine = &self.hosts[host].engine;
        let Some(target) = engine.choose_probe_target(self.now, service) else { return };
        self.probes += 1;
        let found = self.hosts.iter().find(|h| h.engine.node() == target);
        if let Some(gate) = found.filter(|h| h.paused_until <= self.now) {
            let report = gate.engine.admission().gate.next_load_report(self.now);
            engine.record_probe(self.now, service, target, &report);
        }
    }

    fn run_timer(&mut self, host: usize) {
        self.schedule(TIMER_INTERVAL, SimEvent::Timer(host));
        if self.now < self.hosts[host].paused_until {
            return;
        }
        if self.hosts[host].restart_at.is_some_and(|at| at <= self.now) {
            self.restart(host);
        }
        let node = self.hosts[host].engine.node();
        self.step_node(host, node, EngineEvent::Timer);
        self.check_budgets(host);
    }

    fn check_budgets(&mut self, host: usize) {
        let host = &self.hosts[host];
        let elapsed = self.now.since(Tick(0));
        let (paid, probes) = host.engine.budgets();
        let exceeds_allowance = |bucket: &pistachiolane::limits::TokenBucket| {
            bucket.granted() > bucket.allowance(elapsed)
        };
        self.budget_violations +=
            u64::from(exceeds_allowance(paid)) + u64::from(exceeds_allowance(probes));
    }

    fn inject_fault(&mut self) {
        let host = self.rng.random_range(0..HOST_COUNT);
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
                self.step_node(host, node, EngineEvent::Drain);
                self.hosts[host].restart_at = Some(self.now + Duration::from_secs(1));
                "drain"
            }
            _ => {
                let node = self.hosts[host].engine.node();
                self.step_node(host, node, EngineEvent::UpstreamExpired);
                self.announce_upstream(host);
                "upstream restart"
            }
        };
        *self.faults.entry(name).or_default() += 1;
        let delay = Duration::from_micros(self.rng.random_range(0..2 * MEAN_FAULT_INTERVAL_US));
        self.schedule(delay, SimEvent::Fault);
    }

    fn restart(&mut self, host: usize) {
        let node = self.next_id();
        self.hosts[host].restart(self.now, host, node);
        let interrupted: Vec<u64> =
            self.deliveries.iter().filter(|(_, d)| d.gate == host).map(|(&n, _)| n).collect();
        for delivery in interrupted {
            let delay = Duration::from_micros(self.rng.random_range(500..1_500_000));
            self.lose_delivery(delivery, delay);
        }
        self.announce_upstream(host);
    }

    fn announce_upstream(&mut self, host: usize) {
        let node = self.hosts[host].engine.node();
        let service = Arc::clone(&self.hosts[host].service);
        let event =
            EngineEvent::UpstreamAnnounced { service, slots: SLOTS_PER_UPSTREAM, draining: false };
        self.schedule(Duration::from_millis(200), SimEvent::NodeEvent { host, node, event });
    }

    fn report(&self, steps: u64, seed: u64) -> Report {
        let mut report = Report::new("faults", seed);
        let counts = self.history.counts;
        report.add_measurement("steps", json!(steps));
        report
            .add_measurement("virtual_seconds", json!(micros(self.now.since(Tick(0))) / 1_000_000));
        report.add_measurement("calls", json!(self.calls));
        report.add_measurement("answers", json!(counts.answers));
        report.add_measurement("not_run", json!(counts.not_run));
        report.add_measurement("service_full", json!(counts.service_full));
        report.add_measurement("no_upstream", json!(counts.no_upstream));
        report.add_measurement("unknown", json!(counts.unknown));
        report.add_measurement("probes", json!(self.probes));
        report.add_measurement("faults", json!(self.faults));
        let check_zero = |name: &str, count: u64| Check::at_most(name, 0.0, count as f64);
        report.add_check(check_zero("doubled non-idempotent", self.history.duplicate_runs));
        report.add_check(check_zero("false not run", self.history.false_not_run));
        report.add_check(check_zero(
            "answers to the wrong caller",
            self.history.mismatched_responses,
        ));
        report.add_check(check_zero("over budget", self.budget_violations));
        report.add_check(check_zero("over slots", self.slot_violations));
        report.add_check(check_zero("invariants violated", invariants::violations()));
        let answered_share = counts.answers as f64 / self.calls.max(1) as f64;
        report.add_measurement("answered_share", json!(answered_share));
        report
    }
}

fn is_inter_region(a: usize, b: usize) -> bool {
    (a < 4) != (b < 4)
}
