//! What control takes in, one after the other.

use std::{net::SocketAddr, time::Duration};

use valehold_core::{
    Millis, Verdict,
    fleet::{
        Catalog, EvacuationUpdate, Listing, UpstreamStart,
        replicas::LoadSource,
        weight_loads::{LoadOutcome, OrderPosition},
    },
};
use valehold_ports::{
    PortError,
    port::fleet::{
        EngineReport, LeaseSight, LeaseWrite, ListingNews, OrderAnswer,
        OrderOutcome, OrderWish,
    },
};

use super::crashes::RecordSyncResult;
use crate::peers::state::PeerState;

/// A write of the lease that was sent.
#[derive(Debug, Clone)]
pub(super) struct SentLease {
    pub(super) version: u64,
    pub(super) row: valehold_core::lease::LeaseRow,
    pub(super) takes: bool,
    pub(super) sent: Millis,
}

/// An order that was given, or was to be.
#[derive(Debug, Clone)]
pub(super) struct GivenOrder {
    pub(super) engine: UpstreamStart,
    pub(super) address: SocketAddr,
    pub(super) wish: OrderWish,
    pub(super) expected_sequence: u64,
    /// The epoch under which it was planned.
    pub(super) epoch: u64,
    /// When it was planned.
    pub(super) planned: Millis,
    /// For a load of a model, where the model is to come from.
    pub(super) source: Option<LoadSource>,
    /// The least time that carrying it out takes, in ms, if the engine has
    /// no copy.
    pub(super) least_ms: u64,
}

impl GivenOrder {
    /// Returns which of the orders that its engine takes it is.
    pub(super) fn place(&self) -> OrderPosition {
        let start = self.engine.clone();
        OrderPosition { start, sequence: self.expected_sequence }
    }
}

/// How an order ended.
#[derive(Debug)]
pub(super) enum OrderEnd {
    /// The engine answered.
    Answered(OrderAnswer),
    /// No answer: it may be carried out, also later.
    Unanswered(PortError),
    /// It was not sent: the engine is not as it was thought to be, or the
    /// lease is over.
    NotSent,
}

impl OrderEnd {
    /// Tells whether the engine said that it leaves.
    pub(super) fn says_leaving(&self) -> bool {
        matches!(self, Self::Answered(answer) if answer.leaving)
    }

    /// Returns what the engine said to the order, if it answered.
    pub(super) fn outcome(&self) -> Option<OrderOutcome> {
        match self {
            Self::Answered(answer) => Some(answer.outcome),
            Self::Unanswered(_) | Self::NotSent => None,
        }
    }

    /// Tells whether the engine took it, or holds what it is for.
    pub(super) fn was_taken(&self) -> bool {
        let taken = [OrderOutcome::Accepted, OrderOutcome::Holds];
        self.outcome().is_some_and(|outcome| taken.contains(&outcome))
    }

    /// Returns what it says of the load that was ordered.
    pub(super) fn of_load(&self) -> LoadOutcome {
        match self {
            Self::NotSent => LoadOutcome::NotStarted,
            Self::Answered(answer) => match answer.outcome {
                OrderOutcome::Accepted | OrderOutcome::Holds => {
                    LoadOutcome::Started
                }
                OrderOutcome::Conflict => LoadOutcome::NotStarted,
                // Failures of the engine are among these.
                OrderOutcome::Refused => LoadOutcome::Unknown,
            },
            Self::Unanswered(error) => match error.verdict() {
                Verdict::NotRun => LoadOutcome::NotStarted,
                Verdict::MayHaveRun | Verdict::Ran => LoadOutcome::Unknown,
            },
        }
    }

    /// Returns the label under which it is counted.
    pub(super) fn label(&self) -> &'static str {
        match self {
            Self::Answered(answer) => match answer.outcome {
                OrderOutcome::Accepted => "accepted",
                OrderOutcome::Holds => "holds",
                OrderOutcome::Conflict => "conflict",
                OrderOutcome::Refused => "refused",
            },
            Self::Unanswered(_) => "unanswered",
            Self::NotSent => "not_sent",
        }
    }
}

/// What control takes in.
#[derive(Debug)]
pub(super) enum Input {
    /// The store answered a read of what operators wrote or a watch on it.
    CatalogHeard {
        /// The store's version.
        version: u64,
        /// The configuration, if there is a newer one.
        catalog: Option<Box<Catalog>>,
        /// Orders to empty data centres.
        evacuations: EvacuationUpdate,
    },
    /// The store did not answer a read or a watch.
    StoreFailed {
        /// Why.
        error: PortError,
        /// How long the call lasted.
        lasted: Duration,
    },
    /// All upstreams were read.
    ListingRead(Listing),
    /// Upstreams changed.
    ListingChanged(ListingNews),
    /// A peer gave its state, or did not.
    PeerState {
        /// Where it was read.
        peer: SocketAddr,
        /// What came of it.
        state: Result<PeerState, PortError>,
    },
    /// The lease's row was read.
    LeaseRead(Result<LeaseSight, PortError>),
    /// A write of the lease ended.
    LeaseWritten(SentLease, Result<LeaseWrite, PortError>),
    /// An engine reported.
    Reported { start: UpstreamStart, report: Result<EngineReport, PortError> },
    /// An order ended.
    Ordered(GivenOrder, OrderEnd),
    /// A call about the record of refused requests ended.
    Recorded(RecordSyncResult),
    /// A datagram came.
    Datagram(SocketAddr, Vec<u8>),
}
