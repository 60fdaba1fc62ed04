use std::collections::VecDeque;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::consensus::Record;

use super::{Disk, StorageError};

/// Bounds the jobs that share one sync, so that the first one does not wait long for the
/// bytes of the others to be written.
const MAX_JOBS_PER_SYNC: usize = 64;

/// A write job for the disk thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteJob {
    /// Identifies the write in the completion callback.
    pub token: u64,
    /// The records to write.
    pub records: Vec<Record>,
}

/// What the disk thread reports.
#[derive(Debug)]
pub enum DiskEvent {
    /// The write with this token is synced.
    Synced(u64),
    /// The disk has no room. Later writes wait; nothing is synced meanwhile.
    Full(StorageError),
    /// The disk had no room, and has some again.
    HasRoom,
    /// The disk failed and the thread has ended.
    Failed(StorageError),
}

/// Interval between two attempts to write to a full disk.
const FULL_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the disk in its own thread until the channel of jobs is closed.
///
/// Waiting jobs share one sync. `on_event` is called for each job, in order. On a full disk
/// the thread tries again until there is room. After any other failure it ends, because
/// nothing more may be acknowledged from this folder.
///
/// # Errors
/// Returns [`StorageError::Io`] if the thread cannot be started.
pub fn spawn(
    mut disk: Disk,
    jobs: Receiver<WriteJob>,
    mut on_event: impl FnMut(DiskEvent) + Send + 'static,
) -> Result<JoinHandle<()>, StorageError> {
    let folder = disk.folder().to_path_buf();
    thread::Builder::new()
        .name("disk".to_owned())
        .spawn(move || {
            let mut queued = VecDeque::new();
            loop {
                if queued.is_empty() {
                    let Ok(first) = jobs.recv() else {
                        return;
                    };
                    queued.push_back(first);
                }
                queued.extend(jobs.try_iter());
                let count = queued.len().min(MAX_JOBS_PER_SYNC);
                let batch: Vec<WriteJob> = queued.drain(..count).collect();
                let batches: Vec<&[Record]> = batch.iter().map(|j| &j.records[..]).collect();
                let mut written = disk.persist(&batches);
                let mut was_full = false;
                while let Err(error) = written {
                    if !error.is_full() {
                        return on_event(DiskEvent::Failed(error));
                    }
                    if !was_full {
                        was_full = true;
                        on_event(DiskEvent::Full(error));
                    }
                    if !wait(&jobs, &mut queued) {
                        return;
                    }
                    written = disk.resume(&batches);
                }
                if was_full {
                    on_event(DiskEvent::HasRoom);
                }
                for job in batch {
                    on_event(DiskEvent::Synced(job.token));
                }
            }
        })
        .map_err(StorageError::io("start a thread for", &folder))
}

/// Queues jobs until the next attempt to write to a full disk is due. Returns `false` if the
/// channel of jobs is closed.
fn wait(jobs: &Receiver<WriteJob>, queued: &mut VecDeque<WriteJob>) -> bool {
    let due = Instant::now() + FULL_RETRY_INTERVAL;
    loop {
        match jobs.recv_timeout(due.saturating_duration_since(Instant::now())) {
            Ok(job) => queued.push_back(job),
            Err(RecvTimeoutError::Timeout) => return true,
            Err(RecvTimeoutError::Disconnected) => return false,
        }
    }
}
