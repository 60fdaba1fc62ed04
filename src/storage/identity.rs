//! The identity file, which holds the incarnation of a data folder: a random number drawn
//! at its creation. It distinguishes the folder from all others, including an earlier,
//! lost folder of the same entry instance.

use std::path::{Path, PathBuf};

use super::{Allowance, StorageError, files};

/// Upper bound on the size of an identity file.
const MAX_FILE_BYTES: u64 = 256;

pub(super) fn path(folder: &Path) -> PathBuf {
    folder.join("identity")
}

/// Reads the incarnation; returns `None` if the folder has no identity yet.
pub(super) fn read(folder: &Path) -> Result<Option<u64>, StorageError> {
    let path = path(folder);
    let Some(bytes) = files::read(&path, MAX_FILE_BYTES)? else {
        return Ok(None);
    };
    let damaged = || StorageError::damaged(&path, 0, "it is not an identity with a valid checksum");
    parse(&bytes).map(Some).ok_or_else(damaged)
}

pub(super) fn write(
    folder: &Path,
    incarnation: u64,
    allowance: &Allowance,
) -> Result<(), StorageError> {
    files::replace(
        folder,
        &path(folder),
        &[format_line(incarnation).as_bytes()],
        allowance,
    )
}

fn format_line(incarnation: u64) -> String {
    let number = format!("{incarnation:016x}");
    format!("{number} {:08x}\n", crc32fast::hash(number.as_bytes()))
}

fn parse(bytes: &[u8]) -> Option<u64> {
    let number = std::str::from_utf8(bytes).ok()?.split(' ').next()?;
    let incarnation = u64::from_str_radix(number, 16).ok()?;
    (format_line(incarnation).as_bytes() == bytes).then_some(incarnation)
}
