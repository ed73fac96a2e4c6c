//! A small fleet on loopback: the platform's stand-in, upstreams, and a node beside each.

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

/// Time for a fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// First of the ports that nodes listen on; below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 12_000;

/// Number of those ports.
const PORTS: usize = 18_000;

static NEXT_PORT: AtomicUsize = AtomicUsize::new(0);

/// Why a fleet did not come up.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A socket could not be had.
    #[error("socket: {0}")]
    Io(#[from] std::io::Error),
    /// A node's settings were refused.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// A node did not start.
    #[error("{0}")]
    Node(#[from] NodeError),
    /// A request of the lab failed.
    #[error("{0}")]
    Http(#[from] HttpError),
    /// The settings were not accepted.
    #[error("settings not accepted: {0}")]
    Settled(String),
    /// The fleet did not become ready in time.
    #[error("not ready in time: {0}")]
    NotReady(String),
}

/// Place and upstream of one member of a fleet.
#[derive(Clone, Debug)]
pub struct MemberSpec {
    /// Region.
    pub region: &'static str,
    /// Availability zone.
    pub zone: &'static str,
    /// Upstream.
    pub behaviour: UpstreamBehaviour,
}

/// Addresses of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// For callers.
    pub listen: SocketAddr,
    /// For other nodes' requests.
    pub gate: SocketAddr,
    /// For other nodes' requests, as they are told.
    pub advertised_gate: SocketAddr,
    /// For control.
    pub control: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// One node with its upstream.
#[derive(Debug)]
pub struct FleetMember {
    /// Its addresses.
    pub addresses: NodeAddresses,
    /// Its upstream.
    pub upstream: Arc<UpstreamStandIn>,
    /// The node, until it is stopped.
    pub node: Option<RunningNode>,
    /// Ends the upstream.
    pub upstream_stop: CancellationToken,
    /// What it was started as.
    pub spec: MemberSpec,
}

/// A fleet in this process, over real sockets.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Arc<PlatformStandIn>,
    /// The platform's address.
    pub platform_address: SocketAddr,
    /// Members.
    pub members: Vec<FleetMember>,
    /// Client of the lab.
    pub http: HttpClient,
    /// Ends the platform and all upstreams.
    pub stop: CancellationToken,
}

impl Fleet {
    /// Starts a fleet and puts `settings` in force: documents by subtree, the root first.
    ///
    /// # Errors
    /// Fails when anything does not start, or the fleet is not ready in time.
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
            fleet.add(spec).await?;
        }
        fleet.wait_joined().await?;
        for (subtree, document) in settings {
            fleet.apply(subtree, document).await?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Starts one more node with its upstream.
    ///
    /// # Errors
    /// Fails when it does not start.
    pub async fn add(&mut self, spec: MemberSpec) -> Result<(), FleetError> {
        let addresses = free_addresses().await?;
        self.add_at(spec, addresses).await
    }

    /// Starts one more node whose gate others reach through a relay.
    ///
    /// # Errors
    /// Fails when it does not start.
    pub async fn add_behind(&mut self, spec: MemberSpec, relay: &Relay) -> Result<(), FleetError> {
        let addresses = free_addresses().await?;
        relay.set_target(addresses.gate);
        self.add_at(spec, NodeAddresses { advertised_gate: relay.address, ..addresses }).await
    }

    async fn add_at(
        &mut self,
        spec: MemberSpec,
        addresses: NodeAddresses,
    ) -> Result<(), FleetError> {
        let seeds: Vec<String> =
            self.members.iter().take(3).map(|m| m.addresses.control.to_string()).collect();
        let settings = self.settings(&addresses, &spec, &seeds.join(","))?;
        let integration = platform::native_integration(Arc::clone(&settings.platform));
        let node = node::run(settings, integration).await?;
        let upstream = UpstreamStandIn::new(spec.behaviour.clone());
        let upstream_stop = self.stop.child_token();
        upstream.start(loopback(0), addresses.admin, upstream_stop.clone()).await?;
        let node = Some(node);
        self.members.push(FleetMember { addresses, upstream, node, upstream_stop, spec });
        Ok(())
    }

    /// Writes a subtree through the first node.
    ///
    /// # Errors
    /// Fails when the change is not accepted.
    pub async fn apply(&self, subtree: &str, document: &Value) -> Result<(), FleetError> {
        let admin = self.members[0].addresses.admin;
        let uri = format!("http://{admin}/settings/{subtree}");
        let answer = self.http.send_json(Method::PUT, &uri, document).await?;
        if answer.head.status().as_u16() == 200 {
            return Ok(());
        }
        Err(FleetError::Settled(String::from_utf8_lossy(&answer.body).into_owned()))
    }

    /// Addresses for callers of all nodes that run.
    pub fn entries(&self) -> Entries {
        Arc::new(RwLock::new(self.running().map(|m| m.addresses.listen).collect()))
    }

    /// Members whose node runs.
    pub fn running(&self) -> impl Iterator<Item = &FleetMember> {
        self.members.iter().filter(|m| m.node.is_some())
    }

    /// Stops a node gracefully, after taking it from the entries as a caller's resolver would.
    pub async fn stop_node(&mut self, at: usize, entries: &Entries, limit: Duration) -> bool {
        let Some(node) = self.members[at].node.take() else {
            return true;
        };
        let listen = self.members[at].addresses.listen;
        entries.write().unwrap_or_else(PoisonError::into_inner).retain(|e| *e != listen);
        node.stop(limit).await
    }

    /// Sum of a counter over all nodes that run, cases included.
    ///
    /// # Errors
    /// Fails when a node does not answer.
    pub async fn counter(&self, name: &str) -> Result<u64, FleetError> {
        let mut sum = 0;
        for member in self.running() {
            let text = self.http.get(&format!("http://{}/metrics", member.addresses.admin)).await?;
            sum += counter(&text, name);
        }
        Ok(sum)
    }

    /// Bytes to other regions that the nodes took from their budgets for probes and spilled requests.
    ///
    /// # Errors
    /// Fails when a node does not answer.
    pub async fn paid_bytes(&self) -> Result<u64, FleetError> {
        let mut sum = 0;
        for member in self.running() {
            let text = self.http.get(&format!("http://{}/dump", member.addresses.admin)).await?;
            let dump: Value = serde_json::from_str(&text).unwrap_or_default();
            sum += dump["budgets"]["paid_bytes_granted"].as_u64().unwrap_or(0);
        }
        Ok(sum)
    }

    /// Times that each request was run, over all upstreams.
    pub fn runs(&self) -> HashMap<String, u32> {
        let mut all = HashMap::new();
        for member in &self.members {
            for (id, runs) in member.upstream.runs() {
                *all.entry(id).or_default() += runs;
            }
        }
        all
    }

    /// Waits until every node that runs knows every other and its upstream.
    ///
    /// # Errors
    /// Fails when that takes too long.
    pub async fn wait_joined(&self) -> Result<(), FleetError> {
        let expected = self.members.len() as u64;
        self.wait("members joined", |dump| {
            let members = dump["members"].as_array().map_or(0, Vec::len) as u64;
            let with_upstream = dump["members"].as_array().into_iter().flatten();
            let placed = with_upstream.filter(|m| m["upstreams"][0].is_object()).count() as u64;
            members == expected && placed == expected
        })
        .await
    }

    /// Waits until every node that runs holds the settings.
    ///
    /// # Errors
    /// Fails when that takes too long.
    pub async fn wait_ready(&self) -> Result<(), FleetError> {
        self.wait("settings everywhere", |dump| {
            let services = dump["status"]["services"].as_object();
            let declared = |v: &Value| v["declared"] == json!(true);
            services.is_some_and(|s| !s.is_empty() && s.values().all(declared))
                && dump["status"]["ready"] == json!(true)
        })
        .await
    }

    async fn wait(&self, what: &str, is_done: impl Fn(&Value) -> bool) -> Result<(), FleetError> {
        let until = Instant::now() + READY_TIMEOUT;
        for member in self.running() {
            loop {
                let dump = self.http.get(&format!("http://{}/dump", member.addresses.admin)).await;
                let dump: Value =
                    serde_json::from_str(&dump.unwrap_or_default()).unwrap_or_default();
                if is_done(&dump) {
                    break;
                }
                if Instant::now() > until {
                    return Err(FleetError::NotReady(what.to_owned()));
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    fn settings(
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

/// Sum of all lines of a counter in the Prometheus text format.
pub fn counter(text: &str, name: &str) -> u64 {
    let full = format!("pistachiolane_{name}_total");
    text.lines()
        .filter(|line| line.starts_with(&full))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

/// A loopback address.
pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Four free addresses; the control address is free for TCP and UDP.
///
/// # Errors
/// Fails when a socket cannot be bound for a reason other than its port.
pub async fn free_addresses() -> std::io::Result<NodeAddresses> {
    let mut ports = Vec::new();
    let mut held = Vec::new();
    while ports.len() < 4 {
        let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from((own_loopback(), FIRST_PORT + (step % PORTS) as u16));
        let tcp = tokio::net::TcpListener::bind(address).await;
        let udp = tokio::net::UdpSocket::bind(address).await;
        if let (Ok(tcp), Ok(udp)) = (tcp, udp) {
            ports.push(address);
            held.push((tcp, udp));
        }
    }
    drop(held);
    Ok(NodeAddresses {
        listen: ports[0],
        gate: ports[1],
        advertised_gate: ports[1],
        control: ports[2],
        admin: ports[3],
    })
}

/// An address of this machine alone that no other process of the lab uses: ports that a node gives up for a moment,
/// as between two starts, are not taken by another's.
fn own_loopback() -> Ipv4Addr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, a.wrapping_add(1), b, c)
}
