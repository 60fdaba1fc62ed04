use std::fs::{self, File, OpenOptions, TryLockError};
use std::path::{Path, PathBuf};

use crate::consensus::{HardState, Record, Recovered};

use super::frame::{self, MAX_PAYLOAD_BYTES};
use super::replay::{self, Replay};
use super::segment::Segment;
use super::{Allowance, StorageError, files, identity, snapshot_file};

/// An open data folder. A lock file ensures that only one process has it open.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    /// Held while the folder is open: two processes with the same identity could vote
    /// twice in a term.
    _lock: File,
    /// Oldest first; writes go to the last one.
    segments: Vec<Segment>,
    file: File,
    file_bytes: u64,
    next_frame_number: u64,
    /// The latest term and vote. Each new segment starts with them, so that older
    /// segments can be deleted.
    hard: HardState,
    /// Payload of the next frame.
    payload: Vec<u8>,
    /// Records of the batches being written that need no more work but the last sync.
    written: usize,
    allowance: Allowance,
    /// Number of log syncs since the folder was opened, for measurements.
    syncs: u64,
}

impl Disk {
    /// Opens the folder, which is created with a new identity if it does not exist, and
    /// recovers its state.
    ///
    /// # Errors
    /// Returns an error if the folder is in use, cannot be read or written, or is
    /// inconsistent. A torn tail is truncated and is no error.
    pub fn open(folder: &Path) -> Result<(Self, Recovered), StorageError> {
        fs::create_dir_all(folder).map_err(StorageError::io("create", folder))?;
        let lock = lock_folder(folder)?;
        let names = files::list(folder)?;
        let parse = |name: &String| Segment::from_file_name(folder, name);
        let mut segments: Vec<Segment> = names.iter().filter_map(parse).collect();
        let recovered = Recovered {
            incarnation: Some(load_or_create_identity(folder, &mut segments)?),
            snapshot: snapshot_file::read(folder)?,
            ..Recovered::default()
        };
        let mut replay = Replay::new(recovered);
        let mut length_bytes = 0;
        let count = segments.len();
        for (position, segment) in segments.iter_mut().enumerate() {
            length_bytes = replay.read_segment(segment, position + 1 == count)?;
        }
        let Some(last) = segments.last() else {
            let path = identity::path(folder);
            return Err(StorageError::damaged(
                &path,
                0,
                "the log files next to it are missing",
            ));
        };
        replay::truncate_file(&last.path, length_bytes)?;
        let mut disk = Self {
            file: open_for_append(&last.path)?,
            folder: folder.to_path_buf(),
            _lock: lock,
            file_bytes: length_bytes,
            next_frame_number: replay.next_frame_number.unwrap_or_default(),
            hard: replay.recovered.hard.clone(),
            segments,
            payload: Vec::new(),
            written: 0,
            allowance: Allowance::default(),
            syncs: 0,
        };
        if length_bytes == 0 {
            disk.write_segment_start()?;
        }
        Ok((disk, replay.recovered))
    }

    /// Writes the records of all batches in order and syncs them. One sync is enough
    /// unless there are snapshots or identities among them, or more than one frame holds.
    ///
    /// # Errors
    /// Returns [`StorageError::Full`] if the disk has no room; [`Self::resume`] tries again.
    /// After any other error what was written is unknown, so the process must stop.
    pub fn persist(&mut self, batches: &[&[Record]]) -> Result<(), StorageError> {
        self.written = 0;
        self.resume(batches)
    }

    /// Continues to write the same batches after the disk had no room for some of them.
    ///
    /// # Errors
    /// As for [`Self::persist`].
    pub fn resume(&mut self, batches: &[&[Record]]) -> Result<(), StorageError> {
        let records = batches.iter().copied().flatten();
        for record in records.skip(self.written) {
            match record {
                Record::Snapshot(snapshot) => {
                    // Records that void log entries must be durable before the snapshot
                    // that depends on them.
                    self.flush()?;
                    snapshot_file::write(&self.folder, snapshot, &self.allowance)?;
                    self.roll()?;
                    self.delete_covered_segments(snapshot.index)?;
                }
                Record::Identity { incarnation } => {
                    self.flush()?;
                    identity::write(&self.folder, *incarnation, &self.allowance)?;
                }
                Record::Hard(_) | Record::Entry(_) | Record::Truncate { .. } => {
                    self.buffer(record)?
                }
            }
            self.written += 1;
        }
        self.flush()
    }

    /// Returns the limit on what is written to the folder.
    pub fn allowance(&self) -> &Allowance {
        &self.allowance
    }

    /// Returns the path of the data folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the number of log syncs since the folder was opened.
    pub fn syncs(&self) -> u64 {
        self.syncs
    }

    /// Adds the record to the next frame.
    fn buffer(&mut self, record: &Record) -> Result<(), StorageError> {
        let bytes = frame::encode(record);
        if bytes.len() > MAX_PAYLOAD_BYTES {
            return Err(StorageError::TooLarge {
                size_bytes: bytes.len(),
                limit_bytes: MAX_PAYLOAD_BYTES,
            });
        }
        if self.payload.len() + bytes.len() > MAX_PAYLOAD_BYTES {
            self.flush()?;
        }
        if self.file_bytes >= Segment::ROLL_THRESHOLD_BYTES && self.payload.is_empty() {
            self.roll()?;
        }
        if let Record::Hard(hard) = record {
            self.hard = hard.clone();
        }
        if let Some(segment) = self.segments.last_mut() {
            segment.observe(record);
        }
        self.payload.extend_from_slice(&bytes);
        Ok(())
    }

    /// Writes and syncs the next frame, if it has any records.
    fn flush(&mut self) -> Result<(), StorageError> {
        if self.payload.is_empty() {
            return Ok(());
        }
        let mut bytes = Vec::with_capacity(frame::HEADER_BYTES + self.payload.len());
        frame::write(&mut bytes, self.next_frame_number, &self.payload);
        let path = self.segments.last().map_or(&self.folder, |s| &s.path);
        if let Err(err) = self.allowance.write_all(&mut self.file, &bytes) {
            // A part of the frame may be there. Only what was never synced is undone, so no
            // failed sync is passed over.
            self.file
                .set_len(self.file_bytes)
                .map_err(StorageError::io("truncate", path))?;
            return Err(StorageError::write("write", path)(err));
        }
        self.file
            .sync_data()
            .map_err(StorageError::io("sync", path))?;
        self.payload.clear();
        self.next_frame_number += 1;
        self.file_bytes += bytes.len() as u64;
        self.syncs += 1;
        Ok(())
    }

    /// Starts a new segment.
    fn roll(&mut self) -> Result<(), StorageError> {
        let segment = Segment::new(&self.folder, self.next_frame_number);
        let file = open_for_append(&segment.path)?;
        files::sync_folder(&self.folder)?;
        self.file = file;
        self.file_bytes = 0;
        self.segments.push(segment);
        self.write_segment_start()
    }

    fn write_segment_start(&mut self) -> Result<(), StorageError> {
        self.payload = frame::encode(&Record::Hard(self.hard.clone()));
        self.flush()
    }

    /// Deletes the oldest segments whose entries are all covered by the snapshot.
    fn delete_covered_segments(&mut self, snapshot_index: u64) -> Result<(), StorageError> {
        while self.segments.len() > 1 && self.segments[0].last_index <= snapshot_index {
            let path = self.segments.remove(0).path;
            fs::remove_file(&path).map_err(StorageError::io("remove", &path))?;
        }
        files::sync_folder(&self.folder)
    }
}

fn lock_folder(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join("lock");
    let file = open_for_append(&path)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StorageError::InUse { path }),
        Err(TryLockError::Error(e)) => Err(StorageError::io("lock", &path)(e)),
    }
}

fn open_for_append(path: &Path) -> Result<File, StorageError> {
    let mut options = OpenOptions::new();
    let opened = options.create(true).append(true).open(path);
    opened.map_err(StorageError::write("open", path))
}

/// Returns the folder's incarnation, and creates the identity of a new folder.
///
/// The first segment is created before the identity, so a folder with an identity but
/// without a log has lost its log.
fn load_or_create_identity(
    folder: &Path,
    segments: &mut Vec<Segment>,
) -> Result<u64, StorageError> {
    if let Some(incarnation) = identity::read(folder)? {
        return Ok(incarnation);
    }
    let non_empty = segments
        .iter()
        .find(|s| fs::metadata(&s.path).map_or(true, |m| m.len() > 0));
    if let Some(segment) = non_empty {
        let problem = "the identity file next to the log is missing";
        return Err(StorageError::damaged(&segment.path, 0, problem));
    }
    *segments = vec![Segment::new(folder, 1)];
    open_for_append(&segments[0].path)?;
    files::sync_folder(folder)?;
    let incarnation = rand::random();
    identity::write(folder, incarnation, &Allowance::default())?;
    Ok(incarnation)
}
