//! File operations in the data folder. Files are replaced atomically.

use std::fs::{self, File};
use std::io::{ErrorKind, Read};
use std::path::Path;

use super::{Allowance, StorageError};

/// Name prefix of temporary files, which a crash can leave behind.
const TEMP_FILE_PREFIX: &str = "unfinished-";

/// Syncs the folder's directory entries. Without this, a file that was itself synced can
/// be missing after a crash.
pub(super) fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let opened = File::open(folder).map_err(StorageError::io("open", folder))?;
    opened.sync_all().map_err(StorageError::io("sync", folder))
}

/// Atomically replaces the file at `path` by one that consists of these parts, and syncs it.
///
/// # Errors
/// Returns [`StorageError::Full`] if the disk has no room. The file at `path` is unchanged
/// then.
pub(super) fn replace(
    folder: &Path,
    path: &Path,
    parts: &[&[u8]],
    allowance: &Allowance,
) -> Result<(), StorageError> {
    let mut file = tempfile::Builder::new()
        .prefix(TEMP_FILE_PREFIX)
        .tempfile_in(folder)
        .map_err(StorageError::write("create a file in", folder))?;
    for part in parts {
        allowance
            .write_all(&mut file, part)
            .map_err(StorageError::write("write", path))?;
    }
    let handle = file.as_file();
    handle.sync_all().map_err(StorageError::io("sync", path))?;
    file.persist(path)
        .map_err(|e| StorageError::io("replace", path)(e.error))?;
    sync_folder(folder)
}

/// Reads a file; returns `None` if it does not exist. Refuses a file that is larger than
/// `limit_bytes`.
pub(super) fn read(path: &Path, limit_bytes: u64) -> Result<Option<Vec<u8>>, StorageError> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(StorageError::io("open", path)(e)),
    };
    let mut bytes = Vec::new();
    file.take(limit_bytes + 1)
        .read_to_end(&mut bytes)
        .map_err(StorageError::io("read", path))?;
    if bytes.len() as u64 > limit_bytes {
        return Err(StorageError::damaged(
            path,
            limit_bytes,
            "the file is too large",
        ));
    }
    Ok(Some(bytes))
}

/// Lists the file names in the folder in sorted order. Removes temporary files that a
/// crash left behind.
pub(super) fn list(folder: &Path) -> Result<Vec<String>, StorageError> {
    let mut names = Vec::new();
    for entry in fs::read_dir(folder).map_err(StorageError::io("list", folder))? {
        let entry = entry.map_err(StorageError::io("list", folder))?;
        let name = entry.file_name().to_string_lossy().into_owned();
        if name.starts_with(TEMP_FILE_PREFIX) {
            let path = entry.path();
            fs::remove_file(&path).map_err(StorageError::io("remove", &path))?;
        } else {
            names.push(name);
        }
    }
    names.sort_unstable();
    Ok(names)
}
