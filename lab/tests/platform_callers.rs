//! Callers that are slow: with a request's head, with its body, and with reading the answer.

mod common;

use {
    common::{request, site, status},
    std::{sync::atomic::Ordering, time::Duration},
    test_case::test_case,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// The configuration's time for a head, and a margin.
const HEAD_LIMIT: Duration = Duration::from_millis(3_500);

/// Time after which a caller that reads nothing is given up, and a margin.
const READ_LIMIT: Duration = Duration::from_secs(8);

/// A head that doesn't end in the time for heads ends the connection, whether bytes still trickle in or not.
#[test_case("", false; "the first head stalls")]
#[test_case("", true; "the first head trickles")]
#[test_case("GET /sizing/ok HTTP/1.1\r\nhost: shop.example\r\n\r\n", false; "a later head stalls")]
#[tokio::test(flavor = "multi_thread")]
async fn head_not_complete_in_time(before: &str, trickles: bool) {
    let site = site().await;
    let (mut rx, mut tx) = TcpStream::connect(site.listen).await.unwrap().into_split();
    tx.write_all(format!("{before}GET /sizing/ok HTTP/1.1\r\nhost: ").as_bytes()).await.unwrap();
    let trickle = tokio::spawn(async move {
        // Ends once the connection is closed.
        while trickles && tx.write_all(b"x").await.is_ok() {
            sleep(Duration::from_millis(50)).await;
        }
        std::future::pending::<()>().await;
    });
    let mut answer = Vec::new();
    // A reset, for bytes sent to the closed connection, ends it as well.
    let ended = timeout(HEAD_LIMIT, rx.read_to_end(&mut answer)).await;
    assert!(ended.is_ok(), "still open");
    assert_eq!(site.upstream.executed().len(), usize::from(!before.is_empty()));
    trickle.abort();
}

/// A body that stalls is refused as not run, and the connection closed.
#[tokio::test(flavor = "multi_thread")]
async fn body_stalls() {
    let site = site().await;
    let text = request("POST", "/orders/ok", "a1", "content-length: 4000\r\n") + "abc";
    let answer = site.raw(&text).await;
    assert_eq!(status(&answer), 408, "{answer}");
    assert!(site.upstream.executed().is_empty());
}

/// A caller that doesn't read its answer holds its slot only until it is given up.
#[tokio::test(flavor = "multi_thread")]
async fn answer_not_read() {
    let site = site().await;
    let mut socket = TcpStream::connect(site.listen).await.unwrap();
    let text = request("GET", "/sizing/large", "a1", "");
    socket.write_all(text.as_bytes()).await.unwrap();
    site.until("it runs", async || !site.upstream.executed().is_empty()).await;
    let freed = async {
        while site.upstream.cancelled.load(Ordering::SeqCst) == 0
            || site.node.shared().admission.gate.running() > 0
        {
            sleep(Duration::from_millis(20)).await;
        }
    };
    assert!(timeout(READ_LIMIT, freed).await.is_ok(), "the slot is still held");
    drop(socket);
}
