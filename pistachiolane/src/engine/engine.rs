//! The parts of a node put together for a driver that calls from one thread.

use {
    super::{EngineAction, EngineEvent, RunResult},
    crate::{
        attempt::{Admission, Call, CallContext, CallEvent, CallSpec, Received, Ticket},
        limits::{Dequeued, QueueKey, RefusalReason, TokenBucket, WaitQueue},
        membership::{Members, MembershipAction, MembershipEvent},
        routing::{ProbeBudgets, RoutingTable, ServiceTable, next_probe},
        schema::{AttemptHeader, Health, LoadReport, MemberRecord, Placement},
        tick::Tick,
    },
    rand::Rng,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, atomic::AtomicU64},
    },
};

/// Probes a second until a driver sets another rate.
const DEFAULT_PROBES: u64 = 20;

/// Paid bytes a second until a driver sets another rate.
const DEFAULT_PAID_BYTES: u64 = 1 << 20;

#[derive(Debug)]
struct OpenCall {
    call: Call,
    table: Arc<ServiceTable>,
}

/// A whole node. [`Engine::step`] is its entry point after [`Engine::new`].
#[derive(Debug)]
pub struct Engine {
    node: u64,
    admission: Admission,
    queue: WaitQueue<u64>,
    tickets: HashMap<u64, Ticket>,
    running: HashMap<u64, Ticket>,
    cancelled: Vec<u64>,
    calls: HashMap<u64, OpenCall>,
    sequence: AtomicU64,
    members: Members,
    table: RoutingTable,
    paid: TokenBucket,
    probes: TokenBucket,
    leaving: bool,
}

impl Engine {
    /// A node that knows nobody but some seeds.
    pub fn new(now: Tick, own: MemberRecord, seeds: Vec<SocketAddr>) -> Self {
        Self {
            node: own.node,
            admission: Admission::new(own.node),
            queue: WaitQueue::default(),
            tickets: HashMap::new(),
            running: HashMap::new(),
            cancelled: Vec::new(),
            calls: HashMap::new(),
            sequence: AtomicU64::new(0),
            members: Members::new(now, own, seeds),
            table: RoutingTable::default(),
            paid: TokenBucket::new(DEFAULT_PAID_BYTES, DEFAULT_PAID_BYTES),
            probes: TokenBucket::new(DEFAULT_PROBES, DEFAULT_PROBES),
            leaving: false,
        }
    }

    /// Identity of this run of the node.
    pub fn node(&self) -> u64 {
        self.node
    }

    /// The gate's side.
    pub fn admission(&self) -> &Admission {
        &self.admission
    }

    /// Upstreams as the entry knows them.
    pub fn table(&self) -> &RoutingTable {
        &self.table
    }

    /// Members as the node knows them.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Budgets of paid bytes and of probes.
    pub fn budgets(&self) -> (&TokenBucket, &TokenBucket) {
        (&self.paid, &self.probes)
    }

    /// Calls that have not ended.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Chooses an upstream to probe for a service, if a probe is due and allowed: its node.
    pub fn probe(&self, now: Tick, service: &str) -> Option<u64> {
        let budget = ProbeBudgets { probes: &self.probes, inter_region_bytes: &self.paid };
        next_probe(self.table.service(service)?, now, budget).map(|c| c.member.node)
    }

    /// Takes the answer of a probe.
    pub fn probed(&self, now: Tick, service: &str, node: u64, report: &LoadReport) {
        let candidate = self.table.service(service).and_then(|t| t.candidate(node));
        if let Some(candidate) = candidate {
            candidate.record_report(now, report);
        }
    }

    /// Takes an event and gives the actions that follow, in order.
    pub fn step<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        event: EngineEvent,
    ) -> Vec<EngineAction> {
        let mut actions = match event {
            EngineEvent::Request { call, service, spec } => {
                self.request(now, rng, call, &service, spec)
            }
            EngineEvent::Call(call, event) => self.call(now, rng, call, event),
            EngineEvent::Attempt { delivery, header } => self.attempt(now, delivery, &header),
            EngineEvent::Ended(delivery, result) => self.ended(now, delivery, result),
            EngineEvent::Cancelled(delivery) => self.cancel(now, delivery),
            EngineEvent::Settle { question, req } => {
                vec![EngineAction::Settled(question, self.admission.settle(now, &req))]
            }
            EngineEvent::Announced { service, slots, draining } => {
                self.announced(now, rng, &service, slots, draining)
            }
            EngineEvent::Withdrawn => self.withdrawn(now, rng),
            EngineEvent::Drain => self.drain(now, rng),
            EngineEvent::Membership(event) => self.membership(now, rng, event),
            EngineEvent::Timer => self.timer(now, rng),
        };
        actions.extend(self.grant(now));
        actions
    }

    fn request<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        call: u64,
        service: &Arc<str>,
        spec: CallSpec,
    ) -> Vec<EngineAction> {
        let unknown =
            || Arc::new(ServiceTable::new(Arc::clone(service), Vec::new(), Arc::default()));
        let table = self.table.service(service).map_or_else(unknown, Arc::clone);
        table.eject_stragglers(now);
        self.calls.insert(call, OpenCall { call: Call::new(spec), table });
        self.call(now, rng, call, CallEvent::Started)
    }

    fn call<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        name: u64,
        event: CallEvent,
    ) -> Vec<EngineAction> {
        let Some(open) = self.calls.get_mut(&name) else {
            return Vec::new();
        };
        let cx = CallContext {
            entry: self.node,
            table: &open.table,
            paid: &self.paid,
            sequence: &self.sequence,
        };
        let actions = open.call.step(now, cx, rng, event);
        if open.call.is_finished() {
            self.calls.remove(&name);
        }
        actions.into_iter().map(|action| EngineAction::Call(name, action)).collect()
    }

    fn attempt(&mut self, now: Tick, delivery: u64, header: &AttemptHeader) -> Vec<EngineAction> {
        match self.admission.receive(now, header) {
            Received::Refuse(reason) => vec![self.refuse(now, delivery, reason)],
            Received::Doubt => vec![EngineAction::Doubt(delivery)],
            Received::Run(ticket) => vec![self.start(now, delivery, ticket)],
            Received::Queue(ticket) => {
                let line =
                    QueueKey { priority: header.priority, caller: Arc::clone(&header.caller) };
                self.queue.push(line, ticket.start_by, delivery);
                self.tickets.insert(delivery, ticket);
                Vec::new()
            }
        }
    }

    /// Starts a delivery for which a slot is taken.
    fn start(&mut self, now: Tick, delivery: u64, ticket: Ticket) -> EngineAction {
        if !ticket.start() {
            self.admission.gate.release_slot();
            return self.refuse(now, delivery, RefusalReason::Retired);
        }
        self.running.insert(delivery, ticket);
        EngineAction::Run(delivery)
    }

    fn refuse(&self, now: Tick, delivery: u64, reason: RefusalReason) -> EngineAction {
        EngineAction::Refuse(delivery, reason, self.admission.gate.next_load_report(now))
    }

    fn ended(&mut self, now: Tick, delivery: u64, result: RunResult) -> Vec<EngineAction> {
        let Some(ticket) = self.running.remove(&delivery) else {
            return Vec::new();
        };
        let gate = &self.admission.gate;
        gate.release_slot();
        match result {
            RunResult::Answered { service_time, failed } => {
                ticket.finish(now);
                gate.observe(now, service_time, !failed);
                vec![EngineAction::Answer(delivery, gate.next_load_report(now))]
            }
            RunResult::Unsent => {
                ticket.unsent(now);
                gate.observe(now, std::time::Duration::ZERO, false);
                vec![self.refuse(now, delivery, RefusalReason::NotHere)]
            }
            RunResult::Lost => {
                ticket.finish(now);
                vec![EngineAction::Doubt(delivery)]
            }
        }
    }

    fn cancel(&mut self, now: Tick, delivery: u64) -> Vec<EngineAction> {
        if let Some(ticket) = self.tickets.get(&delivery) {
            ticket.refuse(now);
            self.cancelled.push(delivery);
        }
        // What runs ends by the driver's word, when the upstream has let go of it.
        Vec::new()
    }

    fn grant(&mut self, now: Tick) -> Vec<EngineAction> {
        let mut actions = Vec::new();
        loop {
            let cancelled = &self.cancelled;
            let gone = |delivery: &u64| cancelled.contains(delivery);
            let Some(next) = self.queue.next(now, &self.admission.gate, gone) else {
                break;
            };
            let (delivery, refusal) = match next {
                Dequeued::Run(delivery) => (delivery, None),
                Dequeued::Expired(delivery) => (delivery, Some(RefusalReason::Expired)),
                Dequeued::UpstreamUnavailable(delivery) => {
                    (delivery, Some(RefusalReason::Draining))
                }
                Dequeued::Shed(delivery) => (delivery, Some(RefusalReason::QueueFull)),
            };
            let Some(ticket) = self.tickets.remove(&delivery) else {
                continue;
            };
            actions.push(match refusal {
                None => self.start(now, delivery, ticket),
                Some(reason) => {
                    ticket.refuse(now);
                    self.refuse(now, delivery, reason)
                }
            });
        }
        if self.queue.is_empty() {
            self.cancelled.clear();
            self.tickets.clear();
        }
        actions
    }

    fn announced<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        service: &Arc<str>,
        slots: u16,
        draining: bool,
    ) -> Vec<EngineAction> {
        self.admission.announce(now, service, slots, draining);
        let draining = draining || self.leaving;
        let upstreams = vec![Placement { service: Arc::clone(service), slots }];
        let health = if draining { Health::Draining } else { Health::Alive };
        self.own(now, rng, upstreams, health)
    }

    fn withdrawn<R: Rng>(&mut self, now: Tick, rng: &mut R) -> Vec<EngineAction> {
        self.admission.withdraw();
        let health = self.members.own().health;
        self.own(now, rng, Vec::new(), health)
    }

    fn drain<R: Rng>(&mut self, now: Tick, rng: &mut R) -> Vec<EngineAction> {
        self.leaving = true;
        self.admission.gate.drain();
        let upstreams = self.members.own().upstreams.clone();
        self.own(now, rng, upstreams, Health::Draining)
    }

    fn own<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        upstreams: Vec<Placement>,
        health: Health,
    ) -> Vec<EngineAction> {
        let own = self.members.own();
        if own.upstreams == upstreams && own.health == health {
            return Vec::new();
        }
        let record = MemberRecord { upstreams, health, ..own.clone() };
        self.membership(now, rng, MembershipEvent::Own(record))
    }

    fn membership<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        event: MembershipEvent,
    ) -> Vec<EngineAction> {
        let mut actions = Vec::new();
        for action in self.members.step(now, rng, event) {
            if matches!(action, MembershipAction::Changed) {
                let own = self.members.own().clone();
                self.table = RoutingTable::new(&self.table, &own, self.members.living());
            } else {
                actions.push(EngineAction::Membership(action));
            }
        }
        actions
    }

    fn timer<R: Rng>(&mut self, now: Tick, rng: &mut R) -> Vec<EngineAction> {
        self.admission.ledger.sweep(now);
        self.membership(now, rng, MembershipEvent::Timer)
    }
}
