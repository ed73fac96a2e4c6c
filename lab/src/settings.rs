//! Changes settings over real sockets. Measures the time until a change is in force, and checks that
//! no accepted change is lost or reverted by faults of the platform.

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

/// Number of changes.
const CHANGE_COUNT: u32 = 60;

/// Time limit for an accepted change to be in force on every node, in seconds.
const MAX_IN_FORCE_S: f64 = 4.0;

/// Time after which a change counts as never in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(15);

/// Path of the setting that is changed.
const SETTING_PATH: &str = "shop/services/orders/timeout_ms";

/// Numbers of changes, of injected faults, and of violations.
#[derive(Debug, Default)]
struct Counts {
    accepted: u64,
    not_accepted: u64,
    lost_responses: u64,
    outages: u64,
    races: u64,
    both_accepted: u64,
    reversals: u64,
    not_in_force: u64,
}

/// Runs the experiment.
///
/// # Errors
/// Fails if the fleet does not become ready, or a node does not respond.
pub async fn run(seed: u64) -> Result<Report, FleetError> {
    let fleet = Fleet::start(demo::members(), &demo::settings()).await?;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut counts = Counts::default();
    let mut accept_ms = histogram();
    let mut in_force_ms = histogram();
    for n in 0..CHANGE_COUNT {
        let value = 1_000 + n;
        let index = rng.random_range(0..fleet.members.len());
        let admin = fleet.members[index].addresses.admin;
        // 0: none, 1: lost response, 2: outage after the acceptance, 3: concurrent write.
        let fault = n % 4;
        if fault == 1 {
            counts.lost_responses += 1;
            fleet.platform.faults.lost_write_responses.store(1, Ordering::SeqCst);
        }
        let sent_at = Instant::now();
        let status = put_setting(&fleet, admin, value, None).await?;
        accept_ms.saturating_record(sent_at.elapsed().as_millis() as u64);
        let accepted_at = Instant::now();
        if status != 200 {
            counts.not_accepted += 1;
            continue;
        }
        counts.accepted += 1;
        if fault == 2 {
            // The platform goes down as soon as the operator has received the acceptance.
            counts.outages += 1;
            fleet.platform.faults.down.store(true, Ordering::SeqCst);
        }
        counts.not_in_force += u64::from(
            !wait_until_in_force(&fleet, value, accepted_at, &mut counts.reversals).await?,
        );
        in_force_ms.saturating_record(accepted_at.elapsed().as_millis() as u64);
        fleet.platform.faults.down.store(false, Ordering::SeqCst);
        if fault == 3 {
            write_concurrently(&fleet, &mut counts).await?;
        }
    }
    let mut report = Report::new("settings", seed);
    let quantiles = |h: &Histogram<u64>| json!({ "p50_ms": h.value_at_quantile(0.5), "p99_ms": h.value_at_quantile(0.99), "max_ms": h.max() });
    report.add_measurement("until_accepted", quantiles(&accept_ms));
    report.add_measurement("accepted_until_in_force_everywhere", quantiles(&in_force_ms));
    report.add_measurement("accepted", json!(counts.accepted));
    report.add_measurement("lost_answers", json!(counts.lost_responses));
    report.add_measurement("outages_after_acceptance", json!(counts.outages));
    report.add_measurement("races", json!(counts.races));
    let zero = |name: &str, count: u64| Check::at_most(name, 0.0, count as f64);
    let max_s = in_force_ms.max() as f64 / 1_000.0;
    report.add_check(Check::at_most("accepted to in force everywhere, s", MAX_IN_FORCE_S, max_s));
    report.add_check(zero("accepted and never in force", counts.not_in_force));
    report.add_check(zero("reversals", counts.reversals));
    report.add_check(zero("both of two operators accepted", counts.both_accepted));
    report.add_check(zero("changes not accepted", counts.not_accepted));
    fleet.stop.cancel();
    Ok(report)
}

/// Writes the setting through two nodes at the same time, as two operators would who have both read
/// the current version.
async fn write_concurrently(fleet: &Fleet, counts: &mut Counts) -> Result<(), FleetError> {
    let (first_admin, second_admin) =
        (fleet.members[0].addresses.admin, fleet.members[1].addresses.admin);
    let read_version = current_version(fleet, first_admin).await?;
    let (first, second) = tokio::join!(
        put_setting(fleet, first_admin, 7_001, Some(read_version)),
        put_setting(fleet, second_admin, 7_002, Some(read_version))
    );
    counts.races += 1;
    counts.both_accepted += u64::from(first? == 200 && second? == 200);
    Ok(())
}

/// Waits until the value is in force on every running node. Returns `false` if that is not the case
/// within `IN_FORCE_TIMEOUT` after `since`. Adds to `reversals` the number of times that a node
/// reported a lower version than before.
async fn wait_until_in_force(
    fleet: &Fleet,
    value: u32,
    since: Instant,
    reversals: &mut u64,
) -> Result<bool, FleetError> {
    for member in fleet.running() {
        let mut last_version = 0;
        loop {
            let response = get_setting(fleet, member.addresses.admin).await?;
            let version = response["version"].as_u64().unwrap_or(0);
            *reversals += u64::from(version < last_version);
            last_version = version;
            if response["value"] == json!(value) {
                break;
            }
            if since.elapsed() > IN_FORCE_TIMEOUT {
                return Ok(false);
            }
            sleep(Duration::from_millis(5)).await;
        }
    }
    Ok(true)
}

async fn current_version(fleet: &Fleet, admin: SocketAddr) -> Result<u64, FleetError> {
    Ok(get_setting(fleet, admin).await?["version"].as_u64().unwrap_or(0))
}

async fn get_setting(fleet: &Fleet, admin: SocketAddr) -> Result<Value, FleetError> {
    let text = fleet.http.get(&format!("http://{admin}/settings/{SETTING_PATH}")).await?;
    Ok(serde_json::from_str(&text).unwrap_or_default())
}

async fn put_setting(
    fleet: &Fleet,
    admin: SocketAddr,
    value: u32,
    if_version: Option<u64>,
) -> Result<u16, FleetError> {
    let mut req = Request::put(format!("http://{admin}/settings/{SETTING_PATH}"));
    if let Some(version) = if_version {
        req = req.header("if-version", version);
    }
    let req = req.body(Full::new(Bytes::from(value.to_string())));
    let response = fleet.http.send(req.map_err(|_e| HttpError::Invalid)?).await?;
    Ok(response.head.status().as_u16())
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000, 3)
        .unwrap_or_else(|_e| unreachable!("the histogram bounds are valid"))
}
