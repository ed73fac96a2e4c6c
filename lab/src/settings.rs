//! Changes of settings over sockets: how long until in force, and what faults of the platform do to them.

use {
    crate::{
        demo,
        fleet::{Fleet, FleetError},
        http::HttpError,
        report::{Check, Report},
    },
    bytes::Bytes,
    hdrhistogram::Histogram,
    http_body_util::Full,
    hyper::Request,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::atomic::Ordering, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Changes made.
const CHANGES: u32 = 60;

/// Time after which an accepted change must be in force everywhere, in seconds.
const MAX_IN_FORCE_S: f64 = 4.0;

/// Longest look for a change at all nodes.
const LONGEST: Duration = Duration::from_secs(15);

/// Path that is changed.
const PATH: &str = "shop/services/orders/timeout_ms";

#[derive(Debug, Default)]
struct Counts {
    accepted: u64,
    other: u64,
    lost_answers: u64,
    outages: u64,
    races: u64,
    both_accepted: u64,
    reversals: u64,
    not_in_force: u64,
}

/// Runs the experiment.
///
/// # Errors
/// Fails when the fleet does not come up.
pub async fn run(seed: u64) -> Result<Report, FleetError> {
    let fleet = Fleet::start(demo::members(), &demo::settings()).await?;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut counts = Counts::default();
    let mut accept_ms = histogram();
    let mut in_force_ms = histogram();
    for n in 0..CHANGES {
        let value = 1_000 + n;
        let at = rng.random_range(0..fleet.members.len());
        let admin = fleet.members[at].addresses.admin;
        let fault = n % 4;
        if fault == 1 {
            counts.lost_answers += 1;
            fleet.platform.faults.lost_write_responses.store(1, Ordering::SeqCst);
        }
        let asked = Instant::now();
        let status = put(&fleet, admin, value, None).await?;
        accept_ms.saturating_record(asked.elapsed().as_millis() as u64);
        let accepted = Instant::now();
        if status != 200 {
            counts.other += 1;
            continue;
        }
        counts.accepted += 1;
        if fault == 2 {
            // The platform goes down at the moment the operator hears of the acceptance.
            counts.outages += 1;
            fleet.platform.faults.down.store(true, Ordering::SeqCst);
        }
        counts.not_in_force +=
            u64::from(!everywhere(&fleet, value, accepted, &mut counts.reversals).await?);
        in_force_ms.saturating_record(accepted.elapsed().as_millis() as u64);
        fleet.platform.faults.down.store(false, Ordering::SeqCst);
        if fault == 3 {
            race(&fleet, &mut counts).await?;
        }
    }
    let mut report = Report::new("settings", seed);
    let quantiles = |h: &Histogram<u64>| json!({ "p50_ms": h.value_at_quantile(0.5), "p99_ms": h.value_at_quantile(0.99), "max_ms": h.max() });
    report.figure("until_accepted", quantiles(&accept_ms));
    report.figure("accepted_until_in_force_everywhere", quantiles(&in_force_ms));
    report.figure("accepted", json!(counts.accepted));
    report.figure("lost_answers", json!(counts.lost_answers));
    report.figure("outages_after_acceptance", json!(counts.outages));
    report.figure("races", json!(counts.races));
    let zero = |name: &str, figure: u64| Check::at_most(name, 0.0, figure as f64);
    let max_s = in_force_ms.max() as f64 / 1_000.0;
    report.check(Check::at_most("accepted to in force everywhere, s", MAX_IN_FORCE_S, max_s));
    report.check(zero("accepted and never in force", counts.not_in_force));
    report.check(zero("reversals", counts.reversals));
    report.check(zero("both of two operators accepted", counts.both_accepted));
    report.check(zero("changes not accepted", counts.other));
    fleet.stop.cancel();
    Ok(report)
}

/// Two operators who saw the same version.
async fn race(fleet: &Fleet, counts: &mut Counts) -> Result<(), FleetError> {
    let (a, b) = (fleet.members[0].addresses.admin, fleet.members[1].addresses.admin);
    let seen = version(fleet, a).await?;
    let (first, second) =
        tokio::join!(put(fleet, a, 7_001, Some(seen)), put(fleet, b, 7_002, Some(seen)));
    counts.races += 1;
    counts.both_accepted += u64::from(first? == 200 && second? == 200);
    Ok(())
}

/// Waits until every node shows the value; counts versions that fall meanwhile.
async fn everywhere(
    fleet: &Fleet,
    value: u32,
    since: Instant,
    reversals: &mut u64,
) -> Result<bool, FleetError> {
    for member in fleet.running() {
        let mut last = 0;
        loop {
            let answer = get(fleet, member.addresses.admin).await?;
            let version = answer["version"].as_u64().unwrap_or(0);
            *reversals += u64::from(version < last);
            last = version;
            if answer["value"] == json!(value) {
                break;
            }
            if since.elapsed() > LONGEST {
                return Ok(false);
            }
            sleep(Duration::from_millis(5)).await;
        }
    }
    Ok(true)
}

async fn version(fleet: &Fleet, admin: SocketAddr) -> Result<u64, FleetError> {
    Ok(get(fleet, admin).await?["version"].as_u64().unwrap_or(0))
}

async fn get(fleet: &Fleet, admin: SocketAddr) -> Result<Value, FleetError> {
    let text = fleet.http.get(&format!("http://{admin}/settings/{PATH}")).await?;
    Ok(serde_json::from_str(&text).unwrap_or_default())
}

async fn put(
    fleet: &Fleet,
    admin: SocketAddr,
    value: u32,
    if_version: Option<u64>,
) -> Result<u16, FleetError> {
    let mut req = Request::put(format!("http://{admin}/settings/{PATH}"));
    if let Some(version) = if_version {
        req = req.header("if-version", version);
    }
    let req = req.body(Full::new(Bytes::from(value.to_string())));
    let answer = fleet.http.send(req.map_err(|_e| HttpError::Invalid)?).await?;
    Ok(answer.head.status().as_u16())
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000, 3)
        .unwrap_or_else(|_e| unreachable!("the bounds are valid"))
}
