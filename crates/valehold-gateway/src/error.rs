//! The error that ends a process.

use std::fmt;

/// Why a process could not start or had to end.
#[derive(Debug)]
pub struct Error {
    message: String,
}

impl Error {
    /// Creates an error from the action that failed and its cause.
    pub fn new(action: &str, cause: impl fmt::Display) -> Self {
        Self { message: format!("{action}: {cause}") }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}

impl miette::Diagnostic for Error {}
