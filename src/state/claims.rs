use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::load::RequestId;
use crate::model::{EntryName, RequestKey};

use super::command_context::CommandContext;
use super::tombstones::{KeyOutcome, Tombstones};
use super::{Claim, ClaimPhase, ClaimReply, Fence, Fingerprint, Reply, Trail, TrailEvent};

/// How long a stored answer is kept, in milliseconds: a day, so that a caller
/// that missed its answer in the evening can ask again in the morning.
pub const KEY_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Largest total size of the stored answers, in bytes. Over it the oldest
/// answers are evicted first.
pub const MAX_ANSWER_BYTES: u64 = 32 * 1024 * 1024;

/// Largest size of one stored answer, in bytes. Of a longer answer only the fact
/// that the request ran is kept; one huge answer would otherwise evict hundreds
/// of others.
pub const MAX_ONE_ANSWER_BYTES: u64 = 256 * 1024;

/// Largest number of claims kept with their trail, in flight or ended within
/// [`KEY_RETENTION_MS`].
pub const MAX_CLAIMS: usize = 200_000;

/// Keys of requests that run at most once.
///
/// Every grant has a fence that is never used twice, so a released key can be
/// removed: a late report under its old fence matches no claim.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Claims {
    by_key: BTreeMap<RequestKey, Claim>,
    in_flight: BTreeSet<RequestKey>,
    /// Claims that are not in flight, by the time they ended.
    ended: BTreeSet<(u64, RequestKey)>,
    answer_bytes: u64,
    last_fence: Fence,
}

impl Claims {
    /// Returns the claim on a key, if it is kept.
    pub fn get(&self, key: &RequestKey) -> Option<&Claim> {
        self.by_key.get(key)
    }

    /// The number of claims kept, in flight or ended.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Total size of the stored answers, in bytes.
    pub fn answer_bytes(&self) -> u64 {
        self.answer_bytes
    }

    /// Grants a new key to the proposer; for a used key, returns its state.
    pub fn claim(
        &mut self,
        context: CommandContext<'_>,
        tombstones: &Tombstones,
        reserved: usize,
        key: &RequestKey,
        fingerprint: Fingerprint,
        request: RequestId,
    ) -> ClaimReply {
        if let Some(claim) = self.by_key.get(key) {
            return claim.reply_to(context, fingerprint, request);
        }
        match tombstones.outcome(key) {
            Some(KeyOutcome::Ran) => return ClaimReply::Expired,
            Some(KeyOutcome::Unknown) => return ClaimReply::Unknown,
            None => {}
        }
        // Each claim will need a tombstone; without one the key would be
        // forgotten later and its request could run again.
        if self.by_key.len() >= MAX_CLAIMS || tombstones.is_full(reserved) {
            return ClaimReply::Full;
        }
        let fence = self.last_fence.next();
        self.last_fence = fence;
        let mut trail = Trail::default();
        trail.push(context.trail_step(fence, TrailEvent::Granted));
        let claim = Claim {
            fingerprint,
            fence,
            phase: ClaimPhase::InFlight {
                entry: context.entry.clone(),
                incarnation: context.incarnation,
                request,
                since_unix_ms: context.at_unix_ms,
            },
            trail,
        };
        self.by_key.insert(key.clone(), claim);
        self.in_flight.insert(key.clone());
        ClaimReply::Granted { fence }
    }

    /// Stores the answer of a claim that is in flight or unknown.
    ///
    /// An unknown outcome may become known: an entry instance that was cut off
    /// and declared lost reports the answer of the attempt when it returns.
    pub fn record_answer(
        &mut self,
        context: CommandContext<'_>,
        tombstones: &mut Tombstones,
        key: &RequestKey,
        fence: Fence,
        status: u16,
        body: &[u8],
    ) -> Reply {
        let Some(claim) = self.open_claim_mut(key, fence) else {
            return self.reply_to_late_answer(key, fence);
        };
        claim
            .trail
            .push(context.trail_step(fence, TrailEvent::Answered));
        self.set_phase(
            key,
            ClaimPhase::Answered {
                at_unix_ms: context.clock_ms,
                status,
                body: body.to_vec(),
            },
        );
        if body.len() as u64 > MAX_ONE_ANSWER_BYTES {
            self.replace_with_tombstone(key, tombstones, context.clock_ms);
        }
        self.evict_oldest_answers(tombstones, context.clock_ms);
        Reply::Accepted
    }

    /// Removes the claim of an attempt that certainly did not run.
    pub fn release(&mut self, key: &RequestKey, fence: Fence) -> Reply {
        if self.open_claim_mut(key, fence).is_none() {
            return Reply::StaleFence;
        }
        self.remove(key);
        Reply::Accepted
    }

    /// Marks a claim as one whose request may have run.
    pub fn mark_unknown(
        &mut self,
        context: CommandContext<'_>,
        key: &RequestKey,
        fence: Fence,
    ) -> Reply {
        let Some(claim) = self.open_claim_mut(key, fence) else {
            return Reply::StaleFence;
        };
        claim
            .trail
            .push(context.trail_step(fence, TrailEvent::Lost));
        self.set_phase(
            key,
            ClaimPhase::Unknown {
                at_unix_ms: context.clock_ms,
            },
        );
        Reply::Accepted
    }

    /// Marks the claims as unknown that a lost entry instance had in flight up
    /// to an incarnation: it may have sent the requests, and no other process
    /// knows their outcomes.
    pub fn settle_lost_entry(&mut self, context: CommandContext<'_>, lost: &EntryName, up_to: u64) {
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
                let step = context.trail_step(claim.fence, TrailEvent::EntryLost);
                claim.trail.push(step);
            }
            self.set_phase(
                &key,
                ClaimPhase::Unknown {
                    at_unix_ms: context.clock_ms,
                },
            );
        }
    }

    /// Replaces claims that ended [`KEY_RETENTION_MS`] or more ago with tombstones.
    pub fn expire(&mut self, tombstones: &mut Tombstones, clock_ms: u64) {
        while let Some((at_ms, key)) = self.ended.first().cloned() {
            if at_ms.saturating_add(KEY_RETENTION_MS) > clock_ms {
                return;
            }
            self.replace_with_tombstone(&key, tombstones, clock_ms);
        }
    }

    /// Returns the claim if an outcome under this fence is still accepted.
    fn open_claim_mut(&mut self, key: &RequestKey, fence: Fence) -> Option<&mut Claim> {
        self.by_key
            .get_mut(key)
            .filter(|claim| claim.fence == fence && claim.is_open())
    }

    /// Returns the reply to an answer for a claim that is not open: an answer
    /// under the claim's fence is a repetition, any other is stale.
    fn reply_to_late_answer(&self, key: &RequestKey, fence: Fence) -> Reply {
        match self.by_key.get(key) {
            Some(claim) if claim.fence == fence => Reply::Accepted,
            _ => Reply::StaleFence,
        }
    }

    fn set_phase(&mut self, key: &RequestKey, phase: ClaimPhase) {
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

    fn replace_with_tombstone(
        &mut self,
        key: &RequestKey,
        tombstones: &mut Tombstones,
        clock_ms: u64,
    ) {
        let Some(claim) = self.remove(key) else {
            return;
        };
        let outcome = match claim.phase {
            ClaimPhase::Answered { .. } => KeyOutcome::Ran,
            ClaimPhase::InFlight { .. } | ClaimPhase::Unknown { .. } => KeyOutcome::Unknown,
        };
        tombstones.insert(key, outcome, clock_ms);
    }

    /// Evicts the oldest answers until the rest fits in [`MAX_ANSWER_BYTES`].
    fn evict_oldest_answers(&mut self, tombstones: &mut Tombstones, clock_ms: u64) {
        while self.answer_bytes > MAX_ANSWER_BYTES {
            let oldest = self.ended.iter().map(|(_, key)| key).find(|key| {
                self.by_key
                    .get(*key)
                    .is_some_and(|claim| claim.answer_bytes() > 0)
            });
            let Some(key) = oldest.cloned() else {
                return;
            };
            self.replace_with_tombstone(&key, tombstones, clock_ms);
        }
    }
}

impl Claim {
    /// Whether its outcome may still be reported.
    fn is_open(&self) -> bool {
        !matches!(self.phase, ClaimPhase::Answered { .. })
    }

    /// Whether the entry instance runs it, in this incarnation or an earlier one.
    fn is_run_by(&self, by: &EntryName, up_to: u64) -> bool {
        matches!(
            &self.phase,
            ClaimPhase::InFlight { entry, incarnation, .. } if entry == by && *incarnation <= up_to
        )
    }

    /// Returns the reply to a request that claims this key again.
    fn reply_to(
        &self,
        context: CommandContext<'_>,
        fingerprint: Fingerprint,
        asking_request: RequestId,
    ) -> ClaimReply {
        if self.fingerprint != fingerprint {
            return ClaimReply::Conflict;
        }
        match &self.phase {
            // The proposer claims again what it already holds: it did not see
            // the first reply, so it has not sent the request yet.
            ClaimPhase::InFlight {
                entry,
                incarnation,
                request,
                ..
            } if entry == context.entry
                && *incarnation == context.incarnation
                && *request == asking_request =>
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
