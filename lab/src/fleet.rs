//! Small fleet on loopback addresses: the stand-in of the platform, upstreams, and one node per
//! upstream.

use {
    crate::{
        http::{HttpClient, HttpError},
        load::Entries,
        relay::Relay,
        stand_in::{PlatformStandIn, UpstreamBehaviour, UpstreamStandIn},
    },
    hyper::Method,
    pistachiolane::{
        node::{self, NodeError, RunningNode},
        settings::{ProcessSettings, SettingsError, SettingsSource},
    },
    serde_json::{Value, json},
    std::{
        collections::HashMap,
        net::{Ipv4Addr, SocketAddr},
        sync::{
            Arc, PoisonError, RwLock,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time::{Instant, sleep},
    tokio_util::sync::CancellationToken,
};

/// Time limit for a fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// First port of the range that nodes listen on. The range lies below the ephemeral ports, which
/// the system assigns to outgoing connections.
const FIRST_PORT: u16 = 12_000;

/// Number of ports in the range.
const PORT_COUNT: usize = 18_000;

/// Number of ports tried so far. It is also the offset of the next one, modulo `PORT_COUNT`.
static PORTS_TRIED: AtomicUsize = AtomicUsize::new(0);

/// Error in starting or using a fleet.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A socket could not be opened.
    #[error("cannot open a socket: {0}")]
    Io(#[from] std::io::Error),
    /// The process settings of a node are not valid.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// A node did not start.
    #[error("{0}")]
    Node(#[from] NodeError),
    /// A request to a node failed.
    #[error("{0}")]
    Http(#[from] HttpError),
    /// A node rejected a change of the settings: subtree and body of the response.
    #[error("settings rejected: {0}")]
    SettingsRejected(String),
    /// The fleet did not become ready in time: node and unmet condition.
    #[error("fleet not ready in time: {0}")]
    NotReady(String),
    /// A task that sends load panicked or was cancelled.
    #[error("load task failed: {0}")]
    LoadTask(String),
}

/// Location and upstream of one member of a fleet.
#[derive(Clone, Debug)]
pub struct MemberSpec {
    /// Region.
    pub region: &'static str,
    /// Availability zone.
    pub zone: &'static str,
    /// Behaviour of the upstream.
    pub behaviour: UpstreamBehaviour,
}

/// Addresses of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address that the gate listens on for requests from other nodes.
    pub gate: SocketAddr,
    /// Gate address that the node advertises to other nodes; may be the address of a relay.
    pub advertised_gate: SocketAddr,
    /// Address for control traffic between nodes.
    pub control: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
}

/// A node and its upstream.
#[derive(Debug)]
pub struct FleetMember {
    /// Addresses of the node.
    pub addresses: NodeAddresses,
    /// The upstream.
    pub upstream: Arc<UpstreamStandIn>,
    /// The node; `None` once it has been stopped.
    pub node: Option<RunningNode>,
    /// Token that stops the upstream.
    pub upstream_stop: CancellationToken,
    /// Specification that the member was started with.
    pub spec: MemberSpec,
}

/// A fleet that runs in this process and communicates over real sockets.
#[derive(Debug)]
pub struct Fleet {
    /// Stand-in of the platform.
    pub platform: Arc<PlatformStandIn>,
    /// Address of the stand-in of the platform.
    pub platform_address: SocketAddr,
    /// All members, including those whose node was stopped.
    pub members: Vec<FleetMember>,
    /// Client for requests to the nodes.
    pub http: HttpClient,
    /// Token that stops the platform and all upstreams, but not the nodes.
    pub stop: CancellationToken,
}

impl Fleet {
    /// Starts a fleet and applies `settings`, a list of subtrees and their documents with the root
    /// first.
    ///
    /// # Errors
    /// Fails if the platform, an upstream or a node does not start, a document is rejected, or the
    /// fleet is not ready in time.
    pub async fn start(
        specs: Vec<MemberSpec>,
        settings: &[(&str, Value)],
    ) -> Result<Self, FleetError> {
        let stop = CancellationToken::new();
        let platform = PlatformStandIn::new();
        let platform_address = platform.start(loopback(0), stop.clone()).await?;
        let mut fleet =
            Self { platform, platform_address, members: Vec::new(), http: HttpClient::new(), stop };
        for spec in specs {
            fleet.add_member(spec).await?;
        }
        fleet.wait_until_joined().await?;
        for (subtree, document) in settings {
            fleet.apply(subtree, document).await?;
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Starts another node with its upstream.
    ///
    /// # Errors
    /// Fails if the node or the upstream does not start.
    pub async fn add_member(&mut self, spec: MemberSpec) -> Result<(), FleetError> {
        let addresses = free_addresses().await?;
        self.add_member_at(spec, addresses).await
    }

    /// Starts another node with its upstream; other nodes reach its gate through `relay`.
    ///
    /// # Errors
    /// Fails if the node or the upstream does not start.
    pub async fn add_member_behind(
        &mut self,
        spec: MemberSpec,
        relay: &Relay,
    ) -> Result<(), FleetError> {
        let addresses = free_addresses().await?;
        relay.set_target(addresses.gate);
        self.add_member_at(spec, NodeAddresses { advertised_gate: relay.address, ..addresses })
            .await
    }

    async fn add_member_at(
        &mut self,
        spec: MemberSpec,
        addresses: NodeAddresses,
    ) -> Result<(), FleetError> {
        let seeds: Vec<String> =
            self.members.iter().take(3).map(|m| m.addresses.control.to_string()).collect();
        let settings = self.process_settings(&addresses, &spec, &seeds.join(","))?;
        let integration = platform::native_integration(Arc::clone(&settings.platform));
        let node = node::run(settings, integration).await?;
        let upstream = UpstreamStandIn::new(spec.behaviour.clone());
        let upstream_stop = self.stop.child_token();
        upstream.start(loopback(0), addresses.admin, upstream_stop.clone()).await?;
        let node = Some(node);
        self.members.push(FleetMember { addresses, upstream, node, upstream_stop, spec });
        Ok(())
    }

    /// Writes a subtree of the settings through the first node.
    ///
    /// # Errors
    /// Fails if the node does not respond or rejects the change.
    pub async fn apply(&self, subtree: &str, document: &Value) -> Result<(), FleetError> {
        let admin = self.members[0].addresses.admin;
        let uri = format!("http://{admin}/settings/{subtree}");
        let response = self.http.send_json(Method::PUT, &uri, document).await?;
        if response.head.status().as_u16() == 200 {
            return Ok(());
        }
        let body = String::from_utf8_lossy(&response.body);
        Err(FleetError::SettingsRejected(format!("subtree {subtree}: {body}")))
    }

    /// Returns the caller addresses of all running nodes.
    pub fn entries(&self) -> Entries {
        Arc::new(RwLock::new(self.running().map(|m| m.addresses.listen).collect()))
    }

    /// Returns the members whose node is running.
    pub fn running(&self) -> impl Iterator<Item = &FleetMember> {
        self.members.iter().filter(|m| m.node.is_some())
    }

    /// Stops the node of the member at `index` gracefully, after removing it from the entries as a
    /// caller's resolver would.
    ///
    /// Returns `true` if all work of the node ended within `time_limit`, or if the node had already
    /// been stopped.
    pub async fn stop_node(
        &mut self,
        index: usize,
        entries: &Entries,
        time_limit: Duration,
    ) -> bool {
        let Some(node) = self.members[index].node.take() else {
            return true;
        };
        let listen = self.members[index].addresses.listen;
        entries.write().unwrap_or_else(PoisonError::into_inner).retain(|e| *e != listen);
        node.stop(time_limit).await
    }

    /// Returns the sum of a counter over all running nodes and all values of its labels.
    ///
    /// # Errors
    /// Fails if a node does not respond.
    pub async fn counter(&self, name: &str) -> Result<u64, FleetError> {
        let mut sum = 0;
        for member in self.running() {
            let text = self.http.get(&format!("http://{}/metrics", member.addresses.admin)).await?;
            sum += sum_counter(&text, name);
        }
        Ok(sum)
    }

    /// Returns the number of bytes that the running nodes drew from their inter-region byte budgets,
    /// for probes and for requests sent to remote upstreams.
    ///
    /// # Errors
    /// Fails if a node does not respond.
    pub async fn inter_region_bytes_granted(&self) -> Result<u64, FleetError> {
        let mut sum = 0;
        for member in self.running() {
            let text = self.http.get(&format!("http://{}/dump", member.addresses.admin)).await?;
            let dump: Value = serde_json::from_str(&text).unwrap_or_default();
            sum += dump["budgets"]["paid_bytes_granted"].as_u64().unwrap_or(0);
        }
        Ok(sum)
    }

    /// Returns the number of runs of each request over all upstreams, by request id.
    pub fn runs(&self) -> HashMap<String, u32> {
        let mut all = HashMap::new();
        for member in &self.members {
            for (id, runs) in member.upstream.runs() {
                *all.entry(id).or_default() += runs;
            }
        }
        all
    }

    /// Waits until every running node lists all members and routes to the upstream of each. The
    /// routing table follows the list of members only at the next tick of the membership timer.
    ///
    /// # Errors
    /// Fails if that takes longer than `READY_TIMEOUT`.
    pub async fn wait_until_joined(&self) -> Result<(), FleetError> {
        let expected = self.members.len() as u64;
        self.wait_until("does not list and route to every member with its upstream", |dump| {
            let members = dump["members"].as_array().map_or(0, Vec::len) as u64;
            let listed = dump["members"].as_array().into_iter().flatten();
            let with_upstream = listed.filter(|m| m["upstreams"][0].is_object()).count() as u64;
            let services = dump["status"]["services"].as_object().into_iter().flatten();
            let routable: u64 = services.filter_map(|(_, s)| s["upstreams"].as_u64()).sum();
            members == expected && with_upstream == expected && routable == expected
        })
        .await
    }

    /// Waits until every running node has the settings: it is ready, and every service that it lists
    /// is declared.
    ///
    /// # Errors
    /// Fails if that takes longer than `READY_TIMEOUT`.
    pub async fn wait_until_ready(&self) -> Result<(), FleetError> {
        self.wait_until("does not have the settings in force", |dump| {
            let services = dump["status"]["services"].as_object();
            let declared = |v: &Value| v["declared"] == json!(true);
            services.is_some_and(|s| !s.is_empty() && s.values().all(declared))
                && dump["status"]["ready"] == json!(true)
        })
        .await
    }

    /// Waits until `is_met` returns `true` for the dump of every running node. `failure` follows
    /// the address of the node in the error.
    async fn wait_until(
        &self,
        failure: &str,
        is_met: impl Fn(&Value) -> bool,
    ) -> Result<(), FleetError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for member in self.running() {
            loop {
                let admin = member.addresses.admin;
                let dump = self.http.get(&format!("http://{admin}/dump")).await;
                let dump: Value =
                    serde_json::from_str(&dump.unwrap_or_default()).unwrap_or_default();
                if is_met(&dump) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(FleetError::NotReady(format!("node {admin} {failure}")));
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    fn process_settings(
        &self,
        addresses: &NodeAddresses,
        spec: &MemberSpec,
        seeds: &str,
    ) -> Result<ProcessSettings, FleetError> {
        let flag = |name: &str| {
            let value = match name {
                "listen" => addresses.listen.to_string(),
                "gate-listen" => addresses.gate.to_string(),
                "gate-advertise" => addresses.advertised_gate.to_string(),
                "control-listen" => addresses.control.to_string(),
                "admin-listen" => addresses.admin.to_string(),
                "platform" => format!("http://{}", self.platform_address),
                "region" => spec.region.to_owned(),
                "zone" => spec.zone.to_owned(),
                "seeds" => seeds.to_owned(),
                _ => return None,
            };
            Some(value)
        };
        Ok(ProcessSettings::new(&SettingsSource {
            flag: &flag,
            env: &|_| None,
            derived: &|_| None,
        })?)
    }
}

/// Returns the sum of all samples of a counter in the Prometheus text format.
pub fn sum_counter(text: &str, name: &str) -> u64 {
    let prefix = format!("pistachiolane_{name}_total");
    text.lines()
        .filter(|line| line.starts_with(&prefix))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

/// Returns the loopback address 127.0.0.1 with a port.
pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Returns addresses for one node, with four ports that are free for both TCP and UDP.
///
/// # Errors
/// Never returns an error: ports that cannot be bound for any reason are skipped.
pub async fn free_addresses() -> std::io::Result<NodeAddresses> {
    let mut free = Vec::new();
    let mut sockets = Vec::new();
    while free.len() < 4 {
        let offset = PORTS_TRIED.fetch_add(1, Ordering::Relaxed);
        let address =
            SocketAddr::from((process_loopback(), FIRST_PORT + (offset % PORT_COUNT) as u16));
        let tcp = tokio::net::TcpListener::bind(address).await;
        let udp = tokio::net::UdpSocket::bind(address).await;
        if let (Ok(tcp), Ok(udp)) = (tcp, udp) {
            free.push(address);
            sockets.push((tcp, udp));
        }
    }
    drop(sockets);
    Ok(NodeAddresses {
        listen: free[0],
        gate: free[1],
        advertised_gate: free[1],
        control: free[2],
        admin: free[3],
    })
}

/// Returns a loopback address that is derived from the process id, so no other process of the lab
/// uses it. This prevents other processes from binding a port that a node releases briefly, for
/// example between two starts.
fn process_loopback() -> Ipv4Addr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, a.wrapping_add(1), b, c)
}
