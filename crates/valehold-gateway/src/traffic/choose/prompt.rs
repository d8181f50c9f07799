//! The properties of a prompt that determine the choice of an engine.

use std::sync::Arc;

use valehold_core::{
    fleet::{Upstream, Variant},
    id::{ModelName, UpstreamId},
    prefix::chained_hashes,
    rendezvous,
};
use xxhash_rust::xxh3::xxh3_64;

use super::super::{route::Job, state::App};

/// The sizes and hashes of the parts of a prompt, with the pace of its model.
pub(super) struct Prompt {
    pub(super) model: ModelName,
    pub(super) tokens: u64,
    /// The chained hashes of the parts: each hash covers a part and all parts
    /// before that part, and is specific to the variant.
    pub(super) blocks: Vec<u64>,
    part_tokens: Vec<u64>,
    /// The number of leading parts that other requests may have in common: all
    /// parts but the last.
    pub(super) shared: usize,
    /// The estimated prefill time of the model, relative to a model of the
    /// standard pace.
    pub(super) pace: f64,
}

impl Prompt {
    pub(super) fn of(app: &App, job: &Job, variant: &Variant) -> Self {
        let request = &job.request;
        let seed = xxh3_64(variant.to_string().as_bytes());
        let digests = request.parts.iter().map(|p| p.digest.to_le_bytes());
        Self {
            model: variant.model.clone(),
            tokens: request.prompt_tokens,
            blocks: chained_hashes(seed, digests),
            part_tokens: request.parts.iter().map(|p| p.tokens).collect(),
            shared: request.parts.len().saturating_sub(1),
            pace: app.model_pace(&variant.model),
        }
    }

    /// Converts a number of tokens of this model to the number of tokens of a
    /// typical model that take the same time to prefill.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub(super) fn typical_model_tokens(&self, tokens: u64) -> u64 {
        (tokens as f64 * self.pace) as u64
    }

    /// Returns the number of tokens in the first `parts` parts.
    pub(super) fn tokens_of(&self, parts: usize) -> u64 {
        self.part_tokens.iter().take(parts).sum()
    }

    /// Returns the engine that rendezvous hashing assigns to the shared parts
    /// of the prompt, so that requests with the same beginning reach the same
    /// cache; `None` if the prompt has no shared parts or `holders` is empty.
    pub(super) fn home(
        &self,
        holders: &[&Arc<Upstream>],
    ) -> Option<UpstreamId> {
        let last_shared = self.shared.checked_sub(1)?;
        let key = self.blocks.get(last_shared)?.to_string();
        let names: Vec<&str> =
            holders.iter().map(|upstream| upstream.id.as_str()).collect();
        rendezvous::owner(&key, &names).map(UpstreamId::new)
    }
}
