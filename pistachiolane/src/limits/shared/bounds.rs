//! Times and amounts of shared limits.
//!
//! The requirement leaves 0.5 s of the rate, a tenth of the burst and 20 requests beyond the limit in a window of
//! 5 s. [`spare`] and [`first_fill`] use a part of it; the rest covers requests sent ahead of a report and the time
//! in which two nodes count as the owner.

use {crate::config::WorkspaceLimit, std::time::Duration};

/// Time from an entry's request to the end of the tokens that the answer grants or confirms.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(600);

/// Time after which a report without an answer is sent again; a round trip between regions takes 60 ms. One lost
/// packet must not make the owner count as silent.
pub const RESEND_AFTER: Duration = Duration::from_millis(200);

/// Time without an answer after which the owner counts as silent.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two reports of an entry that spends, in a small fleet.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two reports of an entry that runs out of tokens.
pub const URGENT_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two reports of an entry without anything new, while it has a share, has not heard the owner or may send
/// nothing.
pub const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a message of the owner after which an entry that may send nothing asks for the state; longer than
/// [`REOPEN_INTERVAL_S`], because a limit that is in use opens and closes in turn.
pub const MESSAGE_PATIENCE: Duration = Duration::from_millis(1_500);

/// Time without a report after which the owner debits the share of an entry that has one.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_200);

/// Time of silence after which an entry sends no more than an equal part of the rate: from then on another node may
/// be the owner on the other side of a partition (suspicion of 1.4 s and [`TAKEOVER_DELAY`]).
pub const FULL_SHARE_TIME: Duration = Duration::from_millis(2_400);

/// Time for which a new owner stays silent unless the previous one hands over its tokens: until then others may
/// still report to the previous one.
pub const TAKEOVER_DELAY: Duration = Duration::from_secs(1);

/// Time for which a node that was handed tokens acts as the owner although its list of members names another.
pub const HANDOVER_TIME: Duration = Duration::from_secs(3);

/// Time for which a member that is gone without having left counts as cut off rather than ended.
pub const MEMBER_MEMORY: Duration = Duration::from_secs(120);

/// Factor on the rate of a part of the fleet, so that a few members that ended lower no rate. In any number of
/// parts the sum stays below 1.1 of the rate.
pub const PART_FACTOR: f64 = 1.05;

/// Time since the last step above which the process counts as having been paused. After less, no other node can
/// have taken over its limits.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Least and most time between two unsolicited answers that let entries send ahead again. Each goes to all entries.
pub const REOPEN_INTERVAL_S: std::ops::RangeInclusive<f64> = 0.25..=1.0;

/// Requests that an entry may send ahead of a report while the bucket is well filled. Fewer than 3 refuse requests
/// at usual load: a second one may come within the report interval and the round trip.
pub const MIN_AHEAD: u32 = 3;

/// Age below which a bucket whose previous state is lost allows [`MIN_AHEAD`] only: it does not know yet how many
/// entries spend.
pub const YOUNG_TIME: Duration = Duration::from_secs(3);

/// Most requests that an entry may send ahead of a report.
pub const MAX_AHEAD: u32 = 128;

/// Tokens of a full bucket in a small part of the fleet: the one below which the bucket is closed, and one to spend.
pub const MIN_CAPACITY: f64 = 2.0;

/// Requests per second below which an entry has no share.
pub const MIN_SHARE: f64 = 1.0;

/// Requests per second below which an entry holds no tokens between requests, because most would end unused.
pub const MIN_HOLD_RATE: f64 = 4.0;

/// Longest time of its demand for which an entry requests tokens: the report interval, a round trip between regions, a
/// resend, and room for a wave.
pub const HOLD_TIME: Duration = Duration::from_millis(500);

/// Entries times limits up to which entries ask for the state of a limit before its first request. Beyond that
/// the start of a node would cost too many packets.
pub const MAX_PREFETCHES: usize = 20_000;

/// Members up to which reports are sent each [`REPORT_INTERVAL`]; beyond it the interval grows with the fleet.
pub const SMALL_FLEET: usize = 300;

/// Returns the tokens beyond the burst that a bucket holds, so that tokens on the way or at entries whose callers
/// left cause no refusals.
pub fn spare(limit: WorkspaceLimit) -> f64 {
    0.15 * limit.requests_per_second + 0.03 * limit.burst + 6.0
}

/// Time of the rate that a bucket may make up for which it could not take because entries seemed to hold all of its
/// tokens, although they had spent them and not reported it yet.
pub const MAX_DEFERRED_FILL: Duration = Duration::from_millis(100);

/// Longest time without a bucket of a limit whose fill pays for what entries spent meanwhile.
pub const MAX_ARREARS_TIME: Duration = Duration::from_secs(3);

/// Most of an entry's average rate that its share is.
pub const MAX_SHARE_FACTOR: f64 = 1.5;

/// Time for which a node that is no longer the owner keeps half of its tokens, for entries that do not list the new
/// owner yet.
pub const DRAIN_TIME: Duration = Duration::from_secs(1);

/// Returns the time of its demand for which an entry requests tokens, so that all entries together hold less than
/// half of the bucket at the limit.
pub fn hold_time(limit: WorkspaceLimit) -> Duration {
    let full = (limit.burst + spare(limit)) / limit.requests_per_second;
    HOLD_TIME.min(Duration::from_secs_f64((0.5 * full).min(1.0)))
}

/// Returns the tokens that a part of the fleet starts with if the previous state of the bucket is lost, as after the end
/// of its owner: in a small part one request.
pub fn first_fill(limit: WorkspaceLimit, part: f64) -> f64 {
    let tokens = part * (0.1 * limit.requests_per_second + 0.03 * limit.burst + 3.0);
    if part > 0.0 { tokens.max(1.0) } else { 0.0 }
}

/// Returns the level below which entries of a part of the fleet spend only granted tokens.
pub fn metered_below(limit: WorkspaceLimit, part: f64) -> f64 {
    1.0 + 0.03 * limit.requests_per_second * part
}
