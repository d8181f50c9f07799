//! Keeps a tracker's records within their limits.

use std::collections::BTreeSet;

use super::{
    super::{Crash, Culprit, RequestContent},
    CrashTracker, MAX_CRASHES, MAX_RECORDED, MAX_REQUESTS,
};

impl CrashTracker {
    /// Evicts the oldest crashes and records beyond the limits.
    ///
    /// Crashes at which a refused request was in flight are evicted last:
    /// without them the refusal would end.
    pub(super) fn evict_excess(&mut self) {
        let mut is_evicted = false;
        loop {
            let in_flight = self.crashes.values().map(|c| c.in_flight.len());
            let is_full = in_flight.sum::<usize>() > MAX_REQUESTS
                || self.crashes.len() > MAX_CRASHES;
            if !is_full {
                break;
            }
            let is_explained = |crash: &Crash| {
                let mut refused = self.refused.keys();
                refused.any(|one| match one {
                    Culprit::Request(one) => crash.in_flight.contains(one),
                    Culprit::Parts(one) => self.parts.is_group_at(one, crash),
                })
            };
            let oldest = self
                .crashes
                .iter()
                .min_by_key(|(_, crash)| (is_explained(crash), crash.until));
            let Some(oldest) = oldest.map(|(tag, _)| *tag) else { break };
            self.crashes.remove(&oldest);
            is_evicted = true;
        }
        if is_evicted {
            self.forget_unsuspected();
        }
        while self.recorded.len() > MAX_RECORDED {
            let oldest = self.recorded.iter().min_by_key(|(_, until)| **until);
            let Some(oldest) = oldest.map(|(culprit, _)| culprit.clone())
            else {
                break;
            };
            self.recorded.remove(&oldest);
        }
    }

    /// Removes the exposures and the prompts of requests that were in flight at
    /// no recorded crash.
    pub(super) fn forget_unsuspected(&mut self) {
        let crashes = self.crashes.values();
        let suspects: BTreeSet<RequestContent> =
            crashes.flat_map(|one| one.in_flight.iter().copied()).collect();
        self.exposures.retain(|content| suspects.contains(content));
        self.parts.retain_prompts(|content| suspects.contains(content));
    }
}
