//! The reports about parts of prompts that instances send one another.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{PartGroup, PartId, RequestContent};
use crate::id::UpstreamTag;

/// The shared parts of the prompts of requests that were in flight at crashes.
///
/// Many prompts share parts, so each part is written once and prompts refer to
/// it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptReports {
    /// The parts.
    pub parts: Vec<PartId>,
    /// The requests, each with the positions of its parts in `parts`.
    pub prompts: Vec<(RequestContent, Vec<u32>)>,
}

impl PromptReports {
    /// Writes prompts.
    pub fn of<'a>(
        prompts: impl IntoIterator<Item = (RequestContent, &'a BTreeSet<PartId>)>,
    ) -> Self {
        let mut reports = Self::default();
        let mut positions: BTreeMap<PartId, u32> = BTreeMap::new();
        for (content, held) in prompts {
            let held = held.iter().map(|part| {
                *positions.entry(*part).or_insert_with(|| {
                    reports.parts.push(*part);
                    u32::try_from(reports.parts.len() - 1).unwrap_or(u32::MAX)
                })
            });
            let held = held.collect();
            reports.prompts.push((content, held));
        }
        reports
    }

    /// Returns the prompts. Positions beyond the list of parts are left out.
    pub fn iter(
        &self,
    ) -> impl Iterator<Item = (RequestContent, impl Iterator<Item = PartId>)>
    {
        self.prompts.iter().map(|(content, held)| {
            let held = held.iter().filter_map(|position| {
                let position = usize::try_from(*position).ok()?;
                self.parts.get(position).copied()
            });
            (*content, held)
        })
    }
}

/// Reports that a crash does not speak against a part: an upstream began to
/// answer a request with the part after the crash, and went on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearedReport {
    /// The part.
    pub part: PartId,
    /// The start of the upstream that crashed.
    pub upstream: UpstreamTag,
    /// The time until the report expires, in ms.
    pub left_ms: u64,
}

/// Reports that the platform's store records requests with some parts as
/// refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedPartsReport {
    /// The parts.
    pub parts: PartGroup,
    /// The time until such requests are accepted again, in ms.
    pub left_ms: u64,
}

/// All reports about parts of prompts that an instance sends in one message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReports {
    /// The prompts of requests that were in flight at crashes.
    pub prompts: PromptReports,
    /// The crashes that do not speak against some part.
    pub cleared: Vec<ClearedReport>,
    /// The parts that the platform's store records as refused.
    pub refused: Vec<RefusedPartsReport>,
}

impl PartReports {
    /// Returns whether there are no reports of any kind.
    pub fn is_empty(&self) -> bool {
        self.prompts.prompts.is_empty()
            && self.cleared.is_empty()
            && self.refused.is_empty()
    }
}
