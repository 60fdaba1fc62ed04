use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::Write;
use std::path::{Path, PathBuf};

use crate::consensus::{HardState, Record, Recovered};

use super::frame::{self, PAYLOAD_LIMIT_BYTES};
use super::replay::{self, Replay};
use super::segment::Segment;
use super::{StorageError, files, identity, snapshot_file};

/// An open data folder. At most one process has it open.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    /// Held while the folder is open: two processes with one identity would vote
    /// twice.
    _lock: File,
    /// Oldest first; the last one is written to.
    segments: Vec<Segment>,
    file: File,
    file_bytes: u64,
    next_number: u64,
    /// The latest term and vote, which each new segment begins with, so that the
    /// older ones can be deleted.
    hard: HardState,
    payload: Vec<u8>,
    /// Syncs of the log so far, for measurements.
    syncs: u64,
}

impl Disk {
    /// Opens the folder, creating it and its identity if it is new, and reads
    /// what it remembers.
    ///
    /// # Errors
    /// Anything that does not add up, but for a torn tail, which is cut.
    pub fn open(folder: &Path) -> Result<(Self, Recovered), StorageError> {
        fs::create_dir_all(folder).map_err(StorageError::io("create", folder))?;
        let lock = lock(folder)?;
        let names = files::list(folder)?;
        let named = |name: &String| Segment::named(folder, name);
        let mut segments: Vec<Segment> = names.iter().filter_map(named).collect();
        let recovered = Recovered {
            incarnation: Some(incarnation(folder, &mut segments)?),
            snapshot: snapshot_file::read(folder)?,
            ..Recovered::default()
        };
        let mut replay = Replay::new(recovered);
        let mut length_bytes = 0;
        let count = segments.len();
        for (place, segment) in segments.iter_mut().enumerate() {
            length_bytes = replay.read(segment, place + 1 == count)?;
        }
        let Some(last) = segments.last() else {
            let path = identity::path(folder);
            return Err(StorageError::damaged(&path, 0, "the log beside it is gone"));
        };
        replay::cut(&last.path, length_bytes)?;
        let mut disk = Self {
            file: append_to(&last.path)?,
            folder: folder.to_path_buf(),
            _lock: lock,
            file_bytes: length_bytes,
            next_number: replay.next_number.unwrap_or_default(),
            hard: replay.recovered.hard.clone(),
            segments,
            payload: Vec::new(),
            syncs: 0,
        };
        if length_bytes == 0 {
            disk.begin_segment()?;
        }
        Ok((disk, replay.recovered))
    }

    /// Writes the records of all batches in order and syncs them, with one sync
    /// unless a snapshot, an identity or the largest frame comes between.
    ///
    /// # Errors
    /// After an error it is not known what was written: the process has to stop.
    pub fn persist(&mut self, batches: &[&[Record]]) -> Result<(), StorageError> {
        for record in batches.iter().copied().flatten() {
            match record {
                Record::Snapshot(snapshot) => {
                    // What the snapshot voids must be void before it is there.
                    self.flush()?;
                    snapshot_file::write(&self.folder, snapshot)?;
                    self.roll()?;
                    self.drop_segments(snapshot.index)?;
                }
                Record::Identity { incarnation } => {
                    self.flush()?;
                    identity::write(&self.folder, *incarnation)?;
                }
                Record::Hard(_) | Record::Entry(_) | Record::Truncate { .. } => self.add(record)?,
            }
        }
        self.flush()
    }

    /// The folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Syncs of the log since it was opened.
    pub fn syncs(&self) -> u64 {
        self.syncs
    }

    /// Puts the record into the next frame.
    fn add(&mut self, record: &Record) -> Result<(), StorageError> {
        let bytes = frame::encode(record);
        if bytes.len() > PAYLOAD_LIMIT_BYTES {
            return Err(StorageError::TooLarge {
                size_bytes: bytes.len(),
                limit_bytes: PAYLOAD_LIMIT_BYTES,
            });
        }
        if self.payload.len() + bytes.len() > PAYLOAD_LIMIT_BYTES {
            self.flush()?;
        }
        if self.file_bytes >= Segment::FULL_BYTES && self.payload.is_empty() {
            self.roll()?;
        }
        if let Record::Hard(hard) = record {
            self.hard = hard.clone();
        }
        if let Some(segment) = self.segments.last_mut() {
            segment.note(record);
        }
        self.payload.extend_from_slice(&bytes);
        Ok(())
    }

    /// Writes the frame and syncs it, if there is anything in it.
    fn flush(&mut self) -> Result<(), StorageError> {
        if self.payload.is_empty() {
            return Ok(());
        }
        let mut bytes = Vec::with_capacity(frame::HEADER_BYTES + self.payload.len());
        frame::write(&mut bytes, self.next_number, &self.payload);
        let path = self.segments.last().map_or(&self.folder, |s| &s.path);
        self.file
            .write_all(&bytes)
            .map_err(StorageError::io("write", path))?;
        self.file
            .sync_data()
            .map_err(StorageError::io("sync", path))?;
        self.payload.clear();
        self.next_number += 1;
        self.file_bytes += bytes.len() as u64;
        self.syncs += 1;
        Ok(())
    }

    /// Begins a new segment.
    fn roll(&mut self) -> Result<(), StorageError> {
        let segment = Segment::new(&self.folder, self.next_number);
        self.file = append_to(&segment.path)?;
        self.file_bytes = 0;
        self.segments.push(segment);
        self.begin_segment()?;
        files::sync_folder(&self.folder)
    }

    fn begin_segment(&mut self) -> Result<(), StorageError> {
        self.payload = frame::encode(&Record::Hard(self.hard.clone()));
        self.flush()
    }

    /// Deletes the oldest segments as long as the snapshot holds all of theirs.
    fn drop_segments(&mut self, snapshot_index: u64) -> Result<(), StorageError> {
        while self.segments.len() > 1 && self.segments[0].last_index <= snapshot_index {
            let path = self.segments.remove(0).path;
            fs::remove_file(&path).map_err(StorageError::io("remove", &path))?;
        }
        files::sync_folder(&self.folder)
    }
}

fn lock(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join("lock");
    let file = append_to(&path)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StorageError::InUse { path }),
        Err(TryLockError::Error(e)) => Err(StorageError::io("lock", &path)(e)),
    }
}

fn append_to(path: &Path) -> Result<File, StorageError> {
    let mut options = OpenOptions::new();
    let opened = options.create(true).append(true).open(path);
    opened.map_err(StorageError::io("open", path))
}

/// The folder's incarnation. A new folder gets its first segment, then its
/// identity: one that has an identity and no log has lost it.
fn incarnation(folder: &Path, segments: &mut Vec<Segment>) -> Result<u64, StorageError> {
    if let Some(incarnation) = identity::read(folder)? {
        return Ok(incarnation);
    }
    let used = segments
        .iter()
        .find(|s| fs::metadata(&s.path).map_or(true, |m| m.len() > 0));
    if let Some(segment) = used {
        let found = "there is a log and no identity beside it";
        return Err(StorageError::damaged(&segment.path, 0, found));
    }
    *segments = vec![Segment::new(folder, 1)];
    append_to(&segments[0].path)?;
    files::sync_folder(folder)?;
    let incarnation = rand::random();
    identity::write(folder, incarnation)?;
    Ok(incarnation)
}
