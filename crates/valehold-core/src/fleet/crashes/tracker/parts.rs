//! Parts of prompts in the records of a tracker.

use std::collections::BTreeSet;

use super::{
    super::{
        Culprit, PART_REFUSED_AFTER_CRASHES, PartGroup, PartId, PartReports,
        Refusal, RequestContent, part_culprits::CLEARING_MS,
    },
    CrashTracker, MAX_RECORDED,
};
use crate::{id::UpstreamTag, time::Millis};

/// How often parts that many crashes speak against are judged again although
/// no record was added, in ms: answers get some time to clear them.
const REVIEW_INTERVAL_MS: u64 = 250;

/// The time since the last crash for which parts are judged again, in ms: the
/// time that answers get to clear them, and one interval more.
const REVIEWED_FOR_MS: u64 = CLEARING_MS + 2 * REVIEW_INTERVAL_MS;

/// A change of the set of refused parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartChange {
    /// The parts that requests have to hold to be refused.
    pub group: PartGroup,
    /// Whether such requests are refused from now on, or no longer.
    pub is_refused: bool,
    /// The known crashes at which a request held all of the parts.
    pub crashes: Vec<UpstreamTag>,
}

impl CrashTracker {
    /// Takes the changes of the set of refused parts since the last call.
    pub fn take_part_changes(&mut self) -> Vec<PartChange> {
        let refused = self.refused.keys().filter_map(|one| match one {
            Culprit::Parts(group) => Some(group.clone()),
            Culprit::Request(_) => None,
        });
        let refused: BTreeSet<PartGroup> = refused.collect();
        let known = std::mem::replace(&mut self.reported_parts, refused);
        let changed = known.symmetric_difference(&self.reported_parts);
        changed
            .map(|group| PartChange {
                group: group.clone(),
                is_refused: self.reported_parts.contains(group),
                crashes: self.crashes_of_group(group).collect(),
            })
            .collect()
    }

    /// Returns the known crashes at which a request held all of some parts.
    pub(super) fn crashes_of_group(
        &self,
        group: &PartGroup,
    ) -> impl Iterator<Item = UpstreamTag> {
        let crashes = self.crashes.iter();
        let involved =
            crashes.filter(|(_, crash)| self.parts.is_group_at(group, crash));
        involved.map(|(tag, _)| *tag)
    }

    /// Records the shared parts of the prompt of a request that was in flight
    /// at a crash. Called before the crash is recorded.
    pub fn record_prompt(
        &mut self,
        content: RequestContent,
        parts: impl IntoIterator<Item = PartId>,
        now: Millis,
    ) {
        let is_new = self.parts.add_own_prompt(content, parts);
        if is_new && self.crash_count(&content) > 0 {
            self.update_refused(now);
        }
    }

    /// Records that an upstream began to answer a request with some shared
    /// parts at `began`, and went on. None of the parts crashed an upstream
    /// before.
    ///
    /// Other instances are told only once two crashes or more speak against a
    /// part: most parts at a crash are never suspected.
    pub fn record_sound_parts(
        &mut self,
        parts: &BTreeSet<PartId>,
        began: Millis,
        now: Millis,
    ) {
        for part in parts {
            self.parts.record_sound(*part, began);
        }
        let mut parts = parts.iter();
        if parts.any(|part| self.suspected_parts.contains_key(part)) {
            self.update_refused(now);
        }
    }

    /// Clears the suspected parts that upstreams answered after some of the
    /// crashes, and returns whether there were any.
    pub(super) fn clear_sound_parts(&mut self) -> bool {
        let mut is_changed = false;
        for (part, crashes) in &self.suspected_parts {
            let Some(began) = self.parts.last_sound(*part) else { continue };
            let expiry = began + self.retention_ms;
            let before = crashes.iter().filter(|(_, until)| *until <= expiry);
            for (upstream, until) in before {
                is_changed |=
                    self.parts.add_own_cleared(*part, *upstream, *until);
            }
        }
        is_changed
    }

    /// Merges the reports of another instance about parts.
    pub fn receive_parts(&mut self, reports: &PartReports, now: Millis) {
        let mut is_changed =
            self.parts.receive(reports, self.retention_ms, now);
        for report in reports.refused.iter().take(MAX_RECORDED) {
            let culprit = Culprit::Parts(report.parts.clone());
            let refusal = Refusal { culprit, left_ms: report.left_ms };
            is_changed |= self.add_recorded(refusal, now);
        }
        if is_changed {
            self.update_refused(now);
        }
    }

    /// Returns how long requests with some shared parts are still refused, in
    /// ms, or `None` if they are not.
    pub fn parts_refused_ms(
        &self,
        parts: &BTreeSet<PartId>,
        now: Millis,
    ) -> Option<u64> {
        let refused =
            self.refused.iter().filter(|(culprit, _)| match culprit {
                Culprit::Parts(group) => group.is_within(parts),
                Culprit::Request(_) => false,
            });
        let left_ms = refused.map(|(_, until)| until.since(now)).max()?;
        Some(left_ms).filter(|left_ms| *left_ms > 0)
    }

    /// Returns whether one more crash may be enough for requests with one of
    /// some shared parts to be refused.
    pub fn are_parts_near_refusal(&self, parts: &BTreeSet<PartId>) -> bool {
        parts.iter().any(|part| {
            let crashes = self.suspected_parts.get(part);
            crashes.is_some_and(|crashes| {
                crashes.len() + 1 >= PART_REFUSED_AFTER_CRASHES
            })
        })
    }

    /// Judges the parts that enough crashes speak against again, as long as
    /// time alone may change the result.
    pub(super) fn review_parts(&mut self, now: Millis) {
        let mut suspected = self.suspected_parts.values();
        let is_undecided = suspected.any(|crashes| {
            let last = crashes.iter().map(|(_, until)| *until).max();
            let age_ms =
                last.map(|last| (now + self.retention_ms).since(last));
            crashes.len() >= PART_REFUSED_AFTER_CRASHES
                && age_ms.is_some_and(|age_ms| age_ms <= REVIEWED_FOR_MS)
        });
        if !is_undecided || now.since(self.judged) < REVIEW_INTERVAL_MS {
            return;
        }
        let before = (self.revision, self.changes);
        self.update_refused(now);
        if self.changes == before.1 {
            self.revision = before.0;
        }
    }
}
