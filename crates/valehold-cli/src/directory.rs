//! Directories of declarations on disk.

use std::{fs, io, path::Path};

use valehold_core::config::{DEPLOYMENT_FILE, Files, Number};

use crate::error::{FAILED, Failure};

/// The folders whose files are declarations.
const FOLDERS: [&str; 2] = ["templates", "workspaces"];

/// The file that holds the number of the revision a directory started from.
const BASE_FILE: &str = ".valehold-base";

/// Reads the declarations of a directory.
pub fn read(directory: &Path) -> Result<Files, Failure> {
    let mut files = Files::new();
    read_file(directory, DEPLOYMENT_FILE, &mut files)?;
    for folder in FOLDERS {
        let entries = match fs::read_dir(directory.join(folder)) {
            Ok(entries) => entries,
            Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
            Err(e) => return Err(failed(&directory.join(folder), &e)),
        };
        for entry in entries {
            let name = entry?.file_name();
            let Some(name) = name.to_str() else { continue };
            if name.ends_with(".toml") {
                let path = format!("{folder}/{name}");
                read_file(directory, &path, &mut files)?;
            }
        }
    }
    Ok(files)
}

fn read_file(
    directory: &Path,
    path: &str,
    files: &mut Files,
) -> Result<(), Failure> {
    let full = directory.join(path);
    match fs::read_to_string(&full) {
        Ok(text) => files.insert(path, text),
        // The check says that the file is missing, and how to mend it.
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        Err(e) => return Err(failed(&full, &e)),
    }
    Ok(())
}

/// Writes declarations into a directory. Other files there stay.
pub fn write(directory: &Path, files: &Files) -> Result<(), Failure> {
    for folder in FOLDERS {
        fs::create_dir_all(directory.join(folder))?;
    }
    for (path, text) in files.iter() {
        let full = directory.join(path);
        fs::write(&full, text).map_err(|e| failed(&full, &e))?;
    }
    Ok(())
}

/// Reads the number of the revision that a directory started from.
pub fn base(directory: &Path) -> Option<Number> {
    let text = fs::read_to_string(directory.join(BASE_FILE)).ok()?;
    text.trim().parse().ok()
}

/// Notes the number of the revision that a directory now stands for.
pub fn set_base(directory: &Path, number: Number) -> Result<(), Failure> {
    let full = directory.join(BASE_FILE);
    fs::write(&full, format!("{number}\n")).map_err(|e| failed(&full, &e))
}

fn failed(path: &Path, error: &io::Error) -> Failure {
    Failure::message(FAILED, format!("{}: {error}", path.display()))
}
