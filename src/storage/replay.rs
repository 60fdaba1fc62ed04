use std::path::Path;
use std::sync::Arc;

use crate::consensus::{Record, Recovered};

use super::frame::{self, FrameRead, MAX_PAYLOAD_BYTES};
use super::segment::Segment;
use super::{StorageError, files};

/// Rebuilds the state of a data folder from its segments in order.
#[derive(Debug)]
pub(super) struct Replay {
    pub(super) recovered: Recovered,
    /// Expected number of the next frame; `None` before the first segment.
    pub(super) next_frame_number: Option<u64>,
}

impl Replay {
    pub(super) fn new(recovered: Recovered) -> Self {
        Self {
            recovered,
            next_frame_number: None,
        }
    }

    /// Replays one segment and returns its intact length in bytes. Only the last segment
    /// may have a torn tail.
    pub(super) fn read_segment(
        &mut self,
        segment: &mut Segment,
        is_last: bool,
    ) -> Result<u64, StorageError> {
        let path = segment.path.clone();
        let next = *self
            .next_frame_number
            .get_or_insert(segment.first_frame_number);
        if next != segment.first_frame_number {
            return Err(StorageError::damaged(
                &path,
                0,
                "the segment before it is missing",
            ));
        }
        let bytes = files::read(&path, Segment::MAX_BYTES)?.unwrap_or_default();
        let mut at = 0;
        loop {
            match frame::read(&bytes, at) {
                FrameRead::Frame {
                    number,
                    payload,
                    bytes,
                } => {
                    self.replay_frame(segment, number, payload)
                        .map_err(|problem| StorageError::damaged(&path, at as u64, &problem))?;
                    at += bytes;
                }
                FrameRead::End => break,
                FrameRead::Torn if is_last => break,
                FrameRead::Torn => {
                    let problem = "it ends in a partial write, but another segment follows";
                    return Err(StorageError::damaged(&path, at as u64, problem));
                }
                FrameRead::Damaged(problem) => {
                    return Err(StorageError::damaged(&path, at as u64, problem));
                }
            }
        }
        Ok(at as u64)
    }

    fn replay_frame(
        &mut self,
        segment: &mut Segment,
        number: u64,
        payload: &[u8],
    ) -> Result<(), String> {
        let next = self.next_frame_number.unwrap_or(number);
        if number != next {
            return Err(format!(
                "found write {number} where write {next} is expected"
            ));
        }
        self.next_frame_number = Some(number + 1);
        let mut rest = payload;
        while !rest.is_empty() {
            // A record can take several times its encoded size in memory.
            let (record, used) = frame::decode::<Record, { 8 * MAX_PAYLOAD_BYTES }>(rest)?;
            segment.observe(&record);
            self.apply_record(record)?;
            rest = &rest[used..];
        }
        Ok(())
    }

    fn apply_record(&mut self, record: Record) -> Result<(), String> {
        match record {
            Record::Hard(hard) => self.recovered.hard = hard,
            Record::Truncate { from } => self.truncate(from),
            Record::Entry(entry) => {
                self.truncate(entry.index);
                let last = self.last_index();
                if entry.index > last + 1 {
                    return Err(format!(
                        "entry {} follows entry {last}: entries between them are missing",
                        entry.index
                    ));
                }
                if entry.index > self.snapshot_index() {
                    self.recovered.entries.push(entry);
                }
            }
            Record::Snapshot(_) | Record::Identity { .. } => {
                return Err(
                    "a snapshot or identity record is in the log; each has a file of its own"
                        .to_owned(),
                );
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

/// Truncates the partial write that a crash left; it was never acknowledged.
pub(super) fn truncate_file(path: &Path, length_bytes: u64) -> Result<(), StorageError> {
    let file = std::fs::OpenOptions::new()
        .write(true)
        .open(path)
        .map_err(StorageError::io("open", path))?;
    file.set_len(length_bytes)
        .map_err(StorageError::io("truncate", path))?;
    file.sync_all().map_err(StorageError::io("sync", path))
}
