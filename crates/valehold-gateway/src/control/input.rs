//! The inputs that control processes one at a time, and their parts.

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

use super::{crashes::RecordSyncResult, stream_record::StreamRecordResult};
use crate::peers::state::PeerState;

/// A write of the lease's row that was sent to the store.
#[derive(Debug, Clone)]
pub(super) struct SentLeaseWrite {
    /// The version of the row on which the write is conditioned.
    pub(super) version: u64,
    pub(super) row: valehold_core::lease::LeaseRow,
    /// Whether the write takes the lease instead of renewing it.
    pub(super) takes: bool,
    /// When the write was sent.
    pub(super) sent: Millis,
}

/// An order to an engine, from its plan to its result.
#[derive(Debug, Clone)]
pub(super) struct PendingOrder {
    pub(super) engine: UpstreamStart,
    pub(super) address: SocketAddr,
    pub(super) action: OrderWish,
    /// The number of orders that the engine must have accepted before.
    pub(super) expected_sequence: u64,
    /// The lease epoch under which the order was planned.
    pub(super) epoch: u64,
    /// When the order was planned.
    pub(super) planned_at: Millis,
    /// The source of the model, for an order to load one.
    pub(super) source: Option<LoadSource>,
    /// The minimum time that the engine needs to execute the order, in ms,
    /// unless the engine has a local copy of the model.
    pub(super) min_duration_ms: u64,
}

impl PendingOrder {
    /// Returns the position of the order in its engine's sequence of orders.
    pub(super) fn position(&self) -> OrderPosition {
        let start = self.engine.clone();
        OrderPosition { start, sequence: self.expected_sequence }
    }
}

/// The result of an order.
#[derive(Debug)]
pub(super) enum OrderResult {
    /// The engine answered.
    Answered(OrderAnswer),
    /// The engine did not answer, and may execute the order now or later.
    Unanswered(PortError),
    /// The order was not sent: the engine's state differs from the assumed
    /// one, or the lease has ended.
    NotSent,
}

impl OrderResult {
    /// Returns whether the engine reported that it is leaving.
    pub(super) fn reports_leaving(&self) -> bool {
        matches!(self, Self::Answered(answer) if answer.leaving)
    }

    /// Returns the outcome that the engine answered, or `None` without an
    /// answer.
    pub(super) fn outcome(&self) -> Option<OrderOutcome> {
        match self {
            Self::Answered(answer) => Some(answer.outcome),
            Self::Unanswered(_) | Self::NotSent => None,
        }
    }

    /// Returns whether the engine accepted the order or already holds the
    /// ordered variant.
    pub(super) fn was_accepted(&self) -> bool {
        let accepted = [OrderOutcome::Accepted, OrderOutcome::Holds];
        self.outcome().is_some_and(|outcome| accepted.contains(&outcome))
    }

    /// Returns the conclusion for the load that was ordered.
    pub(super) fn load_outcome(&self) -> LoadOutcome {
        match self {
            Self::NotSent => LoadOutcome::NotStarted,
            Self::Answered(answer) => match answer.outcome {
                OrderOutcome::Accepted | OrderOutcome::Holds => {
                    LoadOutcome::Started
                }
                OrderOutcome::Conflict => LoadOutcome::NotStarted,
                // Refusals include failures of the engine.
                OrderOutcome::Refused => LoadOutcome::Unknown,
            },
            Self::Unanswered(error) => match error.verdict() {
                Verdict::NotRun => LoadOutcome::NotStarted,
                Verdict::MayHaveRun | Verdict::Ran => LoadOutcome::Unknown,
            },
        }
    }

    /// Returns the label of the result in metrics and events.
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

/// An input of control.
#[derive(Debug)]
pub(super) enum Input {
    /// The store answered a read or a watch of the operators' configuration.
    CatalogUpdated {
        /// The version of the store.
        version: u64,
        /// The configuration, if it is newer than the known one.
        catalog: Option<Box<Catalog>>,
        /// Orders to evacuate data centres.
        evacuations: EvacuationUpdate,
    },
    /// The store did not answer a read or a watch.
    StoreFailed {
        /// The cause.
        error: PortError,
        /// How long the call lasted.
        lasted: Duration,
    },
    /// The whole list of upstreams was read.
    ListingRead(Listing),
    /// The list of upstreams changed.
    ListingChanged(ListingNews),
    /// A request for the state of a peer ended.
    PeerState {
        /// The address of the peer's state.
        peer: SocketAddr,
        /// The state, or why it could not be read.
        state: Result<PeerState, PortError>,
    },
    /// The lease's row was read.
    LeaseRead(Result<LeaseSight, PortError>),
    /// A write of the lease ended.
    LeaseWritten(SentLeaseWrite, Result<LeaseWrite, PortError>),
    /// A poll of an engine ended.
    EngineReported {
        start: UpstreamStart,
        report: Result<EngineReport, PortError>,
    },
    /// An order ended.
    OrderFinished(PendingOrder, OrderResult),
    /// A call to the store about the record of refused requests ended.
    RecordCallFinished(RecordSyncResult),
    /// A call to the store about the record of streams ended.
    StreamRecordCallFinished(StreamRecordResult),
    /// A datagram arrived from an address.
    Datagram(SocketAddr, Vec<u8>),
}
