//! What gateways send to each other.
//!
//! Every datagram begins with the format's number. Gateways of two versions
//! that write different formats do not read one another's datagrams, as if
//! the others were not there: each kind goes on by itself until the roll-out
//! is over.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use valehold_core::{
    fleet::{
        BoundVariant, Catalog, EngineHolding, Evacuations, ListingDelta,
        RegionBound, UpstreamStart, Variant,
        cold::{PermitReply, PermitRequest},
        crashes::CrashReports,
        paces::{PaceObservation, PaceUpdate},
        upstream_limit::LimitReport,
        usage::{Throttles, UsageTotal},
    },
    id::{DataCentreId, InstanceId, UpstreamTag},
};

use super::{
    fragments::{self, Fragment},
    number::{Audience, WordNumber},
    outbox::Urgency,
};
use crate::view::{Life, Load};

/// The largest datagram that is sent, in bytes.
pub const MAX_DATAGRAM: usize = 60_000;

/// The number of the format in which gateways write to each other: datagrams
/// and states. It changes with any change of a type that they carry.
pub const FORMAT: u8 = 0xBA;

/// What is under way at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream's tag.
    pub upstream: UpstreamTag,
    /// What is under way.
    pub load: Load,
}

/// The demand for one variant that came to one gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VariantDemand {
    /// The variant.
    pub variant: Variant,
    /// Requests a second.
    pub requests: f32,
    /// Engines that it keeps wholly busy.
    pub busy: f32,
    /// Requests that are under way.
    pub running: u32,
}

/// The demand for what may be served inside one bound.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BoundDemand {
    /// The bound.
    pub bound: RegionBound,
    /// The demand.
    pub variants: Vec<VariantDemand>,
}

/// What a gateway says of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseWord {
    /// It holds it.
    Holds {
        /// The epoch.
        epoch: u64,
        /// The row's version after its last renewal.
        version: u64,
    },
    /// It held it, and will not use this epoch again.
    GaveUp {
        /// The epoch.
        epoch: u64,
        /// In how many ms another holder's first order may come.
        quiet_ms: u64,
    },
}

/// What a gateway says of the platform's store.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub enum StoreSight {
    /// It does not ask it.
    #[default]
    Unknown,
    /// It answers.
    Answers,
    /// It does not answer.
    Fails,
}

/// What a gateway knows of orders to empty data centres.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationWord {
    /// The orders.
    pub orders: Evacuations,
    /// In how many ms all of them are in force at the gateway that tells: who
    /// hears later does not send any longer.
    pub left_ms: u64,
}

/// A gateway's word about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Its name.
    pub instance: InstanceId,
    /// Differs between its starts.
    pub start: u64,
    /// Counts its heartbeats.
    pub sequence: u64,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// How far its life has come.
    pub life: Life,
    /// How suited it is to work for the others.
    pub rank: Rank,
    /// Where it takes requests.
    pub requests: SocketAddr,
    /// Where peers read its state.
    pub state: SocketAddr,
    /// The version of its configuration; 0 before the first.
    pub catalog: u64,
    /// The version of its list of upstreams; 0 before the first.
    pub listing: u64,
    /// What it knows of orders to empty data centres; `None` before it does.
    pub evacuations: Option<EvacuationWord>,
    /// The digest of what it knows of crashes.
    pub crashes: u64,
    /// What it says of the lease.
    pub lease: Option<LeaseWord>,
    /// Whether the platform's store answers it.
    pub store: StoreSight,
    /// Where the gateways that it knows take heartbeats.
    pub known: Vec<SocketAddr>,
    /// What it has under way.
    pub loads: Vec<UpstreamLoad>,
    /// The demand that comes to it.
    pub demand: Vec<BoundDemand>,
    /// What it let through of workspaces' requests, where that changed.
    pub usage: Vec<UsageTotal>,
    /// What it saw of first events, where no hubs hear it in between.
    pub paces: Vec<PaceObservation>,
    /// How many gateways there were lately, as far as it has seen.
    pub seen: u32,
    /// From the holder: what engines hold since its last orders.
    pub holdings: Vec<EngineHolding>,
}

impl Heartbeat {
    /// Returns its place among what the gateway says.
    pub const fn number(&self) -> WordNumber {
        WordNumber { start: self.start, sequence: self.sequence }
    }
}

/// What a gateway has under way and let through, between its heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The gateway's name.
    pub instance: InstanceId,
    /// Differs between its starts.
    pub start: u64,
    /// Counts its heartbeats and these together.
    pub sequence: u64,
    /// What it has under way.
    pub loads: Vec<UpstreamLoad>,
    /// What it let through of workspaces' requests, where that changed.
    pub usage: Vec<UsageTotal>,
    /// What it saw of first events.
    pub paces: Vec<PaceObservation>,
}

/// A duty that some gateways have for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Duty {
    /// Summing up what the gateways of a group say.
    Hub,
    /// Watching the platform's store.
    Observe,
    /// Holding the lease under which models are placed.
    Place,
}

/// How suited a gateway is to work for the others. The greatest comes first.
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
    /// Its share of a processor, in hundredths.
    pub strength: u16,
    /// Tells gateways of equal strength apart.
    pub tie: u32,
}

impl Rank {
    /// Returns the rank for a duty: of equal gateways, another one comes
    /// first for each, so that no machine has all of them.
    #[must_use]
    pub const fn for_duty(self, duty: Duty) -> Self {
        let turned = match duty {
            Duty::Hub => 0,
            Duty::Observe => 11,
            Duty::Place => 22,
        };
        Self { strength: self.strength, tie: self.tie.rotate_left(turned) }
    }
}

/// What a hub hears of one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberWord {
    /// How suited it is to work for the others.
    pub rank: Rank,
    /// Where it takes heartbeats.
    pub heartbeats: SocketAddr,
    /// Where it takes requests.
    pub requests: SocketAddr,
    /// The data centre that it stands in: its place in the message's list.
    pub data_centre: u8,
    /// How far its life has come.
    pub life: Life,
    /// Whether the platform's store answers it.
    pub store: StoreSight,
}

/// Gateways that a hub tells of.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    /// The data centres in which they stand.
    pub data_centres: Vec<DataCentreId>,
    /// The gateways.
    pub members: Vec<MemberWord>,
}

/// What changed of the gateways that a hub hears of.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberNews {
    /// Those that came or changed since it told last.
    pub changed: MemberList,
    /// Where those took heartbeats that it does not hear of any more.
    pub gone: Vec<SocketAddr>,
    /// The digest of all that it told, these among them.
    pub digest: u64,
    /// Whether it has told of so many that who stands for what can be told
    /// from them.
    pub is_enough: bool,
}

/// A part of all gateways that a hub told of: those in a range of addresses at
/// which they take heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberPart {
    /// The start of the hub.
    pub start: u64,
    /// Where the range begins, this address not in it; `None` if it begins
    /// with the first.
    pub after: Option<SocketAddr>,
    /// Where the range ends, this address in it; `None` if it ends with the
    /// last.
    pub until: Option<SocketAddr>,
    /// The gateways.
    pub members: MemberList,
    /// The digest of all that the hub told, in this part and others.
    pub digest: u64,
    /// Whether it has told of so many that who stands for what can be told
    /// from them.
    pub is_enough: bool,
}

/// What a hub hears of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRumour {
    /// Who said it: where it takes heartbeats.
    pub from: SocketAddr,
    /// What it said.
    pub word: LeaseWord,
    /// How long ago, in ms.
    pub age_ms: u64,
}

/// What a hub says to the gateways of its group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Its place among what the hub says.
    pub number: WordNumber,
    /// What changed of the gateways that it hears of, itself among them.
    pub members: MemberNews,
    /// What all of them have under way; empty if another hub tells that.
    pub loads: Vec<UpstreamLoad>,
    /// What is said of the lease.
    pub lease: Vec<LeaseRumour>,
    /// The newest configuration that it hears of, and where it is.
    pub catalog: Newest,
    /// The newest list of upstreams that it hears of, and where it is.
    pub listing: Newest,
    /// What it knows of orders to empty data centres.
    pub evacuations: Option<EvacuationWord>,
    /// The digest of what it knows of crashes.
    pub crashes: u64,
    /// What is ruled of workspaces' limits; `None` from a hub that has not
    /// heard for long enough to rule.
    pub rulings: Option<Throttles>,
}

/// What the foremost hub of one group says to the hubs of the others, and to
/// the holder of the lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Its place among what the hub says.
    pub number: WordNumber,
    /// The data centre whose gateways are the group.
    pub data_centre: DataCentreId,
    /// The gateways of the group.
    pub members: MemberList,
    /// What is said of the lease in the group.
    pub lease: Vec<LeaseRumour>,
    /// The newest configuration in the group, and where it is.
    pub catalog: Newest,
    /// The newest list of upstreams in the group, and where it is.
    pub listing: Newest,
    /// What the hub knows of orders to empty data centres.
    pub evacuations: Option<EvacuationWord>,
    /// The digest of what the hub knows of crashes.
    pub crashes: u64,
    /// The demand that comes to the group; empty but for the holder.
    pub demand: Vec<BoundDemand>,
}

/// What several gateways have under way, told again and again.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNews {
    /// Upstreams of which all is told that is under way: those that are not
    /// among the loads have nothing.
    pub whole: Option<TagRange>,
    /// What is under way; nothing, for those that are done since last told.
    pub loads: Vec<UpstreamLoad>,
}

impl LoadNews {
    /// Makes the news of everything that is under way.
    pub fn of_all(loads: Vec<UpstreamLoad>) -> Self {
        Self { whole: Some(TagRange::default()), loads }
    }
}

/// A range of upstreams, by their tags; by itself all of them.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct TagRange {
    /// Where it begins, this one not in it; `None` if with the first.
    pub after: Option<UpstreamTag>,
    /// Where it ends, this one in it; `None` if with the last.
    pub until: Option<UpstreamTag>,
}

impl TagRange {
    /// Tells whether an upstream is in it.
    pub fn has(&self, tag: UpstreamTag) -> bool {
        self.after.is_none_or(|after| tag > after)
            && self.until.is_none_or(|until| tag <= until)
    }
}

/// What the gateways of one group have under way and let through.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupLoads {
    /// The hub that tells it.
    pub instance: InstanceId,
    /// Its place among what the hub says.
    pub number: WordNumber,
    /// The data centre whose gateways are the group.
    pub data_centre: DataCentreId,
    /// What they have under way.
    pub news: LoadNews,
    /// What they let through of workspaces' requests, where that changed.
    pub usage: Vec<UsageTotal>,
}

/// What the foremost hub of a group tells it between summaries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HubNews {
    /// Its place among what the hub says.
    pub number: WordNumber,
    /// What all gateways have under way.
    pub loads: LoadNews,
    /// What is ruled of workspaces' limits, as in a summary.
    pub rulings: Option<Throttles>,
    /// What was learned of engines and models.
    pub paces: PaceUpdate,
}

/// The newest version of something that is heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Newest {
    /// The version.
    pub version: u64,
    /// Where the state with it can be read.
    pub state: SocketAddr,
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A gateway's word about itself.
    Heartbeat(Box<Heartbeat>),
    /// To the holder: a request waits for this variant.
    Wish(BoundVariant),
    /// From the holder: what engines hold since its last orders.
    Holdings(Vec<EngineHolding>),
    /// From an observer: changes of the platform's list.
    Listed(ListingDelta),
    /// From a hub: what it hears from all.
    Summary(Box<Summary>),
    /// To a hub: something of what it told of gateways was missed.
    AskMembers,
    /// From a hub, to one that asked: a part of what it told of gateways.
    Members(MemberPart),
    /// To hubs: what a gateway has under way and let through, between its
    /// heartbeats.
    Loads(LoadReport),
    /// From the foremost hub of a group: what all gateways have under way and
    /// may let through, between its summaries.
    HubNews(HubNews),
    /// From a group's foremost hub to the other groups' hubs.
    Digest(Box<Digest>),
    /// From a group's foremost hub to the other groups' hubs, between its
    /// digests.
    GroupLoads(GroupLoads),
    /// From the foremost observer: a configuration that has just come.
    Catalog(Box<Catalog>),
    /// From who heard it from the store: orders to empty data centres that
    /// have just changed.
    Evacuations(EvacuationWord),
    /// From who saw it: crashes, and requests that were there. To one that
    /// knows something else: all that is known.
    Crashes(CrashReports),
    /// From who had such an answer: upstreams that say that they leave.
    Leaving(Vec<UpstreamStart>),
    /// From who had such an answer: how many requests upstreams in need take.
    UpstreamLimits(Vec<LimitReport>),
    /// A fragment of a message that is larger than a datagram.
    Fragment(Fragment),
    /// To hubs: a datagram that they pass on to their groups.
    Relay(Vec<u8>),
    /// To the grantor of an upstream that is cold or in need: a request is to
    /// be sent to it.
    AskRight {
        /// The wish.
        ask: PermitRequest,
        /// Whether the upstream is cold.
        is_cold: bool,
        /// What is known of its limit.
        limit: Option<LimitReport>,
    },
    /// From the grantor: its answer to the wish with a number.
    Right {
        /// The wish's number.
        number: u64,
        /// The answer.
        answer: PermitReply,
        /// What the grantor knows of the upstream's limit, if that is later.
        limit: Option<LimitReport>,
    },
}

/// Why a datagram cannot be read or written.
#[derive(Debug, Error)]
pub enum MessageError {
    /// It is larger than datagrams may be.
    #[error("it has {bytes} bytes, and datagrams at most {MAX_DATAGRAM}")]
    TooLarge {
        /// Its size, in bytes.
        bytes: usize,
    },
    /// It is in a format that another version of gateways writes.
    #[error("its format is {format:#x}, and this gateway reads {FORMAT:#x}")]
    OtherFormat {
        /// The format.
        format: u8,
    },
    /// It has no bytes.
    #[error("it is empty")]
    Empty,
    /// It is not what its format says.
    #[error(transparent)]
    Malformed(#[from] postcard::Error),
}

/// Returns what follows the format's number.
///
/// # Errors
///
/// If the format is another one.
pub fn check_format(bytes: &[u8]) -> Result<&[u8], MessageError> {
    match bytes.split_first() {
        Some((&FORMAT, rest)) => Ok(rest),
        Some((&format, _)) => Err(MessageError::OtherFormat { format }),
        None => Err(MessageError::Empty),
    }
}

impl Message {
    /// Returns the label under which its bytes are counted.
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Wish(_) => "wish",
            Self::Holdings(_) => "holdings",
            Self::Listed(_) => "listed",
            Self::Summary(_) => "summary",
            Self::AskMembers => "ask_members",
            Self::Members(_) => "members",
            Self::Loads(_) => "loads",
            Self::HubNews(_) => "hub_news",
            Self::Digest(_) => "digest",
            Self::GroupLoads(_) => "group_loads",
            Self::Catalog(_) => "configuration",
            Self::Evacuations(_) => "evacuations",
            Self::Crashes(_) => "crashes",
            Self::Leaving(_) => "leaving",
            Self::UpstreamLimits(_) => "upstream_limits",
            Self::Fragment(_) => "fragment",
            Self::Relay(_) => "relay",
            Self::AskRight { .. } => "ask_right",
            Self::Right { .. } => "right",
        }
    }

    /// Returns its place among what its sender says to whom, if it replaces
    /// what was said before and nothing else in it is newer or older.
    pub fn number(&self) -> Option<(Audience, WordNumber)> {
        let (to, number) = match self {
            Self::Summary(summary) => (Audience::Group, summary.number),
            Self::HubNews(news) => (Audience::Group, news.number),
            Self::Digest(digest) => (Audience::Hubs, digest.number),
            Self::GroupLoads(group) => (Audience::Hubs, group.number),
            Self::Heartbeat(_)
            | Self::Wish(_)
            | Self::Holdings(_)
            | Self::Listed(_)
            | Self::AskMembers
            | Self::Members(_)
            | Self::Loads(_)
            | Self::Catalog(_)
            | Self::Evacuations(_)
            | Self::Crashes(_)
            | Self::Leaving(_)
            | Self::UpstreamLimits(_)
            | Self::Fragment(_)
            | Self::Relay(_)
            | Self::AskRight { .. }
            | Self::Right { .. } => return None,
        };
        Some((to, number))
    }

    /// Returns how urgent it is.
    pub const fn urgency(&self) -> Urgency {
        match self {
            Self::Summary(_)
            | Self::Members(_)
            | Self::HubNews(_)
            | Self::Digest(_)
            | Self::GroupLoads(_) => Urgency::Regular,
            _ => Urgency::Once,
        }
    }

    /// Writes a datagram.
    ///
    /// # Errors
    ///
    /// If it is too large, or cannot be written.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let bytes = self.write()?;
        match bytes.len() <= MAX_DATAGRAM {
            true => Ok(bytes),
            false => Err(MessageError::TooLarge { bytes: bytes.len() }),
        }
    }

    /// Writes one datagram, or as many as it needs; `number` tells it from all
    /// other messages.
    ///
    /// # Errors
    ///
    /// If it is too large for these too, or cannot be written.
    pub fn encode_in_fragments(
        &self,
        number: u64,
    ) -> Result<Vec<Vec<u8>>, MessageError> {
        let bytes = self.write()?;
        let most = match self {
            // It holds a datagram already, for which this room is left.
            Self::Relay(_) => MAX_DATAGRAM,
            _ => fragments::FRAGMENT_BYTES,
        };
        if bytes.len() <= most {
            return Ok(vec![bytes]);
        }
        let too_large = MessageError::TooLarge { bytes: bytes.len() };
        let fragments = fragments::cut(&bytes, number).ok_or(too_large)?;
        let written = fragments.into_iter().map(Self::Fragment);
        written.map(|one| one.encode()).collect()
    }

    fn write(&self) -> Result<Vec<u8>, MessageError> {
        Ok(postcard::to_extend(self, vec![FORMAT])?)
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// If its format is another one, or it is none of these.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        Ok(postcard::from_bytes(check_format(bytes)?)?)
    }
}
