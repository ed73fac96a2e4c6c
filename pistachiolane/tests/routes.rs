//! Routes by host and longest path prefix.

use {
    pistachiolane::{
        config::{ActiveSubtrees, KeyDigest, ROOT, ROUTES, RouteTable, check_document},
        schema::{
            RootDocument, RouteSettings, RouteTarget, RoutesDocument, Subtree, WorkKind,
            WorkspaceSettings,
        },
    },
    test_case::test_case,
};

fn route(name: &str, host: &str, prefix: &str, targets: &[(&str, u32)]) -> RouteSettings {
    RouteSettings {
        name: name.into(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: WorkKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 300,
        priority: 1,
        max_attempts: 2,
        regions: Vec::new(),
        key_exempt: false,
        targets: targets
            .iter()
            .map(|&(service, weight)| RouteTarget { service: service.into(), weight })
            .collect(),
    }
}

fn document(routes: Vec<RouteSettings>) -> RoutesDocument {
    RoutesDocument { routes, ..RoutesDocument::default() }
}

#[test_case("shop", "/a/x", Some("short"); "prefix")]
#[test_case("shop", "/a/b/x", Some("long"); "longest prefix")]
#[test_case("shop", "/a/b/", Some("long"); "the prefix itself")]
#[test_case("shop", "/a/bc/x", Some("short"); "a prefix ends at a slash")]
#[test_case("shop", "/b/x", None; "no prefix")]
#[test_case("mill", "/a/x", None; "other host")]
#[test_case("cap", "/any", Some("root"); "host in capitals in the settings")]
fn route_with_the_longest_prefix_is_found(host: &str, path: &str, expected: Option<&str>) {
    let table = RouteTable::new(&document(vec![
        route("short", "shop", "/a/", &[("sizing", 1)]),
        route("long", "shop", "/a/b/", &[("orders", 1)]),
        route("root", "CAP", "/", &[("orders", 1)]),
    ]));
    assert_eq!(table.find(host, path).map(|r| r.name.as_ref()), expected);
}

#[test_case(0.0, "a"; "first")]
#[test_case(0.89, "a"; "upper end of the first")]
#[test_case(0.9, "b"; "second")]
#[test_case(0.999_999, "b"; "end")]
fn target_is_selected_by_weight(draw: f64, expected: &str) {
    let table = RouteTable::new(&document(vec![route(
        "r",
        "shop",
        "/",
        &[("a", 90), ("b", 10), ("c", 0)],
    )]));
    let target = table.find("shop", "/").unwrap().select_target(draw);
    assert_eq!(target.unwrap().as_ref(), expected);
}

#[test_case(route("r", "shop", "/a", &[("a", 1)]), "routes/routes/0/prefix"; "no slash at the end")]
#[test_case(route("r", "shop:80", "/", &[("a", 1)]), "routes/routes/0/host"; "port")]
#[test_case(route("r", "shop", "/", &[("a", 0)]), "routes/routes/0/targets"; "no weight")]
fn check_document_reports_path(invalid: RouteSettings, path: &str) {
    let text = serde_json::to_string(&document(vec![invalid])).unwrap();
    let errors = check_document(ROUTES, &text, &RootDocument::default()).unwrap_err();
    assert!(errors.iter().any(|e| e.path == path), "{errors:?}");
}

#[test]
fn check_document_rejects_duplicate_routes() {
    let duplicates =
        vec![route("r", "shop", "/", &[("a", 1)]), route("s", "SHOP", "/", &[("b", 1)])];
    let text = serde_json::to_string(&document(duplicates)).unwrap();
    assert!(check_document(ROUTES, &text, &RootDocument::default()).is_err());
}

/// Guards against settings under which a key identifies two workspaces, or a request runs under another name. No
/// message quotes a value that may be a key.
#[test_case(r#"[{"name":"a"},{"name":"a"}]"#, "workspaces/1/name"; "same name")]
#[test_case(r#"[{"name":""}]"#, "workspaces/0/name"; "no name")]
#[test_case(r#"[{"name":" a"}]"#, "workspaces/0/name"; "outer space")]
#[test_case(r#"[{"name":"a","key_digests":["D"]},{"name":"b","key_digests":["E","D"]}]"#, "workspaces/1/key_digests/1"; "common key")]
#[test_case(r#"[{"name":"a","key_digests":["s3cret"]}]"#, "workspaces/0/key_digests/0"; "key in place of a digest")]
#[test_case(r#"[{"name":"a","key_digests":"s3cret"}]"#, "workspaces/0/key_digests"; "digests of another type")]
#[test_case(r#"[{"name":"a","requests_per_second":-1}]"#, "workspaces/0/requests_per_second"; "negative rate")]
#[test_case(r#"[{"name":"a","burst":-0.5}]"#, "workspaces/0/burst"; "negative burst")]
fn check_document_reports_path_in_workspaces(workspaces: &str, path: &str) {
    let digest = |key: &[u8]| KeyDigest::new(key).to_hex();
    let workspaces = workspaces.replace('D', &digest(b"d")).replace('E', &digest(b"e"));
    let text = format!(r#"{{"workspaces":{workspaces}}}"#);
    let errors = check_document(ROUTES, &text, &RootDocument::default()).unwrap_err();
    let [error] = errors.as_slice() else { panic!("{errors:?}") };
    assert_eq!(error.path, format!("routes/{path}"));
    assert!(!error.to_string().contains("s3cret"), "{error}");
}

#[test]
fn evacuations_is_no_name_of_a_team() {
    let text = r#"{"teams":{"evacuations":{"services":[]}}}"#;
    assert!(check_document(ROOT, text, &RootDocument::default()).is_err());
}

/// Guards against a key of two workspaces that runs under the name of one of them, whatever their order and number.
#[test]
fn key_of_two_workspaces_identifies_none() {
    let digest = |key: &str| KeyDigest::new(key.as_bytes());
    let settings = |(name, keys): (&str, &[&str])| WorkspaceSettings {
        name: name.into(),
        key_digests: keys.iter().map(|key| digest(key).to_hex()).collect(),
        priority: None,
        requests_per_second: 0.0,
        burst: 0.0,
        regions: Vec::new(),
    };
    let held: [(&str, &[&str]); 4] =
        [("a", &["x", "own", "own"]), ("b", &["x"]), ("c", &["x"]), ("line\nbreak", &["y"])];
    let workspaces = held.into_iter().map(settings).collect();
    let table = RouteTable::new(&RoutesDocument { workspaces, ..RoutesDocument::default() });
    let name = |key: &str| table.workspace(&digest(key)).map(|w| w.name.to_string());
    assert_eq!([name("own"), name("x"), name("y")], [Some("a".to_owned()), None, None]);
    assert_eq!(table.shared_keys, [["a".into(), "b".into()]]);
}

/// Guards against an older version of the routes replacing a newer one.
#[test]
fn active_subtrees_compile_newest_routes() {
    let mut active = ActiveSubtrees::default();
    let text =
        serde_json::to_string(&document(vec![route("r", "shop", "/", &[("a", 1)])])).unwrap();
    let subtree = |version, document: &str| Subtree {
        name: ROUTES.into(),
        version,
        change: String::new(),
        document: document.to_owned(),
    };
    active.apply(subtree(3, &text));
    let tree = active.compile();
    assert_eq!((tree.routes_version(), tree.routes().unwrap().len()), (3, 1));
    active.apply(subtree(2, "{}"));
    assert_eq!(active.compile().routes_version(), 3);
}
