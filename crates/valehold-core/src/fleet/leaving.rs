//! Upstreams that say in their answers that they leave.
//!
//! An upstream that is about to end says so itself, also while the platform's
//! list cannot: its entry may say for as long as the store is away that it
//! takes work. Its own word is of one start and for good, so that no entry,
//! and no word of another instance, takes it back.

use std::collections::BTreeMap;

use super::identity::UpstreamStart;
use crate::time::Millis;

/// For how long a word is kept after it was last heard of an upstream that is
/// not known any more, in ms: an entry that lapsed with the store, or comes
/// late, must not bring the upstream back. No outage that users plan for
/// lasts longer.
const REMEMBER_MS: u64 = 600_000;

/// How often words of upstreams that are gone are looked for, in ms.
const SWEEP_EVERY_MS: u64 = 60_000;

/// How many words are kept at the least, and for how many times the upstreams
/// that are known: all of them may be replaced within [`REMEMBER_MS`], and a
/// word that is forgotten while its upstream leaves has it used again.
const LEAST_WORDS: usize = 4_096;
const WORDS_FOR_EACH: usize = 2;

/// Which starts of upstreams said that they leave.
#[derive(Debug, Clone, Default)]
pub struct LeavingUpstreams {
    /// When it was heard of each, or that was last known to be there.
    said: BTreeMap<UpstreamStart, Millis>,
    swept: Millis,
}

impl LeavingUpstreams {
    /// Notes that a start of an upstream leaves; tells whether that is new.
    /// `upstreams` is how many are known.
    pub fn note(
        &mut self,
        start: &UpstreamStart,
        upstreams: usize,
        now: Millis,
    ) -> bool {
        if self.contains(start) {
            return false;
        }
        let most = LEAST_WORDS.max(upstreams * WORDS_FOR_EACH);
        if self.said.len() >= most {
            self.forget_oldest();
        }
        self.said.insert(start.clone(), now);
        true
    }

    fn forget_oldest(&mut self) {
        let oldest = self.said.iter().min_by_key(|(_, heard)| **heard);
        let oldest = oldest.map(|(start, _)| start.clone());
        if let Some(oldest) = oldest {
            self.said.remove(&oldest);
        }
    }

    /// Tells whether a start of an upstream said that it leaves.
    pub fn contains(&self, start: &UpstreamStart) -> bool {
        self.said.contains_key(start)
    }

    /// Returns all of them.
    pub fn starts(&self) -> impl Iterator<Item = &UpstreamStart> {
        self.said.keys()
    }

    /// Forgets, now and then, upstreams that have not been `known` for long.
    pub fn sweep(
        &mut self,
        known: impl Fn(&UpstreamStart) -> bool,
        now: Millis,
    ) {
        if now.since(self.swept) < SWEEP_EVERY_MS {
            return;
        }
        self.swept = now;
        self.said.retain(|start, heard| {
            if known(start) {
                *heard = now;
            }
            now.since(*heard) < REMEMBER_MS
        });
    }
}
