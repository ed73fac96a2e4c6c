//! Settings of a node process: collected, completed with defaults and validated together.

use {
    super::{Resources, Tunables},
    crate::schema::FleetKey,
    std::{fmt, net::SocketAddr, str::FromStr, sync::Arc, time::Duration},
};

const DEFAULT_GATE_LISTEN: &str = "127.0.0.1:8081";

const DEFAULT_CONTROL_LISTEN: &str = "127.0.0.1:8082";

/// Prefix of the environment variables; the name of the flag follows in upper case, with underscores.
const ENV_PREFIX: &str = "PISTACHIOLANE_";

/// Secret that is used when none is set. It guards against accidental mix-ups of fleets, not against attackers.
const DEFAULT_SECRET: &str = "pistachiolane";

/// Maximum length of the name of a region, an availability zone or a service.
const MAX_NAME_BYTES: usize = 64;

/// Validated settings of a node process.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Address for requests of callers.
    pub listen: SocketAddr,
    /// Address of the gate, to which other nodes send attempts (HTTP/2).
    pub gate_listen: SocketAddr,
    /// Address at which other nodes reach the gate.
    pub gate_advertise: SocketAddr,
    /// Address for control messages of other nodes (TCP and UDP).
    pub control_listen: SocketAddr,
    /// Address at which other nodes reach the control listener.
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
    /// Keys that authenticate messages between nodes.
    pub fleet_key: FleetKey,
    /// Interface to callers, the upstream and the operator's routes.
    pub interface: Interface,
    /// Address for readiness checks, if the interface has a separate one.
    pub ready_listen: Option<SocketAddr>,
    /// Address for announcements of the upstream, if the interface has a separate one.
    pub announce_listen: Option<SocketAddr>,
    /// Service that the host runs; requests of callers on the host are attributed to it. If not set, the service of
    /// the announced upstream is used.
    pub service: Option<Arc<str>>,
    /// Time within which the evacuation of a zone must hold; `None` if the deployment has no evacuations, and the
    /// store is not asked for them.
    pub evacuation_timeout: Option<Duration>,
    /// Memory and descriptors of the process, and the shares of them that peers may hold.
    pub resources: Resources,
    /// Settings that can change while the node runs.
    pub tunables: Tunables,
}

value! {
    /// Interface of a node to callers, the upstream and the operator's routes.
    pub enum Interface {
        /// Native interface of this load balancer.
        Native,
        /// Interface of the users' platform.
        Platform,
    }
}

/// Sources of settings, in order of precedence: flags, environment variables and the settings file, derived values.
pub struct SettingsSource<'a> {
    /// Returns the value of a flag by its name with hyphens.
    pub flag: &'a dyn Fn(&str) -> Option<String>,
    /// Returns the value of an environment variable, or else of the settings file.
    pub env: &'a dyn Fn(&str) -> Option<String>,
    /// Returns the value that an adapter derives for a flag name.
    pub derived: &'a dyn Fn(&str) -> Option<String>,
}

impl fmt::Debug for SettingsSource<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SettingsSource").finish_non_exhaustive()
    }
}

/// All faults of the settings; each starts with the name of its flag.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .faults.join("\n"))]
pub struct SettingsError {
    /// One line for each fault.
    pub faults: Vec<String>,
}

/// Reads settings one by one and collects their faults.
pub(super) struct SettingsReader<'a> {
    source: &'a SettingsSource<'a>,
    faults: Vec<String>,
}

impl ProcessSettings {
    /// Reads and validates all settings. Flags take precedence over the environment, the environment over derived
    /// values, and these over defaults.
    ///
    /// # Errors
    /// Returns all faults at once.
    pub fn new(source: &SettingsSource<'_>) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader { source, faults: Vec::new() };
        let settings = Self {
            listen: reader.address("listen", "127.0.0.1:8080"),
            gate_listen: reader.address("gate-listen", DEFAULT_GATE_LISTEN),
            gate_advertise: reader.address_or_same_as(
                "gate-advertise",
                "gate-listen",
                DEFAULT_GATE_LISTEN,
            ),
            control_listen: reader.address("control-listen", DEFAULT_CONTROL_LISTEN),
            control_advertise: reader.address_or_same_as(
                "control-advertise",
                "control-listen",
                DEFAULT_CONTROL_LISTEN,
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
            evacuation_timeout: reader.optional_duration("evacuation-timeout"),
            resources: Resources::read(&mut reader),
            tunables: Tunables::read(&mut reader),
        };
        settings.check_addresses(&mut reader.faults);
        if reader.faults.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError { faults: reader.faults })
        }
    }

    /// Checks that no two listeners share an address and that no advertised address is unspecified.
    fn check_addresses(&self, faults: &mut Vec<String>) {
        let mut listeners = vec![
            ("listen", self.listen),
            ("gate-listen", self.gate_listen),
            ("control-listen", self.control_listen),
            ("admin-listen", self.admin_listen),
        ];
        listeners.extend(self.ready_listen.map(|a| ("ready-listen", a)));
        listeners.extend(self.announce_listen.map(|a| ("announce-listen", a)));
        let advertised = [
            ("gate-advertise", self.gate_advertise),
            ("control-advertise", self.control_advertise),
        ];
        for (name, address) in advertised.iter().filter(|(_, a)| a.ip().is_unspecified()) {
            faults.push(format!(
                "--{name}: other nodes cannot reach {address}; specify the IP address of the host"
            ));
        }
        for (index, (name, address)) in listeners.iter().enumerate() {
            for (other, _) in listeners[..index].iter().filter(|(_, a)| a == address) {
                faults.push(format!("--{name}: {address} is already used by --{other}"));
            }
        }
    }
}

impl SettingsReader<'_> {
    fn text(&self, name: &str, default: &str) -> String {
        self.find(name).unwrap_or_else(|| default.to_owned())
    }

    /// Returns the value of a setting from the first source that has it.
    fn find(&self, name: &str) -> Option<String> {
        let variable = format!("{ENV_PREFIX}{}", name.replace('-', "_").to_uppercase());
        let found = (self.source.flag)(name).or_else(|| (self.source.env)(&variable));
        found.or_else(|| (self.source.derived)(name))
    }

    /// Reads a setting of any type that can be parsed from a string.
    pub(super) fn value<T: FromStr>(&mut self, name: &str, default: T, expected: &str) -> T {
        let Some(text) = self.find(name) else {
            return default;
        };
        self.parse(name, &text, expected).unwrap_or(default)
    }

    /// Reads a whole number of at least 1, if it is set.
    pub(super) fn optional_count(&mut self, name: &str, expected: &str) -> Option<u64> {
        let text = self.find(name).filter(|t| !t.is_empty())?;
        let count: Option<u64> = self.parse(name, &text, expected);
        if count == Some(0) {
            self.faults.push(format!("--{name}: `0` is not {expected}"));
        }
        count
    }

    /// Reads an amount of money, 0 by default.
    pub(super) fn amount(&mut self, name: &str) -> f64 {
        let expected = "an amount of 0 or more, such as 0.01";
        let amount: f64 = self.value(name, 0.0, expected);
        if amount.is_finite() && amount >= 0.0 {
            return amount;
        }
        self.faults.push(format!("--{name}: `{amount}` is not {expected}"));
        0.0
    }

    fn optional_address(&mut self, name: &str) -> Option<SocketAddr> {
        let text = self.find(name).filter(|t| !t.is_empty())?;
        self.parse(name, &text, "an IP address and port such as 10.0.0.7:8080")
    }

    fn optional_duration(&mut self, name: &str) -> Option<Duration> {
        let text = self.find(name).filter(|t| !t.is_empty())?;
        let expected = "seconds of 0 or more, such as 5.5";
        let seconds: f64 = self.parse(name, &text, expected)?;
        let duration = Duration::try_from_secs_f64(seconds).ok();
        if duration.is_none() {
            self.faults.push(format!("--{name}: `{text}` is not {expected}"));
        }
        duration
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
            // Only a placeholder: the fault that `parse` records makes reading the settings fail.
            .unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Reads an address that defaults to the value of another setting.
    fn address_or_same_as(&mut self, name: &str, other: &str, default: &str) -> SocketAddr {
        let text = self.text(name, &self.text(other, default));
        // A fault of the other setting is reported by that setting.
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
            self.faults.push(format!("--{name}: expected a name of 1 to {MAX_NAME_BYTES} bytes"));
        }
        Arc::from(text)
    }

    fn url(&mut self, name: &str, default: &str) -> Arc<str> {
        let text = self.text(name, default);
        let is_http = text
            .parse::<hyper::Uri>()
            .is_ok_and(|u| u.scheme_str() == Some("http") && u.authority().is_some());
        if !is_http {
            self.faults
                .push(format!("--{name}: `{text}` is not a URL such as http://10.0.0.1:8090"));
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
