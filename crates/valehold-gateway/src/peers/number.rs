//! The order of what one gateway says.
//!
//! A datagram may overtake another. What replaces what was said before, such
//! as loads and rulings, is therefore numbered, and older words are passed
//! over: figures that are old would stand until they are told again.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};
use valehold_core::Millis;

/// The place of a word among those of one gateway.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct WordNumber {
    /// Differs between the gateway's starts.
    pub start: u64,
    /// Counts what it says.
    pub sequence: u64,
}

/// For whom a gateway says what it numbers: each of these hears an order of its
/// own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Audience {
    /// The gateways of its group.
    Group,
    /// Hubs of other groups, and the holder of the lease.
    Hubs,
}

/// The newest word of a gateway.
#[derive(Debug, Clone, Copy)]
struct Newest {
    number: WordNumber,
    /// The start before, of which words may still be on their way.
    earlier_start: Option<u64>,
    heard: Millis,
}

/// The newest word of each gateway that numbers what it says.
#[derive(Debug, Default)]
pub(super) struct WordOrder {
    newest: BTreeMap<(SocketAddr, Audience), Newest>,
}

impl WordOrder {
    /// Takes in a word's number; tells whether none of the same gateway that
    /// is newer was heard.
    pub(super) fn take(
        &mut self,
        from: SocketAddr,
        (audience, number): (Audience, WordNumber),
        now: Millis,
    ) -> bool {
        let newest = self.newest.entry((from, audience)).or_insert(Newest {
            number: WordNumber { sequence: 0, ..number },
            earlier_start: None,
            heard: now,
        });
        let is_old = match newest.number.start == number.start {
            true => number.sequence <= newest.number.sequence,
            false => newest.earlier_start == Some(number.start),
        };
        if is_old {
            return false;
        }
        if newest.number.start != number.start {
            newest.earlier_start = Some(newest.number.start);
        }
        newest.number = number;
        newest.heard = now;
        true
    }

    /// Forgets gateways that have been silent for so many ms.
    pub(super) fn forget_silent(&mut self, silent_ms: u64, now: Millis) {
        self.newest.retain(|_, one| now.since(one.heard) < silent_ms);
    }
}
