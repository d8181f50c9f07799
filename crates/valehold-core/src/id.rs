//! Names of the things that decisions are about.
//!
//! Each kind of name is a type of its own, so that an engine's name cannot
//! stand where a model's is expected. Clones share the text.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Makes the name from its text.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// Returns the name's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )*};
}

names! {
    /// The name of one entry instance of valehold.
    InstanceId;
    /// The name of a data centre.
    DataCentreId;
    /// The name of a region: data centres that are near one another.
    RegionId;
    /// The name of a workspace.
    WorkspaceId;
    /// The name of an upstream: an engine, or one process of a plain service.
    UpstreamId;
    /// The name that callers use for a model or an adapter.
    ModelName;
    /// The name of an adapter, within its model.
    AdapterName;
    /// The name of a service: of plain processes, or of model engines.
    ServiceName;
    /// The identifier of one caller's request.
    RequestId;
    /// The version of an upstream's software. Versions have no order.
    SoftwareVersion;
}

/// A short stand-in for one start of an upstream, where many are told at once.
///
/// Two starts may share a tag, though rarely: of 1,500 upstreams some two do
/// in one of 4,000 fleets. It is therefore used for figures that may be off,
/// such as loads, and never to address an upstream.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct UpstreamTag(u32);

impl UpstreamTag {
    /// Makes a tag of a hash.
    pub const fn new(hash: u32) -> Self {
        Self(hash)
    }
}

impl fmt::Display for UpstreamTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// A short stand-in for a model's name, where many are told at once. As with
/// upstreams, it is used for figures that may be off.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct ModelTag(u32);

impl ModelName {
    /// Returns the name's tag.
    #[allow(clippy::cast_possible_truncation)]
    pub fn tag(&self) -> ModelTag {
        ModelTag(xxh3_64(self.as_str().as_bytes()) as u32)
    }
}

/// A short stand-in for a workspace's name, where many are told at once.
///
/// Two names may share a tag: of 10,000 workspaces, two do in one of some
/// 370 billion deployments.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct WorkspaceTag(u64);

impl WorkspaceId {
    /// Returns the name's tag.
    pub fn tag(&self) -> WorkspaceTag {
        WorkspaceTag(xxh3_64(self.as_str().as_bytes()))
    }
}

/// One version of one model or adapter: what an engine loads.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Artifact {
    /// The model or adapter.
    pub name: ModelName,
    /// The version, counted up by the operators.
    pub version: u32,
}

impl Artifact {
    /// Makes an artifact from a name and a version.
    pub fn new(name: impl AsRef<str>, version: u32) -> Self {
        Self { name: ModelName::new(name), version }
    }
}

impl fmt::Display for Artifact {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.version)
    }
}
