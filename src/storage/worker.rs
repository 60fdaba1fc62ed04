use std::sync::mpsc::Receiver;
use std::thread::{self, JoinHandle};

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

/// Runs the disk in its own thread until the channel of jobs is closed.
///
/// Waiting jobs share one sync. `on_synced` is called with the token of each job, in order.
/// After a failed write it is called with the error and the thread ends, because nothing
/// more may be acknowledged from this folder.
///
/// # Errors
/// Returns [`StorageError::Io`] if the thread cannot be started.
pub fn spawn(
    mut disk: Disk,
    jobs: Receiver<WriteJob>,
    mut on_synced: impl FnMut(Result<u64, StorageError>) + Send + 'static,
) -> Result<JoinHandle<()>, StorageError> {
    let folder = disk.folder().to_path_buf();
    thread::Builder::new()
        .name("disk".to_owned())
        .spawn(move || {
            while let Ok(first) = jobs.recv() {
                let waiting = jobs.try_iter().take(MAX_JOBS_PER_SYNC - 1);
                let batch: Vec<WriteJob> = std::iter::once(first).chain(waiting).collect();
                let batches: Vec<&[Record]> = batch.iter().map(|j| &j.records[..]).collect();
                if let Err(error) = disk.persist(&batches) {
                    return on_synced(Err(error));
                }
                batch.iter().for_each(|job| on_synced(Ok(job.token)));
            }
        })
        .map_err(StorageError::io("start a thread for", &folder))
}
