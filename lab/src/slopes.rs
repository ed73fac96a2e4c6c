//! How a node's control cost and the cost of a call grow, measured on the node's own code.
//!
//! Control: one node's membership, fed by a fake fleet that answers its pings in the real message types,
//! at several sizes; processor time and resident memory of this process, bytes of the encoded packets.
//! Request path: processor time of the entry's and the gate's decisions for each call.

use {
    crate::report::{Check, Report},
    pistachiolane::{
        attempt::{Admission, AttemptDecision, Call, CallAction, CallContext, CallEvent, CallSpec},
        config::ActiveSubtrees,
        limits::TokenBucket,
        membership::{Members, MembershipAction, MembershipEvent},
        routing::RoutingTable,
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

/// Sizes of the fleet at which control is measured.
const SIZES: [u64; 4] = [100, 500, 1_500, 4_800];

/// Services of the fleet.
const SERVICES: u64 = 210;

/// Regions and availability zones of the fleet.
const REGIONS: u64 = 4;
const ZONES: u64 = 14;

/// Virtual time for which control runs at each size; long enough for full exchanges at the largest.
const CONTROL_TIME: Duration = Duration::from_secs(1_800);

/// Changes of members a day at the target: failures, and replacements that leave and join.
const MEMBER_CHANGES_PER_DAY: f64 = 24.0 + 2.0 * 730.0;

/// Changes of settings a day at the target.
const SETTING_CHANGES_PER_DAY: f64 = 3_200.0;

/// Bytes of one team's settings, as large as both users' are.
const SUBTREE_BYTES: usize = 4_096;

/// Bytes of UDP and IP headers.
const DATAGRAM_BYTES: usize = 28;

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Calls timed for the request path.
const CALLS: u32 = 200_000;

/// Targets of one node.
const MAX_CORE_PERCENT: f64 = 4.9;
const MAX_MEGABYTES: f64 = 64.0;
const MAX_BYTES_PER_SECOND: f64 = 7_000.0;

#[derive(Clone, Copy, Debug, Default)]
struct Control {
    members: f64,
    core_percent: f64,
    megabytes: f64,
    out_per_second: f64,
    in_per_second: f64,
}

/// Reads one figure of a measurement.
type Figure = fn(&Control) -> f64;

/// Runs the measurement.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("slopes", seed);
    let mut points = Vec::new();
    for size in SIZES {
        let control = control(size, seed);
        report.figure(
            &format!("{size} members"),
            json!({
                "core_percent": control.core_percent,
                "megabytes": control.megabytes,
                "bytes_out_per_s": control.out_per_second,
                "bytes_in_per_s": control.in_per_second,
            }),
        );
        points.push(control);
    }
    let fits: [(&str, Figure); 4] = [
        ("core_percent", |c| c.core_percent),
        ("megabytes", |c| c.megabytes),
        ("bytes_out_per_s", |c| c.out_per_second),
        ("bytes_in_per_s", |c| c.in_per_second),
    ];
    for (name, value) in fits {
        let samples: Vec<(f64, f64)> = points.iter().map(|c| (c.members, value(c))).collect();
        report.figure(&format!("fit {name}"), fit(&samples));
    }
    settings(&mut report);
    request_path(&mut report, seed);
    let last = points.last().copied().unwrap_or_default();
    let at = format!("at {} members", SIZES[SIZES.len() - 1]);
    let bytes = last.out_per_second.max(last.in_per_second);
    report.check(Check::at_most(
        format!("{at}: control, % of a core"),
        MAX_CORE_PERCENT,
        last.core_percent,
    ));
    report.check(Check::at_most(format!("{at}: control, MB"), MAX_MEGABYTES, last.megabytes));
    report.check(Check::at_most(
        format!("{at}: gossip, bytes/s one way"),
        MAX_BYTES_PER_SECOND,
        bytes,
    ));
    report
}

/// Least-squares line with its largest residual.
fn fit(samples: &[(f64, f64)]) -> serde_json::Value {
    let n = samples.len() as f64;
    let mean_x = samples.iter().map(|s| s.0).sum::<f64>() / n;
    let mean_y = samples.iter().map(|s| s.1).sum::<f64>() / n;
    let covariance: f64 = samples.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = samples.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let at_zero = mean_y - slope * mean_x;
    let residual = samples.iter().map(|(x, y)| (y - at_zero - slope * x).abs()).fold(0.0, f64::max);
    json!({ "per_1000_members": slope * 1_000.0, "at_zero": at_zero, "largest_residual": residual })
}

/// One node's membership beside a fake fleet that answers every ping and changes at the target's rate.
fn control(size: u64, seed: u64) -> Control {
    let before = resident_bytes();
    let mut rng = SmallRng::seed_from_u64(seed);
    let records: Vec<MemberRecord> = (1..=size).map(record).collect();
    let own = records[0].clone();
    let mut members = Members::new(Tick(1), own.clone(), Vec::new());
    let mut table = RoutingTable::default();
    let key = FleetKey::new("slopes");
    let mut now = Tick(1);
    let started = Instant::now();
    let joined = MembershipEvent::Records(records[1..].to_vec());
    let mut inbox = vec![joined];
    let changes_per_second =
        MEMBER_CHANGES_PER_DAY / SECONDS_PER_DAY * size as f64 / SIZES[3] as f64;
    let mut owed = 0.0;
    let (mut out, mut incoming, mut sequence) = (0, 0, 0_u32);
    let mut revisions = 1;
    let steps = CONTROL_TIME.as_millis() / 20;
    for step in 0..steps {
        now = now + Duration::from_millis(20);
        inbox.push(MembershipEvent::Timer);
        if step % 12 == 0 {
            // A peer pings this node as often as it pings others.
            owed += changes_per_second * 0.24;
            let updates = if owed >= 1.0 {
                owed -= 1.0;
                revisions += 1;
                let changed = &records[1 + (step as usize * 7_919) % (records.len() - 1)];
                vec![MemberRecord { revision: revisions, ..changed.clone() }]
            } else {
                Vec::new()
            };
            sequence += 1;
            let body = PacketBody::Ping(own.node);
            let packet = Packet { from: 2, sequence, settings: 0, body, updates };
            inbox.push(MembershipEvent::Packet(records[1].control, packet));
        }
        for event in std::mem::take(&mut inbox) {
            if let MembershipEvent::Packet(_, packet) = &event {
                incoming += encoded(&key, packet);
            }
            let mut changed = false;
            for action in members.step(now, &mut rng, event) {
                match action {
                    MembershipAction::Send(to, packet) => {
                        out += encoded(&key, &packet);
                        inbox.extend(answer(to, &packet, &records));
                    }
                    MembershipAction::Exchange(_) => {
                        incoming += postcard_bytes(&records);
                        inbox.push(MembershipEvent::Records(records[1..].to_vec()));
                    }
                    MembershipAction::MembersChanged => changed = true,
                    MembershipAction::SettingsDiffer(_)
                    | MembershipAction::RoundTrip(..)
                    | MembershipAction::Load(..) => {}
                }
            }
            if changed {
                table = RoutingTable::new(&table, &own, members.live_records());
            }
        }
    }
    let seconds = CONTROL_TIME.as_secs_f64();
    // The fake fleet's share, its packets and records, is in this figure too.
    let spent = started.elapsed().as_secs_f64();
    let after = resident_bytes();
    // The fake fleet's own records are in the figure too; they are as large as the node's.
    let megabytes = after.saturating_sub(before) as f64 / 1e6;
    black_box((&members, &table));
    Control {
        members: size as f64,
        core_percent: spent / seconds * 100.0,
        megabytes,
        out_per_second: out as f64 / seconds,
        in_per_second: incoming as f64 / seconds,
    }
}

fn answer(to: SocketAddr, packet: &Packet, records: &[MemberRecord]) -> Option<MembershipEvent> {
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

fn encoded(key: &FleetKey, packet: &Packet) -> usize {
    let bytes = key.encode_packet(packet).unwrap_or_default();
    let opened = key.decode_packet(&bytes);
    black_box(&opened);
    bytes.len() + DATAGRAM_BYTES
}

fn postcard_bytes(records: &[MemberRecord]) -> usize {
    let packet = |r: &MemberRecord| Packet {
        from: 0,
        sequence: 0,
        settings: 0,
        body: PacketBody::Ping(0),
        updates: vec![r.clone()],
    };
    let key = FleetKey::new("size");
    let one = |r| key.encode_packet(&packet(r)).map_or(0, |b| b.len().saturating_sub(21));
    records.iter().map(one).sum()
}

/// Bytes and processor time that changes of settings cost a node.
fn settings(report: &mut Report) {
    let subtree = |version: u64| Subtree {
        name: format!("team-{}", version % 30).into(),
        version,
        change: String::new(),
        document: json!({ "services": {}, "pad": "x".repeat(SUBTREE_BYTES) }).to_string(),
    };
    let mut holder = ActiveSubtrees::default();
    let changes = 2_000_u64;
    let started = Instant::now();
    for version in 1..=changes {
        holder.apply(subtree(version));
        black_box(holder.compile());
        black_box(holder.digest());
    }
    let per_change = started.elapsed().as_secs_f64() / changes as f64;
    let per_second = SETTING_CHANGES_PER_DAY / SECONDS_PER_DAY;
    report.figure(
        "settings",
        json!({
            "us_per_change": per_change * 1e6,
            "bytes_per_s": per_second * SUBTREE_BYTES as f64,
            "bytes_per_s_at_ten_times": per_second * 10.0 * SUBTREE_BYTES as f64,
            "core_percent": per_change * per_second * 100.0,
        }),
    );
}

/// Processor time of the decisions of one call, entry and gate together, over a service of 23 upstreams.
fn request_path(report: &mut Report, seed: u64) {
    let records: Vec<MemberRecord> = (1..=SIZES[3]).map(record).collect();
    let own = records[0].clone();
    let table = RoutingTable::new(&RoutingTable::default(), &own, records.iter());
    let service = Arc::clone(&records[1].upstreams[0].service);
    let Some(table) = table.service(&service).map(Arc::clone) else { return };
    let admission = Admission::new(2);
    admission.announce(Tick(1), &service, 13, false);
    let (paid, sequence) = (TokenBucket::new(1, 1), AtomicU64::new(0));
    let cx =
        CallContext { entry: 1, table: &table, inter_region_budget: &paid, sequence: &sequence };
    let mut rng = SmallRng::seed_from_u64(seed);
    let key = FleetKey::new("slopes");
    let mut gate_time = Duration::ZERO;
    let before = resident_bytes();
    let started = Instant::now();
    for n in 0..CALLS {
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
            };
            let text = key.encode_header(&header).unwrap_or_default();
            let entered = Instant::now();
            let header: AttemptHeader = key.decode_header(text.as_bytes()).unwrap_or(header);
            if let AttemptDecision::Run(ticket) = admission.admit(now, &header) {
                ticket.start();
                admission.gate.observe(now, Duration::from_millis(5), true);
                ticket.finish(now);
                admission.gate.release_slot();
            }
            let load = encode_header(&admission.gate.next_load_report(now)).unwrap_or_default();
            gate_time += entered.elapsed();
            let load = decode_header(load.as_bytes()).ok();
            call.step(now, cx, &mut rng, CallEvent::Answered { id, report: load, failed: false });
        }
    }
    let total = started.elapsed();
    let ledger_bytes = resident_bytes().saturating_sub(before) as f64 / f64::from(CALLS);
    let per_call = |d: Duration| d.as_secs_f64() * 1e6 / f64::from(CALLS);
    report.figure(
        "request_path",
        json!({
            "upstreams": table.candidates.len(),
            "entry_us": per_call(total.saturating_sub(gate_time)),
            "gate_us": per_call(gate_time),
            "ledger_bytes_per_attempt": ledger_bytes,
        }),
    );
}

fn record(node: u64) -> MemberRecord {
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

/// Resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status.split_whitespace().nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}
