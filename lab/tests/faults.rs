//! Guarantees to callers in the randomised simulation of faults, with fixed seeds.

use test_case::test_case;

#[test_case(11)]
#[test_case(12)]
#[test_case(13)]
fn guarantees_hold_under_faults(seed: u64) {
    let report = lab::faults::run(100_000, seed);
    assert!(report.passed(), "{}", report.table());
}
