//! Faults in declarations, each with its place and its mend.

use std::ops::Range;

use miette::{Diagnostic, NamedSource, SourceSpan};
use thiserror::Error;

/// One fault in one file.
#[derive(Debug, Clone, Error, Diagnostic)]
#[error("{message}")]
#[diagnostic()]
pub struct Problem {
    message: String,
    #[help]
    help: String,
    #[source_code]
    source_code: NamedSource<String>,
    #[label("here")]
    span: Option<SourceSpan>,
    file: String,
    line: usize,
}

impl Problem {
    /// Makes a problem at a range of bytes of a file.
    pub(super) fn new(
        file: &str,
        text: &str,
        span: Option<Range<usize>>,
        message: impl Into<String>,
        help: impl Into<String>,
    ) -> Self {
        let start = span.as_ref().map_or(0, |s| s.start).min(text.len());
        let line = text[..start].matches('\n').count() + 1;
        Self {
            message: message.into(),
            help: help.into(),
            source_code: NamedSource::new(file, text.to_owned()),
            span: span.map(SourceSpan::from),
            file: file.to_owned(),
            line,
        }
    }

    /// Returns the path of the file, below the directory of declarations.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Returns the line of the fault, counted from 1.
    pub fn line(&self) -> usize {
        self.line
    }

    /// Returns what is wrong.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns how to mend it.
    pub fn help_text(&self) -> &str {
        &self.help
    }
}

/// All faults found in a set of declarations.
#[derive(Debug, Clone, Error, Diagnostic)]
#[error("the declarations do not hold: {} fault(s)", problems.len())]
pub struct Problems {
    #[related]
    problems: Vec<Problem>,
}

impl Problems {
    pub(super) fn new(problems: Vec<Problem>) -> Self {
        Self { problems }
    }

    /// Returns the faults, in the order in which they were found.
    pub fn iter(&self) -> impl Iterator<Item = &Problem> {
        self.problems.iter()
    }
}
