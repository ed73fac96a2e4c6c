//! Process-wide count of invariant violations.

use std::sync::atomic::{AtomicU64, Ordering};

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Returns the number of invariant violations since the process started.
pub fn violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Counts a violation and logs its name.
///
/// # Panics
/// Panics in builds with debug assertions.
pub fn report_violation(name: &'static str) {
    VIOLATIONS.fetch_add(1, Ordering::Relaxed);
    log::error!(target: "invariant", "violated: {name}");
    debug_assert!(false, "invariant violated: {name}");
}
