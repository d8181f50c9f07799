//! Which engines are likely to have the beginning of a prompt cached.
//!
//! A prompt is cut into blocks, and each block's hash covers all before it.
//! What this instance sent, and what engines publish, gives hints: this
//! engine had this block at that time. Hints age, are bounded in number, and
//! an engine's are all dropped when its events show a gap.

#[cfg(test)]
mod tests;

use std::{
    collections::{HashMap, VecDeque},
    hash::Hash,
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{id::UpstreamId, time::Millis};

/// The length of a block, in bytes of prompt.
pub const BLOCK_BYTES: usize = 256;

/// How many blocks of a prompt are looked at.
const MAX_BLOCKS: usize = 64;

/// How many bytes of prompt are taken for a token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Returns the part of a caller's body whose beginning engines cache.
///
/// Of a chat that is its messages, of a completion its prompt, each as JSON.
pub fn prompt_text(body: &serde_json::Value) -> String {
    let prompt = body.get("messages").or_else(|| body.get("prompt"));
    prompt.map_or_else(String::new, ToString::to_string)
}

/// Returns the hashes of a prompt's leading whole blocks.
///
/// # Example
///
/// ```
/// use valehold_core::prefix::{BLOCK_BYTES, block_hashes};
///
/// let prompt = vec![b'a'; BLOCK_BYTES * 2 + 1];
/// assert_eq!(block_hashes(&prompt).len(), 2);
/// ```
pub fn block_hashes(prompt: &[u8]) -> Vec<u64> {
    chained_hashes(0, prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS))
}

/// Returns each part's hash, which covers all parts before it.
///
/// Those of prompts that begin differently differ from the first on if their
/// seeds do.
pub fn chained_hashes(
    seed: u64,
    parts: impl IntoIterator<Item = impl AsRef<[u8]>>,
) -> Vec<u64> {
    let mut chained = seed;
    parts
        .into_iter()
        .map(|part| {
            chained = xxh3_64_with_seed(part.as_ref(), chained);
            chained
        })
        .collect()
}

/// Returns how many tokens a text of so many bytes is taken for.
pub fn estimated_tokens(bytes: usize) -> u64 {
    bytes.div_ceil(BYTES_PER_TOKEN) as u64
}

/// Hints of which engine has which block, engines being told apart by `E`.
#[derive(Debug, Clone)]
pub struct PrefixHints<E = UpstreamId> {
    keep_ms: u64,
    capacity: usize,
    seen: HashMap<(E, u64), Millis>,
    order: VecDeque<(E, u64, Millis)>,
}

impl<E: Clone + Eq + Hash> PrefixHints<E> {
    /// Makes an empty set of at most `capacity` hints, each kept for a while.
    pub fn new(keep_ms: u64, capacity: usize) -> Self {
        Self {
            keep_ms,
            capacity: capacity.max(1),
            seen: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Notes that an engine has read these blocks.
    pub fn note(&mut self, engine: &E, blocks: &[u64], now: Millis) {
        for block in blocks {
            self.seen.insert((engine.clone(), *block), now);
            self.order.push_back((engine.clone(), *block, now));
        }
        while self.order.len() > self.capacity {
            self.drop_oldest();
        }
    }

    /// Returns how many leading blocks an engine is likely to have.
    pub fn cached_blocks(
        &self,
        engine: &E,
        blocks: &[u64],
        now: Millis,
    ) -> usize {
        let has = |block: &u64| {
            let key = (engine.clone(), *block);
            let seen = self.seen.get(&key);
            seen.is_some_and(|seen| now.since(*seen) < self.keep_ms)
        };
        blocks.iter().take_while(|block| has(block)).count()
    }

    /// Drops all hints about an engine: its events have a gap.
    pub fn forget(&mut self, engine: &E) {
        self.seen.retain(|(known, _), _| known != engine);
        self.order.retain(|(known, _, _)| known != engine);
    }

    /// Returns how many hints there are.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Tells whether there are no hints.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    fn drop_oldest(&mut self) {
        let Some((engine, block, noted)) = self.order.pop_front() else {
            return;
        };
        let key = (engine, block);
        // A block that was noted again since has a younger place in line.
        if self.seen.get(&key) == Some(&noted) {
            self.seen.remove(&key);
        }
    }
}
