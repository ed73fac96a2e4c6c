//! Timeline of one request from the log lines of several nodes.

use {
    pistachiolane::cli::{Exit, explain},
    test_case::test_case,
};

const LOG_LINES: &str = r#"host-1 {"time":3.0,"target":"entry","message":"call ended","request":"r1","outcome":"answer"}
host-1 {"time":1.0,"target":"entry","message":"attempt sent","request":"r1","attempt":"e-1"}
host-2 {"time":2.0,"target":"gate","message":"attempt refused, not run","attempt":"e-1","reason":"busy"}
host-2 {"time":2.0,"target":"gate","message":"attempt refused, not run","attempt":"e-2","reason":"busy"}
not a line of the log
host-1 {"time":2.5,"target":"entry","message":"attempt sent","request":"r2","attempt":"e-2"}
"#;

#[test_case("r1", Exit::Done, &["attempt sent", "attempt refused", "call ended"]; "across nodes, in order")]
#[test_case("r3", Exit::Failed, &["no log line mentions request r3"]; "unknown request")]
fn explain_request(request: &str, exit: Exit, messages: &[&str]) {
    let mut out = Vec::new();
    assert_eq!(explain(request, LOG_LINES.as_bytes(), &mut out).unwrap(), exit);
    let text = String::from_utf8(out).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), messages.len(), "{text}");
    assert!(lines.iter().zip(messages).all(|(l, m)| l.contains(m)), "{text}");
}
