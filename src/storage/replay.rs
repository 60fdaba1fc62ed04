use std::path::Path;
use std::sync::Arc;

use crate::consensus::{Record, Recovered};

use super::frame::{self, PAYLOAD_LIMIT_BYTES, Read};
use super::segment::Segment;
use super::{StorageError, files};

/// Rebuilds what the segments say, one after the other.
#[derive(Debug)]
pub(super) struct Replay {
    pub(super) recovered: Recovered,
    /// The number of the next frame; none before the first segment.
    pub(super) next_number: Option<u64>,
}

impl Replay {
    pub(super) fn new(recovered: Recovered) -> Self {
        Self {
            recovered,
            next_number: None,
        }
    }

    /// Reads one segment; `last` if none follows, so that it may be torn. Returns
    /// its intact length in bytes.
    pub(super) fn read(&mut self, segment: &mut Segment, last: bool) -> Result<u64, StorageError> {
        let path = segment.path.clone();
        let next = *self.next_number.get_or_insert(segment.first_number);
        if next != segment.first_number {
            return Err(StorageError::damaged(
                &path,
                0,
                "a segment before it is gone",
            ));
        }
        let bytes = files::read(&path, Segment::LIMIT_BYTES)?.unwrap_or_default();
        let mut at = 0;
        loop {
            match frame::read(&bytes, at) {
                Read::Frame {
                    number,
                    payload,
                    bytes,
                } => {
                    self.frame(segment, number, payload)
                        .map_err(|found| StorageError::damaged(&path, at as u64, &found))?;
                    at += bytes;
                }
                Read::End => break,
                Read::Torn if last => break,
                Read::Torn => {
                    let found = "it ends too early, yet a segment follows it";
                    return Err(StorageError::damaged(&path, at as u64, found));
                }
                Read::Damaged(found) => {
                    return Err(StorageError::damaged(&path, at as u64, found));
                }
            }
        }
        Ok(at as u64)
    }

    fn frame(&mut self, segment: &mut Segment, number: u64, payload: &[u8]) -> Result<(), String> {
        let next = self.next_number.unwrap_or(number);
        if number != next {
            return Err(format!("write {number} stands where write {next} belongs"));
        }
        self.next_number = Some(number + 1);
        let mut rest = payload;
        while !rest.is_empty() {
            // The length in memory may be several times that in bytes.
            let (record, used) = frame::decode::<Record, { 8 * PAYLOAD_LIMIT_BYTES }>(rest)?;
            segment.note(&record);
            self.record(record)?;
            rest = &rest[used..];
        }
        Ok(())
    }

    fn record(&mut self, record: Record) -> Result<(), String> {
        match record {
            Record::Hard(hard) => self.recovered.hard = hard,
            Record::Truncate { from } => self.truncate(from),
            Record::Entry(entry) => {
                self.truncate(entry.index);
                let last = self.last_index();
                if entry.index > last + 1 {
                    return Err(format!("entry {} follows entry {last}", entry.index));
                }
                if entry.index > self.snapshot_index() {
                    self.recovered.entries.push(entry);
                }
            }
            Record::Snapshot(_) | Record::Identity { .. } => {
                return Err("a record that has a file of its own".to_owned());
            }
        }
        Ok(())
    }

    fn truncate(&mut self, from: u64) {
        let kept = self.recovered.entries.partition_point(|e| e.index < from);
        self.recovered.entries.truncate(kept);
    }

    fn snapshot_index(&self) -> u64 {
        let snapshot: Option<&Arc<_>> = self.recovered.snapshot.as_ref();
        snapshot.map_or(0, |s| s.index)
    }

    fn last_index(&self) -> u64 {
        let last = self.recovered.entries.last();
        last.map_or(self.snapshot_index(), |e| e.index)
    }
}

/// Cuts off what a crash left of a write that nobody was told of.
pub(super) fn cut(path: &Path, length_bytes: u64) -> Result<(), StorageError> {
    let file = std::fs::OpenOptions::new()
        .write(true)
        .open(path)
        .map_err(StorageError::io("open", path))?;
    file.set_len(length_bytes)
        .map_err(StorageError::io("cut", path))?;
    file.sync_all().map_err(StorageError::io("sync", path))
}
