//! Command-line arguments of the lab.

use {
    gumdrop::Options,
    std::{net::SocketAddr, path::PathBuf},
};

/// Arguments of the program.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(command)]
    pub command: Option<Command>,
}

/// Commands of the program.
#[derive(Debug, Options)]
pub enum Command {
    #[options(
        help = "run a demonstration: two regions, six upstreams, ten seconds of load, two faults"
    )]
    Demo(RunArgs),
    #[options(help = "run the decision code of several simulated nodes under random faults")]
    Faults(FaultsArgs),
    #[options(help = "stop and replace every node in turn, gracefully and under load")]
    Drain(RunArgs),
    #[options(help = "measure the latency that entry and gate add, compared with direct calls")]
    AddedLatency(RunArgs),
    #[options(
        help = "simulate the membership: failure detection, dissemination and traffic by fleet size"
    )]
    Membership(MembershipArgs),
    #[options(help = "change settings while the platform has faults")]
    Settings(RunArgs),
    #[options(help = "measure the cost of control traffic by fleet size, and of a call")]
    Slopes(RunArgs),
    #[options(help = "compare the routing decisions with simpler policies and an oracle")]
    Policy(PolicyArgs),
    #[options(
        help = "run real processes under external faults and check what callers and upstreams observe"
    )]
    Soak(SoakArgs),
    #[options(help = "generate Rust types from the schemas in schema/")]
    Schema(SchemaArgs),
    #[options(help = "run a stand-in of the platform")]
    Platform(PlatformArgs),
    #[options(help = "run a stand-in of an upstream")]
    Upstream(UpstreamArgs),
    #[options(help = "send load to entries and check every response")]
    Load(LoadArgs),
}

/// Arguments of an experiment that only needs a seed.
#[derive(Debug, Options)]
pub struct RunArgs {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(no_short, help = "print the report as a JSON object")]
    pub json: bool,
    #[options(no_short, meta = "N", help = "seed of the random number generator", default = "1")]
    pub seed: u64,
}

/// Arguments of `faults`.
#[derive(Debug, Options)]
pub struct FaultsArgs {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(no_short, help = "print the report as a JSON object")]
    pub json: bool,
    #[options(no_short, meta = "N", help = "seed of the random number generator", default = "1")]
    pub seed: u64,
    #[options(no_short, meta = "N", help = "number of simulated events", default = "1000000")]
    pub steps: u64,
}

/// Arguments of `policy`.
#[derive(Debug, Options)]
pub struct PolicyArgs {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(no_short, help = "print the report as a JSON object")]
    pub json: bool,
    #[options(no_short, meta = "N", help = "seed of the random number generator", default = "1")]
    pub seed: u64,
    #[options(no_short, meta = "S", help = "measured virtual time in seconds", default = "10")]
    pub seconds: u64,
}

/// Arguments of `membership`.
#[derive(Debug, Options)]
pub struct MembershipArgs {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(no_short, help = "print the report as a JSON object")]
    pub json: bool,
    #[options(no_short, meta = "N", help = "seed of the random number generator", default = "1")]
    pub seed: u64,
    #[options(no_short, meta = "N,…", help = "fleet sizes in members", default = "50,200,800")]
    pub sizes: String,
}

/// Arguments of `soak`.
#[derive(Debug, Options)]
pub struct SoakArgs {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(no_short, help = "print the report as a JSON object")]
    pub json: bool,
    #[options(no_short, meta = "N", help = "seed of the random number generator", default = "1")]
    pub seed: u64,
    #[options(no_short, meta = "M", help = "duration of the faults in minutes", default = "1")]
    pub minutes: f64,
    #[options(
        no_short,
        meta = "N",
        help = "number of hosts, each with one process",
        default = "6"
    )]
    pub hosts: usize,
    #[options(
        no_short,
        meta = "PATH",
        help = "the pistachiolane program (default: in the directory of this one)"
    )]
    pub program: Option<PathBuf>,
    #[options(
        no_short,
        meta = "DIR",
        help = "directory for the logs of the processes",
        default = "target/soak"
    )]
    pub logs: PathBuf,
}

/// Arguments of `schema`.
#[derive(Debug, Options)]
pub struct SchemaArgs {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(no_short, help = "compare the generated files instead of writing them")]
    pub check: bool,
}

/// Arguments of `platform`.
#[derive(Debug, Options)]
pub struct PlatformArgs {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "address to listen on",
        default = "127.0.0.1:8090"
    )]
    pub listen: SocketAddr,
}

/// Arguments of `upstream`.
#[derive(Debug, Options)]
pub struct UpstreamArgs {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "address to listen on; port 0 selects any free port",
        default = "127.0.0.1:0"
    )]
    pub listen: SocketAddr,
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "admin address of the node to which the upstream announces itself",
        default = "127.0.0.1:8083"
    )]
    pub node: SocketAddr,
    #[options(
        no_short,
        meta = "NAME",
        help = "service that the upstream provides",
        default = "sizing"
    )]
    pub service: String,
    #[options(
        no_short,
        meta = "N",
        help = "number of requests that the upstream runs concurrently",
        default = "13"
    )]
    pub slots: u16,
    #[options(no_short, meta = "MS", help = "mean service time in milliseconds", default = "10")]
    pub mean_ms: u64,
}

/// Arguments of `load`.
#[derive(Debug, Options)]
pub struct LoadArgs {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(no_short, help = "print the report as a JSON object")]
    pub json: bool,
    #[options(
        no_short,
        meta = "N",
        help = "seed, which is part of the request ids",
        default = "1"
    )]
    pub seed: u64,
    #[options(
        no_short,
        meta = "IP:PORT,…",
        help = "caller addresses of the nodes",
        default = "127.0.0.1:8080"
    )]
    pub entries: String,
    #[options(no_short, meta = "NAME", help = "service to call", default = "sizing")]
    pub service: String,
    #[options(no_short, help = "send POST (not idempotent) instead of GET")]
    pub post: bool,
    #[options(no_short, meta = "PATH", help = "request path", default = "/")]
    pub path: String,
    #[options(no_short, meta = "N", help = "requests per second", default = "100")]
    pub rate: u32,
    #[options(no_short, meta = "S", help = "duration of the load in seconds", default = "5")]
    pub seconds: u64,
}
