//! Commands that run a stand-in or a load generator as a separate process.

use {
    super::args::{LoadArgs, PlatformArgs, UpstreamArgs},
    crate::{
        demo,
        load::{self, LoadSpec},
        report::{Check, Report},
        stand_in::{PlatformStandIn, UpstreamBehaviour, UpstreamStandIn},
    },
    hyper::Method,
    std::{
        io,
        net::AddrParseError,
        sync::{Arc, RwLock},
        time::Duration,
    },
    tokio_util::sync::CancellationToken,
};

/// Runs the stand-in of the platform until the process is killed.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn run_platform(args: &PlatformArgs) -> io::Result<()> {
    let platform = PlatformStandIn::new();
    let address = platform.start(args.listen, CancellationToken::new()).await?;
    println!("platform stand-in listening on {address}");
    std::future::pending().await
}

/// Runs the stand-in of an upstream until the process is killed.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn run_upstream(args: &UpstreamArgs) -> io::Result<()> {
    let upstream = UpstreamStandIn::new(UpstreamBehaviour::new(
        &args.service,
        args.slots,
        Duration::from_millis(args.mean_ms),
    ));
    let address = upstream.start(args.listen, args.node, CancellationToken::new()).await?;
    println!("upstream stand-in for {} listening on {address}", args.service);
    std::future::pending().await
}

/// Sends load and checks that every response belongs to its request.
///
/// # Errors
/// Fails if the address of an entry is not valid.
pub async fn run_load(args: &LoadArgs) -> Result<Report, AddrParseError> {
    let entries = args.entries.split(',').map(str::parse).collect::<Result<Vec<_>, _>>()?;
    let spec = LoadSpec {
        service: Arc::from(args.service.as_str()),
        method: if args.post { Method::POST } else { Method::GET },
        path: Arc::from(args.path.as_str()),
        rate: args.rate,
        duration: Duration::from_secs(args.seconds),
    };
    let result = load::run(spec, Arc::new(RwLock::new(entries)), args.seed).await;
    let mut report = Report::new("load", args.seed);
    demo::add_stream_measurements(&mut report, "requests", &result);
    report.add_check(Check::at_most("mismatched responses", 0.0, result.counts.mismatched as f64));
    report.add_check(Check::at_most(
        "requests without a complete response",
        0.0,
        result.counts.incomplete as f64,
    ));
    Ok(report)
}
