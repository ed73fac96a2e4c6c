//! Arguments of the command line.

use gumdrop::Options;

/// Arguments of the program.
#[derive(Debug, Options)]
pub struct Args {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Print the version.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// Command to run.
    #[options(command)]
    pub command: Option<Command>,
}

/// Commands of the program.
#[derive(Debug, Options)]
#[allow(clippy::large_enum_variant, reason = "one value for the life of the process")]
pub enum Command {
    /// Run a node.
    #[options(help = "run the node beside an upstream")]
    Node(NodeArgs),
    /// Change settings.
    #[options(help = "set the value at a path of the settings")]
    Set(SetArgs),
    /// Remove settings.
    #[options(help = "remove the value at a path of the settings")]
    Unset(UnsetArgs),
    /// Replace a subtree.
    #[options(help = "replace a subtree by the document in a file")]
    Apply(ApplyArgs),
    /// Read settings.
    #[options(help = "print the value at a path of the settings")]
    Get(GetArgs),
    /// Read all settings.
    #[options(help = "print all settings")]
    Tree(QueryArgs),
    /// Check a document.
    #[options(help = "check a document for a subtree without writing it")]
    Check(CheckArgs),
    /// State of the fleet.
    #[options(help = "print the state of the fleet as a node sees it")]
    Status(QueryArgs),
    /// State of a node.
    #[options(help = "print the whole state of a node")]
    Dump(QueryArgs),
    /// Timeline of a request.
    #[options(help = "print a request's timeline from log lines on standard input")]
    Explain(ExplainArgs),
    /// Make a token.
    #[options(help = "make a team's token and the digest to keep in the settings")]
    Token(TokenArgs),
}

/// Arguments of `node`. Each has an environment variable: PISTACHIOLANE_ and its name in capitals.
#[derive(Debug, Options)]
pub struct NodeArgs {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address for callers.
    #[options(no_short, meta = "IP:PORT", help = "callers' requests (127.0.0.1:8080)")]
    pub listen: Option<String>,
    /// Address of the gate.
    #[options(no_short, meta = "IP:PORT", help = "requests of other nodes (127.0.0.1:8081)")]
    pub gate_listen: Option<String>,
    /// Address of the gate for others.
    #[options(no_short, meta = "IP:PORT", help = "gate's address for other nodes (as listened)")]
    pub gate_advertise: Option<String>,
    /// Address for control.
    #[options(no_short, meta = "IP:PORT", help = "control, TCP and UDP (127.0.0.1:8082)")]
    pub control_listen: Option<String>,
    /// Address for control for others.
    #[options(no_short, meta = "IP:PORT", help = "control address for other nodes (as listened)")]
    pub control_advertise: Option<String>,
    /// Address for operators.
    #[options(no_short, meta = "IP:PORT", help = "upstream and operators (127.0.0.1:8083)")]
    pub admin_listen: Option<String>,
    /// Platform.
    #[options(no_short, meta = "URL", help = "platform's object API (http://127.0.0.1:8090)")]
    pub platform: Option<String>,
    /// Region.
    #[options(no_short, meta = "NAME", help = "region of the host (local)")]
    pub region: Option<String>,
    /// Availability zone.
    #[options(no_short, meta = "NAME", help = "availability zone of the host (local-1)")]
    pub zone: Option<String>,
    /// Seeds.
    #[options(no_short, meta = "IP:PORT,…", help = "control addresses of nodes to join")]
    pub seeds: Option<String>,
    /// Key of the fleet.
    #[options(no_short, meta = "SECRET,…", help = "secrets that nodes share; the first signs")]
    pub fleet_key: Option<String>,
    /// Settings file.
    #[options(no_short, meta = "FILE", help = "lines NAME=value, named as the environment")]
    pub config: Option<String>,
    /// Interface.
    #[options(
        no_short,
        meta = "NAME",
        help = "own, or platform: headers, routes, announcements (own)"
    )]
    pub interface: Option<String>,
    /// Address for readiness.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "readiness, where the interface has an address for it"
    )]
    pub ready_listen: Option<String>,
    /// Address for announcements.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "announcements, where the interface has an address for it"
    )]
    pub announce_listen: Option<String>,
    /// Service of the host.
    #[options(no_short, meta = "NAME", help = "service of the host (as its upstream announces)")]
    pub service: Option<String>,
    /// Heartbeat of the upstream.
    #[options(no_short, meta = "SECONDS", help = "usual time between two announcements (0.75)")]
    pub heartbeat: Option<String>,
    /// Share of retries.
    #[options(no_short, meta = "PERCENT", help = "retries and hedges on routes (10)")]
    pub retry_percent: Option<String>,
    /// Reserve of retries.
    #[options(
        no_short,
        meta = "N",
        help = "retries the fleet keeps in reserve for a service (50)"
    )]
    pub retry_reserve: Option<String>,
    /// Share of the slots.
    #[options(
        no_short,
        meta = "PERCENT",
        help = "slots of the upstream that are used at once (100)"
    )]
    pub usable_slots: Option<String>,
    /// Log level.
    #[options(no_short, meta = "LEVEL", help = "error, warn, info, debug or trace (info)")]
    pub log_level: Option<String>,
    /// Longest stop.
    #[options(no_short, meta = "SECONDS", help = "longest time for a graceful stop (600)")]
    pub stop_timeout: Option<String>,
}

impl NodeArgs {
    /// Value of a flag by its name.
    pub fn flag(&self, name: &str) -> Option<String> {
        let value = match name {
            "listen" => &self.listen,
            "gate-listen" => &self.gate_listen,
            "gate-advertise" => &self.gate_advertise,
            "control-advertise" => &self.control_advertise,
            "control-listen" => &self.control_listen,
            "admin-listen" => &self.admin_listen,
            "platform" => &self.platform,
            "region" => &self.region,
            "zone" => &self.zone,
            "seeds" => &self.seeds,
            "fleet-key" => &self.fleet_key,
            "config" => &self.config,
            "interface" => &self.interface,
            "ready-listen" => &self.ready_listen,
            "announce-listen" => &self.announce_listen,
            "service" => &self.service,
            "heartbeat" => &self.heartbeat,
            "retry-percent" => &self.retry_percent,
            "retry-reserve" => &self.retry_reserve,
            "usable-slots" => &self.usable_slots,
            "log-level" => &self.log_level,
            "stop-timeout" => &self.stop_timeout,
            _ => &None,
        };
        value.clone()
    }
}

macro_rules! operator_args {
    ($(#[doc = $doc:literal] $name:ident { $($(#[$meta:meta])* $field:ident: $outer:ident $(<$inner:ident>)?,)* })*) => {
        $(
            #[doc = $doc]
            #[derive(Debug, Options)]
            pub struct $name {
                /// Print this help.
                #[options(help = "print this help")]
                pub help: bool,
                /// Node to ask.
                #[options(no_short, meta = "IP:PORT", help = "admin address of a node (127.0.0.1:8083)")]
                pub node: Option<String>,
                /// Output for programs.
                #[options(no_short, help = "print JSON")]
                pub json: bool,
                $($(#[$meta])* pub $field: $outer $(<$inner>)?,)*
            }
        )*
    };
}

operator_args! {
    /// Arguments of commands that only ask.
    QueryArgs {}
    /// Arguments of `get`.
    GetArgs {
        /// Path.
        #[options(free, required, help = "SUBTREE/PATH, as root/regions")]
        path: String,
    }
    /// Arguments of `set`.
    SetArgs {
        /// Path.
        #[options(free, required, help = "SUBTREE/PATH, as shop/services/orders/timeout_ms")]
        path: String,
        /// Value.
        #[options(free, required, help = "JSON; anything else is taken as a text")]
        value: String,
        /// Version that must hold.
        #[options(no_short, meta = "N", help = "write only if the subtree has this version")]
        if_version: Option<u64>,
        /// Token.
        #[options(no_short, meta = "TOKEN", help = "the team's token (PISTACHIOLANE_TOKEN)")]
        token: Option<String>,
    }
    /// Arguments of `unset`.
    UnsetArgs {
        /// Path.
        #[options(free, required, help = "SUBTREE/PATH")]
        path: String,
        /// Version that must hold.
        #[options(no_short, meta = "N", help = "write only if the subtree has this version")]
        if_version: Option<u64>,
        /// Token.
        #[options(no_short, meta = "TOKEN", help = "the team's token (PISTACHIOLANE_TOKEN)")]
        token: Option<String>,
    }
    /// Arguments of `apply`.
    ApplyArgs {
        /// Subtree.
        #[options(free, required, help = "name of the subtree")]
        subtree: String,
        /// File.
        #[options(free, required, help = "file with its JSON document")]
        file: String,
        /// Version that must hold.
        #[options(no_short, meta = "N", help = "write only if the subtree has this version")]
        if_version: Option<u64>,
        /// Token.
        #[options(no_short, meta = "TOKEN", help = "the team's token (PISTACHIOLANE_TOKEN)")]
        token: Option<String>,
    }
    /// Arguments of `check`.
    CheckArgs {
        /// Subtree.
        #[options(free, required, help = "name of the subtree")]
        subtree: String,
        /// File.
        #[options(free, required, help = "file with its JSON document")]
        file: String,
    }
}

/// Arguments of `token`.
#[derive(Debug, Options)]
pub struct TokenArgs {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Output for programs.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
}

/// Arguments of `explain`.
#[derive(Debug, Options)]
pub struct ExplainArgs {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Request.
    #[options(free, required, help = "identity of the request")]
    pub request: String,
}
