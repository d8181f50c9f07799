//! Reading settings from TOML files, with errors that name the place.

use std::path::Path;

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Settings that can be read from a file.
pub trait FileSettings: DeserializeOwned {
    /// Where all settings are described.
    const HELP: &'static str;

    /// How a file is named, for one that cannot be read.
    const HOW_TO_NAME: &'static str;

    /// Returns what is wrong with values that are each of the right type.
    fn fault(&self) -> Option<&'static str>;

    /// Reads settings from their text; `name` is the file's, for errors.
    ///
    /// # Errors
    ///
    /// If the text is not TOML, lacks a setting, or has one that is unknown
    /// or out of its range.
    fn from_toml(name: &str, text: &str) -> Result<Self, SettingsError> {
        let fail = |message: String, span: Option<SourceSpan>| {
            SettingsError(Box::new(SettingsFault {
                message,
                text: NamedSource::new(name, text.to_owned()),
                span,
                help: Self::HELP,
            }))
        };
        let settings: Self = toml::from_str(text).map_err(|e| {
            fail(e.message().to_owned(), e.span().map(Into::into))
        })?;
        match settings.fault() {
            Some(fault) => Err(fail(fault.to_owned(), None)),
            None => Ok(settings),
        }
    }

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or as [`FileSettings::from_toml`].
    fn from_file(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::from_toml(&name, &text),
            Err(error) => Err(SettingsError(Box::new(SettingsFault {
                message: format!("{name} cannot be read: {error}"),
                text: NamedSource::new(name, String::new()),
                span: None,
                help: Self::HOW_TO_NAME,
            }))),
        }
    }
}

/// What is wrong with a settings file.
#[derive(Debug, Error, Diagnostic)]
#[error(transparent)]
#[diagnostic(transparent)]
pub struct SettingsError(Box<SettingsFault>);

#[derive(Debug, Error, Diagnostic)]
#[error("the settings do not hold: {message}")]
struct SettingsFault {
    message: String,
    #[source_code]
    text: NamedSource<String>,
    #[label("here")]
    span: Option<SourceSpan>,
    #[help]
    help: &'static str,
}
