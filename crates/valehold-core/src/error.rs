//! The error of this crate.

use std::fmt;

/// An error raised by a decision or by a declaration that does not hold.
///
/// The type is opaque: callers show it, and may add context to it. Errors
/// that point into an operator's file are [`crate::config::Problem`]s.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    message: String,
    context: Vec<String>,
}

impl Error {
    /// Makes an error from what went wrong.
    pub fn new(message: impl Into<String>) -> Self {
        Self { message: message.into(), context: Vec::new() }
    }

    /// Adds what was being done when the error came up.
    #[must_use]
    pub fn context(mut self, context: impl Into<String>) -> Self {
        self.context.push(context.into());
        self
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for context in self.context.iter().rev() {
            write!(f, "{context}: ")?;
        }
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
