//! Decisions about a fleet of upstreams behind declared routes.
//!
//! A [`Catalog`] declares the routes and the services that answer the routes.
//! The upstreams of a service register themselves in a list; engines also
//! report the models that they hold. From the catalog and the list follow:
//!
//! - the choice of an upstream for a request ([`choice`]);
//! - the permits for sending to a cold upstream ([`cold`]);
//! - the number of second sends that one instance may make ([`retry_share`]);
//! - the engines that load and unload models and adapters ([`replicas`],
//!   [`adapters`]);
//! - the number of loads that the weight store allows ([`weight_loads`]).

pub mod adapters;
pub mod backoff;
pub mod bound;
pub mod bound_usage;
pub mod brittle;
pub mod catalog;
pub mod choice;
pub mod cold;
pub mod crashes;
pub mod evacuation;
pub mod event;
pub mod freshness;
pub mod health;
pub mod identity;
pub mod index;
pub mod keep_alive;
pub mod lapsed;
pub mod leaving;
pub mod listing;
pub mod model_sizes;
pub mod pace;
pub mod paces;
pub mod path_cost;
pub mod peak_demand;
pub mod reachability;
pub mod recent;
pub mod registry;
pub mod rejections;
pub mod replicas;
pub mod retry_share;
pub mod slot_time;
pub mod software;
pub mod store_version;
pub mod stream_origin;
pub mod stream_record;
#[cfg(test)]
mod tests;
pub mod topology;
pub mod upstream_limit;
pub mod usage;
pub mod weight_loads;
pub mod window;
pub mod workspace;

pub use self::{
    bound::RegionBound,
    bound_usage::BoundVariant,
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
