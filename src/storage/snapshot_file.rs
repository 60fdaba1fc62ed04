//! The snapshot's file: length (8 bytes), checksum (4), then the snapshot.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::consensus::Snapshot;

use super::{StorageError, files, frame};

/// The largest snapshot, with what surrounds the state's bytes.
const LIMIT_BYTES: usize = 80 << 20;

const HEADER_BYTES: usize = 12;

fn path(folder: &Path) -> PathBuf {
    folder.join("snapshot")
}

pub(super) fn read(folder: &Path) -> Result<Option<Arc<Snapshot>>, StorageError> {
    let path = path(folder);
    let Some(bytes) = files::read(&path, LIMIT_BYTES as u64)? else {
        return Ok(None);
    };
    let damaged = |at, found: &str| StorageError::damaged(&path, at, found);
    let Some((header, body)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Err(damaged(0, "its header is cut short"));
    };
    if header != self::header(body) {
        return Err(damaged(0, "length or checksum differ from its bytes"));
    }
    let (snapshot, used) = frame::decode::<Snapshot, { 2 * LIMIT_BYTES }>(body)
        .map_err(|found| damaged(HEADER_BYTES as u64, &found))?;
    if used != body.len() {
        return Err(damaged((HEADER_BYTES + used) as u64, "bytes too many"));
    }
    Ok(Some(Arc::new(snapshot)))
}

pub(super) fn write(folder: &Path, snapshot: &Snapshot) -> Result<(), StorageError> {
    let body = frame::encode(snapshot);
    if body.len() + HEADER_BYTES > LIMIT_BYTES {
        return Err(StorageError::TooLarge {
            size_bytes: body.len(),
            limit_bytes: LIMIT_BYTES,
        });
    }
    files::replace(folder, &path(folder), &[&header(&body), &body])
}

fn header(body: &[u8]) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..8].copy_from_slice(&(body.len() as u64).to_le_bytes());
    header[8..].copy_from_slice(&crc32fast::hash(body).to_le_bytes());
    header
}
