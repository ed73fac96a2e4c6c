//! Settings: paths in documents, validation, versions, exchange and acceptance of changes.

use {
    pistachiolane::{
        config::{
            ActiveSubtrees, ApplyResult, Change, ChangeAction, ChangeEvent, ChangeOutcome,
            EVACUATIONS, ROUTES, ReadResult, RequestPolicy, SettingsTree, WriteResult,
            check_document, get_path, lost_subtrees, new_token_digest, set_path, verify_token,
        },
        schema::{RootDocument, Subtree, WorkKind},
        tick::Tick,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    rand::{SeedableRng, rngs::SmallRng},
    serde_json::{Value, json},
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    test_case::test_case,
};

fn root() -> RootDocument {
    serde_json::from_value(json!({ "teams": { "shop": { "services": ["orders"] } } })).unwrap()
}

fn subtree(name: &str, version: u64, document: &Value) -> Subtree {
    let (change, document) = (format!("change-{version}"), document.to_string());
    Subtree { name: name.into(), version, change, document }
}

#[test_case("a/b", 1, r#"{"a":{"b":1,"l":[1,2]}}"#; "replaces")]
#[test_case("a/l/2", 3, r#"{"a":{"b":0,"l":[1,2,3]}}"#; "appends")]
#[test_case("n/m", 1, r#"{"a":{"b":0,"l":[1,2]},"n":{"m":1}}"#; "creates objects")]
fn set_path_changes_the_value_at_the_path(path: &str, value: i32, expected: &str) {
    let document = json!({"a": {"b": 0, "l": [1, 2]}});
    let changed = set_path(&document, path, Some(json!(value))).unwrap();
    assert_eq!(changed, serde_json::from_str::<Value>(expected).unwrap());
    assert_eq!(get_path(&changed, path), Some(&json!(value)));
}

#[test_case("a/b/c"; "below a plain value")]
#[test_case("a/l/7"; "beyond the end of a list")]
#[test_case("a/l/x"; "not an index")]
fn set_path_rejects(path: &str) {
    let document = json!({"a": {"b": 0, "l": [1, 2]}});
    assert_eq!(set_path(&document, path, Some(json!(1))).unwrap_err().path, path);
}

#[test_case("shop", r#"{"services":{"orders":{"timeout_ms":0}}}"#, "shop/services/orders/timeout_ms"; "timeout out of range")]
#[test_case("shop", r#"{"services":{"orders":{"timeout_ms":"x"}}}"#, "shop/services/orders/timeout_ms"; "timeout of another type")]
#[test_case("shop", r#"{"services":{"orders":{"rules":[{"kind":"idempotent","path":"x"}]}}}"#, "shop/services/orders/rules/0/path"; "path of a rule without a slash")]
#[test_case("shop", r#"{"services":{"other":{}}}"#, "shop/services/other"; "service not listed for the team")]
#[test_case("mill", r"{}", "mill"; "undeclared team")]
#[test_case("root", r#"{"teams":{"a":{"services":["s"]},"b":{"services":["s"]}}}"#, "root/teams/b/services"; "service listed for two teams")]
#[test_case("root", r#"{"regions":{"Bad Name":{}}}"#, "root/regions/Bad Name"; "invalid name of a region")]
fn check_document_reports_path(name: &str, text: &str, path: &str) {
    let errors = check_document(name, text, &root()).unwrap_err();
    assert!(errors.iter().any(|e| e.path == path), "{errors:?}");
}

#[test]
fn request_policy_first_matching_rule_wins() {
    let shop = json!({"services": {"orders": {"timeout_ms": 900, "rules": [
        {"method": "POST", "path": "/quote", "kind": "idempotent", "timeout_ms": 50},
        {"method": "POST", "kind": "non_idempotent"},
    ]}}});
    let root = json!({ "teams": { "shop": { "services": ["orders"] } } });
    let subtrees = [subtree("root", 1, &root), subtree("shop", 2, &shop)];
    let tree = SettingsTree::new(subtrees.iter());
    let settings = tree.service("orders").unwrap();
    let policy = |method, path| RequestPolicy::for_request(settings, method, path);
    assert_eq!(policy("POST", "/quote/1").kind, WorkKind::Idempotent);
    assert_eq!(policy("POST", "/quote/1").timeout, Duration::from_millis(50));
    assert_eq!(policy("POST", "/").kind, WorkKind::NonIdempotent);
    assert_eq!(policy("GET", "/").kind, WorkKind::Idempotent);
    assert_eq!(
        policy("PUT", "/").kind,
        WorkKind::NonIdempotent,
        "without a rule, only safe methods are idempotent"
    );
}

#[test]
fn verify_token_accepts_only_the_matching_token() {
    let digest = new_token_digest("secret", &mut SmallRng::seed_from_u64(1));
    assert!(!digest.contains("secret"));
    assert!(verify_token(&digest, Some("secret")));
    assert!(!verify_token(&digest, Some("other")));
    assert!(!verify_token(&digest, None));
    assert!(!verify_token("broken", Some("secret")));
}

fn fixed_seed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed(500))]

    #[test]
    fn versions_never_decrease(
        versions in prop::collection::vec((0..3_usize, 1..20_u64), 1..80),
    ) {
        let names = ["root", "shop", "mill"];
        let mut active = ActiveSubtrees::default();
        for (name, version) in versions {
            let previous = active.version(names[name]);
            let applied = active.apply(subtree(names[name], version, &json!({})));
            prop_assert_eq!(active.version(names[name]), previous.max(version));
            prop_assert_eq!(applied == ApplyResult::Newer, version > previous);
        }
    }

    #[test]
    fn exchange_converges(
        a in prop::collection::vec((0..3_usize, 1..9_u64), 0..9),
        b in prop::collection::vec((0..3_usize, 1..9_u64), 0..9),
    ) {
        let names = ["root", "shop", "mill"];
        let fill = |versions: Vec<(usize, u64)>| {
            let mut active = ActiveSubtrees::default();
            for (name, version) in versions {
                active.apply(subtree(names[name], version, &json!({})));
            }
            active
        };
        let (mut a, mut b) = (fill(a), fill(b));
        let reply = b.exchange(&a.versions());
        for subtree in a.get_many(&reply.wanted) {
            b.apply(subtree);
        }
        for subtree in reply.newer {
            a.apply(subtree);
        }
        prop_assert_eq!(a.digest(), b.digest());
        prop_assert_eq!(a.versions(), b.versions());
    }

    /// Guards against an outcome that doesn't match what happened at the platform: the response to
    /// the write may be lost, another operator may have written first, reads may fail and regions
    /// may not acknowledge.
    #[test]
    fn change_outcome_matches_platform(
        response_lost in any::<bool>(),
        lost_write_succeeded in any::<bool>(),
        conflict in any::<bool>(),
        readable in prop::collection::vec(any::<bool>(), 60),
        confirms in prop::collection::vec(any::<bool>(), 200),
    ) {
        let regions: BTreeSet<Arc<str>> = ["a".into(), "b".into()].into();
        let requested = subtree("shop", 0, &json!({}));
        let (mut change, _write) = Change::new(requested.clone(), 4, regions);
        let written = !conflict && (!response_lost || lost_write_succeeded);
        let mut now = Tick(0);
        let mut readable = readable.into_iter().cycle();
        let mut confirms = confirms.into_iter().cycle();
        let mut confirmed: BTreeSet<Arc<str>> = BTreeSet::new();
        let result = match () {
            () if response_lost => WriteResult::Lost,
            () if conflict => WriteResult::Conflict,
            () => WriteResult::Written(5),
        };
        let mut actions = change.step(now, ChangeEvent::Written(result));
        let outcome = loop {
            prop_assert!(!actions.is_empty(), "the change stalled");
            let mut next = Vec::new();
            let mut finished = None;
            for action in actions {
                match action {
                    ChangeAction::Finish(outcome) => finished = Some(outcome),
                    ChangeAction::WakeAt(at) => {
                        now = at;
                        next.extend(change.step(now, ChangeEvent::Timer));
                    }
                    ChangeAction::ReadBack => {
                        let found = if conflict {
                            ReadResult::Found(subtree("shop", 6, &json!({})))
                        } else if written {
                            ReadResult::Found(Subtree { version: 5, ..requested.clone() })
                        } else {
                            ReadResult::Found(subtree("shop", 4, &json!({})))
                        };
                        let can_read = readable.next() == Some(true);
                        let read = if can_read { found } else { ReadResult::Unavailable };
                        next.extend(change.step(now, ChangeEvent::ReadBack(read)));
                    }
                    ChangeAction::Confirm(region) if confirms.next() == Some(true) => {
                        confirmed.insert(Arc::clone(&region));
                        next.extend(change.step(now, ChangeEvent::Confirmed(region)));
                    }
                    ChangeAction::Apply(applied) => {
                        prop_assert!(written);
                        prop_assert_eq!(applied.version, 5);
                    }
                    ChangeAction::Confirm(_) | ChangeAction::Write { .. } => {}
                }
            }
            if let Some(outcome) = finished {
                break outcome;
            }
            actions = next;
        };
        match outcome {
            ChangeOutcome::Accepted(version) => {
                prop_assert!(written && version == 5 && confirmed.len() == 2);
            }
            ChangeOutcome::Pending { regions, .. } => {
                prop_assert!(written && !regions.is_empty());
            }
            ChangeOutcome::Conflict => prop_assert!(conflict && !response_lost),
            ChangeOutcome::Unknown => prop_assert!(response_lost),
            ChangeOutcome::NotWritten => prop_assert!(false, "the platform never reported `NotWritten`"),
        }
    }
}

/// Pattern: the store came back from an older copy. What is in force and lost there is written again, but
/// for the routes, which the platform's operator writes.
#[test_case("shop", 5, None, true; "missing")]
#[test_case("shop", 5, Some(4), true; "older")]
#[test_case("shop", 5, Some(5), false; "same")]
#[test_case("shop", 5, Some(6), false; "newer")]
#[test_case(ROUTES, 5, None, false; "routes")]
#[test_case(EVACUATIONS, 5, None, false; "evacuations")]
fn lost_subtree_is_written_again(name: &str, in_force: u64, stored: Option<u64>, lost: bool) {
    let in_force = subtree(name, in_force, &json!({}));
    let stored: Vec<Subtree> = stored.map(|v| subtree(name, v, &json!({}))).into_iter().collect();
    let expected: Vec<Subtree> = lost.then(|| in_force.clone()).into_iter().collect();
    assert_eq!(lost_subtrees(vec![in_force], &stored), expected);
}
