use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::model::RequestKey;

/// How long a used key is remembered after its answer was dropped, in
/// milliseconds: 14 days, a two-week round of work with its corrections. A
/// caller must not reuse a key after that, because the state can no longer tell
/// that it ran before.
pub const TOMBSTONE_RETENTION_MS: u64 = 14 * 24 * 60 * 60 * 1_000;

/// Largest number of tombstones, about 100 bytes each in memory. At the limit
/// new keys are refused: dropping a tombstone early could run a booking twice.
pub const MAX_TOMBSTONES: usize = 1_000_000;

/// The outcome of a key whose answer is no longer kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum KeyOutcome {
    /// Its request ran once.
    Ran,
    /// Its request may have run.
    Unknown,
}

/// Keys that must not run again, each stored as a digest of 16 bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Tombstones {
    outcomes: BTreeMap<[u8; 16], KeyOutcome>,
    /// Expiry times in milliseconds on the state's clock, oldest first.
    expiry: VecDeque<(u64, [u8; 16])>,
}

impl Tombstones {
    /// Adds a used key, which expires [`TOMBSTONE_RETENTION_MS`] after `clock_ms`.
    pub fn insert(&mut self, key: &RequestKey, outcome: KeyOutcome, clock_ms: u64) {
        let digest = key_digest(key);
        if self.outcomes.insert(digest, outcome).is_none() {
            self.expiry
                .push_back((clock_ms.saturating_add(TOMBSTONE_RETENTION_MS), digest));
        }
    }

    /// Returns the outcome of a key, if it has a tombstone.
    pub fn outcome(&self, key: &RequestKey) -> Option<KeyOutcome> {
        self.outcomes.get(&key_digest(key)).copied()
    }

    /// Whether there is no place for another key beside those that exist and
    /// those that are reserved.
    pub fn is_full(&self, reserved: usize) -> bool {
        self.outcomes.len() + reserved >= MAX_TOMBSTONES
    }

    /// Removes the tombstones that have expired.
    pub fn expire(&mut self, clock_ms: u64) {
        while let Some((at_ms, digest)) = self.expiry.front().copied() {
            if at_ms > clock_ms {
                return;
            }
            self.expiry.pop_front();
            self.outcomes.remove(&digest);
        }
    }

    /// The number of tombstones.
    pub fn len(&self) -> usize {
        self.outcomes.len()
    }
}

/// The first half of the key's SHA-256: the chance that two of a million keys
/// collide is 1 in 10^26.
fn key_digest(key: &RequestKey) -> [u8; 16] {
    let whole: [u8; 32] = Sha256::digest(key.as_str().as_bytes()).into();
    let mut digest = [0; 16];
    digest.copy_from_slice(&whole[..16]);
    digest
}
