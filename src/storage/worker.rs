use std::sync::mpsc::Receiver;
use std::thread::{self, JoinHandle};

use crate::consensus::Record;

use super::{Disk, StorageError};

/// Jobs that share one sync at most, so that the first is not kept waiting for
/// long behind the bytes of the others.
const SHARED_MAX: usize = 64;

/// A write for the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Names the write in the answer.
    pub token: u64,
    /// What to write.
    pub records: Vec<Record>,
}

/// Runs the disk in a thread of its own until the jobs' channel is closed.
///
/// All jobs that wait share one sync; `answer` gets the token of each, in order.
/// After an error the thread ends with it: nothing more may be answered from this
/// folder.
///
/// # Errors
/// [`StorageError::Io`] if the thread can't be started.
pub fn spawn(
    mut disk: Disk,
    jobs: Receiver<Job>,
    mut answer: impl FnMut(Result<u64, StorageError>) + Send + 'static,
) -> Result<JoinHandle<()>, StorageError> {
    let folder = disk.folder().to_path_buf();
    thread::Builder::new()
        .name("disk".to_owned())
        .spawn(move || {
            while let Ok(first) = jobs.recv() {
                let more = jobs.try_iter().take(SHARED_MAX - 1);
                let shared: Vec<Job> = std::iter::once(first).chain(more).collect();
                let batches: Vec<&[Record]> = shared.iter().map(|j| &j.records[..]).collect();
                if let Err(error) = disk.persist(&batches) {
                    return answer(Err(error));
                }
                shared.iter().for_each(|job| answer(Ok(job.token)));
            }
        })
        .map_err(StorageError::io("start a thread for", &folder))
}
