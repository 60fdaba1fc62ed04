use std::path::{Path, PathBuf};

use crate::consensus::Record;

/// Begins the name of a segment; the number of its first frame follows.
const PREFIX: &str = "log-";

/// One file of frames.
#[derive(Debug)]
pub(super) struct Segment {
    pub(super) path: PathBuf,
    pub(super) first_number: u64,
    /// The highest index of an entry in it, 0 for none.
    pub(super) last_index: u64,
}

impl Segment {
    /// A segment takes no further frame above this size.
    pub(super) const FULL_BYTES: u64 = 8 << 20;
    /// No segment is larger: a full one and the largest frame.
    pub(super) const LIMIT_BYTES: u64 = 2 * Self::FULL_BYTES;

    pub(super) fn new(folder: &Path, first_number: u64) -> Self {
        Self {
            path: folder.join(format!("{PREFIX}{first_number:020}")),
            first_number,
            last_index: 0,
        }
    }

    /// The segment with this file name, none if it names something else.
    pub(super) fn named(folder: &Path, name: &str) -> Option<Self> {
        let number = name.strip_prefix(PREFIX)?.parse().ok()?;
        Some(Self::new(folder, number))
    }

    /// Notes a record that is in it.
    pub(super) fn note(&mut self, record: &Record) {
        if let Record::Entry(entry) = record {
            self.last_index = self.last_index.max(entry.index);
        }
    }
}
