//! Workspaces: whose callers use the routes, by which keys, up to what limit.
//!
//! A caller's key is known by its digest alone. Whoever reads the
//! configuration as gateways keep it and tell it to one another learns none.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::bound::RegionBound;
use crate::{digest::hexadecimal, id::WorkspaceId};

/// How many bytes of a key's SHA-256 are kept: as many as make it hopeless to
/// find another key with the same ones, at half of the size.
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
        let whole = Sha256::digest(key);
        let mut kept = [0; DIGEST_BYTES];
        kept.copy_from_slice(&whole[..DIGEST_BYTES]);
        Self(kept)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({})", hexadecimal(&self.0[..2]))
    }
}

/// What a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its tokens: those of its prompt and, at most, of
    /// its answer.
    Tokens {
        /// The tokens that a request counts as which states none.
        of_plain: u64,
    },
}

impl UsageUnit {
    /// Returns what a request counts as; `tokens` is what it states.
    #[allow(clippy::cast_precision_loss)]
    pub fn cost(self, tokens: Option<u64>) -> f64 {
        match self {
            Self::Requests => 1.0,
            Self::Tokens { of_plain } => tokens.unwrap_or(of_plain) as f64,
        }
    }
}

/// What the callers of a workspace may use, over all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct UsageLimit {
    /// What is counted.
    pub unit: UsageUnit,
    /// How much of it a second.
    pub rate: f64,
    /// How much of it beyond that, once.
    pub burst: f64,
}

/// A workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceId,
    /// Its rank; 0 is the most urgent. It goes before the routes' ranks.
    pub rank: u8,
    /// What its callers may use; `None` sets no limit.
    pub limit: Option<UsageLimit>,
    /// The regions in which its requests may be served.
    pub bound: RegionBound,
}

/// Whose callers may use the routes that are not public.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Workspaces {
    all: BTreeMap<WorkspaceId, Workspace>,
    keys: BTreeMap<KeyDigest, WorkspaceId>,
}

impl Workspaces {
    /// Adds a workspace and the digests of its callers' keys.
    ///
    /// A key that was another workspace's is this one's from now on.
    pub fn add(
        &mut self,
        workspace: Workspace,
        keys: impl IntoIterator<Item = KeyDigest>,
    ) {
        let named = keys.into_iter().map(|key| (key, workspace.name.clone()));
        self.keys.extend(named);
        self.all.insert(workspace.name.clone(), workspace);
    }

    /// Returns the workspace that has a key.
    pub fn of_key(&self, key: &KeyDigest) -> Option<&Workspace> {
        self.all.get(self.keys.get(key)?)
    }

    /// Returns a workspace by its name.
    pub fn named(&self, name: &WorkspaceId) -> Option<&Workspace> {
        self.all.get(name)
    }

    /// Returns every workspace, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.all.values()
    }
}
