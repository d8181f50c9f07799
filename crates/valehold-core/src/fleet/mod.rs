//! Decisions about a fleet of upstreams behind declared routes.
//!
//! A [`Catalog`] says which routes there are and which services answer them.
//! The upstreams of a service list themselves; those that run models also
//! say which models they hold. From both follow the choice of an upstream
//! ([`choice`]), who may send to one that is cold ([`cold`]), how many second
//! sends one instance may make ([`retry_share`]),
//! which models are to be loaded where ([`replicas`], [`adapters`]), and how
//! many of them may come from the weight store ([`weight_loads`]).

pub mod adapters;
pub mod asked;
pub mod backoff;
pub mod bound;
pub mod catalog;
pub mod choice;
pub mod cold;
pub mod crashes;
pub mod evacuation;
pub mod event;
pub mod health;
pub mod identity;
pub mod index;
pub mod lapsed;
pub mod leaving;
pub mod listing;
pub mod pace;
pub mod paces;
pub mod path_cost;
pub mod peaks;
pub mod recent;
pub mod registry;
pub mod rejections;
pub mod replicas;
pub mod retry_share;
pub mod slot_time;
pub mod store_version;
#[cfg(test)]
mod tests;
pub mod topology;
pub mod upstream_limit;
pub mod usage;
pub mod weight_loads;
pub mod window;
pub mod workspace;

pub use self::{
    asked::Asked,
    bound::RegionBound,
    catalog::{CallerLimits, Catalog, ModelSpec, Repetition, Route, Service},
    evacuation::{
        EvacuationChange, EvacuationState, EvacuationUpdate, Evacuations,
    },
    identity::UpstreamStart,
    index::UpstreamIndex,
    listing::{Holding, Listing, ListingDelta, Upstream, Variant},
    registry::{EngineHolding, UpstreamRegistry},
    store_version::StoreVersion,
};
