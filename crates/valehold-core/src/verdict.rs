//! Whether a request may have run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known of whether a request ran at its upstream.
///
/// Every error from the ports upwards carries one. The type has no default
/// and is required by each error's constructor, so the compiler asks for it
/// wherever an error is made.
///
/// `NotRun` is a promise. After sending has begun it may be given only when
/// the connection took no byte, or when the upstream itself said so.
///
/// # Example
///
/// ```
/// use valehold_core::Verdict;
///
/// assert_eq!(Verdict::NotRun.as_str(), "no");
/// assert!(Verdict::MayHaveRun.worst(Verdict::NotRun).may_have_run());
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request did not run, and nothing still on its way can run it.
    NotRun,
    /// The request may have run, or may still run.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl Verdict {
    /// Returns the word used in the `valehold-ran` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "no",
            Self::MayHaveRun => "maybe",
            Self::Ran => "yes",
        }
    }

    /// Reads the word used in the `valehold-ran` header.
    pub fn from_word(word: &str) -> Option<Self> {
        match word {
            "no" => Some(Self::NotRun),
            "maybe" => Some(Self::MayHaveRun),
            "yes" => Some(Self::Ran),
            _ => None,
        }
    }

    /// Tells whether the request may have run.
    pub const fn may_have_run(self) -> bool {
        !matches!(self, Self::NotRun)
    }

    /// Joins what two attempts of one request say.
    pub fn worst(self, other: Self) -> Self {
        self.max(other)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
