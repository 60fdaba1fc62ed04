use std::io;
use std::path::PathBuf;

/// An error that makes a data folder unusable. The process must not vote from it.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum StorageError {
    /// A file operation failed. After a failed sync, or a write that cannot be undone, the
    /// content of the disk is unknown, so the process must stop.
    #[display("cannot {operation} {}: {source}; repair the disk, then restart", path.display())]
    Io {
        /// The failed operation, as a verb.
        operation: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The disk has no room. Nothing of the write is left behind, so it can be tried again.
    #[display("cannot {operation} {}: the disk is full; free some room", path.display())]
    Full {
        /// The failed operation, as a verb.
        operation: &'static str,
        /// The file or folder.
        path: PathBuf,
    },
    /// Synced data differs from what was written, or is missing.
    #[display(
        "{} is damaged at byte {offset_bytes}: {problem}; \
         move the whole data folder away and restart: \
         the entry instance starts empty and the leader repairs it, \
         as long as a quorum of the other voters is intact",
        path.display()
    )]
    Damaged {
        /// The damaged file.
        path: PathBuf,
        /// Offset of the damage from the start of the file.
        offset_bytes: u64,
        /// What is wrong.
        problem: String,
    },
    /// Another process has the folder open.
    #[display("{} is in use by another process; stop it first", path.display())]
    InUse {
        /// The lock file.
        path: PathBuf,
    },
    /// A record or snapshot is too large to be read back.
    #[display(
        "a record or snapshot of {size_bytes} bytes is above the limit of {limit_bytes} bytes"
    )]
    TooLarge {
        /// Size of the record or snapshot.
        size_bytes: usize,
        /// The largest allowed size.
        limit_bytes: usize,
    },
}

impl StorageError {
    pub(super) fn io(
        operation: &'static str,
        path: &std::path::Path,
    ) -> impl Fn(io::Error) -> Self {
        let path = path.to_path_buf();
        move |source| Self::Io {
            operation,
            path: path.clone(),
            source,
        }
    }

    /// Returns the error of a write that can be undone: that of a full disk, if it is one.
    pub(super) fn write(
        operation: &'static str,
        path: &std::path::Path,
    ) -> impl Fn(io::Error) -> Self {
        let path = path.to_path_buf();
        move |source| match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full {
                operation,
                path: path.clone(),
            },
            _ => Self::io(operation, &path)(source),
        }
    }

    /// Returns whether the operation can be tried again once the disk has room.
    pub(super) fn is_full(&self) -> bool {
        matches!(self, Self::Full { .. })
    }

    pub(super) fn damaged(path: &std::path::Path, offset_bytes: u64, problem: &str) -> Self {
        Self::Damaged {
            path: path.to_path_buf(),
            offset_bytes,
            problem: problem.to_owned(),
        }
    }
}
