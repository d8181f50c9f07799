//! Model engines.

use futures::stream::BoxStream;
use serde::{Deserialize, Serialize};
use valehold_core::{
    account::ResidencyReport,
    id::{Artifact, RequestId},
    order::Order,
    stream::Frame,
};

use super::{Address, Answer};
use crate::error::PortError;

/// What an engine says of itself. It may lag.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Changes when the engine's process starts anew.
    pub boot: u64,
    /// Whether it is leaving and wants no new work.
    pub leaving: bool,
    /// Requests that are being decoded.
    pub running: u32,
    /// Prompt tokens that wait to be read.
    pub waiting_tokens: u64,
    /// What its memory holds.
    pub residency: ResidencyReport,
}

/// Which of the conventional interfaces a prompt came by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PromptKind {
    /// A list of messages.
    Chat,
    /// A text to go on with.
    Completion,
}

/// A request for an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Its id, which every frame of the answer carries.
    pub request: RequestId,
    /// The model's or adapter's version to use.
    pub artifact: Artifact,
    /// For an adapter, its base.
    pub base: Option<Artifact>,
    /// Which interface the prompt came by.
    pub kind: PromptKind,
    /// The caller's body: the prompt and its options.
    pub body: serde_json::Value,
    /// The workspace's priority; the engine honours it.
    pub priority: u8,
}

/// The frames of an answer, as they come.
pub type FrameStream = BoxStream<'static, Result<Frame, PortError>>;

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number; a number left out is a gap.
    pub sequence: u64,
    /// The hashes of the blocks that the cache now has.
    pub stored: Vec<u64>,
}

/// Cache events after some number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// Model engines.
pub trait Engines: Send + Sync {
    /// Asks an engine for its status.
    fn status(&self, engine: Address) -> Answer<'_, EngineStatus>;

    /// Sends an order. It may be sent again without harm.
    fn order<'a>(
        &'a self,
        engine: Address,
        order: &'a Order,
    ) -> Answer<'a, ()>;

    /// Starts a request; dropping the stream cancels it.
    fn generate<'a>(
        &'a self,
        engine: Address,
        request: &'a GenerateRequest,
    ) -> Answer<'a, FrameStream>;

    /// Goes on with a request's stream from a frame's number on.
    fn resume<'a>(
        &'a self,
        engine: Address,
        request: &'a RequestId,
        from_sequence: u64,
    ) -> Answer<'a, FrameStream>;

    /// Asks for the cache events after a number.
    fn cache_events(
        &self,
        engine: Address,
        after: u64,
    ) -> Answer<'_, CacheEvents>;
}
