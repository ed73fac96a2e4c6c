//! Which of two records of a member holds.

use crate::schema::MemberRecord;

/// Whether `new` supersedes `old`: a higher revision, or a later health within the same revision.
///
/// Only the member itself raises its revision, so a stale record never brings a dead member back.
pub fn supersedes(new: &MemberRecord, old: &MemberRecord) -> bool {
    (new.revision, new.health) > (old.revision, old.health)
}
