//! A prompt, as far as the choice of an engine needs it.

use std::sync::Arc;

use valehold_core::{
    fleet::{Upstream, Variant},
    id::{ModelName, UpstreamId},
    prefix::chained_hashes,
    rendezvous,
};
use xxhash_rust::xxh3::xxh3_64;

use super::super::{route::Job, state::App};

/// A prompt, as far as the choice of an engine needs it.
pub(super) struct Prompt {
    pub(super) model: ModelName,
    pub(super) tokens: u64,
    /// The hash of each part with all before it, for this variant.
    pub(super) blocks: Vec<u64>,
    part_tokens: Vec<u64>,
    /// How many leading parts other requests may share.
    pub(super) shared: usize,
    /// How many times as long its model takes to read as all.
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
            pace: app.pace_of_model(&variant.model),
        }
    }

    /// Returns how many tokens of a usual model take as long to read as some
    /// of this one's.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub(super) fn usual_tokens(&self, tokens: u64) -> u64 {
        (tokens as f64 * self.pace) as u64
    }

    pub(super) fn tokens_of(&self, parts: usize) -> u64 {
        self.part_tokens.iter().take(parts).sum()
    }

    /// Returns the engine at which requests with the same beginning meet.
    pub(super) fn home(
        &self,
        holders: &[&Arc<Upstream>],
    ) -> Option<UpstreamId> {
        let last = self.shared.checked_sub(1)?;
        let key = self.blocks.get(last)?.to_string();
        let names: Vec<&str> =
            holders.iter().map(|upstream| upstream.id.as_str()).collect();
        rendezvous::owner(&key, &names).map(UpstreamId::new)
    }
}
