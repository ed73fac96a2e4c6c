//! Runs all policies over the scenarios and checks the targets.

use {
    super::{
        model::{Measurements, Model, Scenario},
        policies::Policy,
    },
    crate::report::{Check, Report},
    serde_json::json,
    std::{collections::BTreeMap, time::Duration},
};

/// Largest p99 relative to the oracle.
const ORACLE_RATIO: f64 = 1.2;

/// Largest p99 relative to random and to two choices.
const BASELINE_RATIO: f64 = 0.5;

/// Load and straggler of the scenarios that the targets speak of.
const TARGET_LOAD: f64 = 0.8;

/// Runs the experiment; `seconds` of virtual time are measured for each scenario and policy.
pub fn run(seed: u64, seconds: u64) -> Report {
    let mut report = Report::new("policy", seed);
    for scenario in scenarios(seconds) {
        let runs: BTreeMap<&str, Measurements> = std::thread::scope(|scope| {
            let handles: Vec<_> = Policy::ALL
                .iter()
                .map(|&p| (p.name(), scope.spawn(move || Model::new(scenario, p, seed).run())))
                .collect();
            handles.into_iter().filter_map(|(n, h)| Some((n, h.join().ok()?))).collect()
        });
        let name = name(&scenario);
        for (policy, measured) in &runs {
            report.figure(&format!("{name} {policy}"), summary(measured, seconds));
        }
        if scenario.load == TARGET_LOAD && scenario.straggler_factor > 1.0 {
            check(&mut report, &name, &runs);
        }
        let probes = runs["pistachiolane"].probes;
        report.check(Check::at_most(format!("{name}: probes while fresh"), 0.0, probes as f64));
    }
    report
}

fn scenarios(seconds: u64) -> Vec<Scenario> {
    let base = Scenario {
        slots: 13,
        mean_service_time: Duration::from_millis(10),
        load: TARGET_LOAD,
        straggler_factor: 5.0,
        neighbour_slots: 4,
        staleness: Duration::from_millis(10),
        measured_time: Duration::from_secs(seconds),
    };
    let stale = |ms| Scenario { staleness: Duration::from_millis(ms), ..base };
    vec![
        stale(1),
        base,
        stale(50),
        Scenario { slots: 18, ..base },
        Scenario { load: 0.5, ..base },
        Scenario { load: 0.95, ..base },
        Scenario { straggler_factor: 1.0, ..base },
    ]
}

fn name(scenario: &Scenario) -> String {
    let Scenario { slots, load, straggler_factor, staleness, .. } = scenario;
    let percent = (load * 100.0).round();
    format!(
        "slots {slots} load {percent}% straggler x{straggler_factor} stale {}ms",
        staleness.as_millis()
    )
}

fn summary(measured: &Measurements, seconds: u64) -> serde_json::Value {
    let ms = |q| measured.latency.value_at_quantile(q) as f64 / 1_000.0;
    json!({
        "p50_ms": ms(0.5),
        "p99_ms": ms(0.99),
        "p999_ms": ms(0.999),
        "goodput_per_s": (measured.latency.len() - measured.failed) / seconds.max(1),
        "failed": measured.failed,
        "calls": measured.calls,
        "attempts": measured.attempts,
        "hedges": measured.hedges,
        "refused": measured.refused,
        "probes": measured.probes,
    })
}

fn check(report: &mut Report, name: &str, runs: &BTreeMap<&str, Measurements>) {
    let p99 = |policy: &str| runs[policy].latency.value_at_quantile(0.99) as f64;
    let own = p99("pistachiolane");
    let against = |other: &str| own / p99(other);
    let ratio = |other: &str| format!("{name}: p99 over {other}");
    report.check(Check::at_most(ratio("oracle"), ORACLE_RATIO, against("oracle")));
    report.check(Check::at_most(ratio("random"), BASELINE_RATIO, against("random")));
    report.check(Check::at_most(ratio("two-choices"), BASELINE_RATIO, against("two-choices")));
    let failed = runs["pistachiolane"].failed as f64;
    report.check(Check::at_most(format!("{name}: calls failed"), 0.0, failed));
}
