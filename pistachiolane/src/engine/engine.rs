//! Components of a node, combined for a single-threaded driver.

use {
    super::{EngineAction, EngineEvent, RunResult},
    crate::{
        attempt::{Admission, AttemptDecision, Call, CallContext, CallEvent, CallSpec, Ticket},
        limits::{Dequeued, QueueKey, RefusalReason, TokenBucket, WaitQueue},
        membership::{Members, MembershipAction, MembershipEvent},
        routing::{
            AllowedRegions, EvacuatedZones, ProbeBudgets, RoutingTable, ServiceTable, next_probe,
        },
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

/// Probes per second until the driver sets another rate.
const DEFAULT_PROBES_PER_SECOND: u64 = 20;

/// Bytes per second to other regions until the driver sets another rate.
const DEFAULT_INTER_REGION_BYTES_PER_SECOND: u64 = 1 << 20;

#[derive(Debug)]
struct OpenCall {
    call: Call,
    table: Arc<ServiceTable>,
}

/// The decision logic of a whole node; [`Engine::step`] drives it.
#[derive(Debug)]
pub struct Engine {
    node: u64,
    admission: Admission,
    queue: WaitQueue<u64>,
    waiting: HashMap<u64, Ticket>,
    running: HashMap<u64, Ticket>,
    cancelled: Vec<u64>,
    calls: HashMap<u64, OpenCall>,
    sequence: AtomicU64,
    members: Members,
    table: RoutingTable,
    inter_region_budget: TokenBucket,
    probe_budget: TokenBucket,
    leaving: bool,
}

impl Engine {
    /// Creates a node from its member record and the control addresses of its seeds.
    pub fn new(now: Tick, local: MemberRecord, seeds: Vec<SocketAddr>) -> Self {
        Self {
            node: local.node,
            admission: Admission::new(local.node),
            queue: WaitQueue::default(),
            waiting: HashMap::new(),
            running: HashMap::new(),
            cancelled: Vec::new(),
            calls: HashMap::new(),
            sequence: AtomicU64::new(0),
            members: Members::new(now, local, seeds),
            table: RoutingTable::default(),
            inter_region_budget: TokenBucket::new(
                DEFAULT_INTER_REGION_BYTES_PER_SECOND,
                DEFAULT_INTER_REGION_BYTES_PER_SECOND,
            ),
            probe_budget: TokenBucket::new(DEFAULT_PROBES_PER_SECOND, DEFAULT_PROBES_PER_SECOND),
            leaving: false,
        }
    }

    /// Returns the identifier of this incarnation of the node.
    pub fn node(&self) -> u64 {
        self.node
    }

    /// Returns the admission to the local upstream.
    pub fn admission(&self) -> &Admission {
        &self.admission
    }

    /// Returns the routing table of the entry.
    pub fn table(&self) -> &RoutingTable {
        &self.table
    }

    /// Returns the node's membership view.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the budgets for inter-region bytes and for probes, in this order.
    pub fn budgets(&self) -> (&TokenBucket, &TokenBucket) {
        (&self.inter_region_budget, &self.probe_budget)
    }

    /// Returns the number of calls that have not ended.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the node of an upstream to probe for a service, if a probe is due and within the
    /// budgets.
    pub fn choose_probe_target(&self, now: Tick, service: &str) -> Option<u64> {
        let budget = ProbeBudgets {
            probes: &self.probe_budget,
            inter_region_bytes: &self.inter_region_budget,
        };
        next_probe(self.table.service(service)?, now, &AllowedRegions::All, budget)
            .map(|c| c.member.node)
    }

    /// Records the load report that a probe returned.
    pub fn record_probe(&self, now: Tick, service: &str, node: u64, report: &LoadReport) {
        let candidate = self.table.service(service).and_then(|t| t.candidate(node));
        if let Some(candidate) = candidate {
            candidate.record_report(now, report);
        }
    }

    /// Processes an event and returns the resulting actions in order.
    pub fn step<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        event: EngineEvent,
    ) -> Vec<EngineAction> {
        let mut actions = match event {
            EngineEvent::Request { call, service, spec } => {
                self.start_call(now, rng, call, &service, spec)
            }
            EngineEvent::Call(call, event) => self.step_call(now, rng, call, event),
            EngineEvent::Attempt { delivery, header } => {
                self.receive_attempt(now, delivery, &header)
            }
            EngineEvent::Ended(delivery, result) => self.finish_run(now, delivery, result),
            EngineEvent::Cancelled(delivery) => self.cancel(now, delivery),
            EngineEvent::Settle { request_id, req } => {
                vec![EngineAction::Settled(request_id, self.admission.settle(now, &req))]
            }
            EngineEvent::UpstreamAnnounced { service, slots, draining } => {
                self.upstream_announced(now, rng, &service, slots, draining)
            }
            EngineEvent::UpstreamExpired => self.upstream_expired(now, rng),
            EngineEvent::Drain => self.drain(now, rng),
            EngineEvent::Membership(event) => self.step_membership(now, rng, event),
            EngineEvent::Timer => self.timer(now, rng),
        };
        actions.extend(self.serve_queue(now));
        actions
    }

    fn start_call<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        call: u64,
        service: &Arc<str>,
        spec: CallSpec,
    ) -> Vec<EngineAction> {
        let empty_table =
            || Arc::new(ServiceTable::new(Arc::clone(service), Vec::new(), Arc::default()));
        let table = self.table.service(service).map_or_else(empty_table, Arc::clone);
        table.eject_stragglers(now);
        self.calls.insert(call, OpenCall { call: Call::new(spec), table });
        self.step_call(now, rng, call, CallEvent::Started)
    }

    fn step_call<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        call: u64,
        event: CallEvent,
    ) -> Vec<EngineAction> {
        let Some(open) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        let cx = CallContext {
            entry: self.node,
            table: &open.table,
            regions: &AllowedRegions::All,
            evacuated: EvacuatedZones::none(),
            balance: None,
            inter_region_budget: &self.inter_region_budget,
            sequence: &self.sequence,
        };
        let actions = open.call.step(now, cx, rng, event);
        if open.call.is_finished() {
            self.calls.remove(&call);
        }
        actions.into_iter().map(|action| EngineAction::Call(call, action)).collect()
    }

    fn receive_attempt(
        &mut self,
        now: Tick,
        delivery: u64,
        header: &AttemptHeader,
    ) -> Vec<EngineAction> {
        match self.admission.admit(now, header) {
            AttemptDecision::Refuse(reason) => vec![self.refusal(now, delivery, reason)],
            AttemptDecision::OutcomeUnknown => vec![EngineAction::OutcomeUnknown(delivery)],
            AttemptDecision::Run(ticket) => vec![self.start_run(now, delivery, ticket)],
            AttemptDecision::Queue(ticket) => {
                let key = QueueKey::for_attempt(header, ticket.urgency);
                self.queue.push(key.clone(), ticket.start_deadlines, delivery);
                let gate = &self.admission.gate;
                if key.is_workspace() && self.queue.remove_newest_if_late(now, gate, &key).is_some()
                {
                    ticket.refuse(now);
                    return vec![self.refusal(now, delivery, RefusalReason::QueueFull)];
                }
                self.waiting.insert(delivery, ticket);
                Vec::new()
            }
        }
    }

    /// Starts a delivery that holds a slot.
    fn start_run(&mut self, now: Tick, delivery: u64, ticket: Ticket) -> EngineAction {
        if !ticket.start() {
            self.admission.gate.release_slot();
            return self.refusal(now, delivery, RefusalReason::Retired);
        }
        self.running.insert(delivery, ticket);
        EngineAction::Run(delivery)
    }

    fn refusal(&self, now: Tick, delivery: u64, reason: RefusalReason) -> EngineAction {
        EngineAction::Refuse(delivery, reason, self.admission.gate.next_load_report(now))
    }

    fn finish_run(&mut self, now: Tick, delivery: u64, result: RunResult) -> Vec<EngineAction> {
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
                ticket.finish_unsent(now);
                gate.observe(now, std::time::Duration::ZERO, false);
                vec![self.refusal(now, delivery, RefusalReason::NotHere)]
            }
            RunResult::Lost => {
                ticket.finish(now);
                vec![EngineAction::OutcomeUnknown(delivery)]
            }
        }
    }

    fn cancel(&mut self, now: Tick, delivery: u64) -> Vec<EngineAction> {
        if let Some(ticket) = self.waiting.get(&delivery) {
            ticket.refuse(now);
            self.cancelled.push(delivery);
        }
        // A running delivery ends with `EngineEvent::Ended`, which the driver sends once the request has ended
        // at the upstream.
        Vec::new()
    }

    fn serve_queue(&mut self, now: Tick) -> Vec<EngineAction> {
        let mut actions = Vec::new();
        loop {
            let cancelled = &self.cancelled;
            let is_cancelled = |delivery: &u64| cancelled.contains(delivery);
            let Some(next) = self.queue.next(now, &self.admission.gate, is_cancelled) else {
                break;
            };
            let (delivery, refusal) = match next {
                Dequeued::Run(delivery) => (delivery, None),
                Dequeued::Expired(delivery) => (delivery, Some(RefusalReason::Expired)),
                Dequeued::UpstreamUnavailable(delivery) => {
                    (delivery, Some(self.admission.gate.queue_refusal(now)))
                }
                Dequeued::Shed(delivery) => (delivery, Some(RefusalReason::QueueFull)),
            };
            let Some(ticket) = self.waiting.remove(&delivery) else {
                continue;
            };
            actions.push(match refusal {
                None => self.start_run(now, delivery, ticket),
                Some(reason) => {
                    ticket.refuse(now);
                    self.refusal(now, delivery, reason)
                }
            });
        }
        if self.queue.is_empty() {
            self.cancelled.clear();
            self.waiting.clear();
        }
        actions
    }

    fn upstream_announced<R: Rng>(
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
        self.update_local_record(now, rng, upstreams, health)
    }

    fn upstream_expired<R: Rng>(&mut self, now: Tick, rng: &mut R) -> Vec<EngineAction> {
        self.admission.remove_upstream();
        let health = self.members.local_record().health;
        self.update_local_record(now, rng, Vec::new(), health)
    }

    fn drain<R: Rng>(&mut self, now: Tick, rng: &mut R) -> Vec<EngineAction> {
        self.leaving = true;
        self.admission.gate.drain();
        let upstreams = self.members.local_record().upstreams.clone();
        self.update_local_record(now, rng, upstreams, Health::Draining)
    }

    fn update_local_record<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        upstreams: Vec<Placement>,
        health: Health,
    ) -> Vec<EngineAction> {
        let local = self.members.local_record();
        if local.upstreams == upstreams && local.health == health {
            return Vec::new();
        }
        let record = MemberRecord { upstreams, health, ..local.clone() };
        self.step_membership(now, rng, MembershipEvent::LocalRecord(record))
    }

    fn step_membership<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        event: MembershipEvent,
    ) -> Vec<EngineAction> {
        let mut actions = Vec::new();
        for action in self.members.step(now, rng, event) {
            if matches!(action, MembershipAction::MembersChanged) {
                let local = self.members.local_record().clone();
                self.table = RoutingTable::new(&self.table, &local, self.members.live_records());
            } else {
                actions.push(EngineAction::Membership(action));
            }
        }
        actions
    }

    fn timer<R: Rng>(&mut self, now: Tick, rng: &mut R) -> Vec<EngineAction> {
        self.admission.ledger.sweep(now);
        self.step_membership(now, rng, MembershipEvent::Timer)
    }
}
