//! The error of this crate.

use std::fmt;

/// Why a process could not start or had to end.
#[derive(Debug)]
pub struct Error {
    message: String,
}

impl Error {
    /// Makes an error from what was being done and what went wrong.
    pub fn new(doing: &str, cause: impl fmt::Display) -> Self {
        Self { message: format!("{doing}: {cause}") }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}

impl miette::Diagnostic for Error {}
