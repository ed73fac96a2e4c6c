//! Faults of a soak, and when they come.

use {
    crate::{relay::LinkFault, stand_in::OutageKind},
    hyper::StatusCode,
    rand::{RngExt, rngs::SmallRng, seq::IndexedRandom},
    std::time::Duration,
};

/// Mean time between two faults on six hosts.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(900);

/// Hosts of which one more fault comes in the same time.
const HOSTS_PER_SERIES: usize = 6;

/// A link of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkKind {
    /// From callers to the node.
    Callers,
    /// From other nodes to the gate.
    Gate,
    /// From the gate to its upstream.
    Upstream,
}

/// Something that goes wrong, or that an operator does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// The process is killed and started again.
    Kill,
    /// All processes are killed right after a change of the configuration, and started again.
    KillAllAfterChange,
    /// The process is asked to stop, and started again.
    PlannedStop,
    /// The process is frozen for a time.
    Pause,
    /// The settings file changes, with the signal or without it.
    Reload {
        /// Whether the process is told.
        signalled: bool,
    },
    /// Bytes of a link are delayed or lost for a time.
    Link(LinkKind, LinkFault),
    /// Open connections of a link are reset.
    ResetConnections(LinkKind),
    /// Open connections of a link fall silent.
    SilenceConnections(LinkKind),
    /// The store turns the host away for a time.
    HostOutage(OutageKind),
    /// The store is down for a time.
    StoreDown,
    /// The store is slow for a time.
    StoreSlow,
    /// Answers of the store to writes are lost.
    StoreLosesResponses,
    /// The store forgets its history.
    StoreDropsHistory,
    /// The upstream drains and leaves; another takes its address.
    UpstreamDrains,
    /// The upstream ends without a word; another takes its address.
    UpstreamCrashes,
    /// The operator changes the configuration.
    ConfigurationChange,
}

/// A fault at its time.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Time since the start.
    pub at: Duration,
    /// Host that it hits.
    pub host: usize,
    /// What happens.
    pub kind: FaultKind,
    /// How long it lasts.
    pub duration: Duration,
}

/// Faults of a soak of some length, in their order; series overlap.
pub fn schedule(rng: &mut SmallRng, duration: Duration, hosts: usize) -> Vec<Fault> {
    let pause = MEAN_FAULT_INTERVAL.div_f64((hosts as f64 / HOSTS_PER_SERIES as f64).max(1.0));
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    while at < duration {
        let host = rng.random_range(0..hosts);
        let kind = kind(rng);
        let series = if rng.random_bool(0.2) { rng.random_range(2..=4) } else { 1 };
        for step in 0..series {
            let duration = Duration::from_millis(rng.random_range(100..3_500));
            let host = (host + step) % hosts;
            faults.push(Fault {
                at: at + duration.mul_f64(0.1) * step as u32,
                host,
                kind,
                duration,
            });
        }
        at += pause.mul_f64(-rng.random_range(f64::EPSILON..1.0).ln()).min(pause * 5);
    }
    faults.sort_by_key(|f| f.at);
    faults
}

fn kind(rng: &mut SmallRng) -> FaultKind {
    let links = [LinkKind::Callers, LinkKind::Gate, LinkKind::Upstream];
    let link = *links.choose(rng).unwrap_or(&LinkKind::Gate);
    let link_faults = [
        LinkFault::Delay(Duration::from_millis(rng.random_range(5..400))),
        LinkFault::CutForth,
        LinkFault::CutBack,
        LinkFault::Silent,
    ];
    let outages = [
        OutageKind::Status(StatusCode::SERVICE_UNAVAILABLE),
        OutageKind::Status(StatusCode::TOO_MANY_REQUESTS),
        OutageKind::Disconnect,
        OutageKind::Hang,
    ];
    match rng.random_range(0..100) {
        0..9 => FaultKind::Kill,
        9..12 => FaultKind::KillAllAfterChange,
        12..24 => FaultKind::PlannedStop,
        24..33 => FaultKind::Pause,
        33..39 => FaultKind::Reload { signalled: rng.random_bool(0.7) },
        39..50 => FaultKind::Link(link, *link_faults.choose(rng).unwrap_or(&LinkFault::Silent)),
        50..55 => FaultKind::ResetConnections(link),
        55..60 => FaultKind::SilenceConnections(link),
        60..65 => FaultKind::HostOutage(*outages.choose(rng).unwrap_or(&OutageKind::Disconnect)),
        65..68 => FaultKind::StoreDown,
        68..71 => FaultKind::StoreSlow,
        71..73 => FaultKind::StoreLosesResponses,
        73..75 => FaultKind::StoreDropsHistory,
        75..83 => FaultKind::UpstreamDrains,
        83..88 => FaultKind::UpstreamCrashes,
        _ => FaultKind::ConfigurationChange,
    }
}
