use std::sync::Arc;

use super::Client;

/// Memory of a request that its connection's place covers: more than an ordinary job, call or
/// report takes.
pub const ORDINARY_REQUEST_BYTES: usize = 8 << 10;

/// What one request makes the process hold. It is given back when this is dropped.
#[derive(Debug)]
pub struct Hold {
    client: Arc<Client>,
    /// Bytes that the client's place covers.
    covered_bytes: usize,
    /// Counted bytes, those beyond.
    counted_bytes: usize,
}

impl Hold {
    pub(super) fn new(client: Arc<Client>, covered_bytes: usize) -> Self {
        Self {
            client,
            covered_bytes,
            counted_bytes: 0,
        }
    }

    /// Sets what the request holds. Returns `false`, and changes nothing, if there is no room.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let counted_bytes = bytes.saturating_sub(self.covered_bytes);
        let fits = self.client.resize(self.counted_bytes, counted_bytes);
        if fits {
            self.counted_bytes = counted_bytes;
        }
        fits
    }

    /// Returns the connection that sent the request.
    pub fn client(&self) -> &Arc<Client> {
        &self.client
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let is_freed = self.client.resize(self.counted_bytes, 0);
        debug_assert!(is_freed);
    }
}
