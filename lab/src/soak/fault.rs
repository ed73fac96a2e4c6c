//! Faults of a soak and their schedule.

use {
    crate::{relay::LinkFault, stand_in::OutageKind},
    hyper::StatusCode,
    rand::{RngExt, rngs::SmallRng, seq::IndexedRandom},
    std::time::Duration,
};

/// Mean interval between two faults with `REFERENCE_HOSTS` hosts or fewer.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(900);

/// Number of hosts for which the mean interval applies; above it, the fault rate grows with the number of hosts.
const REFERENCE_HOSTS: usize = 6;

/// Interval for which one older copy of the store is scheduled.
const OLDER_COPY_INTERVAL: Duration = Duration::from_secs(30);

/// Interval for which one outage of all hosts that watch the configuration is scheduled.
const WATCHERS_OUTAGE_INTERVAL: Duration = Duration::from_secs(15);

/// A network link of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkKind {
    /// From callers to the node.
    Callers,
    /// From other nodes to the gate.
    Gate,
    /// From the gate to its upstream.
    Upstream,
}

/// A failure, or an action of the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// The process is killed and restarted.
    Kill,
    /// All processes are killed directly after a configuration change, and restarted.
    KillAllAfterChange,
    /// The process is stopped with SIGTERM and restarted.
    PlannedStop,
    /// The process is suspended for the duration.
    Pause,
    /// The settings file changes.
    Reload {
        /// Whether SIGHUP is sent to the process.
        signalled: bool,
    },
    /// Data on a link is delayed or lost for the duration.
    Link(LinkKind, LinkFault),
    /// The open connections of a link are reset.
    ResetConnections(LinkKind),
    /// The open connections of a link stay open but transfer no more data.
    SilenceConnections(LinkKind),
    /// The store fails calls from this host only, for the duration.
    HostOutage(OutageKind),
    /// The store fails calls from exactly those hosts that wait for changes of the configuration, for the duration; the
    /// operator writes the next version meanwhile.
    WatchersOutage(OutageKind),
    /// The store fails all calls for the duration.
    StoreDown,
    /// The store delays all calls for the duration.
    StoreSlow,
    /// The store responds to the next two writes with status 504, as if the responses were lost.
    StoreLosesResponses,
    /// The store discards its history, so that watches must restart.
    StoreDropsHistory,
    /// The store is away for a moment and comes back from a copy that is as old as the duration. The operator
    /// writes the latest configuration again.
    StoreOlderCopy,
    /// The upstream drains, announces its stop and stops; another one takes over its address.
    UpstreamDrains,
    /// The upstream stops without draining; another one takes over its address.
    UpstreamCrashes,
    /// The operator writes the next version of the configuration.
    ConfigurationChange,
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Time from the start of the soak to the start of the fault.
    pub at: Duration,
    /// Index of the affected host.
    pub host: usize,
    /// Kind of fault.
    pub kind: FaultKind,
    /// Duration of the fault, if its kind has one.
    pub duration: Duration,
}

/// Returns the faults of a soak, sorted by time.
///
/// One in five events is a series of 2 to 4 overlapping faults of the same kind on consecutive hosts.
pub fn schedule(rng: &mut SmallRng, soak_duration: Duration, hosts: usize) -> Vec<Fault> {
    let mean_interval =
        MEAN_FAULT_INTERVAL.div_f64((hosts as f64 / REFERENCE_HOSTS as f64).max(1.0));
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    while at < soak_duration {
        let host = rng.random_range(0..hosts);
        let kind = random_kind(rng);
        let series_length = if rng.random_bool(0.2) { rng.random_range(2..=4) } else { 1 };
        for step in 0..series_length {
            let duration = Duration::from_millis(rng.random_range(100..3_500));
            let host = (host + step) % hosts;
            faults.push(Fault {
                at: at + duration.mul_f64(0.1) * step as u32,
                host,
                kind,
                duration,
            });
        }
        at +=
            mean_interval.mul_f64(-rng.random_range(f64::EPSILON..1.0).ln()).min(mean_interval * 5);
    }
    // Drawn last, so that the faults above are those of earlier versions for the same seed.
    for _ in 0..=soak_duration.as_secs() / OLDER_COPY_INTERVAL.as_secs() {
        faults.push(Fault {
            at: soak_duration.mul_f64(rng.random_range(0.1..0.8)),
            host: 0,
            kind: FaultKind::StoreOlderCopy,
            duration: Duration::from_millis(rng.random_range(300..3_000)),
        });
    }
    for _ in 0..=soak_duration.as_secs() / WATCHERS_OUTAGE_INTERVAL.as_secs() {
        faults.push(Fault {
            at: soak_duration.mul_f64(rng.random_range(0.1..0.8)),
            host: 0,
            kind: FaultKind::WatchersOutage(random_outage(rng)),
            duration: Duration::from_millis(rng.random_range(500..6_000)),
        });
    }
    faults.sort_by_key(|f| f.at);
    faults
}

fn random_outage(rng: &mut SmallRng) -> OutageKind {
    let outages = [
        OutageKind::Status(StatusCode::SERVICE_UNAVAILABLE),
        OutageKind::Status(StatusCode::TOO_MANY_REQUESTS),
        OutageKind::Disconnect,
        OutageKind::Hang,
    ];
    *outages.choose(rng).unwrap_or(&OutageKind::Disconnect)
}

fn random_kind(rng: &mut SmallRng) -> FaultKind {
    let links = [LinkKind::Callers, LinkKind::Gate, LinkKind::Upstream];
    let link = *links.choose(rng).unwrap_or(&LinkKind::Gate);
    let link_faults = [
        LinkFault::Delay(Duration::from_millis(rng.random_range(5..400))),
        LinkFault::DropToTarget,
        LinkFault::DropFromTarget,
        LinkFault::DropAll,
    ];
    match rng.random_range(0..100) {
        0..9 => FaultKind::Kill,
        9..12 => FaultKind::KillAllAfterChange,
        12..24 => FaultKind::PlannedStop,
        24..33 => FaultKind::Pause,
        33..39 => FaultKind::Reload { signalled: rng.random_bool(0.7) },
        39..50 => FaultKind::Link(link, *link_faults.choose(rng).unwrap_or(&LinkFault::DropAll)),
        50..55 => FaultKind::ResetConnections(link),
        55..60 => FaultKind::SilenceConnections(link),
        60..65 => FaultKind::HostOutage(random_outage(rng)),
        65..68 => FaultKind::StoreDown,
        68..71 => FaultKind::StoreSlow,
        71..73 => FaultKind::StoreLosesResponses,
        73..75 => FaultKind::StoreDropsHistory,
        75..83 => FaultKind::UpstreamDrains,
        83..88 => FaultKind::UpstreamCrashes,
        _ => FaultKind::ConfigurationChange,
    }
}
