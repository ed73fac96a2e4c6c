//! Conflict resolution between two records of one member.

use crate::schema::MemberRecord;

/// Whether `new` supersedes `old`: it has a higher revision, or a later health state at the same
/// revision.
///
/// Only the member itself raises its revision, so a stale record never revives a dead member.
pub fn supersedes(new: &MemberRecord, old: &MemberRecord) -> bool {
    (new.revision, new.health) > (old.revision, old.health)
}
