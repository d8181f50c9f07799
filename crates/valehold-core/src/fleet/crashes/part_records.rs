//! What one instance knows of the parts of prompts that were in flight at
//! crashes.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    ClearedReport, Crash, PartGroup, PartId, PartReports, PromptReports,
    RequestContent,
};
use crate::{id::UpstreamTag, time::Millis};

/// Maximum number of shared parts of one prompt; further ones are left out.
const MAX_PARTS: usize = 16;

/// Maximum number of prompts. The requests in flight at all recorded crashes
/// are no more.
const MAX_PROMPTS: usize = 4_096;

/// Maximum number of records that a crash does not speak against a part; they
/// take 100 KB.
const MAX_CLEARED: usize = 4_096;

/// The prompts of requests that were in flight at crashes, and the crashes
/// that do not speak against some part.
#[derive(Debug, Clone, Default)]
pub struct PartRecords {
    prompts: BTreeMap<RequestContent, BTreeSet<PartId>>,
    /// The crashes that do not speak against a part, with the expiry of the
    /// record.
    cleared: BTreeMap<(PartId, UpstreamTag), Millis>,
    /// When upstreams last began an answer of this instance's with a part, and
    /// went on. Only parts of `prompts` are recorded.
    last_sound: BTreeMap<PartId, Millis>,
    /// Records of this instance's own that are not sent to others yet.
    pending_prompts: BTreeSet<RequestContent>,
    pending_cleared: BTreeSet<(PartId, UpstreamTag)>,
}

impl PartRecords {
    /// Records the shared parts of a request that this instance sent, and
    /// returns whether any was unknown.
    pub(super) fn add_own_prompt(
        &mut self,
        content: RequestContent,
        parts: impl IntoIterator<Item = PartId>,
    ) -> bool {
        let is_new = self.add_prompt(content, parts);
        if is_new {
            self.pending_prompts.insert(content);
        }
        is_new
    }

    /// Records that this instance saw that a crash does not speak against a
    /// part, and returns whether that was unknown.
    pub(super) fn add_own_cleared(
        &mut self,
        part: PartId,
        upstream: UpstreamTag,
        until: Millis,
    ) -> bool {
        let is_new = self.add_cleared(part, upstream, until);
        if is_new {
            self.pending_cleared.insert((part, upstream));
        }
        is_new
    }

    /// Records that an upstream began an answer with a part at `began`, and
    /// went on. Does nothing for parts that were in flight at no crash.
    pub(super) fn record_sound(&mut self, part: PartId, began: Millis) {
        let mut prompts = self.prompts.values();
        if prompts.any(|parts| parts.contains(&part)) {
            let last = self.last_sound.entry(part).or_default();
            *last = began.max(*last);
        }
    }

    /// Returns when an upstream last began an answer with a part, and went on.
    pub(super) fn last_sound(&self, part: PartId) -> Option<Millis> {
        self.last_sound.get(&part).copied()
    }

    /// Merges the records of another instance, which expire after
    /// `retention_ms` at the latest, and returns whether any was unknown.
    pub(super) fn receive(
        &mut self,
        reports: &PartReports,
        retention_ms: u64,
        now: Millis,
    ) -> bool {
        let mut is_changed = false;
        for (content, parts) in reports.prompts.iter().take(MAX_PROMPTS) {
            is_changed |= self.add_prompt(content, parts);
        }
        for report in reports.cleared.iter().take(MAX_CLEARED) {
            let until = now + report.left_ms.min(retention_ms);
            let ClearedReport { part, upstream, .. } = *report;
            is_changed |= self.add_cleared(part, upstream, until);
            // Another instance has told all.
            self.pending_cleared.remove(&(part, upstream));
        }
        is_changed
    }

    /// Removes and returns the reports that were not sent yet.
    pub(super) fn take_updates(&mut self, now: Millis) -> PartReports {
        let prompts = std::mem::take(&mut self.pending_prompts);
        let prompts = prompts.iter().filter_map(|content| {
            Some((*content, self.prompts.get(content)?))
        });
        let cleared = std::mem::take(&mut self.pending_cleared);
        let cleared = cleared
            .iter()
            .filter_map(|key| Some((key, self.cleared.get(key)?)));
        PartReports {
            prompts: PromptReports::of(prompts),
            cleared: cleared_reports(cleared, now),
            refused: Vec::new(),
        }
    }

    /// Returns reports of all records but those of the store.
    pub(super) fn reports(&self, now: Millis) -> PartReports {
        let prompts = self.prompts.iter();
        PartReports {
            prompts: PromptReports::of(prompts.map(|(c, held)| (*c, held))),
            cleared: cleared_reports(self.cleared.iter(), now),
            refused: Vec::new(),
        }
    }

    /// Returns the requests with the shared parts of their prompts.
    pub(super) fn prompts(
        &self,
    ) -> impl Iterator<Item = (&RequestContent, &BTreeSet<PartId>)> {
        self.prompts.iter()
    }

    /// Returns the shared parts of a request.
    pub(super) fn parts_of(
        &self,
        content: &RequestContent,
    ) -> impl Iterator<Item = PartId> {
        self.prompts.get(content).into_iter().flatten().copied()
    }

    /// Returns whether a crash speaks against a part that was in flight there.
    pub(super) fn speaks_against(
        &self,
        upstream: UpstreamTag,
        part: PartId,
    ) -> bool {
        !self.cleared.contains_key(&(part, upstream))
    }

    /// Returns whether a part was cleared of any crash.
    pub(super) fn was_cleared(&self, part: PartId) -> bool {
        let (first, last) = (UpstreamTag::new(0), UpstreamTag::new(u32::MAX));
        self.cleared.range((part, first)..=(part, last)).next().is_some()
    }

    /// Returns whether any part was cleared of some crashes.
    pub(super) fn is_any_cleared(
        &self,
        is_among: impl Fn(&UpstreamTag) -> bool,
    ) -> bool {
        self.cleared.keys().any(|(_, upstream)| is_among(upstream))
    }

    /// Returns whether a request in flight at a crash held all of some parts.
    pub(super) fn is_group_at(
        &self,
        group: &PartGroup,
        crash: &Crash,
    ) -> bool {
        let mut in_flight = crash.in_flight.iter();
        in_flight.any(|content| {
            let parts = self.prompts.get(content);
            parts.is_some_and(|parts| group.is_within(parts))
        })
    }

    /// Removes the prompts of requests for which `is_kept` returns `false`.
    pub(super) fn retain_prompts(
        &mut self,
        is_kept: impl Fn(&RequestContent) -> bool,
    ) {
        self.prompts.retain(|content, _| is_kept(content));
        let prompts = self.prompts.values();
        let kept: BTreeSet<PartId> =
            prompts.flat_map(|parts| parts.iter().copied()).collect();
        self.last_sound.retain(|part, _| kept.contains(part));
    }

    /// Removes the records for which `is_kept` returns `false` of their expiry.
    pub(super) fn retain_cleared(&mut self, is_kept: impl Fn(Millis) -> bool) {
        self.cleared.retain(|_, until| is_kept(*until));
    }

    fn add_prompt(
        &mut self,
        content: RequestContent,
        parts: impl IntoIterator<Item = PartId>,
    ) -> bool {
        let is_known = self.prompts.contains_key(&content);
        if !is_known && self.prompts.len() >= MAX_PROMPTS {
            return false;
        }
        let mut is_changed = false;
        for part in parts {
            let held = self.prompts.entry(content).or_default();
            if held.len() < MAX_PARTS {
                is_changed |= held.insert(part);
            }
        }
        is_changed
    }

    fn add_cleared(
        &mut self,
        part: PartId,
        upstream: UpstreamTag,
        until: Millis,
    ) -> bool {
        let key = (part, upstream);
        if let Some(known) = self.cleared.get_mut(&key) {
            *known = until.min(*known);
            return false;
        }
        if self.cleared.len() >= MAX_CLEARED {
            return false;
        }
        self.cleared.insert(key, until);
        true
    }
}

fn cleared_reports<'a>(
    cleared: impl Iterator<Item = (&'a (PartId, UpstreamTag), &'a Millis)>,
    now: Millis,
) -> Vec<ClearedReport> {
    let unexpired = cleared.filter(|(_, until)| now < **until);
    unexpired
        .map(|((part, upstream), until)| ClearedReport {
            part: *part,
            upstream: *upstream,
            left_ms: until.since(now),
        })
        .collect()
}
