//! Whether a failed attempt is followed by another.
//!
//! A retry needs four things: a verdict that allows it, an answer of which
//! the caller has received nothing, time left, and a token from two budgets,
//! the workspace's and the upstream's. First attempts pay into the budgets,
//! so that retries stay a fixed share of them however many fail.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

use crate::{time::Millis, verdict::Verdict};

/// How many retries a budget allows.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySettings {
    /// Retries for each first attempt.
    pub share: f64,
    /// Retries that may be saved up.
    pub burst: f64,
    /// Attempts of one request, the first among them.
    pub attempts: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { share: 0.1, burst: 10.0, attempts: 3 }
    }
}

/// Tokens for retries.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetrySettings,
    tokens: f64,
}

impl RetryBudget {
    /// Makes a full budget.
    pub fn new(settings: RetrySettings) -> Self {
        Self { settings, tokens: settings.burst }
    }

    /// Pays in for a first attempt.
    pub fn first_attempt(&mut self) {
        let tokens = self.tokens + self.settings.share;
        self.tokens = tokens.min(self.settings.burst);
    }

    /// Tells whether a retry could be paid.
    pub fn can_pay(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Pays for a retry, if there is enough.
    pub fn try_pay(&mut self) -> bool {
        let pays = self.can_pay();
        if pays {
            self.tokens -= 1.0;
        }
        pays
    }
}

/// A failed attempt, as the decision about the next sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// What is known of whether it ran.
    pub verdict: Verdict,
    /// Whether running it again does no harm.
    pub repeatable: bool,
    /// Whether the caller has received a part of an answer.
    pub output_begun: bool,
    /// How many attempts were made.
    pub attempts: u32,
}

/// Why no other attempt follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoRetry {
    /// It may have run, and may not run twice.
    MayHaveRun,
    /// The caller has received a part of the answer.
    OutputBegun,
    /// There is no time left.
    Late,
    /// There were as many attempts as are allowed.
    Attempts,
    /// A budget is spent.
    Budget,
}

/// Decides whether a failed attempt may be followed by another.
///
/// Pays from both budgets if so, and from neither if not.
///
/// # Errors
///
/// Why not.
pub fn try_retry(
    failed: FailedAttempt,
    settings: RetrySettings,
    now: Millis,
    deadline: Millis,
    workspace: &mut RetryBudget,
    upstream: &mut RetryBudget,
) -> Result<(), NoRetry> {
    if failed.output_begun {
        return Err(NoRetry::OutputBegun);
    }
    if failed.verdict.may_have_run() && !failed.repeatable {
        return Err(NoRetry::MayHaveRun);
    }
    if now >= deadline {
        return Err(NoRetry::Late);
    }
    if failed.attempts >= settings.attempts {
        return Err(NoRetry::Attempts);
    }
    if !workspace.can_pay() || !upstream.can_pay() {
        return Err(NoRetry::Budget);
    }
    workspace.try_pay();
    upstream.try_pay();
    Ok(())
}
