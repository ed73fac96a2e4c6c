//! Checks the routing targets for a fixed seed.

#[test]
fn policy_targets_hold() {
    let report = lab::policy::run(3, 2);
    assert!(report.passed(), "{}", report.table());
}
