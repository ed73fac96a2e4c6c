//! Arguments of the lab.

use {
    gumdrop::Options,
    std::{net::SocketAddr, path::PathBuf},
};

/// Arguments of the program.
#[derive(Debug, Options)]
pub struct Args {
    /// Help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Command.
    #[options(command)]
    pub command: Option<Command>,
}

/// Commands.
#[derive(Debug, Options)]
pub enum Command {
    /// Demonstration.
    #[options(help = "two regions, six upstreams, ten seconds of load, two faults")]
    Demo(RunArgs),
    /// Randomised run.
    #[options(help = "randomised run of whole nodes' decisions under faults")]
    Faults(FaultsArgs),
    /// Rolling stop.
    #[options(help = "rolling graceful stop of every node under load")]
    Drain(RunArgs),
    /// Latency.
    #[options(help = "latency added by entry and gate, beside direct calls")]
    AddedLatency(RunArgs),
    /// Membership.
    #[options(help = "detection, spread and cost of the membership by size")]
    Membership(MembershipArgs),
    /// Settings.
    #[options(help = "changes of settings under faults of the platform")]
    Settings(RunArgs),
    /// Slopes.
    #[options(help = "how the cost of control and of a call grows")]
    Slopes(RunArgs),
    /// Routing policy.
    #[options(help = "the routing decisions beside simpler policies and an oracle")]
    Policy(PolicyArgs),
    /// Fault soak.
    #[options(
        help = "real processes under faults from outside, and what callers and upstreams see"
    )]
    Soak(SoakArgs),
    /// Code from the schemas.
    #[options(help = "generate the types of schema/")]
    Schema(SchemaArgs),
    /// Platform.
    #[options(help = "run the platform's stand-in as a process")]
    Platform(PlatformArgs),
    /// Upstream.
    #[options(help = "run an upstream's stand-in as a process")]
    Upstream(UpstreamArgs),
    /// Load.
    #[options(help = "send load to entries and check every answer")]
    Load(LoadArgs),
}

/// Arguments of an experiment.
#[derive(Debug, Options)]
pub struct RunArgs {
    /// Help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Output for programs.
    #[options(no_short, help = "print one JSON object")]
    pub json: bool,
    /// Seed.
    #[options(no_short, meta = "N", help = "seed of the random numbers (1)", default = "1")]
    pub seed: u64,
}

/// Arguments of `faults`.
#[derive(Debug, Options)]
pub struct FaultsArgs {
    /// Help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Output for programs.
    #[options(no_short, help = "print one JSON object")]
    pub json: bool,
    /// Seed.
    #[options(no_short, meta = "N", help = "seed of the random numbers (1)", default = "1")]
    pub seed: u64,
    /// Events.
    #[options(no_short, meta = "N", help = "events", default = "1000000")]
    pub steps: u64,
}

/// Arguments of `policy`.
#[derive(Debug, Options)]
pub struct PolicyArgs {
    /// Help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Output for programs.
    #[options(no_short, help = "print one JSON object")]
    pub json: bool,
    /// Seed.
    #[options(no_short, meta = "N", help = "seed of the random numbers (1)", default = "1")]
    pub seed: u64,
    /// Measured time.
    #[options(no_short, meta = "S", help = "virtual seconds measured (10)", default = "10")]
    pub seconds: u64,
}

/// Arguments of `membership`.
#[derive(Debug, Options)]
pub struct MembershipArgs {
    /// Help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Output for programs.
    #[options(no_short, help = "print one JSON object")]
    pub json: bool,
    /// Seed.
    #[options(no_short, meta = "N", help = "seed of the random numbers (1)", default = "1")]
    pub seed: u64,
    /// Sizes.
    #[options(no_short, meta = "N,…", help = "members (50,200,800)", default = "50,200,800")]
    pub sizes: String,
}

/// Arguments of `soak`.
#[derive(Debug, Options)]
pub struct SoakArgs {
    /// Help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Output for programs.
    #[options(no_short, help = "print one JSON object")]
    pub json: bool,
    /// Seed.
    #[options(no_short, meta = "N", help = "seed of the random numbers (1)", default = "1")]
    pub seed: u64,
    /// Duration.
    #[options(no_short, meta = "M", help = "minutes of faults (1)", default = "1")]
    pub minutes: f64,
    /// Size.
    #[options(no_short, meta = "N", help = "hosts, each with a process (6)", default = "6")]
    pub hosts: usize,
    /// Program.
    #[options(no_short, meta = "PATH", help = "the program (beside this one)")]
    pub program: Option<PathBuf>,
    /// Logs.
    #[options(
        no_short,
        meta = "DIR",
        help = "where the processes' logs go (target/soak)",
        default = "target/soak"
    )]
    pub logs: PathBuf,
}

/// Arguments of `schema`.
#[derive(Debug, Options)]
pub struct SchemaArgs {
    /// Help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Compare only.
    #[options(no_short, help = "compare instead of writing")]
    pub check: bool,
}

/// Arguments of `platform`.
#[derive(Debug, Options)]
pub struct PlatformArgs {
    /// Help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address.
    #[options(no_short, meta = "IP:PORT", help = "address", default = "127.0.0.1:8090")]
    pub listen: SocketAddr,
}

/// Arguments of `upstream`.
#[derive(Debug, Options)]
pub struct UpstreamArgs {
    /// Help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address.
    #[options(no_short, meta = "IP:PORT", help = "address", default = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Node.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "admin address of its node",
        default = "127.0.0.1:8083"
    )]
    pub node: SocketAddr,
    /// Service.
    #[options(no_short, meta = "NAME", help = "service that it runs", default = "sizing")]
    pub service: String,
    /// Slots.
    #[options(no_short, meta = "N", help = "requests that it runs at once", default = "13")]
    pub slots: u16,
    /// Service time.
    #[options(no_short, meta = "MS", help = "mean service time", default = "10")]
    pub mean_ms: u64,
}

/// Arguments of `load`.
#[derive(Debug, Options)]
pub struct LoadArgs {
    /// Help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Output for programs.
    #[options(no_short, help = "print one JSON object")]
    pub json: bool,
    /// Seed.
    #[options(no_short, meta = "N", help = "seed, part of the requests' names", default = "1")]
    pub seed: u64,
    /// Entries.
    #[options(
        no_short,
        meta = "IP:PORT,…",
        help = "callers' addresses of nodes",
        default = "127.0.0.1:8080"
    )]
    pub entries: String,
    /// Service.
    #[options(no_short, meta = "NAME", help = "service called", default = "sizing")]
    pub service: String,
    /// Non-idempotent.
    #[options(no_short, help = "send POST instead of GET")]
    pub post: bool,
    /// Path.
    #[options(no_short, meta = "PATH", help = "path called", default = "/")]
    pub path: String,
    /// Rate.
    #[options(no_short, meta = "N", help = "requests a second", default = "100")]
    pub rate: u32,
    /// Duration.
    #[options(no_short, meta = "S", help = "seconds of load", default = "5")]
    pub seconds: u64,
}
