use std::path::{Path, PathBuf};

use crate::consensus::Record;

/// Prefix of segment file names; the number of the first frame follows.
const FILE_NAME_PREFIX: &str = "log-";

/// A log file, which consists of consecutive frames.
#[derive(Debug)]
pub(super) struct Segment {
    pub(super) path: PathBuf,
    /// Number of the first frame.
    pub(super) first_frame_number: u64,
    /// The highest entry index in the segment; 0 without entries.
    pub(super) last_index: u64,
}

impl Segment {
    /// Size from which on further frames go to a new segment.
    pub(super) const ROLL_THRESHOLD_BYTES: u64 = 8 << 20;
    /// Bounds the size of a segment: the threshold plus the largest frame stays below it.
    pub(super) const MAX_BYTES: u64 = 2 * Self::ROLL_THRESHOLD_BYTES;

    pub(super) fn new(folder: &Path, first_frame_number: u64) -> Self {
        Self {
            path: folder.join(format!("{FILE_NAME_PREFIX}{first_frame_number:020}")),
            first_frame_number,
            last_index: 0,
        }
    }

    /// Returns the segment with this file name, or `None` if it is not a segment's name.
    pub(super) fn from_file_name(folder: &Path, name: &str) -> Option<Self> {
        let number = name.strip_prefix(FILE_NAME_PREFIX)?.parse().ok()?;
        Some(Self::new(folder, number))
    }

    /// Updates `last_index` for a record in this segment.
    pub(super) fn observe(&mut self, record: &Record) {
        if let Record::Entry(entry) = record {
            self.last_index = self.last_index.max(entry.index);
        }
    }
}
