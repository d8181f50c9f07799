//! The texts of a directory of declarations.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::digest::hexadecimal;

/// The path of the file that declares the deployment.
pub const DEPLOYMENT_FILE: &str = "deployment.toml";

/// Declarations as texts, by their paths below the directory.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Files(BTreeMap<String, String>);

impl Files {
    /// Makes an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or replaces a file.
    pub fn insert(
        &mut self,
        path: impl Into<String>,
        text: impl Into<String>,
    ) {
        self.0.insert(path.into(), text.into());
    }

    /// Removes a file.
    pub fn remove(&mut self, path: &str) {
        self.0.remove(path);
    }

    /// Returns a file's text.
    pub fn get(&self, path: &str) -> Option<&str> {
        self.0.get(path).map(String::as_str)
    }

    /// Returns the files in a folder: name without ending, path and text.
    pub fn in_folder<'a>(
        &'a self,
        folder: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a str, &'a str)> {
        self.0.iter().filter_map(move |(path, text)| {
            let rest = path.strip_prefix(folder)?.strip_prefix('/')?;
            let name = rest.strip_suffix(".toml")?;
            Some((name, path.as_str(), text.as_str()))
        })
    }

    /// Returns every path with its text.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(path, text)| (path.as_str(), text.as_str()))
    }

    /// Returns a digest of all paths and texts, in hexadecimal.
    pub fn digest(&self) -> String {
        let mut hasher = Sha256::new();
        for (path, text) in &self.0 {
            // Lengths keep two different sets from hashing the same bytes.
            hasher.update((path.len() as u64).to_le_bytes());
            hasher.update(path);
            hasher.update((text.len() as u64).to_le_bytes());
            hasher.update(text);
        }
        hexadecimal(&hasher.finalize())
    }
}

/// Returns the SHA-256 digest of a text, in hexadecimal.
pub(crate) fn text_digest(text: &str) -> String {
    hexadecimal(&Sha256::digest(text))
}
