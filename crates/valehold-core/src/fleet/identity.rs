//! Which start of an upstream is meant.
//!
//! An upstream may start again under the name that it had, and then holds and
//! knows nothing of before. What is learned of it, counted for it or expected
//! of it belongs to one start, so that whatever is kept by upstream is kept by
//! [`UpstreamStart`]: another start is another key, and what comes late of an
//! earlier one finds its own. [`Births`] keeps the latest start of each, so
//! that nothing that is old brings an earlier one back.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    id::{UpstreamId, UpstreamTag},
    time::Millis,
};

/// One start of an upstream.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct UpstreamStart {
    /// The upstream.
    pub id: UpstreamId,
    /// When it started, in ms of its own clock, if it says so.
    pub birth: Option<u64>,
}

impl UpstreamStart {
    /// Returns the start's tag: another one than that of other starts.
    #[allow(clippy::cast_possible_truncation)]
    pub fn tag(&self) -> UpstreamTag {
        let seed = self.birth.unwrap_or(0);
        let hash = xxh3_64_with_seed(self.id.as_str().as_bytes(), seed);
        UpstreamTag::new(hash as u32)
    }
}

/// For how long after a start's last word what tells of an earlier one is taken
/// for late, in ms: nothing is on its way for longer. From then on a clock went
/// back, and the earlier birth is the newer start's.
const REMEMBER_MS: u64 = 600_000;

/// How often starts of upstreams that are gone are looked for, in ms.
const SWEEP_EVERY_MS: u64 = 60_000;

/// What is known of the latest start of an upstream.
#[derive(Debug, Clone, Copy)]
struct Latest {
    birth: u64,
    heard: Millis,
}

/// The latest start of each upstream that states when it was.
///
/// Births order starts: what tells of an earlier one is old, whenever it
/// arrives. What states none tells of the latest.
#[derive(Debug, Clone, Default)]
pub struct Births {
    latest: BTreeMap<UpstreamId, Latest>,
    swept: Millis,
}

impl Births {
    /// Notes what was said of an upstream's birth; tells whether it is of its
    /// latest start, rather than of an earlier one.
    pub fn note(
        &mut self,
        id: &UpstreamId,
        birth: Option<u64>,
        now: Millis,
    ) -> bool {
        let Some(birth) = birth else { return true };
        let latest = Latest { birth, heard: now };
        let known = self.latest.entry(id.clone()).or_insert(latest);
        let is_young = now.since(known.heard) < REMEMBER_MS;
        if birth < known.birth && is_young {
            return false;
        }
        *known = latest;
        true
    }

    /// Returns the birth of an upstream's latest start.
    pub fn of(&self, id: &UpstreamId) -> Option<u64> {
        self.latest.get(id).map(|latest| latest.birth)
    }

    /// Forgets upstreams of which nothing was heard for long and that are not
    /// `known`, now and then.
    pub fn sweep(&mut self, known: impl Fn(&UpstreamId) -> bool, now: Millis) {
        if now.since(self.swept) < SWEEP_EVERY_MS {
            return;
        }
        self.swept = now;
        self.latest.retain(|id, latest| {
            now.since(latest.heard) < REMEMBER_MS || known(id)
        });
    }
}
