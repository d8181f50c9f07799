//! Chooses the upstream of a plain service that receives a request.
//!
//! Engines are chosen by [`crate::routing`], which predicts when an answer
//! begins. The processes of a plain service do not report their load, so the
//! process with the lowest cost is chosen. The cost is the number of requests
//! per slot that this instance and its peers have in flight to the process,
//! plus the cost of the network path, expressed as waiting requests per slot.

use crate::id::UpstreamId;

/// A process of a plain service that is eligible for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct PlainCandidate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// The number of requests in flight to the upstream, of all instances.
    pub running: u32,
    /// The cost of the network path to the upstream, in ms.
    pub path_cost_ms: f64,
}

/// Returns the candidate with the lowest cost, or `None` without candidates.
///
/// `draw` is a random number from 0 to 1 that breaks ties.
pub fn choose_plain(
    candidates: &[PlainCandidate],
    draw: f64,
) -> Option<&PlainCandidate> {
    let lowest = candidates.iter().map(cost).min_by(f64::total_cmp)?;
    let tied: Vec<&PlainCandidate> =
        candidates.iter().filter(|c| cost(c) <= lowest + TIE_MARGIN).collect();
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    let index = (draw * tied.len() as f64) as usize;
    tied.get(index.min(tied.len() - 1)).copied()
}

/// Candidates whose cost exceeds the lowest by at most this much are tied.
const TIE_MARGIN: f64 = 0.01;

/// The cost of 1 ms of network path, in requests per slot. A request that
/// finds no free slot waits for another request, which takes about 20 ms.
const LOAD_PER_MS: f64 = 0.05;

/// The maximum cost of a network path, in requests per slot. Because of the
/// maximum, an upstream with free slots at any distance is preferred to a
/// nearby upstream with hardly a free slot.
const MAX_PATH_LOAD: f64 = 0.8;

fn cost(candidate: &PlainCandidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let load = f64::from(candidate.running + 1) / slots;
    load + (candidate.path_cost_ms * LOAD_PER_MS).min(MAX_PATH_LOAD)
}
