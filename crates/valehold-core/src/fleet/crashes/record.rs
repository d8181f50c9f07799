//! The platform's store of refused requests.
//!
//! Instances report refused requests to one another. The store keeps the
//! refusals in case all instances stop at once.

use std::collections::{BTreeMap, BTreeSet};

use super::{RefusedReport, RequestContent};

/// Maximum number of refusals that one change writes, and that it removes. A
/// transaction of the store has at most a hundred entries.
const MAX_CHANGES: usize = 50;

/// A request that the store records as refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordedRefusal {
    /// The request.
    pub content: RequestContent,
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
    /// The requests whose refusals to delete.
    pub remove: Vec<RequestContent>,
}

impl RecordChange {
    /// Returns whether the change has no effect.
    pub fn is_empty(&self) -> bool {
        self.put.is_empty() && self.remove.is_empty()
    }
}

impl RecordState {
    /// Returns the unexpired refusals.
    pub fn unexpired(&self) -> Vec<RefusedReport> {
        let all = self.refusals.iter().map(|one| RefusedReport {
            content: one.content,
            left_ms: one.until_ms.saturating_sub(self.store_ms),
        });
        all.filter(|report| report.left_ms > 0).collect()
    }

    /// Returns the change after which the store records the `refused`
    /// requests, but neither the `cleared` nor the expired ones.
    ///
    /// A change holds at most 50 refusals to write and 50 to delete, and
    /// leaves out the rest.
    pub fn change(
        &self,
        refused: &[RefusedReport],
        cleared: &[RequestContent],
    ) -> RecordChange {
        let recorded: BTreeMap<RequestContent, RefusedReport> = self
            .unexpired()
            .into_iter()
            .map(|one| (one.content, one))
            .collect();
        let missing =
            refused.iter().filter(|one| !recorded.contains_key(&one.content));
        let put = missing.map(|report| RecordedRefusal {
            content: report.content,
            until_ms: self.store_ms.saturating_add(report.left_ms),
        });
        let put: Vec<RecordedRefusal> = put.take(MAX_CHANGES).collect();
        let put_contents: BTreeSet<RequestContent> =
            put.iter().map(|one| one.content).collect();
        let removable = self.refusals.iter().map(|one| one.content);
        let removable = removable.filter(|one| {
            let stays = recorded.contains_key(one) && !cleared.contains(one);
            !stays && !put_contents.contains(one)
        });
        RecordChange { remove: removable.take(MAX_CHANGES).collect(), put }
    }
}
