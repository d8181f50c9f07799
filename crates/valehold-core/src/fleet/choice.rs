//! Which of several plain upstreams takes a request.
//!
//! Engines are chosen by [`crate::routing`], which predicts when an answer
//! begins. Plain services say nothing of their load, so the one with the
//! fewest requests for each of its slots is taken, as far as this instance
//! and its peers know, and among equals the nearer one: the way counts as requests that wait.

use crate::id::UpstreamId;

/// What is known of one plain upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct PlainCandidate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Requests that instances have sent and that are not answered.
    pub running: u32,
    /// What the way to it costs, in ms.
    pub way_ms: f64,
}

/// Chooses a plain upstream, or `None` without candidates.
///
/// `draw` is a number from 0 to 1 that breaks ties.
pub fn choose_plain(
    candidates: &[PlainCandidate],
    draw: f64,
) -> Option<&PlainCandidate> {
    let least = candidates.iter().map(cost).min_by(f64::total_cmp)?;
    let equal: Vec<&PlainCandidate> =
        candidates.iter().filter(|c| cost(c) <= least + TIE).collect();
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    let index = (draw * equal.len() as f64) as usize;
    equal.get(index.min(equal.len() - 1)).copied()
}

/// Costs that differ by less are taken for equal.
const TIE: f64 = 0.01;

/// What a ms of the way to an upstream costs, in requests for each slot: a
/// request beyond the slots waits for another one, some 20 ms long.
const LOAD_OF_MS: f64 = 0.05;

/// The most that a way costs, in requests for each slot: where hardly a slot
/// is free nearby, one that is free anywhere is the better one.
const MOST_WAY: f64 = 0.8;

fn cost(candidate: &PlainCandidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let load = f64::from(candidate.running + 1) / slots;
    load + (candidate.way_ms * LOAD_OF_MS).min(MOST_WAY)
}
