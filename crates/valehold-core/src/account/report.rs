//! What engines say of their memory.

use serde::{Deserialize, Serialize};

use crate::{id::Artifact, order::Stamp};

/// What an engine says of one artifact.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reported {
    /// It is being loaded.
    Loading,
    /// It takes requests.
    Resident,
    /// It is being unloaded; its memory is still taken.
    Unloading,
}

/// One artifact in an engine's report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedArtifact {
    /// The artifact.
    pub artifact: Artifact,
    /// Its memory, in MiB.
    pub size_mib: u64,
    /// What is happening to it.
    pub state: Reported,
}

/// What an engine says of its memory.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidencyReport {
    /// Everything that takes memory.
    pub artifacts: Vec<ReportedArtifact>,
    /// The stamps of the last orders obeyed, if the engine checks fences.
    pub fences: Vec<(Artifact, Stamp)>,
}
