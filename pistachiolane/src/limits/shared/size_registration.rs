//! The size of the fleet in the store, for processes that start without having seen the other members.

use {crate::tick::Tick, std::time::Duration};

/// Factor by which the size may differ from the registered one; the part of a limit that members use allows as much.
const TOLERANCE: f64 = 1.05;

/// Time for which the fleet must be smaller than registered before the size is lowered, as members that restart are back
/// within it.
const LOWER_DELAY: Duration = Duration::from_secs(10);

/// Decides when the registered size is replaced.
#[derive(Debug, Default)]
pub struct SizeRegistration {
    lower_since: Option<Tick>,
}

impl SizeRegistration {
    /// Whether to register `size` members in place of `registered`, 0 if there is none.
    pub fn is_due(&mut self, now: Tick, registered: usize, size: usize) -> bool {
        let (is_higher, is_lower) = (exceeds(size, registered), exceeds(registered, size));
        if !is_lower {
            self.lower_since = None;
            return is_higher;
        }
        let since = *self.lower_since.get_or_insert(now);
        now.since(since) >= LOWER_DELAY
    }
}

/// Whether a size exceeds another one by more than the tolerance.
fn exceeds(size: usize, other: usize) -> bool {
    size as f64 > TOLERANCE * other as f64
}
