//! How the command fails, and the exit codes it fails with.

use std::process::ExitCode;

use miette::Report;

/// The exit code for any failure that has none of its own.
pub const FAILED: u8 = 1;
/// The exit code for bad arguments.
pub const BAD_ARGUMENTS: u8 = 2;
/// The exit code for declarations that do not hold.
pub const INVALID: u8 = 3;
/// The exit code for an apply that another operator's change is in the way of.
pub const CONFLICT: u8 = 4;
/// The exit code for an instance that does not answer.
pub const UNREACHABLE: u8 = 5;

/// A failure: what to tell the operator, and the exit code.
#[derive(Debug)]
pub struct Failure {
    code: u8,
    report: Report,
}

impl Failure {
    /// Makes a failure with a code.
    pub fn new(code: u8, report: impl Into<Report>) -> Self {
        Self { code, report: report.into() }
    }

    /// Makes a failure from a sentence.
    pub fn message(code: u8, message: impl std::fmt::Display) -> Self {
        Self::new(code, miette::miette!("{message}"))
    }

    /// Makes a failure of bad arguments.
    pub fn arguments(cause: impl std::fmt::Display) -> Self {
        let help = "`valehold COMMAND --help` lists the options";
        Self::new(BAD_ARGUMENTS, miette::miette!(help = help, "{cause}"))
    }

    /// Tells the operator, and returns the exit code.
    pub fn report(self) -> ExitCode {
        eprintln!("{:?}", self.report);
        ExitCode::from(self.code)
    }
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Self::message(FAILED, error)
    }
}
