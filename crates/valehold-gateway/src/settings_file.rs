//! Reading of settings from TOML files, with errors that point at the line.

use std::path::Path;

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Settings that can be read from a TOML file.
pub trait FileSettings: DeserializeOwned {
    /// The help of errors in settings: where all settings are described.
    const HELP: &'static str;

    /// The help of unreadable files: how the file's path is given.
    const FILE_PATH_HELP: &'static str;

    /// Returns the first violated constraint on values; `None` if the values
    /// are valid.
    fn violation(&self) -> Option<&'static str>;

    /// Parses settings. Errors show `name` as the name of the file.
    ///
    /// # Errors
    ///
    /// If the text is not TOML, or a setting is missing, unknown or out of
    /// range.
    fn from_toml(name: &str, text: &str) -> Result<Self, SettingsError> {
        let fail = |message: String, span: Option<SourceSpan>| {
            SettingsError(Box::new(InvalidSettings {
                message,
                text: NamedSource::new(name, text.to_owned()),
                span,
                help: Self::HELP,
            }))
        };
        let settings: Self = toml::from_str(text).map_err(|e| {
            fail(e.message().to_owned(), e.span().map(Into::into))
        })?;
        match settings.violation() {
            Some(violation) => Err(fail(violation.to_owned(), None)),
            None => Ok(settings),
        }
    }

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, and in the cases of
    /// [`FileSettings::from_toml`].
    fn from_file(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::from_toml(&name, &text),
            Err(error) => Err(SettingsError(Box::new(InvalidSettings {
                message: format!("{name} cannot be read: {error}"),
                text: NamedSource::new(name, String::new()),
                span: None,
                help: Self::FILE_PATH_HELP,
            }))),
        }
    }
}

/// An error in a settings file, with the place in the text if it is known.
#[derive(Debug, Error, Diagnostic)]
#[error(transparent)]
#[diagnostic(transparent)]
pub struct SettingsError(Box<InvalidSettings>);

#[derive(Debug, Error, Diagnostic)]
#[error("invalid settings: {message}")]
struct InvalidSettings {
    message: String,
    #[source_code]
    text: NamedSource<String>,
    #[label("here")]
    span: Option<SourceSpan>,
    #[help]
    help: &'static str,
}
