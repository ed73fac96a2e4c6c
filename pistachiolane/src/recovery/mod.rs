//! Recovery from requests that crash the upstreams that run them: which requests are suspected, and which are no
//! longer sent on.

mod fingerprint;
mod quarantine;
mod survivals;

pub use {
    fingerprint::Fingerprint,
    quarantine::{QUARANTINE, Quarantine, Suspicion},
    survivals::Survivals,
};
