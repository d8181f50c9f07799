//! Revisions of a configuration, and how racing operators' changes join.
//!
//! An operator's directory starts from a revision, its base. What differs
//! from the base is what the operator changed. If nobody else changed those
//! files since, the change goes in on top of the newest revision, with the
//! newest texts of all other files. Otherwise the operator is told who
//! changed what.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::{Deserialize, Serialize};

use super::files::Files;

/// The number of a revision; 0 stands for no configuration at all.
pub type Number = u64;

/// One accepted revision, whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// Its number, one more than that of the revision before.
    pub number: Number,
    /// The operators' own label for it: their source revision.
    pub label: String,
    /// Who applied it.
    pub by: String,
    /// The declarations.
    pub files: Files,
}

/// What the platform keeps of the newest revision, without its texts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The newest revision's number.
    pub number: Number,
    /// The digest of its files.
    pub digest: String,
    /// For each path ever touched, who changed it last and in which revision.
    pub changes: BTreeMap<String, FileChange>,
}

/// The last change of a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileChange {
    /// The revision that brought the change.
    pub revision: Number,
    /// That revision's label.
    pub label: String,
    /// Who applied it.
    pub by: String,
}

/// Another operator changed the same files since the base.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// The files that both changed, and the others' last change of each.
    pub files: BTreeMap<String, FileChange>,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "changed by others since your base:")?;
        for (path, change) in &self.files {
            write!(
                f,
                "\n  {path}: revision {} by {} ({})",
                change.revision, change.by, change.label
            )?;
        }
        Ok(())
    }
}

impl std::error::Error for Conflict {}

/// Joins an operator's directory with the newest revision.
///
/// `base` is the revision that the directory started from, `newest` the one
/// in the platform now, described by `head`. Returns the next revision and
/// its head.
///
/// # Errors
///
/// If a file that the directory changed was changed since the base by
/// another revision, to a different text.
pub fn merge(
    base: &Files,
    base_number: Number,
    newest: &Files,
    head: &Head,
    directory: &Files,
    label: &str,
    by: &str,
) -> Result<(Revision, Head), Conflict> {
    let touched = differing_paths(base, directory);
    let mut conflicts = BTreeMap::new();
    let mut files = newest.clone();
    let mut next = head.clone();
    next.number += 1;
    for path in touched {
        if newest.get(&path) == directory.get(&path) {
            continue;
        }
        if let Some(change) = head.changes.get(&path)
            && change.revision > base_number
        {
            conflicts.insert(path, change.clone());
            continue;
        }
        match directory.get(&path) {
            Some(text) => files.insert(path.clone(), text),
            None => files.remove(&path),
        }
        let change = FileChange {
            revision: next.number,
            label: label.to_owned(),
            by: by.to_owned(),
        };
        next.changes.insert(path, change);
    }
    if !conflicts.is_empty() {
        return Err(Conflict { files: conflicts });
    }
    next.digest = files.digest();
    let revision = Revision {
        number: next.number,
        label: label.to_owned(),
        by: by.to_owned(),
        files,
    };
    Ok((revision, next))
}

/// Returns the paths whose texts differ between two sets of files.
pub fn differing_paths(left: &Files, right: &Files) -> BTreeSet<String> {
    let paths = left.iter().chain(right.iter()).map(|(path, _)| path);
    paths
        .filter(|path| left.get(path) != right.get(path))
        .map(str::to_owned)
        .collect()
}
