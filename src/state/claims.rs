use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::load::RequestId;
use crate::model::{EntryName, RequestKey};

use super::stamp::Stamp;
use super::tombstones::{Fate, Tombstones};
use super::{Claim, ClaimPhase, ClaimReply, Fence, Fingerprint, Reply, Trail, TrailEvent};

/// How long a stored answer is kept, in milliseconds: a day, so that a caller
/// that lost its answer in the evening can ask again in the morning.
pub const KEY_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Bytes of stored answers in all; over it the oldest answers go first.
pub const MAX_ANSWER_BYTES: u64 = 32 * 1024 * 1024;

/// Bytes of one stored answer; the answer of a longer one is not kept, only
/// that it ran. One huge answer would otherwise push out hundreds of others.
pub const MAX_ONE_ANSWER_BYTES: u64 = 256 * 1024;

/// Claims kept with their trail at once, in flight or ended within the day.
pub const MAX_CLAIMS: usize = 200_000;

/// Keys of requests that run at most once.
///
/// Every grant has a fence that is never used twice, so a released key can be
/// forgotten: a late word under its old fence matches nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Claims {
    by_key: BTreeMap<RequestKey, Claim>,
    in_flight: BTreeSet<RequestKey>,
    ended: BTreeSet<(u64, RequestKey)>,
    answer_bytes: u64,
    last_fence: Fence,
}

impl Claims {
    /// The claim on a key, if it is kept.
    pub fn get(&self, key: &RequestKey) -> Option<&Claim> {
        self.by_key.get(key)
    }

    /// Claims kept, in flight or ended.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Bytes of stored answers.
    pub fn answer_bytes(&self) -> u64 {
        self.answer_bytes
    }

    /// Grants the key to the proposer, or says what became of it.
    pub fn claim(
        &mut self,
        stamp: Stamp<'_>,
        tombstones: &Tombstones,
        promised: usize,
        key: &RequestKey,
        fingerprint: Fingerprint,
        request: RequestId,
    ) -> ClaimReply {
        if let Some(claim) = self.by_key.get(key) {
            return claim.reply_to(stamp, fingerprint, request);
        }
        match tombstones.fate(key) {
            Some(Fate::Ran) => return ClaimReply::Expired,
            Some(Fate::Unknown) => return ClaimReply::Unknown,
            None => {}
        }
        // Each claim will need a tombstone; without a place for it the key
        // would be forgotten and could run again.
        if self.by_key.len() >= MAX_CLAIMS || tombstones.is_full(promised) {
            return ClaimReply::Full;
        }
        let fence = self.last_fence.next();
        self.last_fence = fence;
        let mut trail = Trail::default();
        trail.push(stamp.step(fence, TrailEvent::Granted));
        let claim = Claim {
            fingerprint,
            fence,
            phase: ClaimPhase::InFlight {
                entry: stamp.entry.clone(),
                incarnation: stamp.incarnation,
                request,
                since_unix_ms: stamp.at_unix_ms,
            },
            trail,
        };
        self.by_key.insert(key.clone(), claim);
        self.in_flight.insert(key.clone());
        ClaimReply::Granted { fence }
    }

    /// Stores the answer of a claim that is in flight or unknown.
    ///
    /// Unknown may become known: the entry instance was cut off, was taken for
    /// lost, and brings the answer of the one attempt when it returns.
    pub fn answer(
        &mut self,
        stamp: Stamp<'_>,
        tombstones: &mut Tombstones,
        key: &RequestKey,
        fence: Fence,
        status: u16,
        body: &[u8],
    ) -> Reply {
        let Some(claim) = self.open(key, fence) else {
            return self.repeated(key, fence);
        };
        claim.trail.push(stamp.step(fence, TrailEvent::Answered));
        self.end(
            key,
            ClaimPhase::Answered {
                at_unix_ms: stamp.clock_ms,
                status,
                body: body.to_vec(),
            },
        );
        if body.len() as u64 > MAX_ONE_ANSWER_BYTES {
            self.bury(key, tombstones, stamp.clock_ms);
        }
        self.shrink(tombstones, stamp.clock_ms);
        Reply::Accepted
    }

    /// Frees a key whose attempt certainly did not run.
    pub fn release(&mut self, key: &RequestKey, fence: Fence) -> Reply {
        if self.open(key, fence).is_none() {
            return Reply::StaleFence;
        }
        self.remove(key);
        Reply::Accepted
    }

    /// Marks a claim as one that may have run.
    pub fn unknown(&mut self, stamp: Stamp<'_>, key: &RequestKey, fence: Fence) -> Reply {
        let Some(claim) = self.open(key, fence) else {
            return Reply::StaleFence;
        };
        claim.trail.push(stamp.step(fence, TrailEvent::Lost));
        self.end(
            key,
            ClaimPhase::Unknown {
                at_unix_ms: stamp.clock_ms,
            },
        );
        Reply::Accepted
    }

    /// Turns what the entry instance had in flight into unknown: it may have
    /// sent the request, and nobody is left to say.
    pub fn entry_lost(&mut self, stamp: Stamp<'_>, lost: &EntryName, up_to: u64) {
        let keys: Vec<RequestKey> = self
            .in_flight
            .iter()
            .filter(|key| {
                self.by_key
                    .get(*key)
                    .is_some_and(|claim| claim.is_run_by(lost, up_to))
            })
            .cloned()
            .collect();
        for key in keys {
            if let Some(claim) = self.by_key.get_mut(&key) {
                let step = stamp.step(claim.fence, TrailEvent::EntryLost);
                claim.trail.push(step);
            }
            self.end(
                &key,
                ClaimPhase::Unknown {
                    at_unix_ms: stamp.clock_ms,
                },
            );
        }
    }

    /// Turns claims that ended more than [`KEY_RETENTION_MS`] ago to tombstones.
    pub fn expire(&mut self, tombstones: &mut Tombstones, clock_ms: u64) {
        while let Some((at_ms, key)) = self.ended.first().cloned() {
            if at_ms.saturating_add(KEY_RETENTION_MS) > clock_ms {
                return;
            }
            self.bury(&key, tombstones, clock_ms);
        }
    }

    /// The claim if this fence may still say its outcome.
    fn open(&mut self, key: &RequestKey, fence: Fence) -> Option<&mut Claim> {
        self.by_key
            .get_mut(key)
            .filter(|claim| claim.fence == fence && claim.is_open())
    }

    /// The reply to an answer for a claim that is not open: the same one again
    /// is fine, any other is stale.
    fn repeated(&self, key: &RequestKey, fence: Fence) -> Reply {
        match self.by_key.get(key) {
            Some(claim) if claim.fence == fence => Reply::Accepted,
            _ => Reply::StaleFence,
        }
    }

    fn end(&mut self, key: &RequestKey, phase: ClaimPhase) {
        let Some(claim) = self.by_key.get_mut(key) else {
            return;
        };
        if let Some(at_ms) = claim.ended_ms() {
            self.ended.remove(&(at_ms, key.clone()));
        }
        self.answer_bytes -= claim.answer_bytes();
        claim.phase = phase;
        self.answer_bytes += claim.answer_bytes();
        self.in_flight.remove(key);
        if let Some(at_ms) = claim.ended_ms() {
            self.ended.insert((at_ms, key.clone()));
        }
    }

    fn remove(&mut self, key: &RequestKey) -> Option<Claim> {
        let claim = self.by_key.remove(key)?;
        if let Some(at_ms) = claim.ended_ms() {
            self.ended.remove(&(at_ms, key.clone()));
        }
        self.in_flight.remove(key);
        self.answer_bytes -= claim.answer_bytes();
        Some(claim)
    }

    fn bury(&mut self, key: &RequestKey, tombstones: &mut Tombstones, clock_ms: u64) {
        let Some(claim) = self.remove(key) else {
            return;
        };
        let fate = match claim.phase {
            ClaimPhase::Answered { .. } => Fate::Ran,
            ClaimPhase::InFlight { .. } | ClaimPhase::Unknown { .. } => Fate::Unknown,
        };
        tombstones.bury(key, fate, clock_ms);
    }

    fn shrink(&mut self, tombstones: &mut Tombstones, clock_ms: u64) {
        while self.answer_bytes > MAX_ANSWER_BYTES {
            let oldest = self.ended.iter().map(|(_, key)| key).find(|key| {
                self.by_key
                    .get(*key)
                    .is_some_and(|claim| claim.answer_bytes() > 0)
            });
            let Some(key) = oldest.cloned() else {
                return;
            };
            self.bury(&key, tombstones, clock_ms);
        }
    }
}

impl Claim {
    fn is_open(&self) -> bool {
        !matches!(self.phase, ClaimPhase::Answered { .. })
    }

    fn is_run_by(&self, by: &EntryName, up_to: u64) -> bool {
        matches!(
            &self.phase,
            ClaimPhase::InFlight { entry, incarnation, .. } if entry == by && *incarnation <= up_to
        )
    }

    fn reply_to(
        &self,
        stamp: Stamp<'_>,
        fingerprint: Fingerprint,
        asking: RequestId,
    ) -> ClaimReply {
        if self.fingerprint != fingerprint {
            return ClaimReply::Conflict;
        }
        match &self.phase {
            // The proposer asks again for the claim that it already holds: it
            // did not see the first reply, so it has not sent anything yet.
            ClaimPhase::InFlight {
                entry,
                incarnation,
                request,
                ..
            } if entry == stamp.entry
                && *incarnation == stamp.incarnation
                && *request == asking =>
            {
                ClaimReply::Granted { fence: self.fence }
            }
            ClaimPhase::InFlight {
                entry,
                since_unix_ms,
                ..
            } => ClaimReply::InFlight {
                entry: entry.clone(),
                since_unix_ms: *since_unix_ms,
            },
            ClaimPhase::Answered { status, body, .. } => ClaimReply::Answered {
                status: *status,
                body: body.clone(),
            },
            ClaimPhase::Unknown { .. } => ClaimReply::Unknown,
        }
    }
}
