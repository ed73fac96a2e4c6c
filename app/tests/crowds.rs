//! Crowds of callers that send much and never end, against processes whose limits are lowered.
//!
//! A node must outlive such a crowd within its memory and its descriptors, and serve ordinary requests beside it and
//! after it. One crowd at a time; nothing here depends on how fast the machine is.

use {
    bytes::Bytes,
    futures::StreamExt,
    http_body_util::StreamBody,
    hyper::{Request, body::Frame, client::conn::http2},
    hyper_util::rt::{TokioExecutor, TokioIo},
    lab::{
        soak::{Host, SoakContext},
        stand_in::{self, PLATFORM_REQUEST_ID, PlatformStandIn, RouteRow},
    },
    procfs::process::Process,
    rustix::process::{Resource, Rlimit, prlimit},
    serde_json::{Value, json},
    std::{
        convert::Infallible,
        fs,
        net::SocketAddr,
        path::PathBuf,
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    test_case::test_case,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
        sync::Mutex,
        task::JoinSet,
        time::{Instant, sleep, timeout},
    },
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_pistachiolane");

/// Time limit for reaching an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Time limit for a crowd to send what it can; a member that the node does not read from never finishes.
const CROWD_TIMEOUT: Duration = Duration::from_secs(30);

/// Time limit for one ordinary request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);

/// Memory that the settings give to a process, and the bound on its resident memory.
const MEMORY_MIB: u64 = 64;

/// Descriptors that the settings give to a process, and the bound on those it has open.
const DESCRIPTORS: usize = 1_024;

/// The same for crowds that open more connections than that.
const FEW_DESCRIPTORS: usize = 160;

/// Number of connections of such a crowd.
const MANY_CONNECTIONS: usize = 300;

/// Largest legal body.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Bodies that a node buffers, and bodies that it streams.
const BUFFERED_BYTES: usize = 500 << 10;
const STREAMED_BYTES: usize = 2 << 20;

/// Sends one crowd at a time.
static ONE_CROWD: Mutex<()> = Mutex::const_new(());

/// What each member of a crowd sends on a connection of its own.
#[derive(Clone, Copy, Debug)]
struct Crowd {
    members: usize,
    body_bytes: usize,
    /// Size of the chunks; `None` if the body has a length.
    chunk_bytes: Option<usize>,
    /// Whether the last byte is sent.
    is_whole: bool,
}

/// Hosts 0 and 1, and what the test knows of them.
struct Hosts {
    hosts: Vec<Arc<Host>>,
    next_id: AtomicU64,
}

fn configuration() -> Value {
    let row = |name: &str, route_type, service| RouteRow {
        name: name.to_owned(),
        host: "shop.example",
        route_type,
        timeout_s: 20.0,
        service,
        max_attempts: 2,
    };
    let routes = [
        row("near", "upload", "booking"),
        row("far", "upload", "sorting"),
        row("orders", "non_idempotent", "booking"),
        row("sizing", "idempotent", "sorting"),
    ];
    let mut configuration = stand_in::configuration("r7", &routes, &["booking", "sorting"]);
    configuration["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
    configuration
}

impl Hosts {
    async fn start(name: &str, descriptors: usize) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).unwrap();
        let store = PlatformStandIn::new();
        store.write_as_operator("config", "main", configuration());
        let context = SoakContext::new(PathBuf::from(PROGRAM), directory)
            .with_setting("MEMORY", &MEMORY_MIB.to_string())
            .with_setting("DESCRIPTORS", &descriptors.to_string());
        let context = Arc::new(context);
        let mut hosts = Vec::new();
        for index in 0..2 {
            hosts.push(Host::start(index, &store, Arc::clone(&context)).await.unwrap());
        }
        for host in &hosts {
            wait_until("ready", async || host.is_ready().await).await;
        }
        let hosts = Self { hosts, next_id: AtomicU64::new(0) };
        hosts.serve_ordinary_requests().await;
        hosts
    }

    /// Address for callers of host 0, through which the crowd comes.
    fn entry(&self) -> SocketAddr {
        self.hosts[0].addresses().listen
    }

    fn process(&self, index: usize) -> Process {
        let id = self.hosts[index].process_id().expect("the process lives");
        Process::new(id.as_raw_nonzero().get()).unwrap()
    }

    fn open_descriptors(&self) -> Vec<usize> {
        (0..self.hosts.len()).map(|n| self.process(n).fd_count().unwrap()).collect()
    }

    /// Sends ordinary requests through host 0 until its own upstream and that of host 1 have each answered one.
    async fn serve_ordinary_requests(&self) {
        for route in ["orders", "sizing"] {
            wait_until(route, async || {
                let id = self.next_id.fetch_add(1, Ordering::SeqCst);
                let request = format!(
                    "POST /{route}/ordinary HTTP/1.1\r\nhost: shop.example\r\n{PLATFORM_REQUEST_ID}: ordinary-{id}\r\n\
                     x-pistachiolane-deadline-ms: 5000\r\ncontent-length: 5\r\nconnection: close\r\n\r\nhello"
                );
                let response = timeout(REQUEST_TIMEOUT, exchange(self.entry(), &request)).await;
                response.is_ok_and(|r| r.ends_with(&format!("answer to ordinary-{id}")))
            })
            .await;
        }
    }

    /// Checks that both processes live, and their memory and descriptors.
    fn check_limits(&self, when: &str, max_descriptors: usize) {
        for (n, host) in self.hosts.iter().enumerate() {
            assert!(!host.has_exited(), "{when}: process {n} has ended");
            let status = self.process(n).status().unwrap();
            let (peak, now) = (status.vmhwm.unwrap() / 1_024, status.vmrss.unwrap() / 1_024);
            let descriptors = self.process(n).fd_count().unwrap();
            println!("{when}: process {n}: {now} MiB, peak {peak} MiB, {descriptors} descriptors");
            assert!(peak <= MEMORY_MIB, "{when}: process {n} had {peak} MiB of {MEMORY_MIB}");
            assert!(
                descriptors <= max_descriptors,
                "{when}: process {n} has {descriptors} descriptors"
            );
        }
    }

    /// Waits until the crowd's descriptors are closed, and checks what is left.
    async fn check_after_the_crowd(&self, before: &[usize], max_descriptors: usize) {
        // Connections to the upstream and between the nodes may have been opened meanwhile.
        let slack = 40;
        wait_until("descriptors closed", async || {
            self.open_descriptors().iter().zip(before).all(|(now, before)| *now <= before + slack)
        })
        .await;
        self.check_limits("after the crowd", max_descriptors);
        self.serve_ordinary_requests().await;
    }
}

async fn wait_until(expected: &str, mut done: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !done().await {
        assert!(Instant::now() < deadline, "timed out waiting for: {expected}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Sends a request and returns all that comes until the connection ends; empty if it fails.
async fn exchange(address: SocketAddr, request: &str) -> String {
    let mut response = Vec::new();
    if let Ok(mut socket) = TcpStream::connect(address).await {
        let _written = socket.write_all(request.as_bytes()).await;
        let _read = socket.read_to_end(&mut response).await;
    }
    String::from_utf8_lossy(&response).into_owned()
}

impl Crowd {
    const fn with_length(members: usize, body_bytes: usize) -> Self {
        Self { members, body_bytes, chunk_bytes: None, is_whole: true }
    }

    const fn in_chunks(members: usize, body_bytes: usize, chunk_bytes: usize) -> Self {
        Self { members, body_bytes, chunk_bytes: Some(chunk_bytes), is_whole: true }
    }

    /// Stops one byte short of the end.
    const fn unfinished(self) -> Self {
        Self { is_whole: false, ..self }
    }

    /// Returns the request of a member, without its last byte if the crowd does not finish.
    fn request(&self, route: &str, member: usize) -> Vec<u8> {
        let framing = match self.chunk_bytes {
            None => format!("content-length: {}", self.body_bytes),
            Some(_) => "transfer-encoding: chunked".to_owned(),
        };
        let mut request = format!(
            "POST /{route}/work-50 HTTP/1.1\r\nhost: shop.example\r\n{PLATFORM_REQUEST_ID}: crowd-{member}\r\n\
             x-pistachiolane-deadline-ms: 20000\r\n{framing}\r\n\r\n"
        )
        .into_bytes();
        match self.chunk_bytes {
            None => request.extend(std::iter::repeat_n(b'x', self.body_bytes)),
            Some(size) => {
                for start in (0..self.body_bytes).step_by(size) {
                    let size = size.min(self.body_bytes - start);
                    request.extend_from_slice(format!("{size:x}\r\n").as_bytes());
                    request.extend(std::iter::repeat_n(b'x', size));
                    request.extend_from_slice(b"\r\n");
                }
                request.extend_from_slice(b"0\r\n\r\n");
            }
        }
        // The end of a chunked body is its last chunk of size 0.
        let missing = match (self.is_whole, self.chunk_bytes) {
            (true, _) => 0,
            (false, None) => 1,
            (false, Some(_)) => 5,
        };
        request.truncate(request.len() - missing);
        request
    }

    /// Sends the crowd to a route of host 0, and checks both processes while it is there and after it has left.
    async fn send(self, name: &str, route: &'static str) {
        let _one_crowd = ONE_CROWD.lock().await;
        let hosts = Hosts::start(&format!("crowd-{name}-{route}"), DESCRIPTORS).await;
        let before = hosts.open_descriptors();
        let sent = Arc::new(AtomicUsize::new(0));
        let mut members = JoinSet::new();
        for n in 0..self.members {
            let (request, sent, entry) = (self.request(route, n), Arc::clone(&sent), hosts.entry());
            members.spawn(async move {
                let mut socket = TcpStream::connect(entry).await;
                if let Ok(socket) = &mut socket {
                    let (mut reader, mut writer) = socket.split();
                    let mut response = [0; 1_024];
                    // A refusal ends the writing.
                    tokio::select! {
                        _written = writer.write_all(&request) => {}
                        _refused = reader.read(&mut response) => {}
                    }
                }
                sent.fetch_add(1, Ordering::SeqCst);
                // Members stay until the crowd leaves.
                std::future::pending::<()>().await;
                drop(socket);
            });
        }
        let deadline = Instant::now() + CROWD_TIMEOUT;
        while sent.load(Ordering::SeqCst) < self.members && Instant::now() < deadline {
            sleep(Duration::from_millis(50)).await;
        }
        println!(
            "{} of {} members have sent what they could",
            sent.load(Ordering::SeqCst),
            self.members
        );
        hosts.check_limits("beside the crowd", DESCRIPTORS);
        hosts.serve_ordinary_requests().await;
        members.shutdown().await;
        hosts.check_after_the_crowd(&before, DESCRIPTORS).await;
    }
}

#[test_case("near"; "near")]
#[test_case("far"; "far")]
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_with_length(route: &'static str) {
    Crowd::with_length(300, BUFFERED_BYTES).send("whole-length", route).await;
}

#[test_case("near"; "near")]
#[test_case("far"; "far")]
#[tokio::test(flavor = "multi_thread")]
async fn whole_large_bodies_with_length(route: &'static str) {
    Crowd::with_length(150, STREAMED_BYTES).send("whole-large-length", route).await;
}

#[test_case("near"; "near")]
#[test_case("far"; "far")]
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_in_large_chunks(route: &'static str) {
    Crowd::in_chunks(300, BUFFERED_BYTES, 64 << 10).send("whole-chunks", route).await;
}

#[test_case("near"; "near")]
#[test_case("far"; "far")]
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_with_length(route: &'static str) {
    Crowd::with_length(300, BUFFERED_BYTES).unfinished().send("short-length", route).await;
}

#[test_case("near"; "near")]
#[test_case("far"; "far")]
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_large_bodies_with_length(route: &'static str) {
    let crowd = Crowd::with_length(150, STREAMED_BYTES).unfinished();
    crowd.send("short-large-length", route).await;
}

#[test_case("near"; "near")]
#[test_case("far"; "far")]
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_in_large_chunks(route: &'static str) {
    let crowd = Crowd::in_chunks(300, BUFFERED_BYTES, 64 << 10).unfinished();
    crowd.send("short-chunks", route).await;
}

#[test_case("near"; "near")]
#[test_case("far"; "far")]
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_large_bodies_in_large_chunks(route: &'static str) {
    let crowd = Crowd::in_chunks(150, STREAMED_BYTES, 64 << 10).unfinished();
    crowd.send("short-large-chunks", route).await;
}

#[test_case("near"; "near")]
#[test_case("far"; "far")]
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_in_chunks_of_one_byte(route: &'static str) {
    let crowd = Crowd::in_chunks(200, 32 << 10, 1).unfinished();
    crowd.send("short-tiny-chunks", route).await;
}

/// Bodies that are too large to buffer, so that their chunks pass through both nodes.
#[test_case("near"; "near")]
#[test_case("far"; "far")]
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_large_bodies_in_chunks_of_one_byte(route: &'static str) {
    let crowd = Crowd::in_chunks(30, 768 << 10, 1).unfinished();
    crowd.send("short-large-tiny-chunks", route).await;
}

/// Answers that fit into what nodes hold on the way, so that the upstream is done with them.
#[test_case("near"; "near")]
#[test_case("far"; "far")]
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_nobody_reads(route: &'static str) {
    let _one_crowd = ONE_CROWD.lock().await;
    let hosts = Hosts::start(&format!("crowd-unread-{route}"), DESCRIPTORS).await;
    let before = hosts.open_descriptors();
    let mut sockets = Vec::new();
    for n in 0..100 {
        let request = format!(
            "GET /{route}/bytes-800000 HTTP/1.1\r\nhost: shop.example\r\n{PLATFORM_REQUEST_ID}: crowd-{n}\r\n\
             x-pistachiolane-deadline-ms: 20000\r\n\r\n"
        );
        // Little of the answer leaves the node.
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4_096).unwrap();
        let mut socket = socket.connect(hosts.entry()).await.unwrap();
        socket.write_all(request.as_bytes()).await.unwrap();
        sockets.push(socket);
    }
    // Answers begin, or the callers are refused or closed.
    for socket in &mut sockets {
        let _first = timeout(REQUEST_TIMEOUT, socket.read_u8()).await;
    }
    hosts.check_limits("beside the crowd", DESCRIPTORS);
    hosts.serve_ordinary_requests().await;
    drop(sockets);
    hosts.check_after_the_crowd(&before, DESCRIPTORS).await;
}

/// Unfinished bodies on several streams of each HTTP/2 connection.
#[test_case("near"; "near")]
#[test_case("far"; "far")]
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_on_streams(route: &'static str) {
    let _one_crowd = ONE_CROWD.lock().await;
    let hosts = Hosts::start(&format!("crowd-streams-{route}"), DESCRIPTORS).await;
    let before = hosts.open_descriptors();
    let mut members = JoinSet::new();
    for n in 0..10 {
        let entry = hosts.entry();
        members.spawn(async move {
            let socket = TokioIo::new(TcpStream::connect(entry).await.unwrap());
            let (sender, connection) =
                http2::handshake(TokioExecutor::new(), socket).await.unwrap();
            let connection = tokio::spawn(connection);
            for stream in 0..30 {
                let request = Request::post(format!("http://shop.example/{route}/work-50"))
                    .header(PLATFORM_REQUEST_ID, format!("crowd-{n}-{stream}"))
                    .header("x-pistachiolane-deadline-ms", "20000")
                    .header("content-length", BUFFERED_BYTES);
                let bytes = Bytes::from(vec![b'x'; BUFFERED_BYTES - 1]);
                let sent = futures::stream::iter([Ok::<_, Infallible>(Frame::data(bytes))]);
                let body = StreamBody::new(sent.chain(futures::stream::pending()));
                let request = request.body(body).unwrap();
                let mut sender = sender.clone();
                tokio::spawn(async move { sender.send_request(request).await.map(drop) });
            }
            let _ended = connection.await;
        });
    }
    sleep(Duration::from_secs(3)).await;
    hosts.check_limits("beside the crowd", DESCRIPTORS);
    hosts.serve_ordinary_requests().await;
    members.shutdown().await;
    hosts.check_after_the_crowd(&before, DESCRIPTORS).await;
}

/// Listener of a node.
#[derive(Clone, Copy, Debug)]
enum Listener {
    Callers,
    Gate,
    Control,
    Admin,
    Readiness,
    Announcements,
}

impl Listener {
    fn address(self, host: &Host) -> SocketAddr {
        let (addresses, (ready, announce)) = (host.addresses(), host.service_addresses());
        match self {
            Self::Callers => addresses.listen,
            Self::Gate => addresses.gate,
            Self::Control => addresses.control,
            Self::Admin => addresses.admin,
            Self::Readiness => ready,
            Self::Announcements => announce,
        }
    }
}

/// Opens more connections than the process may have descriptors and sends `start` on each.
async fn send_connections(
    name: &str,
    listener: Listener,
    start: &'static str,
    is_limited_by_the_system: bool,
) {
    let _one_crowd = ONE_CROWD.lock().await;
    let hosts = Hosts::start(&format!("connections-{name}"), FEW_DESCRIPTORS).await;
    let before = hosts.open_descriptors();
    if is_limited_by_the_system {
        let limit = Some(FEW_DESCRIPTORS as u64);
        let limit = Rlimit { current: limit, maximum: limit };
        prlimit(hosts.hosts[0].process_id(), Resource::Nofile, limit).unwrap();
    }
    let opened = Arc::new(AtomicUsize::new(0));
    let mut members = JoinSet::new();
    for _ in 0..MANY_CONNECTIONS {
        let (opened, address) = (Arc::clone(&opened), listener.address(&hosts.hosts[0]));
        members.spawn(async move {
            let socket = TcpStream::connect(address).await;
            if let Ok(mut socket) = socket {
                let _written = socket.write_all(start.as_bytes()).await;
                opened.fetch_add(1, Ordering::SeqCst);
                std::future::pending::<()>().await;
            }
        });
    }
    let deadline = Instant::now() + CROWD_TIMEOUT;
    while opened.load(Ordering::SeqCst) < MANY_CONNECTIONS && Instant::now() < deadline {
        sleep(Duration::from_millis(50)).await;
    }
    hosts.check_limits("beside the crowd", FEW_DESCRIPTORS);
    hosts.serve_ordinary_requests().await;
    // A node that joins the fleet may not be ready for a moment.
    wait_until("ready beside the crowd", async || hosts.hosts[0].is_ready().await).await;
    members.shutdown().await;
    hosts.check_after_the_crowd(&before, FEW_DESCRIPTORS).await;
}

const UNFINISHED_HEAD: &str = "POST /near/work-50 HTTP/1.1\r\nhost: shop.exam";
const UNFINISHED_BODY: &str =
    "POST /near/work-50 HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 9\r\n\r\nunfinish";

#[test_case("idle", Listener::Callers, "", false; "idle")]
#[test_case("head", Listener::Callers, UNFINISHED_HEAD, false; "unfinished head")]
#[test_case("body", Listener::Callers, UNFINISHED_BODY, false; "unfinished body")]
#[test_case("idle-limited", Listener::Callers, "", true; "idle with the limit of the system")]
#[test_case("gate", Listener::Gate, "", false; "gate")]
#[test_case("control", Listener::Control, "", false; "control")]
#[test_case("admin", Listener::Admin, UNFINISHED_HEAD, false; "admin")]
#[test_case("readiness", Listener::Readiness, UNFINISHED_HEAD, false; "readiness")]
#[test_case("announcements", Listener::Announcements, UNFINISHED_HEAD, false; "announcements")]
#[tokio::test(flavor = "multi_thread")]
async fn more_connections_than_descriptors(
    name: &str,
    listener: Listener,
    start: &'static str,
    is_limited: bool,
) {
    send_connections(name, listener, start, is_limited).await;
}
