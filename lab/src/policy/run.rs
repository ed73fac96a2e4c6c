//! Runs all policies on all scenarios and checks the targets.

use {
    super::{
        model::{Measurements, Model, Scenario},
        policies::Policy,
    },
    crate::report::{Check, Report},
    serde_json::json,
    std::{collections::BTreeMap, time::Duration},
};

/// Maximum p99 latency relative to the oracle.
const ORACLE_RATIO: f64 = 1.2;

/// Maximum p99 latency relative to the random and the two-choices policy.
const BASELINE_RATIO: f64 = 0.5;

/// Load of the scenarios that the p99 and failure targets apply to, if they have a straggler.
const TARGET_LOAD: f64 = 0.8;

/// Runs the experiment and measures `seconds` of virtual time for each scenario and policy.
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
        let name = scenario_name(&scenario);
        for (policy, measured) in &runs {
            report.add_measurement(&format!("{name} {policy}"), summary(measured, seconds));
        }
        if scenario.load == TARGET_LOAD && scenario.straggler_factor > 1.0 {
            check_targets(&mut report, &name, &runs);
        }
        let probes = runs["pistachiolane"].probes;
        report.add_check(Check::at_most(format!("{name}: probes while fresh"), 0.0, probes as f64));
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
    let with_staleness = |ms| Scenario { staleness: Duration::from_millis(ms), ..base };
    vec![
        with_staleness(1),
        base,
        with_staleness(50),
        Scenario { slots: 18, ..base },
        Scenario { load: 0.5, ..base },
        Scenario { load: 0.95, ..base },
        Scenario { straggler_factor: 1.0, ..base },
    ]
}

fn scenario_name(scenario: &Scenario) -> String {
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

fn check_targets(report: &mut Report, name: &str, runs: &BTreeMap<&str, Measurements>) {
    let p99 = |policy: &str| runs[policy].latency.value_at_quantile(0.99) as f64;
    let pistachiolane = p99("pistachiolane");
    let ratio_to = |other: &str| pistachiolane / p99(other);
    let label = |other: &str| format!("{name}: p99 over {other}");
    report.add_check(Check::at_most(label("oracle"), ORACLE_RATIO, ratio_to("oracle")));
    report.add_check(Check::at_most(label("random"), BASELINE_RATIO, ratio_to("random")));
    report.add_check(Check::at_most(label("two-choices"), BASELINE_RATIO, ratio_to("two-choices")));
    let failed = runs["pistachiolane"].failed as f64;
    report.add_check(Check::at_most(format!("{name}: calls failed"), 0.0, failed));
}
