//! Fragmentation of messages that are larger than a datagram.
//!
//! The sender splits such a message into several datagrams, and the receiver
//! reassembles it. There is no retransmission: the loss of one fragment loses
//! the message, just as the loss of a datagram loses a small message.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// How many bytes of a message one fragment carries. The rest of the datagram
/// is left for the headers of the fragment and of a relay around it.
pub const FRAGMENT_BYTES: usize = 56_000;

/// The most fragments of one message, which limits its size to 3.5 MB.
const MAX_FRAGMENTS: usize = 64;

/// The most messages that are reassembled at once. A further one evicts the
/// oldest.
const MAX_INCOMPLETE_MESSAGES: usize = 8;

/// A fragment of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// The random number that identifies the message.
    pub message: u64,
    /// The position in the message, from 0.
    pub index: u8,
    /// The number of fragments of the message.
    pub count: u8,
    /// The bytes of the message at this position.
    pub bytes: Vec<u8>,
}

/// Splits a message into fragments; returns `None` if it needs more than
/// `MAX_FRAGMENTS`.
pub fn split(bytes: &[u8], message: u64) -> Option<Vec<Fragment>> {
    let count = bytes.len().div_ceil(FRAGMENT_BYTES);
    if count > MAX_FRAGMENTS {
        return None;
    }
    let count = u8::try_from(count).ok()?;
    let fragments = (0..count).zip(bytes.chunks(FRAGMENT_BYTES));
    let fragment = |(index, bytes): (u8, &[u8])| Fragment {
        message,
        index,
        count,
        bytes: bytes.to_vec(),
    };
    Some(fragments.map(fragment).collect())
}

/// Reassembles messages from fragments, which may arrive in any order.
#[derive(Debug, Default)]
pub struct Reassembler {
    /// The received fragments of each incomplete message.
    incomplete: BTreeMap<u64, BTreeMap<u8, Fragment>>,
    /// The numbers of the incomplete messages, the oldest first.
    order: VecDeque<u64>,
}

impl Reassembler {
    /// Adds a fragment and returns the message if the fragment completes it.
    pub fn push(&mut self, fragment: Fragment) -> Option<Vec<u8>> {
        let (message, count) = (fragment.message, usize::from(fragment.count));
        if count > MAX_FRAGMENTS || fragment.index >= fragment.count {
            return None;
        }
        if !self.incomplete.contains_key(&message) {
            self.evict_oldest();
            self.order.push_back(message);
        }
        let fragments = self.incomplete.entry(message).or_default();
        fragments.insert(fragment.index, fragment);
        if fragments.len() < count {
            return None;
        }
        let fragments = self.incomplete.remove(&message)?;
        self.order.retain(|number| *number != message);
        Some(
            fragments
                .into_values()
                .flat_map(|fragment| fragment.bytes)
                .collect(),
        )
    }

    fn evict_oldest(&mut self) {
        while self.order.len() >= MAX_INCOMPLETE_MESSAGES {
            let oldest = self.order.pop_front();
            oldest.and_then(|oldest| self.incomplete.remove(&oldest));
        }
    }
}
