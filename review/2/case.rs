//! The store rejects those three machines of a region that watch the configuration for all, by silence, and serves the
//! others. A change of that time reaches no machine until long after the store serves all of them again.
//!
//! With `REJECT=503` the store answers 503 instead, for 9 s; then the bound for an unstable core is checked.

#[path = "../harness.rs"]
mod harness;

use harness::{Fleet, Http, Message, Upstream, ms, request, trouble, versioned_configuration};
use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Machines of the region, each with one upstream.
const MACHINES: usize = 9;

/// Share of the machines that the disruption may meet, as that of `platform_down` (`nodes`) in the site file.
const MAX_SHARE: f64 = 0.35;

/// Length of the disruption; the site file has 9 s.
const SILENT: Duration = Duration::from_secs(5);
const TURNED_AWAY: Duration = Duration::from_secs(9);

/// Time from the start of the disruption to the change of the configuration.
const CHANGE_AFTER: Duration = Duration::from_millis(300);

/// `config_propagation_s`, `stable_window_s`, and `max_stretch_s` for machines with an unstable core.
const PROPAGATION_S: f64 = 2.5;
const STABLE_WINDOW_S: f64 = 4.0;
const MAX_STRETCH_S: f64 = 5.0;

/// One request for the dropped route: its machine, when it was sent, and its status.
struct Probe {
    machine: usize,
    sent: f64,
    status: u16,
}

fn main() {
    let fleet = Fleet::start("2", harness::BOUNDS);
    let kept = "[\"kept\",\"shop.example\",\"/kept/\",\"idempotent\",2.5,0.6,1,\"sizing\",2]";
    let dropped = "[\"old\",\"shop.example\",\"/old/\",\"idempotent\",2.5,0.6,1,\"sizing\",2]";
    let version = |n: u32, routes: &[&str]| versioned_configuration(n, routes, &["sizing"], "");
    fleet.write_configuration(&version(7, &[kept, dropped]));
    let machines: Vec<_> = (0..MACHINES)
        .map(|n| {
            let zone = ["uppsala", "vasteras"][n % 2];
            let machine = fleet.add_machine(&format!("m{n}"), "sizing", "svealand", zone);
            let handler = |upstream: &Upstream, req: &Message, http: &mut Http| {
                let id = req.header("x-pistachiolane-request-id").unwrap_or("");
                upstream.record.write(format!("{id} runs at {}", upstream.id));
                thread::sleep(ms(5));
                http.socket.write_all((upstream.head(req, "200 OK", Some(2)) + "ok").as_bytes())
            };
            Upstream::start(&fleet, &machine, &format!("i-{n}"), "sizing", 13, Box::new(handler));
            machine
        })
        .collect();
    fleet.wait_until_ready();
    thread::sleep(ms(5_000));
    // A change in a calm time ends the watches of machines that watched while the fleet was still starting.
    fleet.replace_configuration(&version(9, &[kept, dropped]));
    thread::sleep(ms(6_000));

    let stop = Arc::new(AtomicBool::new(false));
    let probes: Arc<Mutex<Vec<Probe>>> = Arc::default();
    let clients: Vec<_> = (0..MACHINES)
        .map(|n| {
            let (record, stop, probes) =
                (Arc::clone(&fleet.record), Arc::clone(&stop), Arc::clone(&probes));
            let outbound = machines[n].outbound;
            thread::spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("c{n}-{number}");
                    let headers = [
                        ("host", "shop.example"),
                        ("x-pistachiolane-request-id", id.as_str()),
                        ("x-pistachiolane-deadline-ms", "2000"),
                    ];
                    let sent = record.now();
                    let req = request("GET", "/old/a", &headers, "");
                    let res = harness::call_once(outbound, &req, ms(2_500));
                    let status = res.map_or(0, |r| r.status());
                    record.write(format!("{id} sent to m{n} at {:.1}: {status}", sent * 1e3));
                    probes.lock().unwrap().push(Probe { machine: n, sent, status });
                    thread::sleep(ms(100));
                }
            })
        })
        .collect();
    thread::sleep(ms(1_000));
    let watchers: Vec<usize> = (0..MACHINES).filter(|n| fleet.watches(&machines[*n])).collect();
    fleet.record.say(format!("machines that watch the configuration: {watchers:?}"));
    if watchers.is_empty() || watchers.len() as f64 > MAX_SHARE * MACHINES as f64 {
        fleet.end(
            harness::COULD_NOT_RUN,
            "more machines watch the store than the disruption may meet",
        );
    }
    let rejected: Vec<usize> = if trouble() { watchers } else { Vec::new() };
    let by_silence = std::env::var("REJECT").map_or(true, |v| v != "503");
    let reject = |is_rejected: bool| {
        for n in &rejected {
            match by_silence {
                true => fleet.silence_store(&machines[*n], is_rejected),
                false => fleet.turn_away(&machines[*n], is_rejected),
            }
        }
    };
    reject(true);
    thread::sleep(CHANGE_AFTER);
    fleet.replace_configuration(&version(12, &[kept]));
    let acknowledged = fleet.record.now();
    thread::sleep(if by_silence { SILENT } else { TURNED_AWAY } - CHANGE_AFTER);
    reject(false);
    let ended = fleet.record.now();
    thread::sleep(ms(if by_silence { 25_000 } else { 6_000 }));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ignored = client.join();
    }
    let probes = probes.lock().unwrap();
    if !probes.iter().any(|p| p.sent < acknowledged && p.status == 200) {
        fleet.end(harness::COULD_NOT_RUN, "the route was not served before it was dropped");
    }
    // From here on, each request for the dropped route has to be refused: after a silence by machines in touch, of which
    // the core is stable, and otherwise after the time by which an unstable core stretches the bound.
    let from = match (trouble(), by_silence) {
        (false, _) => acknowledged + PROPAGATION_S,
        (true, true) => (acknowledged + PROPAGATION_S).max(ended + STABLE_WINDOW_S),
        (true, false) => acknowledged + PROPAGATION_S + MAX_STRETCH_S,
    };
    let late = |p: &&Probe| p.sent > from && p.status == 200 && !rejected.contains(&p.machine);
    let broken = probes.iter().filter(late).count();
    let last = probes.iter().filter(late).map(|p| p.sent - acknowledged).fold(0.0, f64::max);
    fleet.verdict(
        broken > 0,
        &format!(
            "CONFIG: {broken} requests for the dropped route ran that were sent later than {:.1} s after the \
             acknowledgement to machines that the store has always served (the last {last:.1} s after it); the store \
             served all machines again {:.1} s after it",
            from - acknowledged,
            ended - acknowledged
        ),
    );
}
