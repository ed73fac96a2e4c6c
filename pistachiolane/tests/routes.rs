//! Routes by host and longest path prefix.

use {
    pistachiolane::{
        config::{ActiveSubtrees, ROUTES, RouteTable, check_document},
        schema::{RootDocument, RouteSettings, RouteTarget, RoutesDocument, Subtree, WorkKind},
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
