//! Cost of the control traffic by fleet size, and cost of a call, measured on the code of a node.
//!
//! Control: the membership of one node runs against a simulated fleet of several sizes, which
//! acknowledges its pings with real messages. This measures the processor time and resident memory
//! of this process and the size of the encoded packets. Request path: measures the processor time of
//! the decisions of entry and gate per call.
//!
//! Elapsed time is used as processor time, because each measurement runs in one thread without
//! waiting. On a busy machine it also includes the time of other processes.

use {
    crate::report::{Check, Report},
    pistachiolane::{
        attempt::{Admission, AttemptDecision, Call, CallAction, CallContext, CallEvent, CallSpec},
        config::ActiveSubtrees,
        limits::TokenBucket,
        membership::{Members, MembershipAction, MembershipEvent},
        routing::{AllowedRegions, EvacuatedZones, RoutingTable},
        schema::{
            Acknowledgement, AttemptHeader, FleetKey, Health, MemberRecord, Packet, PacketBody,
            Placement, Subtree, WorkKind, decode_header, encode_header,
        },
        tick::Tick,
    },
    rand::{SeedableRng, rngs::SmallRng},
    serde_json::json,
    std::{
        fs,
        hint::black_box,
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, atomic::AtomicU64},
        time::{Duration, Instant},
    },
};

/// Fleet sizes at which the control cost is measured, in members.
const SIZES: [u64; 4] = [100, 500, 1_500, 4_800];

/// Number of services of the fleet.
const SERVICES: u64 = 210;

/// Number of regions of the fleet.
const REGIONS: u64 = 4;
/// Number of availability zones of the fleet.
const ZONES: u64 = 14;

/// Virtual time of the control measurement at each size; long enough to include full exchanges at
/// the largest size.
const CONTROL_TIME: Duration = Duration::from_secs(1_800);

/// Member changes per day at the target size: 24 failures, and 730 replacements that each remove
/// and add a member.
const MEMBER_CHANGES_PER_DAY: f64 = 24.0 + 2.0 * 730.0;

/// Changes of the settings per day at the target size.
const SETTING_CHANGES_PER_DAY: f64 = 3_200.0;

/// Size in bytes of the settings of one team, as in the fleets of both users.
const SUBTREE_BYTES: usize = 4_096;

/// Bytes of the UDP and IP headers of a packet.
const DATAGRAM_HEADER_BYTES: usize = 28;

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Number of calls in the measurement of the request path.
const CALL_COUNT: u32 = 200_000;

/// Target of the control cost of one node: processor time in percent of a core.
const MAX_CORE_PERCENT: f64 = 4.9;
/// Target of the control cost of one node: memory in megabytes.
const MAX_MEGABYTES: f64 = 64.0;
/// Target of the control cost of one node: gossip in one direction in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 7_000.0;

/// Control cost of one node at one fleet size.
#[derive(Clone, Copy, Debug, Default)]
struct ControlCost {
    members: f64,
    core_percent: f64,
    megabytes: f64,
    bytes_out_per_second: f64,
    bytes_in_per_second: f64,
}

/// Accessor of one measured value.
type CostField = fn(&ControlCost) -> f64;

/// Runs the measurement.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("slopes", seed);
    let mut points = Vec::new();
    for size in SIZES {
        let cost = measure_control(size, seed);
        report.add_measurement(
            &format!("{size} members"),
            json!({
                "core_percent": cost.core_percent,
                "megabytes": cost.megabytes,
                "bytes_out_per_s": cost.bytes_out_per_second,
                "bytes_in_per_s": cost.bytes_in_per_second,
            }),
        );
        points.push(cost);
    }
    let fields: [(&str, CostField); 4] = [
        ("core_percent", |c| c.core_percent),
        ("megabytes", |c| c.megabytes),
        ("bytes_out_per_s", |c| c.bytes_out_per_second),
        ("bytes_in_per_s", |c| c.bytes_in_per_second),
    ];
    for (name, value) in fields {
        let samples: Vec<(f64, f64)> = points.iter().map(|c| (c.members, value(c))).collect();
        report.add_measurement(&format!("fit {name}"), fit(&samples));
    }
    measure_settings(&mut report);
    measure_request_path(&mut report, seed);
    let last = points.last().copied().unwrap_or_default();
    let at_largest = format!("at {} members", SIZES[SIZES.len() - 1]);
    let bytes_one_way = last.bytes_out_per_second.max(last.bytes_in_per_second);
    report.add_check(Check::at_most(
        format!("{at_largest}: control, % of a core"),
        MAX_CORE_PERCENT,
        last.core_percent,
    ));
    report.add_check(Check::at_most(
        format!("{at_largest}: control, MB"),
        MAX_MEGABYTES,
        last.megabytes,
    ));
    report.add_check(Check::at_most(
        format!("{at_largest}: gossip, bytes/s one way"),
        MAX_BYTES_PER_SECOND,
        bytes_one_way,
    ));
    report
}

/// Returns the least-squares line through the samples and its largest residual.
fn fit(samples: &[(f64, f64)]) -> serde_json::Value {
    let n = samples.len() as f64;
    let mean_x = samples.iter().map(|s| s.0).sum::<f64>() / n;
    let mean_y = samples.iter().map(|s| s.1).sum::<f64>() / n;
    let covariance: f64 = samples.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = samples.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let intercept = mean_y - slope * mean_x;
    let residual =
        samples.iter().map(|(x, y)| (y - intercept - slope * x).abs()).fold(0.0, f64::max);
    json!({ "per_1000_members": slope * 1_000.0, "at_zero": intercept, "largest_residual": residual })
}

/// Measures the membership of one node against a simulated fleet that acknowledges every ping. The
/// rate of member changes is proportional to the fleet size.
fn measure_control(size: u64, seed: u64) -> ControlCost {
    let before = resident_bytes();
    let mut rng = SmallRng::seed_from_u64(seed);
    let records: Vec<MemberRecord> = (1..=size).map(member_record).collect();
    let local_record = records[0].clone();
    let mut members = Members::new(Tick(1), local_record.clone(), Vec::new());
    let mut table = RoutingTable::default();
    let key = FleetKey::new("slopes");
    let mut now = Tick(1);
    let started = Instant::now();
    let initial_records = MembershipEvent::Records(records[1..].to_vec());
    let mut inbox = vec![initial_records];
    let changes_per_second =
        MEMBER_CHANGES_PER_DAY / SECONDS_PER_DAY * size as f64 / SIZES[3] as f64;
    let mut due_changes = 0.0;
    let (mut bytes_out, mut bytes_in, mut sequence) = (0, 0, 0_u32);
    let mut last_revision = 1;
    let steps = CONTROL_TIME.as_millis() / 20;
    for step in 0..steps {
        now = now + Duration::from_millis(20);
        inbox.push(MembershipEvent::Timer);
        if step % 12 == 0 {
            // One ping from a peer every 240 ms, as often as this node pings others.
            due_changes += changes_per_second * 0.24;
            let updates = if due_changes >= 1.0 {
                due_changes -= 1.0;
                last_revision += 1;
                let changed = &records[1 + (step as usize * 7_919) % (records.len() - 1)];
                vec![MemberRecord { revision: last_revision, ..changed.clone() }]
            } else {
                Vec::new()
            };
            sequence += 1;
            let body = PacketBody::Ping(local_record.node);
            let packet = Packet { from: 2, sequence, settings: 0, body, updates };
            inbox.push(MembershipEvent::Packet(records[1].control, packet));
        }
        for event in std::mem::take(&mut inbox) {
            if let MembershipEvent::Packet(_, packet) = &event {
                bytes_in += packet_bytes(&key, packet);
            }
            let mut changed = false;
            for action in members.step(now, &mut rng, event) {
                match action {
                    MembershipAction::Send(to, packet) => {
                        bytes_out += packet_bytes(&key, &packet);
                        inbox.extend(acknowledge(to, &packet, &records));
                    }
                    MembershipAction::Exchange(_) => {
                        bytes_in += exchange_bytes(&records);
                        inbox.push(MembershipEvent::Records(records[1..].to_vec()));
                    }
                    MembershipAction::MembersChanged => changed = true,
                    MembershipAction::SettingsDiffer(_)
                    | MembershipAction::RoundTrip(..)
                    | MembershipAction::Load(..)
                    | MembershipAction::Suspects(_)
                    | MembershipAction::Limits(..) => {}
                }
            }
            if changed {
                table = RoutingTable::new(&table, &local_record, members.live_records());
            }
        }
    }
    let virtual_seconds = CONTROL_TIME.as_secs_f64();
    // Includes the time for the packets and records of the simulated fleet.
    let elapsed_seconds = started.elapsed().as_secs_f64();
    let after = resident_bytes();
    // Includes the records of the simulated fleet, which are as large as those of the node.
    let megabytes = after.saturating_sub(before) as f64 / 1e6;
    black_box((&members, &table));
    ControlCost {
        members: size as f64,
        core_percent: elapsed_seconds / virtual_seconds * 100.0,
        megabytes,
        bytes_out_per_second: bytes_out as f64 / virtual_seconds,
        bytes_in_per_second: bytes_in as f64 / virtual_seconds,
    }
}

/// Returns the acknowledgement of a ping by the simulated fleet.
fn acknowledge(
    to: SocketAddr,
    packet: &Packet,
    records: &[MemberRecord],
) -> Option<MembershipEvent> {
    let PacketBody::Ping(target) = packet.body else { return None };
    let responder = records.get(target.checked_sub(1)? as usize)?;
    let body = PacketBody::Ack(Acknowledgement { target, responder: responder.node });
    let ack = Packet {
        from: responder.node,
        sequence: packet.sequence,
        settings: 0,
        body,
        updates: Vec::new(),
    };
    Some(MembershipEvent::Packet(to, ack))
}

/// Encodes and decodes a packet, as sender and receiver do, and returns its size including the UDP
/// and IP headers.
fn packet_bytes(key: &FleetKey, packet: &Packet) -> usize {
    let bytes = key.encode_packet(packet).unwrap_or_default();
    let decoded = key.decode_packet(&bytes);
    black_box(&decoded);
    bytes.len() + DATAGRAM_HEADER_BYTES
}

/// Returns the size of the encoded records in a full exchange in bytes. Each record is encoded in its
/// own packet, and 21 bytes of packet overhead are subtracted.
fn exchange_bytes(records: &[MemberRecord]) -> usize {
    let packet = |r: &MemberRecord| Packet {
        from: 0,
        sequence: 0,
        settings: 0,
        body: PacketBody::Ping(0),
        updates: vec![r.clone()],
    };
    let key = FleetKey::new("size");
    let record_bytes = |r| key.encode_packet(&packet(r)).map_or(0, |b| b.len().saturating_sub(21));
    records.iter().map(record_bytes).sum()
}

/// Measures the bytes and the processor time that changes of the settings cost a node.
fn measure_settings(report: &mut Report) {
    let subtree = |version: u64| Subtree {
        name: format!("team-{}", version % 30).into(),
        version,
        change: String::new(),
        document: json!({ "services": {}, "pad": "x".repeat(SUBTREE_BYTES) }).to_string(),
    };
    let mut subtrees = ActiveSubtrees::default();
    let changes = 2_000_u64;
    let started = Instant::now();
    for version in 1..=changes {
        subtrees.apply(subtree(version));
        black_box(subtrees.compile());
        black_box(subtrees.digest());
    }
    let seconds_per_change = started.elapsed().as_secs_f64() / changes as f64;
    let changes_per_second = SETTING_CHANGES_PER_DAY / SECONDS_PER_DAY;
    report.add_measurement(
        "settings",
        json!({
            "us_per_change": seconds_per_change * 1e6,
            "bytes_per_s": changes_per_second * SUBTREE_BYTES as f64,
            "bytes_per_s_at_ten_times": changes_per_second * 10.0 * SUBTREE_BYTES as f64,
            "core_percent": seconds_per_change * changes_per_second * 100.0,
        }),
    );
}

/// Measures the processor time of the decisions of entry and gate per call, to a service with 23
/// upstreams.
fn measure_request_path(report: &mut Report, seed: u64) {
    let records: Vec<MemberRecord> = (1..=SIZES[3]).map(member_record).collect();
    let local_record = records[0].clone();
    let table = RoutingTable::new(&RoutingTable::default(), &local_record, records.iter());
    let service = Arc::clone(&records[1].upstreams[0].service);
    let Some(table) = table.service(&service).map(Arc::clone) else { return };
    let admission = Admission::new(2);
    admission.announce(Tick(1), &service, 13, false);
    let (inter_region_budget, sequence) = (TokenBucket::new(1, 1), AtomicU64::new(0));
    let cx = CallContext {
        entry: 1,
        table: &table,
        regions: &AllowedRegions::All,
        evacuated: EvacuatedZones::none(),
        balance: None,
        inter_region_budget: &inter_region_budget,
        sequence: &sequence,
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    let key = FleetKey::new("slopes");
    let mut gate_time = Duration::ZERO;
    let before = resident_bytes();
    let started = Instant::now();
    for n in 0..CALL_COUNT {
        let now = Tick(u64::from(n) * 100 + 10);
        let spec = CallSpec {
            target: Tick(u64::MAX),
            ..CallSpec::new(WorkKind::NonIdempotent, now + Duration::from_secs(1))
        };
        let mut call = Call::new(spec);
        for action in call.step(now, cx, &mut rng, CallEvent::Started) {
            let CallAction::Send { id, may_queue, .. } = action else { continue };
            let header = AttemptHeader {
                id,
                gate: 2,
                connection: 1,
                budget_us: 1_000_000,
                repeatable: false,
                may_queue,
                priority: 0,
                class: 0,
                target_us: u64::MAX,
                service: Arc::clone(&service),
                caller: Arc::clone(&service),
                workspace: Arc::from(""),
            };
            let encoded = key.encode_header(&header).unwrap_or_default();
            let gate_started = Instant::now();
            let header: AttemptHeader = key.decode_header(encoded.as_bytes()).unwrap_or(header);
            if let AttemptDecision::Run(ticket) = admission.admit(now, &header) {
                ticket.start();
                admission.gate.observe(now, Duration::from_millis(5), true);
                ticket.finish(now);
                admission.gate.release_slot();
            }
            let load_report =
                encode_header(&admission.gate.next_load_report(now)).unwrap_or_default();
            gate_time += gate_started.elapsed();
            let load_report = decode_header(load_report.as_bytes()).ok();
            call.step(
                now,
                cx,
                &mut rng,
                CallEvent::Answered { id, report: load_report, failed: false },
            );
        }
    }
    let total = started.elapsed();
    let ledger_bytes_per_attempt =
        resident_bytes().saturating_sub(before) as f64 / f64::from(CALL_COUNT);
    let us_per_call = |d: Duration| d.as_secs_f64() * 1e6 / f64::from(CALL_COUNT);
    report.add_measurement(
        "request_path",
        json!({
            "upstreams": table.candidates.len(),
            "entry_us": us_per_call(total.saturating_sub(gate_time)),
            "gate_us": us_per_call(gate_time),
            "ledger_bytes_per_attempt": ledger_bytes_per_attempt,
        }),
    );
}

/// Returns the record of a member of the simulated fleet.
fn member_record(node: u64) -> MemberRecord {
    let address = |port| {
        let [_, a, b, c] = (node as u32).to_be_bytes();
        SocketAddr::from((Ipv4Addr::new(10, a, b, c), port))
    };
    let placement = Placement { service: format!("service-{}", node % SERVICES).into(), slots: 13 };
    MemberRecord {
        node,
        revision: 1,
        health: Health::Alive,
        gate: address(8081),
        control: address(8082),
        region: format!("region-{}", node % REGIONS).into(),
        zone: format!("zone-{}", node % ZONES).into(),
        upstreams: vec![placement],
    }
}

/// Returns the resident memory of this process in bytes, assuming pages of 4096 bytes, or 0 if it
/// cannot be read.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status.split_whitespace().nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}
