//! Workspaces: the tenants whose callers may use the routes, with their keys
//! and usage limits.
//!
//! Only the digest of a caller's key is stored, so the configuration that
//! gateways keep and send one another does not reveal any key.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::bound::RegionBound;
use crate::{digest::hexadecimal, id::WorkspaceId};

/// Number of bytes of a key's SHA-256 that are kept. With 16 bytes it is still
/// infeasible to find another key with the same digest, at half the size.
const DIGEST_BYTES: usize = 16;

/// The digest of a caller's key.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of a key.
    ///
    /// # Example
    ///
    /// ```
    /// # use valehold_core::fleet::workspace::KeyDigest;
    /// assert_eq!(KeyDigest::of(b"one"), KeyDigest::of(b"one"));
    /// assert_ne!(KeyDigest::of(b"one"), KeyDigest::of(b"two"));
    /// ```
    pub fn of(key: &[u8]) -> Self {
        let full = Sha256::digest(key);
        let mut kept = [0; DIGEST_BYTES];
        kept.copy_from_slice(&full[..DIGEST_BYTES]);
        Self(kept)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({})", hexadecimal(&self.0[..2]))
    }
}

/// The unit in which a limit counts use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageUnit {
    /// Each request costs one.
    Requests,
    /// A request costs its tokens: those of its prompt, and the maximum for
    /// its answer.
    Tokens {
        /// The cost of a request that does not state its tokens.
        default_tokens: u64,
    },
}

impl UsageUnit {
    /// Returns the cost of a request. `tokens` is the number of tokens that
    /// the request states.
    #[allow(clippy::cast_precision_loss)]
    pub fn cost(self, tokens: Option<u64>) -> f64 {
        match self {
            Self::Requests => 1.0,
            Self::Tokens { default_tokens } => {
                tokens.unwrap_or(default_tokens) as f64
            }
        }
    }
}

/// The limit on the use of a workspace, over all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct UsageLimit {
    /// The unit of `rate` and `burst`.
    pub unit: UsageUnit,
    /// The allowed use per second.
    pub rate: f64,
    /// The use allowed in addition to the rate, once per window.
    pub burst: f64,
}

/// A workspace: a tenant with its rank, limit and permitted regions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// The name.
    pub name: WorkspaceId,
    /// The rank; 0 is the most urgent. It takes precedence over the ranks of
    /// routes.
    pub rank: u8,
    /// The limit on its use; `None` means unlimited.
    pub limit: Option<UsageLimit>,
    /// The regions in which its requests may be served.
    pub bound: RegionBound,
}

/// All workspaces, and the keys of their callers, who may use the routes that
/// are not public.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Workspaces {
    all: BTreeMap<WorkspaceId, Workspace>,
    keys: BTreeMap<KeyDigest, WorkspaceId>,
}

impl Workspaces {
    /// Adds a workspace and the digests of its callers' keys.
    ///
    /// A key that belonged to another workspace belongs to this one
    /// afterwards.
    pub fn add(
        &mut self,
        workspace: Workspace,
        keys: impl IntoIterator<Item = KeyDigest>,
    ) {
        let named = keys.into_iter().map(|key| (key, workspace.name.clone()));
        self.keys.extend(named);
        self.all.insert(workspace.name.clone(), workspace);
    }

    /// Returns the workspace that a key belongs to, or `None` if the key is
    /// unknown.
    pub fn by_key(&self, key: &KeyDigest) -> Option<&Workspace> {
        self.all.get(self.keys.get(key)?)
    }

    /// Returns a workspace by its name, or `None` if there is none.
    pub fn get(&self, name: &WorkspaceId) -> Option<&Workspace> {
        self.all.get(name)
    }

    /// Returns all workspaces, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.all.values()
    }
}
