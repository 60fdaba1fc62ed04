use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::model::RequestKey;

/// How long a used key is remembered after its answer went, in milliseconds:
/// 14 days, a fortnight's round with its corrections. A caller must not use a
/// key again later than that; nobody would notice that it ran before.
pub const TOMBSTONE_RETENTION_MS: u64 = 14 * 24 * 60 * 60 * 1_000;

/// Used keys remembered at once, about 100 bytes each in memory. At the limit
/// new keys are refused: forgetting one early could run a booking twice.
pub const MAX_TOMBSTONES: usize = 1_000_000;

/// What became of a key whose answer is no longer kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Fate {
    /// It ran once.
    Ran,
    /// It may have run.
    Unknown,
}

/// Keys that must not run again, 16 bytes each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Tombstones {
    fates: BTreeMap<[u8; 16], Fate>,
    expiry: VecDeque<(u64, [u8; 16])>,
}

impl Tombstones {
    /// Remembers a used key from `clock_ms` on.
    pub fn bury(&mut self, key: &RequestKey, fate: Fate, clock_ms: u64) {
        let short = shorten(key);
        if self.fates.insert(short, fate).is_none() {
            self.expiry
                .push_back((clock_ms.saturating_add(TOMBSTONE_RETENTION_MS), short));
        }
    }

    /// What became of a key, if it is remembered here.
    pub fn fate(&self, key: &RequestKey) -> Option<Fate> {
        self.fates.get(&shorten(key)).copied()
    }

    /// Whether no further key can be promised a place.
    pub fn is_full(&self, promised: usize) -> bool {
        self.fates.len() + promised >= MAX_TOMBSTONES
    }

    /// Forgets keys whose time is over.
    pub fn expire(&mut self, clock_ms: u64) {
        while let Some((at_ms, short)) = self.expiry.front().copied() {
            if at_ms > clock_ms {
                return;
            }
            self.expiry.pop_front();
            self.fates.remove(&short);
        }
    }

    /// How many keys are remembered.
    pub fn len(&self) -> usize {
        self.fates.len()
    }
}

/// Half a SHA-256: two of a million keys meet with a chance of 1 in 10^26.
fn shorten(key: &RequestKey) -> [u8; 16] {
    let whole: [u8; 32] = Sha256::digest(key.as_str().as_bytes()).into();
    let mut short = [0; 16];
    short.copy_from_slice(&whole[..16]);
    short
}
