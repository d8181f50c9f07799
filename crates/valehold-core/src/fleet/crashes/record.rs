//! The platform's store of what requests are refused for.
//!
//! Instances report refusals to one another. The store keeps them in case all
//! instances stop at once.

use std::collections::BTreeSet;

use super::{Culprit, Refusal};

/// Maximum number of refusals that one change writes, and that it removes. A
/// transaction of the store has at most a hundred entries.
const MAX_CHANGES: usize = 50;

/// A refusal that the store records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedRefusal {
    /// What the requests are refused for.
    pub culprit: Culprit,
    /// When the refusal expires, by the store's steady clock, in ms.
    pub until_ms: u64,
}

/// The refusals in the store when it was read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordState {
    /// The refusals, including expired ones.
    pub refusals: Vec<RecordedRefusal>,
    /// The time of the store's steady clock at the read, in ms.
    pub store_ms: u64,
}

/// A change to the refusals in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordChange {
    /// The refusals to write.
    pub put: Vec<RecordedRefusal>,
    /// The culprits whose refusals to delete.
    pub remove: Vec<Culprit>,
}

impl RecordChange {
    /// Returns whether the change has no effect.
    pub fn is_empty(&self) -> bool {
        self.put.is_empty() && self.remove.is_empty()
    }
}

impl RecordState {
    /// Returns the unexpired refusals.
    pub fn unexpired(&self) -> Vec<Refusal> {
        let all = self.refusals.iter().map(|one| Refusal {
            culprit: one.culprit.clone(),
            left_ms: one.until_ms.saturating_sub(self.store_ms),
        });
        all.filter(|refusal| refusal.left_ms > 0).collect()
    }

    /// Returns the change after which the store records the `refused`
    /// culprits, but neither the `cleared` nor the expired ones.
    ///
    /// A change holds at most 50 refusals to write and 50 to delete, and
    /// leaves out the rest.
    pub fn change(
        &self,
        refused: &[Refusal],
        cleared: &[Culprit],
    ) -> RecordChange {
        let unexpired = self.unexpired();
        let recorded: BTreeSet<&Culprit> =
            unexpired.iter().map(|one| &one.culprit).collect();
        let missing =
            refused.iter().filter(|one| !recorded.contains(&one.culprit));
        let put = missing.map(|refusal| RecordedRefusal {
            culprit: refusal.culprit.clone(),
            until_ms: self.store_ms.saturating_add(refusal.left_ms),
        });
        let put: Vec<RecordedRefusal> = put.take(MAX_CHANGES).collect();
        let put_culprits: BTreeSet<&Culprit> =
            put.iter().map(|one| &one.culprit).collect();
        let removable = self.refusals.iter().map(|one| &one.culprit);
        let removable = removable.filter(|one| {
            let stays = recorded.contains(one) && !cleared.contains(one);
            !stays && !put_culprits.contains(one)
        });
        let remove = removable.take(MAX_CHANGES).cloned().collect();
        RecordChange { remove, put }
    }
}
