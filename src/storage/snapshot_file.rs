//! The snapshot file: body length (8 bytes), CRC-32 of the body (4), then the encoded
//! snapshot as body.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::consensus::Snapshot;

use super::{Allowance, StorageError, files, frame};

/// The largest snapshot file, including header and metadata.
const MAX_FILE_BYTES: usize = 80 << 20;

const HEADER_BYTES: usize = 12;

fn path(folder: &Path) -> PathBuf {
    folder.join("snapshot")
}

pub(super) fn read(folder: &Path) -> Result<Option<Arc<Snapshot>>, StorageError> {
    let path = path(folder);
    let Some(bytes) = files::read(&path, MAX_FILE_BYTES as u64)? else {
        return Ok(None);
    };
    let damaged = |at, problem: &str| StorageError::damaged(&path, at, problem);
    let Some((header, body)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Err(damaged(0, "the header is truncated"));
    };
    if header != self::header(body) {
        return Err(damaged(
            0,
            "the length or checksum in the header does not match the content",
        ));
    }
    let (snapshot, used) = frame::decode::<Snapshot, { 2 * MAX_FILE_BYTES }>(body)
        .map_err(|problem| damaged(HEADER_BYTES as u64, &problem))?;
    if used != body.len() {
        return Err(damaged(
            (HEADER_BYTES + used) as u64,
            "unexpected bytes follow the snapshot",
        ));
    }
    Ok(Some(Arc::new(snapshot)))
}

pub(super) fn write(
    folder: &Path,
    snapshot: &Snapshot,
    allowance: &Allowance,
) -> Result<(), StorageError> {
    let body = frame::encode(snapshot);
    if body.len() + HEADER_BYTES > MAX_FILE_BYTES {
        return Err(StorageError::TooLarge {
            size_bytes: body.len(),
            limit_bytes: MAX_FILE_BYTES,
        });
    }
    files::replace(folder, &path(folder), &[&header(&body), &body], allowance)
}

fn header(body: &[u8]) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..8].copy_from_slice(&(body.len() as u64).to_le_bytes());
    header[8..].copy_from_slice(&crc32fast::hash(body).to_le_bytes());
    header
}
