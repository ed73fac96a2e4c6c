//! Settings of the process: flags before the environment, and all faults at once.

use pistachiolane::settings::{ProcessSettings, SettingsSource};

fn read(flags: &[(&str, &str)], env: &[(&str, &str)]) -> Result<ProcessSettings, Vec<String>> {
    let find = |pairs: &[(&str, &str)], name: &str| {
        pairs.iter().find(|(n, _)| *n == name).map(|(_, v)| (*v).to_owned())
    };
    let source =
        SettingsSource { flag: &|n| find(flags, n), env: &|n| find(env, n), derived: &|_| None };
    ProcessSettings::new(&source).map_err(|e| e.faults)
}

#[test]
fn settings_defaults() {
    let settings = read(&[], &[]).unwrap();
    assert_eq!(settings.listen.to_string(), "127.0.0.1:8080");
    assert_eq!(settings.region.as_ref(), "local");
}

#[test]
fn settings_flag_before_environment() {
    let env = [("PISTACHIOLANE_REGION", "env"), ("PISTACHIOLANE_ZONE", "env-1")];
    let settings = read(&[("region", "flag")], &env).unwrap();
    assert_eq!(settings.region.as_ref(), "flag");
    assert_eq!(settings.zone.as_ref(), "env-1");
}

#[test]
fn settings_all_faults_at_once() {
    let flags = [
        ("listen", "nowhere"),
        ("platform", "ftp://x"),
        ("seeds", "10.0.0.1:1,here"),
        ("gate-listen", "0.0.0.0:1"),
        ("admin-listen", "127.0.0.1:8082"),
        ("region", ""),
    ];
    let faults = read(&flags, &[]).unwrap_err();
    let starts =
        ["--listen", "--platform", "--seeds", "--gate-advertise", "--admin-listen", "--region"];
    for start in starts {
        assert!(faults.iter().any(|f| f.starts_with(start)), "{start} in {faults:?}");
    }
}
