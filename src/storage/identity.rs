//! The file that tells one data folder from every other, also from one of the
//! same entry instance that was lost: a number drawn at random at its creation.

use std::path::{Path, PathBuf};

use super::{StorageError, files};

/// More than any identity file has.
const LIMIT_BYTES: u64 = 256;

pub(super) fn path(folder: &Path) -> PathBuf {
    folder.join("identity")
}

/// The incarnation, none if the folder has no identity yet.
pub(super) fn read(folder: &Path) -> Result<Option<u64>, StorageError> {
    let path = path(folder);
    let Some(bytes) = files::read(&path, LIMIT_BYTES)? else {
        return Ok(None);
    };
    let damaged = || StorageError::damaged(&path, 0, "it is not an identity with its checksum");
    parse(&bytes).map(Some).ok_or_else(damaged)
}

pub(super) fn write(folder: &Path, incarnation: u64) -> Result<(), StorageError> {
    files::replace(folder, &path(folder), &[line(incarnation).as_bytes()])
}

fn line(incarnation: u64) -> String {
    let number = format!("{incarnation:016x}");
    format!("{number} {:08x}\n", crc32fast::hash(number.as_bytes()))
}

fn parse(bytes: &[u8]) -> Option<u64> {
    let number = std::str::from_utf8(bytes).ok()?.split(' ').next()?;
    let incarnation = u64::from_str_radix(number, 16).ok()?;
    (line(incarnation).as_bytes() == bytes).then_some(incarnation)
}
