//! Machines are cut off from all others, and a new version of the configuration adds a tenant meanwhile: each side of the
//! cut grants the whole burst of the tenant.

#[path = "../harness.rs"]
mod harness;

use harness::{Fleet, Http, Message, Upstream, configuration, ms, request, trouble, versioned_configuration};
use std::{
    collections::HashMap,
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Machines, each with one upstream of the service.
const MACHINES: usize = 6;

/// Machines that are cut off, a share of 0.33.
const CUT_OFF: usize = 2;

/// Requests a second that the clients of the new tenant send on each machine, 4.5 times its limit in all.
const PER_SECOND: f64 = 30.0;

/// Limit of the new tenant: requests per second and burst.
const RATE: f64 = 40.0;
const BURST: f64 = 40.0;

/// `quota_window_s`, `quota_overage` and `quota_slack` of the rules.
const WINDOW_S: f64 = 5.0;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Length of the cut, at most that of `node_cut` in the site file.
const CUT: Duration = Duration::from_secs(12);

/// Time from the start of the cut to the change of the configuration.
const CHANGE_AT: Duration = Duration::from_millis(6_500);

/// Requests of the new tenant that an upstream ran: when they were sent and when they arrived.
type Runs = Arc<Mutex<Vec<(f64, f64)>>>;

fn main() {
    let fleet = Fleet::start("7", harness::BOUNDS_WITH_QUOTAS);
    let runs: Runs = Arc::default();
    let sent: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let route =
        "[\"notices\",\"shop.example\",\"/notices/\",\"idempotent\",2.5,0.6,1,\"notices\",2]";
    let old = "[\"acme\",[\"k1\"],1,50,50]";
    fleet.write_configuration(&configuration(&[route], &["notices"], old));
    let mut machines = Vec::new();
    for n in 0..MACHINES {
        let zone = ["uppsala", "vasteras"][n % 2];
        let machine = fleet.add_machine(&format!("m{n}"), "notices", "svealand", zone);
        let (runs, sent) = (Arc::clone(&runs), Arc::clone(&sent));
        let handler = move |upstream: &Upstream, req: &Message, http: &mut Http| {
            let id = req.header("x-pistachiolane-request-id").unwrap_or("").to_owned();
            let at = upstream.record.now();
            let sent_at = sent.lock().unwrap().get(&id).copied().unwrap_or(at);
            let tenant = req.header("x-pistachiolane-tenant-id").unwrap_or("-");
            upstream.record.write(format!("{id} runs at {} for tenant {tenant}", upstream.id));
            if tenant == "bolt" {
                runs.lock().unwrap().push((sent_at, at));
            }
            thread::sleep(ms(20));
            let head = upstream.head(req, "200 OK", Some(2));
            http.socket.write_all(format!("{head}ok").as_bytes())
        };
        Upstream::start(&fleet, &machine, &format!("i-{n}"), "notices", 13, Box::new(handler));
        machines.push(machine);
    }
    fleet.wait_until_ready();
    thread::sleep(ms(8_000));
    let cut = &machines[MACHINES - CUT_OFF..];
    if trouble() {
        cut.iter().for_each(|machine| fleet.cut_machine(machine, true));
    }
    thread::sleep(CHANGE_AT);
    let both = format!("{old},[\"bolt\",[\"k2\"],1,{RATE},{BURST}]");
    fleet.replace_configuration(&versioned_configuration(8, &[route], &["notices"], &both));
    fleet.record.say("version r8 adds the tenant bolt");
    thread::sleep(ms(500));
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicU64::new(0));
    for (n, machine) in machines.iter().enumerate() {
        for client in 0..3 {
            let (record, sent, stop) =
                (Arc::clone(&fleet.record), Arc::clone(&sent), Arc::clone(&stop));
            let (outbound, answered) = (machine.outbound, Arc::clone(&answered));
            thread::spawn(move || {
                let period = Duration::from_secs_f64(3.0 / PER_SECOND);
                let mut next = Instant::now() + period.mul_f64(f64::from(client) / 3.0);
                for number in 0.. {
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    next += period;
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("q{n}{client}-{number}");
                    let headers = [
                        ("host", "shop.example"),
                        ("authorization", "Bearer k2"),
                        ("x-pistachiolane-request-id", id.as_str()),
                        ("x-pistachiolane-deadline-ms", "2000"),
                    ];
                    let req = request("GET", "/notices/a", &headers, "");
                    sent.lock().unwrap().insert(id.clone(), record.now());
                    let result = harness::call_once(outbound, &req, ms(2_000)).map(|res| res.status());
                    if result.as_ref().is_ok_and(|s| *s == 200) {
                        answered.fetch_add(1, Ordering::SeqCst);
                    }
                    record.write(format!("{id} sent to m{n}: {result:?}"));
                }
            });
        }
    }
    thread::sleep(CUT - CHANGE_AT - ms(500));
    if trouble() {
        cut.iter().for_each(|machine| fleet.cut_machine(machine, false));
    }
    thread::sleep(ms(5_000));
    stop.store(true, Ordering::SeqCst);
    thread::sleep(ms(500));
    if answered.load(Ordering::SeqCst) == 0 {
        fleet.end(harness::COULD_NOT_RUN, "no request was answered");
    }
    let (most, from) = most_in_window(&runs.lock().unwrap());
    let allowed = (RATE * WINDOW_S + BURST) * (1.0 + OVERAGE) + SLACK;
    fleet.verdict(
        most as f64 > allowed,
        &format!("QUOTA: {most} requests of the tenant ran in the {WINDOW_S} s from {from:.1} s, {allowed} are allowed"),
    );
}

/// Returns the most requests that were both sent and arrived in one window, and the start of that window.
fn most_in_window(runs: &[(f64, f64)]) -> (usize, f64) {
    let in_window =
        |from: f64| runs.iter().filter(|(s, a)| *s >= from && *a <= from + WINDOW_S).count();
    let counts = runs.iter().map(|(sent, _)| (in_window(*sent), *sent));
    counts.max_by(|a, b| a.0.cmp(&b.0)).unwrap_or((0, 0.0))
}
