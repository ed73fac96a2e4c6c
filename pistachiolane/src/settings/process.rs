//! The settings of a node's process: gathered, defaulted and checked together.

use {
    super::Tunables,
    crate::schema::FleetKey,
    std::{fmt, net::SocketAddr, str::FromStr, sync::Arc},
};

const GATE_LISTEN: &str = "127.0.0.1:8081";

const CONTROL_LISTEN: &str = "127.0.0.1:8082";

/// Prefix of the environment variables; the flag's name follows in capitals.
const ENV_PREFIX: &str = "PISTACHIOLANE_";

/// Secret used when none is set; it keeps accidents apart, not attackers.
const DEFAULT_SECRET: &str = "pistachiolane";

/// Longest name of a region or an availability zone in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Checked settings of a node's process.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address at which other nodes hand over requests (HTTP/2).
    pub gate_listen: SocketAddr,
    /// Address of the gate as other nodes reach it.
    pub gate_advertise: SocketAddr,
    /// Address for other nodes' control messages (TCP and UDP).
    pub control_listen: SocketAddr,
    /// Address for control as other nodes reach it.
    pub control_advertise: SocketAddr,
    /// Address for the upstream, operators and metrics.
    pub admin_listen: SocketAddr,
    /// Base URL of the platform's object API.
    pub platform: Arc<str>,
    /// Region of the host.
    pub region: Arc<str>,
    /// Availability zone of the host.
    pub zone: Arc<str>,
    /// Control addresses of nodes to join.
    pub seeds: Vec<SocketAddr>,
    /// Keys that authenticate nodes to each other.
    pub fleet_key: FleetKey,
    /// How callers, the upstream and the operator's routes reach the node.
    pub interface: Interface,
    /// Address at which the node says whether it is ready, where the interface has one of its own.
    pub ready_listen: Option<SocketAddr>,
    /// Address at which the upstream announces itself, where the interface has one of its own.
    pub announce_listen: Option<SocketAddr>,
    /// Service of the host, which callers on it are taken for; else that of the announced upstream.
    pub service: Option<Arc<str>>,
    /// Settings that a running node can change.
    pub tunables: Tunables,
}

value! {
    /// How callers, the upstream and the operator's routes reach a node.
    pub enum Interface {
        /// The product's own.
        Native,
        /// The users' platform.
        Platform,
    }
}

/// Where settings come from: a flag's value, and the environment's.
pub struct SettingsSource<'a> {
    /// Value of a flag, by its name with hyphens.
    pub flag: &'a dyn Fn(&str) -> Option<String>,
    /// Value of an environment variable.
    pub env: &'a dyn Fn(&str) -> Option<String>,
    /// Value that an adapter derives for a flag's name.
    pub derived: &'a dyn Fn(&str) -> Option<String>,
}

impl fmt::Debug for SettingsSource<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SettingsSource").finish_non_exhaustive()
    }
}

/// All faults of the settings, each naming its flag.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .faults.join("\n"))]
pub struct SettingsError {
    /// One line for each fault.
    pub faults: Vec<String>,
}

/// Reads settings one by one and gathers their faults.
pub(super) struct Reader<'a> {
    source: &'a SettingsSource<'a>,
    faults: Vec<String>,
}

impl ProcessSettings {
    /// Reads and checks all settings; flags win over the environment, and the environment over defaults.
    ///
    /// # Errors
    /// Gives every fault at once.
    pub fn new(source: &SettingsSource<'_>) -> Result<Self, SettingsError> {
        let mut reader = Reader { source, faults: Vec::new() };
        let settings = Self {
            listen: reader.address("listen", "127.0.0.1:8080"),
            gate_listen: reader.address("gate-listen", GATE_LISTEN),
            gate_advertise: reader.address_like("gate-advertise", "gate-listen", GATE_LISTEN),
            control_listen: reader.address("control-listen", CONTROL_LISTEN),
            control_advertise: reader.address_like(
                "control-advertise",
                "control-listen",
                CONTROL_LISTEN,
            ),
            admin_listen: reader.address("admin-listen", "127.0.0.1:8083"),
            platform: reader.url("platform", "http://127.0.0.1:8090"),
            region: reader.name("region", "local"),
            zone: reader.name("zone", "local-1"),
            seeds: reader.addresses("seeds"),
            fleet_key: FleetKey::new(&reader.text("fleet-key", DEFAULT_SECRET)),
            interface: reader.interface(),
            ready_listen: reader.optional_address("ready-listen"),
            announce_listen: reader.optional_address("announce-listen"),
            service: reader.optional_name("service"),
            tunables: Tunables::read(&mut reader),
        };
        settings.check_distinct(&mut reader.faults);
        if reader.faults.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError { faults: reader.faults })
        }
    }

    fn check_distinct(&self, faults: &mut Vec<String>) {
        let mut listens = vec![
            ("listen", self.listen),
            ("gate-listen", self.gate_listen),
            ("control-listen", self.control_listen),
            ("admin-listen", self.admin_listen),
        ];
        listens.extend(self.ready_listen.map(|a| ("ready-listen", a)));
        listens.extend(self.announce_listen.map(|a| ("announce-listen", a)));
        let advertised = [
            ("gate-advertise", self.gate_advertise),
            ("control-advertise", self.control_advertise),
        ];
        for (name, address) in advertised.iter().filter(|(_, a)| a.ip().is_unspecified()) {
            faults
                .push(format!("--{name}: other nodes cannot reach {address}; name the host's IP"));
        }
        for (at, (name, address)) in listens.iter().enumerate() {
            for (other, _) in listens[..at].iter().filter(|(_, a)| a == address) {
                faults.push(format!("--{name}: {address} is taken by --{other}"));
            }
        }
    }
}

impl Reader<'_> {
    fn text(&self, name: &str, default: &str) -> String {
        self.find(name).unwrap_or_else(|| default.to_owned())
    }

    /// A setting that is there and not empty.
    fn find(&self, name: &str) -> Option<String> {
        let variable = format!("{ENV_PREFIX}{}", name.replace('-', "_").to_uppercase());
        let found = (self.source.flag)(name).or_else(|| (self.source.env)(&variable));
        found.or_else(|| (self.source.derived)(name))
    }

    /// A setting of any type that can be read from text.
    pub(super) fn value<T: FromStr>(&mut self, name: &str, default: T, expected: &str) -> T {
        let Some(text) = self.find(name) else {
            return default;
        };
        self.parse(name, &text, expected).unwrap_or(default)
    }

    fn optional_address(&mut self, name: &str) -> Option<SocketAddr> {
        let text = self.find(name).filter(|t| !t.is_empty())?;
        self.parse(name, &text, "an IP address and port such as 10.0.0.7:8080")
    }

    fn optional_name(&mut self, name: &str) -> Option<Arc<str>> {
        self.find(name).filter(|t| !t.is_empty())?;
        Some(self.name(name, ""))
    }

    fn interface(&mut self) -> Interface {
        match self.text("interface", "own").as_str() {
            "own" => Interface::Native,
            "platform" => Interface::Platform,
            other => {
                self.faults.push(format!("--interface: `{other}` is not own or platform"));
                Interface::Native
            }
        }
    }

    fn address(&mut self, name: &str, default: &str) -> SocketAddr {
        let text = self.text(name, default);
        self.parse(name, &text, "an IP address and port such as 10.0.0.7:8080")
            .unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// An address that is another setting's unless it is set itself.
    fn address_like(&mut self, name: &str, other: &str, default: &str) -> SocketAddr {
        let text = self.text(name, &self.text(other, default));
        // The other setting reports its own fault.
        text.parse().unwrap_or_else(|_e| self.address(name, default))
    }

    fn addresses(&mut self, name: &str) -> Vec<SocketAddr> {
        let text = self.text(name, "");
        let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
        parts
            .filter_map(|p| self.parse(name, p, "IP addresses and ports, separated by commas"))
            .collect()
    }

    fn name(&mut self, name: &str, default: &str) -> Arc<str> {
        let text = self.text(name, default);
        if text.is_empty() || text.len() > MAX_NAME_BYTES {
            self.faults.push(format!("--{name}: expected 1 to {MAX_NAME_BYTES} bytes"));
        }
        Arc::from(text)
    }

    fn url(&mut self, name: &str, default: &str) -> Arc<str> {
        let text = self.text(name, default);
        let is_http = text
            .parse::<hyper::Uri>()
            .is_ok_and(|u| u.scheme_str() == Some("http") && u.authority().is_some());
        if !is_http {
            self.faults.push(format!("--{name}: `{text}` is no URL such as http://10.0.0.1:8090"));
        }
        Arc::from(text.trim_end_matches('/'))
    }

    fn parse<T: FromStr>(&mut self, name: &str, text: &str, expected: &str) -> Option<T> {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.faults.push(format!("--{name}: `{text}` is not {expected}"));
        }
        parsed
    }
}
