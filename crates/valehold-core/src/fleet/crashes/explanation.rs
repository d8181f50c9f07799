//! The choice of the one or two parts of prompts that explain the crashes best.
//!
//! A sound part that many requests hold may be in flight at more crashes than
//! a part that crashes upstreams. Where two parts crash upstreams, the two
//! together are at all crashes, which no other one or two parts are. So parts
//! are compared as sets, by the crashes that the whole set covers.

use std::collections::BTreeMap;

use super::{
    Evidence, PartId,
    part_culprits::{PartCrashes, holders, is_explained_by_one_request},
};
use crate::id::UpstreamTag;

/// Number of crashes from which a part may be in an explanation.
const MIN_CRASHES: usize = 3;

/// Number of parts that are compared in pairs: those that cover the most.
const MAX_CANDIDATES: usize = 40;

/// The power of the number of requests in flight at a crash by which the crash
/// weighs less: the more requests, the more parts are there by chance.
const CROWD_POWER: f64 = 0.3;

/// What each part of an explanation costs, as the weight of a crash with one
/// request in flight. A second part has to explain more than chance does.
const PART_COST: f64 = 0.8;

/// What each request with a part that is in flight beside another one with the
/// part costs, on average over the crashes. A part that most requests hold is
/// at most crashes, whatever causes them.
const HOLDER_COST: f64 = 0.6;

/// What a part costs that upstreams answered between the crashes.
const CLEARED_COST: f64 = 3.0;

/// A part that may be in an explanation.
#[derive(Debug, Clone)]
struct Candidate {
    part: PartId,
    /// The weights of the crashes that the part covers.
    weights: BTreeMap<UpstreamTag, f64>,
    cost: f64,
}

/// Returns the one or two parts that explain the crashes best, or none if no
/// part is at enough of them.
pub(super) fn best_explanation(
    evidence: Evidence<'_>,
    by_part: &BTreeMap<PartId, PartCrashes<'_>>,
) -> Vec<PartId> {
    let may_explain = |crashes: &PartCrashes<'_>| {
        crashes.len() >= MIN_CRASHES && !is_explained_by_one_request(crashes)
    };
    let mut candidates: Vec<Candidate> = by_part
        .iter()
        .filter(|(_, crashes)| may_explain(crashes))
        .map(|(part, crashes)| Candidate::new(evidence, *part, crashes))
        .collect();
    candidates.sort_by(|one, other| other.score().total_cmp(&one.score()));
    candidates.truncate(MAX_CANDIDATES);
    let Some(first) = candidates.first() else { return Vec::new() };
    let (mut best, mut most) = (vec![first.part], first.score());
    for (index, one) in candidates.iter().enumerate() {
        for other in &candidates[index + 1..] {
            let score = one.score_with(other);
            if score > most {
                (best, most) = (vec![one.part, other.part], score);
            }
        }
    }
    best
}

impl Candidate {
    fn new(
        evidence: Evidence<'_>,
        part: PartId,
        crashes: &PartCrashes<'_>,
    ) -> Self {
        let weights = crashes.iter().map(|(tag, one)| {
            let in_flight = one.crash.in_flight.len().max(1) as f64;
            (*tag, in_flight.powf(-CROWD_POWER))
        });
        let beside = holders(crashes) - crashes.len();
        let beside = beside as f64 / crashes.len() as f64;
        let cleared_cost = match evidence.parts.was_cleared(part) {
            true => CLEARED_COST,
            false => 0.0,
        };
        Self {
            part,
            weights: weights.collect(),
            cost: PART_COST + HOLDER_COST * beside + cleared_cost,
        }
    }

    /// Returns how well the part alone explains the crashes.
    fn score(&self) -> f64 {
        self.weights.values().sum::<f64>() - self.cost
    }

    /// Returns how well two parts together explain the crashes.
    fn score_with(&self, other: &Self) -> f64 {
        let added = other.weights.iter();
        let added = added.filter(|(tag, _)| !self.weights.contains_key(*tag));
        let added: f64 = added.map(|(_, weight)| weight).sum();
        self.score() + added - other.cost
    }
}
