//! Tests of the process settings: flags take precedence over the environment, and all faults are reported at once.

use pistachiolane::settings::{ProcessSettings, SettingsSource};

fn read_settings(
    flags: &[(&str, &str)],
    env: &[(&str, &str)],
) -> Result<ProcessSettings, Vec<String>> {
    let find = |pairs: &[(&str, &str)], name: &str| {
        pairs.iter().find(|(n, _)| *n == name).map(|(_, v)| (*v).to_owned())
    };
    let source =
        SettingsSource { flag: &|n| find(flags, n), env: &|n| find(env, n), derived: &|_| None };
    ProcessSettings::new(&source).map_err(|e| e.faults)
}

#[test]
fn settings_without_sources_use_defaults() {
    let settings = read_settings(&[], &[]).unwrap();
    assert_eq!(settings.listen.to_string(), "127.0.0.1:8080");
    assert_eq!(settings.region.as_ref(), "local");
}

#[test]
fn settings_flag_overrides_environment() {
    let env = [("PISTACHIOLANE_REGION", "env"), ("PISTACHIOLANE_ZONE", "env-1")];
    let settings = read_settings(&[("region", "flag")], &env).unwrap();
    assert_eq!(settings.region.as_ref(), "flag");
    assert_eq!(settings.zone.as_ref(), "env-1");
}

#[test]
fn settings_report_all_faults() {
    let flags = [
        ("listen", "nowhere"),
        ("platform", "ftp://x"),
        ("seeds", "10.0.0.1:1,here"),
        ("gate-listen", "0.0.0.0:1"),
        ("admin-listen", "127.0.0.1:8082"),
        ("region", ""),
    ];
    let faults = read_settings(&flags, &[]).unwrap_err();
    let flags_with_faults =
        ["--listen", "--platform", "--seeds", "--gate-advertise", "--admin-listen", "--region"];
    for flag in flags_with_faults {
        assert!(faults.iter().any(|f| f.starts_with(flag)), "{flag} in {faults:?}");
    }
}

/// Guards against a balance that is on without being asked for, and against prices that are no amounts.
#[test]
fn zone_balance_is_off_by_default() {
    assert_eq!(read_settings(&[], &[]).unwrap().tunables.zone_balance, None);
    let on = [("zone-balance", "true"), ("zone-price", "0.01")];
    let policy = read_settings(&on, &[]).unwrap().tunables.zone_balance.unwrap();
    assert!((policy.zone_price, policy.region_price) == (0.01, 0.0) && !policy.has_values());
    for amount in ["-1", "inf", "NaN", "much"] {
        let faults = read_settings(&[("answer-value", amount)], &[]).unwrap_err();
        assert!(faults.iter().any(|f| f.starts_with("--answer-value")), "{amount}: {faults:?}");
    }
}
