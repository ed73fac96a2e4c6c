//! Command-line arguments.

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
    /// Runs a node.
    #[options(help = "run a node next to an upstream")]
    Node(NodeArgs),
    /// Sets a value of the settings.
    #[options(help = "set the value at a path of the settings")]
    Set(SetArgs),
    /// Removes a value of the settings.
    #[options(help = "remove the value at a path of the settings")]
    Unset(UnsetArgs),
    /// Replaces a subtree of the settings.
    #[options(help = "replace a subtree with the document in a file")]
    Apply(ApplyArgs),
    /// Prints a value of the settings.
    #[options(help = "print the value at a path of the settings")]
    Get(GetArgs),
    /// Prints all settings.
    #[options(help = "print all settings")]
    Tree(QueryArgs),
    /// Checks a document without writing it.
    #[options(help = "check a document for a subtree without writing it")]
    Check(CheckArgs),
    /// Prints the state of the fleet.
    #[options(help = "print the state of the fleet as observed by a node")]
    Status(QueryArgs),
    /// Prints the full state of a node.
    #[options(help = "print the full state of a node")]
    Dump(QueryArgs),
    /// Prints the timeline of a request.
    #[options(help = "print the timeline of a request from log lines on standard input")]
    Explain(ExplainArgs),
    /// Creates an access token.
    #[options(help = "create a team's access token and its digest for the settings")]
    Token(TokenArgs),
}

/// Arguments of `node`. Each has an environment variable: `PISTACHIOLANE_` followed by the name in upper case, with
/// underscores.
#[derive(Debug, Options)]
pub struct NodeArgs {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address for requests of callers.
    #[options(no_short, meta = "IP:PORT", help = "address for callers' requests (127.0.0.1:8080)")]
    pub listen: Option<String>,
    /// Address of the gate, for requests of other nodes.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "address of the gate, for other nodes' requests (127.0.0.1:8081)"
    )]
    pub gate_listen: Option<String>,
    /// Address at which other nodes reach the gate.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "address at which other nodes reach the gate (--gate-listen)"
    )]
    pub gate_advertise: Option<String>,
    /// Address for control messages of other nodes.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "address for control messages, TCP and UDP (127.0.0.1:8082)"
    )]
    pub control_listen: Option<String>,
    /// Address at which other nodes reach the control listener.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "address at which other nodes reach the control listener (--control-listen)"
    )]
    pub control_advertise: Option<String>,
    /// Admin address, for the upstream and operators.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "admin address, for the upstream and operators (127.0.0.1:8083)"
    )]
    pub admin_listen: Option<String>,
    /// Base URL of the platform's object API.
    #[options(
        no_short,
        meta = "URL",
        help = "base URL of the platform's object API (http://127.0.0.1:8090)"
    )]
    pub platform: Option<String>,
    /// Region of the host.
    #[options(no_short, meta = "NAME", help = "region of the host (local)")]
    pub region: Option<String>,
    /// Availability zone of the host.
    #[options(no_short, meta = "NAME", help = "availability zone of the host (local-1)")]
    pub zone: Option<String>,
    /// Control addresses of nodes to join.
    #[options(no_short, meta = "IP:PORT,…", help = "control addresses of nodes to join")]
    pub seeds: Option<String>,
    /// Secrets from which the keys of the fleet are derived.
    #[options(
        no_short,
        meta = "SECRET,…",
        help = "shared secrets of all nodes; the first one signs, all verify"
    )]
    pub fleet_key: Option<String>,
    /// Path of the settings file.
    #[options(
        no_short,
        meta = "FILE",
        help = "settings file with lines NAME=value, named like the environment variables"
    )]
    pub config: Option<String>,
    /// Interface to callers, the upstream and the operator's routes.
    #[options(
        no_short,
        meta = "NAME",
        help = "interface for headers, routes and announcements: own or platform (own)"
    )]
    pub interface: Option<String>,
    /// Address for readiness checks.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "address for readiness checks, if the interface has a separate one"
    )]
    pub ready_listen: Option<String>,
    /// Address for announcements of the upstream.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "address for announcements, if the interface has a separate one"
    )]
    pub announce_listen: Option<String>,
    /// Service that the host runs.
    #[options(
        no_short,
        meta = "NAME",
        help = "service that the host runs (as announced by its upstream)"
    )]
    pub service: Option<String>,
    /// Usual interval between announcements of the upstream.
    #[options(
        no_short,
        meta = "SECONDS",
        help = "usual interval between announcements of the upstream (0.75)"
    )]
    pub heartbeat: Option<String>,
    /// Retries and hedges in percent of the requests.
    #[options(
        no_short,
        meta = "PERCENT",
        help = "retries and hedges allowed on routes, in percent of requests (10)"
    )]
    pub retry_percent: Option<String>,
    /// Reserve of retries for each service.
    #[options(
        no_short,
        meta = "N",
        help = "retries that the whole fleet keeps in reserve for each service (50)"
    )]
    pub retry_reserve: Option<String>,
    /// Usable share of the upstream's slots.
    #[options(
        no_short,
        meta = "PERCENT",
        help = "share of the upstream's slots that may be used at once (100)"
    )]
    pub usable_slots: Option<String>,
    /// Whether calls to services that refuse many are throttled.
    #[options(
        no_short,
        meta = "BOOL",
        help = "whether to reject calls before the first attempt while their service refuses many (false)"
    )]
    pub entry_throttle: Option<String>,
    /// Whether shares of requests leave a zone that is short of upstreams.
    #[options(
        no_short,
        meta = "BOOL",
        help = "whether to send a share of requests to other zones while their own is full (false)"
    )]
    pub zone_balance: Option<String>,
    /// Price of a gigabyte between zones.
    #[options(no_short, meta = "PRICE", help = "price of a GB between zones of a region (0)")]
    pub zone_price: Option<String>,
    /// Price of a gigabyte between regions.
    #[options(no_short, meta = "PRICE", help = "price of a GB between regions (0)")]
    pub region_price: Option<String>,
    /// Value of an answer in time.
    #[options(
        no_short,
        meta = "VALUE",
        help = "value of an answer within its target latency, in the currency of the prices (0)"
    )]
    pub answer_value: Option<String>,
    /// Value of a late answer.
    #[options(
        no_short,
        meta = "VALUE",
        help = "value of an answer after its target latency, in the currency of the prices (0)"
    )]
    pub late_answer_value: Option<String>,
    /// Time within which the evacuation of a zone must hold.
    #[options(
        no_short,
        meta = "SECONDS",
        help = "time within which the evacuation of a zone must hold; without it, none is watched for"
    )]
    pub evacuation_timeout: Option<String>,
    /// Memory that the process may use.
    #[options(
        no_short,
        meta = "MIB",
        help = "memory that the process may use (that of the machine)"
    )]
    pub memory: Option<String>,
    /// Memory that the process holds for its peers.
    #[options(
        no_short,
        meta = "MIB",
        help = "memory for bodies that are held (a quarter of --memory)"
    )]
    pub buffer_memory: Option<String>,
    /// Descriptors that the process may open.
    #[options(
        no_short,
        meta = "N",
        help = "descriptors that the process may open (the limit of the system)"
    )]
    pub descriptors: Option<String>,
    /// Connections of callers.
    #[options(
        no_short,
        meta = "N",
        help = "most connections of callers (half of --descriptors, or one for each 128 KiB of --memory)"
    )]
    pub caller_connections: Option<String>,
    /// Log level.
    #[options(no_short, meta = "LEVEL", help = "error, warn, info, debug or trace (info)")]
    pub log_level: Option<String>,
    /// Time limit of a graceful shutdown.
    #[options(no_short, meta = "SECONDS", help = "time limit of a graceful shutdown (600)")]
    pub stop_timeout: Option<String>,
}

impl NodeArgs {
    /// Returns the value of a flag by its name without the leading hyphens.
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
            "entry-throttle" => &self.entry_throttle,
            "zone-balance" => &self.zone_balance,
            "zone-price" => &self.zone_price,
            "region-price" => &self.region_price,
            "answer-value" => &self.answer_value,
            "late-answer-value" => &self.late_answer_value,
            "evacuation-timeout" => &self.evacuation_timeout,
            "log-level" => &self.log_level,
            "stop-timeout" => &self.stop_timeout,
            "memory" => &self.memory,
            "buffer-memory" => &self.buffer_memory,
            "descriptors" => &self.descriptors,
            "caller-connections" => &self.caller_connections,
            _ => &None,
        };
        value.clone()
    }
}

/// Defines argument structs with the options that all operator commands share.
macro_rules! operator_args {
    ($(#[doc = $doc:literal] $name:ident { $($(#[$meta:meta])* $field:ident: $outer:ident $(<$inner:ident>)?,)* })*) => {
        $(
            #[doc = $doc]
            #[derive(Debug, Options)]
            pub struct $name {
                /// Print this help.
                #[options(help = "print this help")]
                pub help: bool,
                /// Admin address of the node that receives the request.
                #[options(no_short, meta = "IP:PORT", help = "admin address of a node (127.0.0.1:8083)")]
                pub node: Option<String>,
                /// Whether to print JSON.
                #[options(no_short, help = "print JSON")]
                pub json: bool,
                $($(#[$meta])* pub $field: $outer $(<$inner>)?,)*
            }
        )*
    };
}

operator_args! {
    /// Arguments of commands that only read the state of a node.
    QueryArgs {}
    /// Arguments of `get`.
    GetArgs {
        /// Subtree and path of the value.
        #[options(free, required, help = "SUBTREE/PATH, such as root/regions")]
        path: String,
    }
    /// Arguments of `set`.
    SetArgs {
        /// Subtree and path of the value.
        #[options(free, required, help = "SUBTREE/PATH, such as shop/services/orders/timeout_ms")]
        path: String,
        /// New value.
        #[options(free, required, help = "JSON value; anything else is used as a string")]
        value: String,
        /// Version that the subtree must have for the change to be written.
        #[options(no_short, meta = "N", help = "write only if the subtree has this version")]
        if_version: Option<u64>,
        /// Access token of the team.
        #[options(no_short, meta = "TOKEN", help = "access token of the team (PISTACHIOLANE_TOKEN)")]
        token: Option<String>,
    }
    /// Arguments of `unset`.
    UnsetArgs {
        /// Subtree and path of the value.
        #[options(free, required, help = "SUBTREE/PATH")]
        path: String,
        /// Version that the subtree must have for the change to be written.
        #[options(no_short, meta = "N", help = "write only if the subtree has this version")]
        if_version: Option<u64>,
        /// Access token of the team.
        #[options(no_short, meta = "TOKEN", help = "access token of the team (PISTACHIOLANE_TOKEN)")]
        token: Option<String>,
    }
    /// Arguments of `apply`.
    ApplyArgs {
        /// Name of the subtree.
        #[options(free, required, help = "name of the subtree")]
        subtree: String,
        /// Path of the file with the document.
        #[options(free, required, help = "file with the JSON document of the subtree")]
        file: String,
        /// Version that the subtree must have for the change to be written.
        #[options(no_short, meta = "N", help = "write only if the subtree has this version")]
        if_version: Option<u64>,
        /// Access token of the team.
        #[options(no_short, meta = "TOKEN", help = "access token of the team (PISTACHIOLANE_TOKEN)")]
        token: Option<String>,
    }
    /// Arguments of `check`.
    CheckArgs {
        /// Name of the subtree.
        #[options(free, required, help = "name of the subtree")]
        subtree: String,
        /// Path of the file with the document.
        #[options(free, required, help = "file with the JSON document of the subtree")]
        file: String,
    }
}

/// Arguments of `token`.
#[derive(Debug, Options)]
pub struct TokenArgs {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print JSON.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
}

/// Arguments of `explain`.
#[derive(Debug, Options)]
pub struct ExplainArgs {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// ID of the request.
    #[options(free, required, help = "ID of the request")]
    pub request: String,
}
