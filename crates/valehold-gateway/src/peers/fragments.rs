//! Messages that are larger than a datagram.
//!
//! They go out as several datagrams, and are put together where they arrive.
//! A fragment that is lost is the loss of the whole, as it is of a message that
//! fits into one.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// How many bytes of a message one datagram carries: it has room for a relay's
/// head besides.
pub const FRAGMENT_BYTES: usize = 56_000;

/// How many fragments a message has at the most: 3.5 MB.
const MOST_FRAGMENTS: usize = 64;

/// How many messages are put together at once; the oldest gives way.
const MOST_AT_ONCE: usize = 8;

/// A fragment of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// The message's number, drawn so that no two are alike.
    pub message: u64,
    /// Its place, from 0.
    pub index: u8,
    /// How many parts there are.
    pub count: u8,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// Cuts a message into fragments; `None` if it is too large for that.
pub fn cut(bytes: &[u8], message: u64) -> Option<Vec<Fragment>> {
    let count = bytes.len().div_ceil(FRAGMENT_BYTES);
    if count > MOST_FRAGMENTS {
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

/// Fragments of messages of which some have not arrived.
#[derive(Debug, Default)]
pub struct Fragments {
    of: BTreeMap<u64, BTreeMap<u8, Fragment>>,
    /// The messages, the oldest first.
    order: VecDeque<u64>,
}

impl Fragments {
    /// Takes a fragment in; returns the message if that was the last missing one.
    pub fn take(&mut self, fragment: Fragment) -> Option<Vec<u8>> {
        let (message, count) = (fragment.message, usize::from(fragment.count));
        if count > MOST_FRAGMENTS || fragment.index >= fragment.count {
            return None;
        }
        if !self.of.contains_key(&message) {
            self.make_place();
            self.order.push_back(message);
        }
        let fragments = self.of.entry(message).or_default();
        fragments.insert(fragment.index, fragment);
        if fragments.len() < count {
            return None;
        }
        let fragments = self.of.remove(&message)?;
        self.order.retain(|one| *one != message);
        Some(fragments.into_values().flat_map(|one| one.bytes).collect())
    }

    fn make_place(&mut self) {
        while self.order.len() >= MOST_AT_ONCE {
            let oldest = self.order.pop_front();
            oldest.and_then(|oldest| self.of.remove(&oldest));
        }
    }
}
