//! What the platform's store keeps of requests that are refused.
//!
//! Instances hear from one another who is refused. The store keeps it for when
//! all of them are gone at once.

use std::collections::{BTreeMap, BTreeSet};

use super::{RefusedWord, RequestContent};

/// The most that is written, and that is removed, at once: a transaction of
/// the store has a hundred entries at most.
const MOST_AT_ONCE: usize = 50;

/// A request that the store names as refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordedRefusal {
    /// The request.
    pub content: RequestContent,
    /// Until when, by the store's steady clock, in ms.
    pub until_ms: u64,
}

/// What the store names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordSight {
    /// Requests, those among them whose time is over.
    pub refusals: Vec<RecordedRefusal>,
    /// The store's steady clock, in ms.
    pub store_ms: u64,
}

/// A change of what the store names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordChange {
    /// What is to be added.
    pub put: Vec<RecordedRefusal>,
    /// Whom it is to name no longer.
    pub remove: Vec<RequestContent>,
}

impl RecordChange {
    /// Tells whether nothing is to be changed.
    pub fn is_empty(&self) -> bool {
        self.put.is_empty() && self.remove.is_empty()
    }
}

impl RecordSight {
    /// Returns who is refused for how much longer.
    pub fn words(&self) -> Vec<RefusedWord> {
        let all = self.refusals.iter().map(|one| RefusedWord {
            content: one.content,
            left_ms: one.until_ms.saturating_sub(self.store_ms),
        });
        all.filter(|word| word.left_ms > 0).collect()
    }

    /// Returns what is to be changed so that it names those that are
    /// `refused`, and not those that are `forgotten` or whose time is over.
    pub fn change(
        &self,
        refused: &[RefusedWord],
        forgotten: &[RequestContent],
    ) -> RecordChange {
        let named: BTreeMap<RequestContent, RefusedWord> =
            self.words().into_iter().map(|one| (one.content, one)).collect();
        let missing =
            refused.iter().filter(|one| !named.contains_key(&one.content));
        let put = missing.map(|word| RecordedRefusal {
            content: word.content,
            until_ms: self.store_ms.saturating_add(word.left_ms),
        });
        let put: Vec<RecordedRefusal> = put.take(MOST_AT_ONCE).collect();
        let written: BTreeSet<RequestContent> =
            put.iter().map(|one| one.content).collect();
        let over = self.refusals.iter().map(|one| one.content);
        let over = over.filter(|one| {
            let stays = named.contains_key(one) && !forgotten.contains(one);
            !stays && !written.contains(one)
        });
        RecordChange { remove: over.take(MOST_AT_ONCE).collect(), put }
    }
}
