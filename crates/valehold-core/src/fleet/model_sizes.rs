//! The memory that models take on engines, whether or not the newest
//! configuration declares them.
//!
//! An engine holds what it was ordered to load until it is ordered to unload
//! it. A configuration that no longer declares a model, or declares a smaller
//! size, frees no memory. [`ModelSizes`] therefore keeps, for each model, the
//! largest size that any configuration declared while engines may hold the
//! model. The size of a model that no known configuration declared is unknown:
//! an engine that holds such a model has no free memory that could be relied
//! on.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    catalog::{EngineSpec, ModelSpec},
    listing::Holding,
};
use crate::{
    id::{AdapterName, ModelName},
    time::Millis,
};

/// How long a size is kept after the model was last declared with the size or
/// held by an engine, in ms.
///
/// An order without an answer may be carried out 15 s later, and the engine's
/// report of the model follows some seconds after.
const RETENTION_MS: u64 = 60_000;

/// The maximum number of sizes that are kept for models that no engine holds.
const MAX_SIZES_NOT_HELD: usize = 4_096;

/// The memory that a model takes on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelSize {
    /// The memory that the weights take, in MB.
    pub size_mb: u64,
    /// The memory that one adapter takes, in MB.
    pub adapter_size_mb: u64,
}

impl ModelSize {
    /// Returns the memory of the model with a number of adapters, in MB.
    pub fn with_adapters(self, adapters: usize) -> u64 {
        let adapters_mb = self.adapter_size_mb.saturating_mul(adapters as u64);
        self.size_mb.saturating_add(adapters_mb)
    }

    /// Returns the larger of two sizes, in weights and adapters each.
    pub fn max(self, other: Self) -> Self {
        Self {
            size_mb: self.size_mb.max(other.size_mb),
            adapter_size_mb: self.adapter_size_mb.max(other.adapter_size_mb),
        }
    }
}

impl From<&ModelSpec> for ModelSize {
    fn from(model: &ModelSpec) -> Self {
        Self { size_mb: model.size_mb, adapter_size_mb: model.adapter_size_mb }
    }
}

/// The size of one model.
#[derive(Debug, Clone, Copy)]
struct KnownSize {
    size: ModelSize,
    /// Whether the newest specification declares this size.
    is_declared: bool,
    /// When the size was last declared, or the model held by an engine.
    needed_at: Millis,
}

/// The sizes of the models of one service, from the configurations seen so
/// far.
#[derive(Debug, Clone, Default)]
pub struct ModelSizes {
    sizes: BTreeMap<ModelName, KnownSize>,
}

impl ModelSizes {
    /// Returns no sizes: every model counts as of unknown size.
    pub const fn new() -> Self {
        Self { sizes: BTreeMap::new() }
    }

    /// Returns whether no size is known.
    pub fn is_empty(&self) -> bool {
        self.sizes.is_empty()
    }

    /// Returns the sizes that one specification declares.
    pub fn declared_by(spec: &EngineSpec) -> Self {
        let mut sizes = Self::default();
        sizes.declare(&spec.models, &BTreeSet::new(), Millis::default());
        sizes
    }

    /// Records the models that the newest configuration declares. `held` are
    /// the models that engines hold or load.
    ///
    /// A size that is larger than the declared one is kept while engines hold
    /// the model, and for 60 s after. Removing a size is always safe, as
    /// models of unknown size count as using all memory.
    pub fn declare(
        &mut self,
        declared: &[ModelSpec],
        held: &BTreeSet<&ModelName>,
        now: Millis,
    ) {
        for (model, known) in &mut self.sizes {
            if known.is_declared || held.contains(model) {
                known.needed_at = now;
            }
            known.is_declared = false;
        }
        self.sizes
            .retain(|_, known| now.since(known.needed_at) < RETENTION_MS);
        for model in declared {
            self.declare_model(model, now);
        }
        self.limit_to_capacity(held);
    }

    fn declare_model(&mut self, model: &ModelSpec, now: Millis) {
        let size = ModelSize::from(model);
        let known = KnownSize { size, is_declared: true, needed_at: now };
        let Some(before) = self.sizes.get_mut(&model.name) else {
            self.sizes.insert(model.name.clone(), known);
            return;
        };
        let largest = before.size.max(size);
        if largest == size {
            *before = known;
        } else {
            before.size = largest;
        }
    }

    /// Removes the sizes that were needed the longest ago if there are too
    /// many sizes of models that are neither declared nor held.
    fn limit_to_capacity(&mut self, held: &BTreeSet<&ModelName>) {
        let sizes = self.sizes.iter();
        let not_held = sizes.filter(|(model, known)| {
            !known.is_declared && !held.contains(model)
        });
        let mut not_held: Vec<(Millis, ModelName)> = not_held
            .map(|(model, known)| (known.needed_at, model.clone()))
            .collect();
        not_held.sort_unstable();
        let excess = not_held.len().saturating_sub(MAX_SIZES_NOT_HELD);
        for (_, model) in not_held.into_iter().take(excess) {
            self.sizes.remove(&model);
        }
    }

    /// Returns the size of a model, or `None` if the size is unknown.
    pub fn get(&self, model: &ModelName) -> Option<ModelSize> {
        self.sizes.get(model).map(|known| known.size)
    }

    /// Returns the memory that an engine's models and adapters use, in MB, or
    /// `None` if the engine holds a model of unknown size.
    pub fn used_mb(&self, holding: &Holding) -> Option<u64> {
        let size_of = |(model, adapters): (&_, &BTreeSet<AdapterName>)| {
            Some(self.get(model)?.with_adapters(adapters.len()))
        };
        let mut sizes = holding.models.iter().map(size_of);
        sizes.try_fold(0_u64, |sum, size| sum.checked_add(size?))
    }

    /// Returns the memory that a model and its adapters use on an engine, in
    /// MB; `None` if the size is unknown.
    pub fn held_mb(
        &self,
        holding: &Holding,
        model: &ModelName,
    ) -> Option<u64> {
        let adapters = holding.models.get(model).map_or(0, BTreeSet::len);
        Some(self.get(model)?.with_adapters(adapters))
    }

    /// Returns whether an engine with a holding has enough free memory for a
    /// model.
    pub fn fits_model(
        &self,
        holding: &Holding,
        model: &ModelName,
        memory_mb: u64,
    ) -> bool {
        let size_mb = self.get(model).map(|size| size.size_mb);
        self.fits(holding, size_mb, memory_mb)
    }

    /// Returns whether an engine with a holding has enough free memory for an
    /// adapter of a model.
    pub fn fits_adapter(
        &self,
        holding: &Holding,
        model: &ModelName,
        memory_mb: u64,
    ) -> bool {
        let size_mb = self.get(model).map(|size| size.adapter_size_mb);
        self.fits(holding, size_mb, memory_mb)
    }

    fn fits(
        &self,
        holding: &Holding,
        size_mb: Option<u64>,
        memory_mb: u64,
    ) -> bool {
        let used_mb = self.used_mb(holding);
        let total_mb = used_mb
            .zip(size_mb)
            .and_then(|(used, size)| used.checked_add(size));
        total_mb.is_some_and(|total| total <= memory_mb)
    }
}
