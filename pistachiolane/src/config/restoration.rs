//! Subtrees to write again after the store came back from an older copy.

use {
    super::{EVACUATIONS, ROUTES},
    crate::schema::Subtree,
    std::{collections::BTreeMap, sync::Arc},
};

/// Returns the subtrees in force that the store has lost: those of which it has no version or an older
/// one.
///
/// The subtrees of routes and of evacuations are left out, because they follow objects of the platform's operator.
pub fn lost_subtrees(in_force: Vec<Subtree>, stored: &[Subtree]) -> Vec<Subtree> {
    let versions: BTreeMap<&Arc<str>, u64> = stored.iter().map(|s| (&s.name, s.version)).collect();
    let is_lost = |s: &Subtree| {
        !matches!(s.name.as_ref(), ROUTES | EVACUATIONS)
            && s.version > versions.get(&s.name).copied().unwrap_or(0)
    };
    in_force.into_iter().filter(is_lost).collect()
}
