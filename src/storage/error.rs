use std::io;
use std::path::PathBuf;

/// Why a data folder can't be used. The process must not vote from it.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum StorageError {
    /// The operating system failed. After a failed write or sync it is not known
    /// what is on the disk, so the process has to stop.
    #[display("cannot {doing} {}: {source}; mend the disk, then start again", path.display())]
    Io {
        /// What was tried.
        doing: &'static str,
        /// On which file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// Bytes that were synced are not what was written.
    #[display(
        "{} is damaged at byte {offset_bytes}: {found}; \
         move the whole data folder away and start again: \
         the entry instance comes back empty and is repaired by the leader, \
         as long as a quorum of the other voters is whole",
        path.display()
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where, in bytes from its start.
        offset_bytes: u64,
        /// What is wrong.
        found: String,
    },
    /// Another process uses the folder.
    #[display("{} is in use by another process; stop it first", path.display())]
    InUse {
        /// The lock file.
        path: PathBuf,
    },
    /// A record or snapshot is larger than what would be read back.
    #[display(
        "a record or snapshot of {size_bytes} bytes is above the limit of {limit_bytes} bytes"
    )]
    TooLarge {
        /// Its size.
        size_bytes: usize,
        /// The limit.
        limit_bytes: usize,
    },
}

impl StorageError {
    pub(super) fn io(doing: &'static str, path: &std::path::Path) -> impl Fn(io::Error) -> Self {
        let path = path.to_path_buf();
        move |source| Self::Io {
            doing,
            path: path.clone(),
            source,
        }
    }

    pub(super) fn damaged(path: &std::path::Path, offset_bytes: u64, found: &str) -> Self {
        Self::Damaged {
            path: path.to_path_buf(),
            offset_bytes,
            found: found.to_owned(),
        }
    }
}
