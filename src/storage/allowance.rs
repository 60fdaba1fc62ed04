use std::io::{Error, ErrorKind, Result, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes that may still be written to a data folder, shared with whoever grants them.
///
/// A write beyond it stores what still fits and fails as on a full disk. Without a limit,
/// only the disk itself bounds what is written.
#[derive(Clone, Debug)]
pub struct Allowance(Arc<AtomicU64>);

impl Default for Allowance {
    fn default() -> Self {
        Self(Arc::new(AtomicU64::new(u64::MAX)))
    }
}

impl Allowance {
    /// Sets the number of bytes that may still be written; `None` is no limit.
    pub fn set(&self, left_bytes: Option<u64>) {
        let left_bytes = left_bytes.unwrap_or(u64::MAX);
        self.0.store(left_bytes, Ordering::SeqCst);
    }

    pub(super) fn write_all(&self, wtr: &mut impl Write, bytes: &[u8]) -> Result<()> {
        let left_bytes = self.0.load(Ordering::SeqCst);
        if left_bytes == u64::MAX {
            return wtr.write_all(bytes);
        }
        let fitting = usize::try_from(left_bytes).unwrap_or(usize::MAX);
        let fitting = fitting.min(bytes.len());
        wtr.write_all(&bytes[..fitting])?;
        self.0.fetch_sub(fitting as u64, Ordering::SeqCst);
        if fitting < bytes.len() {
            return Err(Error::from(ErrorKind::StorageFull));
        }
        Ok(())
    }
}
