//! The order of the messages of one gateway.
//!
//! Datagrams may arrive out of order. Messages that replace earlier ones, such
//! as loads and throttles, are therefore numbered, and a receiver drops a
//! message that is older than the last accepted one: stale values would
//! otherwise be used until the next message.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};
use valehold_core::Millis;

/// The number of a message among those of one gateway.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct MessageNumber {
    /// Identifies the gateway's process; another one after each restart.
    pub start: u64,
    /// Increases with each message of this start.
    pub sequence: u64,
}

/// The receivers of numbered messages. Each audience receives a sequence of
/// its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Audience {
    /// The gateways of the sender's group.
    Group,
    /// The hubs of other groups, and the lease's holder.
    Hubs,
}

/// The last accepted message of a gateway to one audience.
#[derive(Debug, Clone, Copy)]
struct LastAccepted {
    number: MessageNumber,
    /// The previous start, whose messages may still be in flight.
    previous_start: Option<u64>,
    received_at: Millis,
}

/// The last accepted message of each gateway to each audience.
#[derive(Debug, Default)]
pub(super) struct MessageOrder {
    last: BTreeMap<(SocketAddr, Audience), LastAccepted>,
}

impl MessageOrder {
    /// Records a message's number and returns whether the message is newer
    /// than all that were accepted from the gateway for the audience.
    pub(super) fn accept(
        &mut self,
        from: SocketAddr,
        (audience, number): (Audience, MessageNumber),
        now: Millis,
    ) -> bool {
        let last = self.last.entry((from, audience)).or_insert(LastAccepted {
            number: MessageNumber { sequence: 0, ..number },
            previous_start: None,
            received_at: now,
        });
        let is_stale = match last.number.start == number.start {
            true => number.sequence <= last.number.sequence,
            false => last.previous_start == Some(number.start),
        };
        if is_stale {
            return false;
        }
        if last.number.start != number.start {
            last.previous_start = Some(last.number.start);
        }
        last.number = number;
        last.received_at = now;
        true
    }

    /// Removes gateways without an accepted message in the last `silent_ms`.
    pub(super) fn prune_silent(&mut self, silent_ms: u64, now: Millis) {
        self.last.retain(|_, last| now.since(last.received_at) < silent_ms);
    }
}
