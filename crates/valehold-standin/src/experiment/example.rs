//! The shipped examples, as the experiments' deployments.

use std::path::Path;

use valehold_core::config::{Config, Files};

use super::User;

/// Reads a user's example from the repository.
///
/// # Panics
///
/// If the repository is not there, or the example does not hold.
pub fn example(user: User) -> Config {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut files = Files::new();
    for folder in ["", "templates", "workspaces"] {
        let entries =
            std::fs::read_dir(root.join(user.example()).join(folder));
        for entry in entries.expect("the example is there") {
            let path = entry.expect("the folder can be read").path();
            if let (true, Some(file)) = (path.is_file(), path.file_name()) {
                let inner = Path::new(folder).join(file);
                let text = std::fs::read_to_string(&path);
                files.insert(
                    inner.to_string_lossy(),
                    text.expect("the file can be read"),
                );
            }
        }
    }
    Config::try_from_files(&files).expect("the example holds")
}
