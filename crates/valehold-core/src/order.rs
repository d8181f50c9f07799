//! Orders to engines.
//!
//! An order states what is wanted, never a change: the same order may arrive
//! twice without harm. Its [`Stamp`] puts it in a sequence, so that an engine
//! that checks fences refuses an older one.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    chart::library::{self, OrderEvent, OrderState},
    id::{Artifact, UpstreamId},
    time::Millis,
};

/// The place of an order in the sequence of its cell's orders.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Stamp {
    /// The epoch of the lease under which the order was decided.
    pub epoch: u64,
    /// A count within the epoch.
    pub sequence: u64,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.sequence)
    }
}

/// What an order wants of an artifact on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wanted {
    /// The artifact is to be resident.
    Resident,
    /// The artifact is to be gone.
    Absent,
}

/// An order as the platform keeps it and the engine receives it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The engine.
    pub engine: UpstreamId,
    /// The artifact.
    pub artifact: Artifact,
    /// The artifact's memory, in MiB.
    pub size_mib: u64,
    /// What is wanted.
    pub wanted: Wanted,
    /// Its place in the sequence.
    pub stamp: Stamp,
}

/// An order with what its sender knows of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrackedOrder {
    order: Order,
    state: OrderState,
    last_sent: Option<Millis>,
}

impl TrackedOrder {
    /// Tracks an order that was just decided.
    pub fn new(order: Order) -> Self {
        let state = library::order().initial();
        Self { order, state, last_sent: None }
    }

    /// Tracks an order that was found in the platform.
    pub fn from_platform(order: Order) -> Self {
        let mut tracked = Self::new(order);
        tracked.follow(OrderEvent::Recorded);
        tracked
    }

    /// Returns the order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns how far it has come.
    pub fn state(&self) -> OrderState {
        self.state
    }

    /// Takes an event.
    pub fn follow(&mut self, event: OrderEvent) {
        self.state = library::order().next(self.state, event);
    }

    /// Notes that the order is being sent.
    pub fn sent(&mut self, now: Millis) {
        self.follow(OrderEvent::Sent);
        self.last_sent = Some(now);
    }

    /// Tells whether nothing is known of its effect yet.
    pub fn is_unsettled(&self) -> bool {
        !matches!(self.state, OrderState::Confirmed | OrderState::Settled)
    }

    /// Tells whether it is time to send it, first or again.
    ///
    /// An order that is not in the platform is never due.
    pub fn is_due(&self, now: Millis, resend_after_ms: u64) -> bool {
        match self.state {
            OrderState::Recorded => true,
            OrderState::Sent => self
                .last_sent
                .is_none_or(|sent| now.since(sent) >= resend_after_ms),
            _ => false,
        }
    }
}
