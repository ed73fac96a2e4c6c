//! Upstreams that write a refusal twice, or only a part of a response's head.

mod common;

use {
    common::{TestHost, ready_host, start_host, status_code},
    lab::stand_in::PLATFORM_REQUEST_ID,
    std::sync::Arc,
    test_case::test_case,
};

fn runs_of(host: &TestHost, id: &str) -> usize {
    host.upstream.executed().iter().filter(|r| r.headers[PLATFORM_REQUEST_ID] == id).count()
}

/// Guards against a refusal that an upstream writes once more on a kept connection, and that is taken for the answer to the
/// next request: its caller was told that the request, which ran, did not.
#[test_case("shed-again"; "without an id")]
#[test_case("shed-again-named"; "with the id of the refused request")]
#[tokio::test(flavor = "multi_thread")]
async fn repeated_refusal_refuses_no_other_request(behaviour: &str) {
    let host = ready_host().await;
    for n in 0..5 {
        let path = format!("/sizing/{behaviour}");
        assert_eq!(status_code(&host.send_request("GET", &path, &format!("a{n}")).await), 503);
        let id = format!("b{n}");
        let response = host.send_request("POST", "/orders/ok", &id).await;
        let is_refused = matches!(status_code(&response), 408 | 421 | 429 | 503);
        let runs = runs_of(&host, &id);
        assert!(runs <= 1 && !(is_refused && runs > 0), "{runs} runs, {response}");
    }
}

/// Guards against a response whose head ends early and that reaches the caller as a complete one. The cuts are within the status line,
/// between headers, within the length, before the end of the head, and, with 165 bytes, in the body.
#[test_case("GET", "sizing")]
#[test_case("POST", "orders")]
#[tokio::test(flavor = "multi_thread")]
async fn response_with_a_cut_head_is_not_complete(method: &str, route: &str) {
    let host = ready_host().await;
    let whole = host.send_request("GET", "/sizing/ok", "a").await;
    assert_eq!(status_code(&whole), 200);
    for length in [0, 9, 15, 17, 40, 60, 100, 130, 140, 150, 160, 165] {
        for n in 0..2 {
            let path = format!("/{route}/cut-head-{length}");
            // First on a connection kept from the last good response, then on one that carried no request.
            for connection in ["k", "n"] {
                // Ids of one length keep the cuts where they are.
                let id = format!("{connection}{length}-{n}");
                let response = host.send_request(method, &path, &id).await;
                let is_failure = matches!(status_code(&response), 502 | 504);
                assert!(is_failure, "{length} bytes, {connection}: {response}");
            }
            assert_eq!(status_code(&host.send_request("GET", "/sizing/ok", "d").await), 200);
        }
    }
}

/// Guards against a status that is none, or that nobody asked for, and reaches the caller as that of its answer.
#[test_case("GET", "sizing", true; "idempotent near")]
#[test_case("GET", "sizing", false; "idempotent far")]
#[test_case("POST", "orders", true; "non idempotent near")]
#[test_case("POST", "orders", false; "non idempotent far")]
#[tokio::test(flavor = "multi_thread")]
async fn response_without_a_final_status_is_a_failure(method: &str, route: &str, is_near: bool) {
    let serving = ready_host().await;
    let far = if is_near { None } else { Some(start_host(Arc::clone(&serving.store)).await) };
    let entry = far.as_ref().unwrap_or(&serving);
    entry
        .wait_until("served", async || {
            status_code(&entry.send_request("GET", "/sizing/ok", "first").await) == 200
        })
        .await;
    for status in ["000", "099", "1000", "abc", "", "-20", "101", "600", "777", "999"] {
        for n in 0..2 {
            let id = format!("s{status}-{n}");
            let path = format!("/{route}/status-{status}");
            let response = entry.send_request(method, &path, &id).await;
            let is_failure = matches!(status_code(&response), 502 | 504);
            assert!(is_failure, "status `{status}`: {response}");
            assert!(!response.contains("odd"), "status `{status}`: {response}");
            assert!(method == "GET" || runs_of(&serving, &id) == 1, "status `{status}`");
            let next = entry.send_request("GET", "/sizing/ok", "next").await;
            assert!(next.ends_with("answer to next"), "after status `{status}`: {next}");
        }
    }
}
