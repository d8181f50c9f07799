//! The messages that gateways send to each other.
//!
//! Every datagram begins with the number of its format. A gateway ignores
//! datagrams in any other format, so two versions of gateways with different
//! formats run as two separate fleets until the roll-out is complete.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use valehold_core::{
    fleet::{
        BoundVariant, Catalog, EngineHolding, Evacuations, ListingDelta,
        RegionBound, UpstreamStart, Variant,
        brittle::BrittleReport,
        cold::{PermitReply, PermitRequest},
        crashes::{CrashReports, PartReports},
        evacuation::HeldEvacuation,
        freshness::StateConfirmation,
        paces::{PaceObservation, PaceUpdate},
        stream_origin::{OriginReport, StreamId},
        upstream_limit::LimitReport,
        usage::{Throttles, UsageTotal},
    },
    id::{
        DataCentreId, InstanceId, ServiceName, SoftwareVersion, UpstreamTag,
    },
};

use super::{
    fragments::{self, Fragment},
    number::{Audience, MessageNumber},
    outbox::Urgency,
};
use crate::view::{Life, Load};

/// The largest datagram that a gateway sends, in bytes.
pub const MAX_DATAGRAM: usize = 60_000;

/// The number of the format of datagrams and of peer states. Any change of a
/// type that they contain needs another number. A new kind of message at the
/// end of the list needs none: earlier versions ignore it.
pub const FORMAT: u8 = 0xBB;

/// The load of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream's tag.
    pub upstream: UpstreamTag,
    /// The requests in flight at the upstream.
    pub load: Load,
}

/// The demand for one variant that arrives at one gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VariantDemand {
    /// The variant.
    pub variant: Variant,
    /// The rate of requests.
    pub requests_per_second: f32,
    /// How many engines the requests keep fully busy.
    pub busy_engines: f32,
    /// The number of requests in flight.
    pub running: u32,
}

/// The demand of requests that have the same region bound.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BoundDemand {
    /// The regions in which the requests may be served.
    pub bound: RegionBound,
    /// The demand for each variant.
    pub variants: Vec<VariantDemand>,
}

/// The state of the placement lease as its holder or last holder reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseClaim {
    /// The gateway holds the lease.
    Holds {
        /// The epoch of the lease.
        epoch: u64,
        /// The version of the lease's row after the last renewal.
        version: u64,
    },
    /// The gateway released the lease and will not use this epoch again.
    Released {
        /// The released epoch.
        epoch: u64,
        /// The time until another holder may send its first order, in ms.
        quiet_ms: u64,
    },
}

/// Whether a gateway reaches the platform's store.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub enum StoreStatus {
    /// The gateway does not call the store.
    #[default]
    Unknown,
    /// The store answers the gateway's calls.
    Reachable,
    /// The store does not answer the gateway's calls.
    Unreachable,
}

/// The evacuation orders that a gateway knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationReport {
    /// The orders.
    pub orders: Evacuations,
    /// The time that remains until all orders are in force at the sender, in
    /// ms. With a full period instead, a gateway that receives the orders late
    /// would send to the data centre for longer than the others.
    pub left_ms: u64,
}

/// The periodic report of a gateway about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The gateway's name.
    pub instance: InstanceId,
    /// Identifies the gateway's process; another one after each restart.
    pub start: u64,
    /// The heartbeat's number in the sequence of this start.
    pub sequence: u64,
    /// The gateway's data centre.
    pub data_centre: DataCentreId,
    /// The gateway's phase of life.
    pub life: Life,
    /// The gateway's rank in elections of duties.
    pub rank: Rank,
    /// The address at which the gateway accepts requests.
    pub requests: SocketAddr,
    /// The address at which peers read the gateway's state.
    pub state: SocketAddr,
    /// The version of the gateway's configuration; 0 if it has none.
    pub catalog: u64,
    /// The version of the gateway's list of upstreams; 0 if it has none.
    pub listing: u64,
    /// The evacuation orders; `None` until the gateway has received them.
    pub evacuations: Option<EvacuationReport>,
    /// The digest of the gateway's records of crashes.
    pub crash_digest: u64,
    /// The gateway's claim to the placement lease, if it has one.
    pub lease: Option<LeaseClaim>,
    /// Whether the gateway reaches the platform's store.
    pub store: StoreStatus,
    /// Heartbeat addresses of other gateways.
    pub known_addresses: Vec<SocketAddr>,
    /// The gateway's load at each upstream.
    pub loads: Vec<UpstreamLoad>,
    /// The demand that arrives at the gateway.
    pub demand: Vec<BoundDemand>,
    /// The usage totals of workspaces that changed.
    pub usage: Vec<UsageTotal>,
    /// Observations of the time to the first event, if no hub receives load
    /// reports from this gateway.
    pub paces: Vec<PaceObservation>,
    /// The number of gateways that were recently live, as the sender observed.
    pub gateways_seen: u32,
    /// From the lease's holder: the models that engines hold since its last
    /// orders.
    pub holdings: Vec<EngineHolding>,
}

impl Heartbeat {
    /// Returns the heartbeat's number among the messages of its gateway.
    pub const fn number(&self) -> MessageNumber {
        MessageNumber { start: self.start, sequence: self.sequence }
    }
}

/// The load and the usage of one gateway, sent to hubs between heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The gateway's name.
    pub instance: InstanceId,
    /// Identifies the gateway's process; another one after each restart.
    pub start: u64,
    /// The number in the sequence of this start, which heartbeats share.
    pub sequence: u64,
    /// The gateway's load at each upstream.
    pub loads: Vec<UpstreamLoad>,
    /// The usage totals of workspaces that changed.
    pub usage: Vec<UsageTotal>,
    /// Observations of the time to the first event.
    pub paces: Vec<PaceObservation>,
}

/// A duty that a few gateways perform for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Duty {
    /// Aggregating the reports of a group's gateways.
    Hub,
    /// Watching the platform's store.
    Observe,
    /// Holding the lease under which models are placed.
    Place,
}

/// The rank of a gateway in elections of duties: the greatest wins.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
pub struct Rank {
    /// The gateway's share of a processor, in hundredths.
    pub strength: u16,
    /// Orders gateways of equal strength.
    pub tie: u32,
}

impl Rank {
    /// Returns the rank for a duty. The order of equally strong gateways
    /// differs between duties, so that one machine does not get all of them.
    #[must_use]
    pub const fn for_duty(self, duty: Duty) -> Self {
        let rotation = match duty {
            Duty::Hub => 0,
            Duty::Observe => 11,
            Duty::Place => 22,
        };
        Self { strength: self.strength, tie: self.tie.rotate_left(rotation) }
    }
}

/// One gateway in the member list of a hub.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The gateway's rank in elections of duties.
    pub rank: Rank,
    /// The address at which the gateway receives heartbeats.
    pub heartbeats: SocketAddr,
    /// The address at which the gateway accepts requests.
    pub requests: SocketAddr,
    /// The gateway's data centre, as an index into the list of the message.
    pub data_centre: u8,
    /// The gateway's phase of life.
    pub life: Life,
    /// Whether the gateway reaches the platform's store.
    pub store: StoreStatus,
}

/// A list of gateways that a hub advertises.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    /// The data centres of the gateways.
    pub data_centres: Vec<DataCentreId>,
    /// The gateways.
    pub members: Vec<MemberReport>,
}

/// The changes of a hub's member list since its last summary.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberChanges {
    /// Gateways that are new or have changed.
    pub changed: MemberList,
    /// Heartbeat addresses of gateways that the hub no longer lists.
    pub removed: Vec<SocketAddr>,
    /// The digest of all advertised gateways after these changes.
    pub digest: u64,
    /// Whether the hub has advertised enough gateways to elect hubs and
    /// observers from them.
    pub is_sufficient: bool,
}

/// A part of a hub's member list: the gateways whose heartbeat addresses are
/// in one range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberPart {
    /// Identifies the hub's process; another one after each restart.
    pub start: u64,
    /// The exclusive lower bound of the range; `None` if there is none.
    pub after: Option<SocketAddr>,
    /// The inclusive upper bound of the range; `None` if there is none.
    pub until: Option<SocketAddr>,
    /// The gateways.
    pub members: MemberList,
    /// The digest of all advertised gateways, in this part and the others.
    pub digest: u64,
    /// Whether the hub has advertised enough gateways to elect hubs and
    /// observers from them.
    pub is_sufficient: bool,
}

/// A claim to the placement lease, as a hub passes it on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReport {
    /// The heartbeat address of the gateway that made the claim.
    pub from: SocketAddr,
    /// The claim.
    pub claim: LeaseClaim,
    /// The age of the claim, in ms.
    pub age_ms: u64,
}

/// The periodic report of a hub to the gateways of its group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The number among the messages of the hub.
    pub number: MessageNumber,
    /// The changes of the live gateways, which include the hub.
    pub members: MemberChanges,
    /// The total load of all gateways; empty if another hub sends it.
    pub loads: Vec<UpstreamLoad>,
    /// The claims to the placement lease.
    pub lease: Vec<LeaseReport>,
    /// The newest configuration that any gateway reports.
    pub catalog: Newest,
    /// The newest list of upstreams that any gateway reports.
    pub listing: Newest,
    /// The evacuation orders that the hub knows.
    pub evacuations: Option<EvacuationReport>,
    /// The digest of the hub's records of crashes.
    pub crash_digest: u64,
    /// The throttles of workspaces; `None` if the hub has not received
    /// reports for long enough to compute them.
    pub throttles: Option<Throttles>,
}

/// The periodic report of a group's primary hub to the hubs of other groups
/// and to the lease's holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The number among the messages of the hub.
    pub number: MessageNumber,
    /// The data centre whose gateways form the group.
    pub data_centre: DataCentreId,
    /// The gateways of the group.
    pub members: MemberList,
    /// The claims to the placement lease in the group.
    pub lease: Vec<LeaseReport>,
    /// The newest configuration in the group.
    pub catalog: Newest,
    /// The newest list of upstreams in the group.
    pub listing: Newest,
    /// The evacuation orders that the hub knows.
    pub evacuations: Option<EvacuationReport>,
    /// The digest of the hub's records of crashes.
    pub crash_digest: u64,
    /// The demand that arrives at the group; empty in digests to gateways
    /// other than the lease's holder.
    pub demand: Vec<BoundDemand>,
}

/// The total load of several gateways, sent at short intervals.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// The range of upstreams whose loads are complete: an upstream in the
    /// range without an entry has no load.
    pub complete_range: Option<TagRange>,
    /// The loads; zero for an upstream whose load has ended since the last
    /// update.
    pub loads: Vec<UpstreamLoad>,
}

impl LoadUpdate {
    /// Creates an update with the loads of all upstreams.
    pub fn full(loads: Vec<UpstreamLoad>) -> Self {
        Self { complete_range: Some(TagRange::default()), loads }
    }
}

/// A range of upstreams by tag; the default contains all of them.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct TagRange {
    /// The exclusive lower bound; `None` if there is none.
    pub after: Option<UpstreamTag>,
    /// The inclusive upper bound; `None` if there is none.
    pub until: Option<UpstreamTag>,
}

impl TagRange {
    /// Returns whether the range contains an upstream.
    pub fn contains(&self, tag: UpstreamTag) -> bool {
        self.after.is_none_or(|after| tag > after)
            && self.until.is_none_or(|until| tag <= until)
    }
}

/// The load and the usage of the gateways of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupLoads {
    /// The name of the hub that sends the message.
    pub instance: InstanceId,
    /// The number among the messages of the hub.
    pub number: MessageNumber,
    /// The data centre whose gateways form the group.
    pub data_centre: DataCentreId,
    /// The total load of the group's gateways.
    pub loads: LoadUpdate,
    /// The usage totals of workspaces that changed in the group.
    pub usage: Vec<UsageTotal>,
}

/// The report of a primary hub to its group between summaries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HubUpdate {
    /// The number among the messages of the hub.
    pub number: MessageNumber,
    /// The total load of all gateways.
    pub loads: LoadUpdate,
    /// The throttles of workspaces, as in a summary.
    pub throttles: Option<Throttles>,
    /// The estimated paces of engines and models.
    pub paces: PaceUpdate,
}

/// The newest version of a configuration or of a list of upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Newest {
    /// The version.
    pub version: u64,
    /// The state address of a gateway that has the version.
    pub state: SocketAddr,
}

/// The content of a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The periodic report of a gateway about itself.
    Heartbeat(Box<Heartbeat>),
    /// To the lease's holder: a request waits for this variant to be loaded.
    LoadRequest(BoundVariant),
    /// From the lease's holder: the models that engines hold since its last
    /// orders.
    Holdings(Vec<EngineHolding>),
    /// From an observer: changes of the platform's list of upstreams.
    ListingChanged(ListingDelta),
    /// From a hub to its group: the periodic report on all gateways.
    Summary(Box<Summary>),
    /// To a hub: a request for the whole member list, sent by a gateway that
    /// missed a part of it.
    MembersRequest,
    /// From a hub: a part of the member list, in reply to a request.
    Members(MemberPart),
    /// To hubs: the load and the usage of a gateway, between its heartbeats.
    Loads(LoadReport),
    /// From a group's primary hub to its group, between its summaries: the
    /// total load of all gateways and the throttles.
    HubUpdate(HubUpdate),
    /// From a group's primary hub to the hubs of other groups.
    Digest(Box<Digest>),
    /// From a group's primary hub to the hubs of other groups, between its
    /// digests.
    GroupLoads(GroupLoads),
    /// From the primary observer: a new configuration.
    Catalog(Box<Catalog>),
    /// From a gateway that read the store: changed evacuation orders.
    Evacuations(EvacuationReport),
    /// From a gateway that observed crashes: the crashes and the requests that
    /// were in flight. To a gateway whose records differ: all records.
    Crashes(CrashReports),
    /// From a gateway that received such an answer: upstreams that announce
    /// that they are leaving.
    Leaving(Vec<UpstreamStart>),
    /// From a gateway that received such an answer: the request rates to
    /// which upstreams limit their callers.
    UpstreamLimits(Vec<LimitReport>),
    /// A fragment of a message that is larger than a datagram.
    Fragment(Fragment),
    /// To hubs: a datagram to forward to their groups.
    Relay(Vec<u8>),
    /// To the grantor of an upstream that is cold or has stated a limit: a
    /// gateway requests a permit to send one request to the upstream.
    PermitRequest {
        /// The request for the permit.
        request: PermitRequest,
        /// Whether the upstream is cold.
        is_cold: bool,
        /// The upstream's limit, as the sender knows it.
        limit: Option<LimitReport>,
    },
    /// From the grantor: the reply to a request for a permit.
    PermitReply {
        /// The number of the request for the permit.
        number: u64,
        /// The reply.
        reply: PermitReply,
        /// The upstream's limit, if the grantor's report is newer than that
        /// of the request.
        limit: Option<LimitReport>,
    },
    /// From a gateway that knew them before the store was restored from a
    /// copy: evacuation orders that the store lacks.
    HeldEvacuations(Vec<HeldEvacuation>),
    /// From a gateway that received such answers: upstreams that are brittle,
    /// or have rejected a request.
    Brittle(Vec<BrittleReport>),
    /// To the keepers of streams, or in reply to a request: where streams
    /// began.
    StreamOrigins(Vec<OriginReport>),
    /// To the keepers of a stream: a request for its origin.
    OriginRequest {
        /// The stream.
        stream: StreamId,
        /// The service that is asked to continue the stream.
        service: ServiceName,
    },
    /// From a gateway that does not know the origin of a stream.
    OriginUnknown {
        /// The stream.
        stream: StreamId,
        /// The version that all upstreams of the service run, if the gateway
        /// is certain of it.
        only_version: Option<SoftwareVersion>,
    },
    /// From a gateway that observed crashes or answers: the prompts of the
    /// requests that were in flight, and the parts of prompts that are sound.
    /// To a gateway whose records differ: all records.
    CrashParts(PartReports),
    /// From an observer: the versions that the store confirmed.
    Confirmed(StateConfirmation),
}

/// Why a datagram cannot be decoded or encoded.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The message is larger than the largest datagram.
    #[error("message has {bytes} bytes, above the limit of {MAX_DATAGRAM}")]
    TooLarge {
        /// The size of the message, in bytes.
        bytes: usize,
    },
    /// The datagram is in the format of another version of gateways.
    #[error("unsupported format {format:#x}, expected {FORMAT:#x}")]
    OtherFormat {
        /// The format of the datagram.
        format: u8,
    },
    /// The datagram has no bytes.
    #[error("empty datagram")]
    Empty,
    /// The bytes do not decode to a message of the format.
    #[error(transparent)]
    Malformed(#[from] postcard::Error),
}

/// Returns the bytes after the number of the format.
///
/// # Errors
///
/// If there are no bytes, or the format is not [`FORMAT`].
pub fn check_format(bytes: &[u8]) -> Result<&[u8], MessageError> {
    match bytes.split_first() {
        Some((&FORMAT, rest)) => Ok(rest),
        Some((&format, _)) => Err(MessageError::OtherFormat { format }),
        None => Err(MessageError::Empty),
    }
}

impl Message {
    /// Returns the label of the message in the metrics of sent bytes.
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::LoadRequest(_) => "wish",
            Self::Holdings(_) => "holdings",
            Self::ListingChanged(_) => "listed",
            Self::Summary(_) => "summary",
            Self::MembersRequest => "ask_members",
            Self::Members(_) => "members",
            Self::Loads(_) => "loads",
            Self::HubUpdate(_) => "hub_news",
            Self::Digest(_) => "digest",
            Self::GroupLoads(_) => "group_loads",
            Self::Catalog(_) => "configuration",
            Self::Evacuations(_) => "evacuations",
            Self::Crashes(_) => "crashes",
            Self::Leaving(_) => "leaving",
            Self::Brittle(_) => "brittle",
            Self::UpstreamLimits(_) => "upstream_limits",
            Self::Fragment(_) => "fragment",
            Self::Relay(_) => "relay",
            Self::PermitRequest { .. } => "ask_right",
            Self::PermitReply { .. } => "right",
            Self::HeldEvacuations(_) => "held_evacuations",
            Self::StreamOrigins(_) => "stream_origins",
            Self::OriginRequest { .. } => "origin_request",
            Self::OriginUnknown { .. } => "origin_unknown",
            Self::CrashParts(_) => "crash_parts",
            Self::Confirmed(_) => "confirmed",
        }
    }

    /// Returns the audience and the number of a message that replaces earlier
    /// ones as a whole; `None` for messages whose order does not matter or
    /// whose content carries versions of its own.
    pub fn number(&self) -> Option<(Audience, MessageNumber)> {
        let (audience, number) = match self {
            Self::Summary(summary) => (Audience::Group, summary.number),
            Self::HubUpdate(update) => (Audience::Group, update.number),
            Self::Digest(digest) => (Audience::Hubs, digest.number),
            Self::GroupLoads(group) => (Audience::Hubs, group.number),
            Self::Heartbeat(_)
            | Self::LoadRequest(_)
            | Self::Holdings(_)
            | Self::ListingChanged(_)
            | Self::MembersRequest
            | Self::Members(_)
            | Self::Loads(_)
            | Self::Catalog(_)
            | Self::Evacuations(_)
            | Self::Crashes(_)
            | Self::Leaving(_)
            | Self::Brittle(_)
            | Self::UpstreamLimits(_)
            | Self::Fragment(_)
            | Self::Relay(_)
            | Self::PermitRequest { .. }
            | Self::PermitReply { .. }
            | Self::HeldEvacuations(_)
            | Self::StreamOrigins(_)
            | Self::OriginRequest { .. }
            | Self::OriginUnknown { .. }
            | Self::CrashParts(_)
            | Self::Confirmed(_) => return None,
        };
        Some((audience, number))
    }

    /// Returns the urgency with which the message is queued.
    pub const fn urgency(&self) -> Urgency {
        match self {
            Self::Summary(_)
            | Self::Members(_)
            | Self::HubUpdate(_)
            | Self::Digest(_)
            | Self::GroupLoads(_) => Urgency::Regular,
            _ => Urgency::Once,
        }
    }

    /// Encodes the message as one datagram.
    ///
    /// # Errors
    ///
    /// If the message is larger than [`MAX_DATAGRAM`] or cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let bytes = self.encode_unbounded()?;
        match bytes.len() <= MAX_DATAGRAM {
            true => Ok(bytes),
            false => Err(MessageError::TooLarge { bytes: bytes.len() }),
        }
    }

    /// Encodes the message as one datagram, or as several fragments if it is
    /// larger. `number` identifies the fragments of one message and must be
    /// unique.
    ///
    /// # Errors
    ///
    /// If the message needs too many fragments or cannot be encoded.
    pub fn encode_in_fragments(
        &self,
        number: u64,
    ) -> Result<Vec<Vec<u8>>, MessageError> {
        let bytes = self.encode_unbounded()?;
        let max_bytes = match self {
            // A relay wraps a datagram of up to `FRAGMENT_BYTES` bytes, and
            // the difference between the two limits is left for its header.
            Self::Relay(_) => MAX_DATAGRAM,
            _ => fragments::FRAGMENT_BYTES,
        };
        if bytes.len() <= max_bytes {
            return Ok(vec![bytes]);
        }
        let too_large = MessageError::TooLarge { bytes: bytes.len() };
        let fragments = fragments::split(&bytes, number).ok_or(too_large)?;
        let messages = fragments.into_iter().map(Self::Fragment);
        messages.map(|message| message.encode()).collect()
    }

    fn encode_unbounded(&self) -> Result<Vec<u8>, MessageError> {
        Ok(postcard::to_extend(self, vec![FORMAT])?)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// If the datagram has another format or is malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        Ok(postcard::from_bytes(check_format(bytes)?)?)
    }
}
