//! Files of the data folder: replaced whole or not at all.

use std::fs::{self, File};
use std::io::{ErrorKind, Read, Write};
use std::path::Path;

use super::StorageError;

/// Begins the name of a file that is not finished yet.
const UNFINISHED: &str = "unfinished-";

/// Makes the folder's list of files durable. Without it a file that was itself
/// synced can be missing after a crash.
pub(super) fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let opened = File::open(folder).map_err(StorageError::io("open", folder))?;
    opened.sync_all().map_err(StorageError::io("sync", folder))
}

/// Puts a file with these parts in place of the one at `path`, synced.
pub(super) fn replace(folder: &Path, path: &Path, parts: &[&[u8]]) -> Result<(), StorageError> {
    let mut file = tempfile::Builder::new()
        .prefix(UNFINISHED)
        .tempfile_in(folder)
        .map_err(StorageError::io("create a file in", folder))?;
    for part in parts {
        file.write_all(part)
            .map_err(StorageError::io("write", path))?;
    }
    let handle = file.as_file();
    handle.sync_all().map_err(StorageError::io("sync", path))?;
    file.persist(path)
        .map_err(|e| StorageError::io("replace", path)(e.error))?;
    sync_folder(folder)
}

/// The file's bytes, none if there is no such file. Refuses one above
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
        return Err(StorageError::damaged(path, limit_bytes, "it is too large"));
    }
    Ok(Some(bytes))
}

/// The names in the folder, in order. Removes what a crash left unfinished.
pub(super) fn list(folder: &Path) -> Result<Vec<String>, StorageError> {
    let mut names = Vec::new();
    for entry in fs::read_dir(folder).map_err(StorageError::io("list", folder))? {
        let entry = entry.map_err(StorageError::io("list", folder))?;
        let name = entry.file_name().to_string_lossy().into_owned();
        if name.starts_with(UNFINISHED) {
            let path = entry.path();
            fs::remove_file(&path).map_err(StorageError::io("remove", &path))?;
        } else {
            names.push(name);
        }
    }
    names.sort_unstable();
    Ok(names)
}
