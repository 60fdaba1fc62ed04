//! What an instance says while nobody leads: how long, and whom it waits for.
//!
//! Without this a cluster that cannot be founded looks like one that is idle: every process
//! is up and logs nothing while no call is answered.

use super::Node;
use super::members::THERE_MS;
use crate::model::EntryName;

/// A time without a leader that is worth a line: an election is over by then.
const WORTH_TELLING_MS: u64 = 2_000;
/// How often it is told again while nothing changes.
const AGAIN_MS: u64 = 5_000;

/// How long nobody has led, and what was said of it.
#[derive(Debug, Default)]
pub(super) struct Leaderless {
    since_ms: Option<u64>,
    told: Option<Told>,
}

#[derive(Debug)]
struct Told {
    at_ms: u64,
    missing: Vec<EntryName>,
}

fn texts(names: &[EntryName]) -> Vec<&str> {
    names.iter().map(EntryName::as_str).collect()
}

impl Node {
    /// How long no leader has been known here.
    pub fn leaderless_ms(&self, now_ms: u64) -> u64 {
        let since_ms = self.leaderless.since_ms;
        since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Logs what keeps a leader from standing, when that changes and now and then.
    pub(super) fn tell_leaderless(&mut self, now_ms: u64) {
        if self.leader().is_some() {
            let lasted_ms = self.leaderless_ms(now_ms);
            let told = std::mem::take(&mut self.leaderless).told;
            if told.is_some() {
                let leader = self.leader();
                let leader = leader.as_ref().map(EntryName::as_str);
                tracing::info!(leader, lasted_ms, "control: somebody leads again");
            }
            return;
        }
        let since_ms = *self.leaderless.since_ms.get_or_insert(now_ms);
        if now_ms < since_ms + WORTH_TELLING_MS {
            return;
        }
        let missing = self.missing(now_ms);
        let known = self
            .leaderless
            .told
            .as_ref()
            .is_some_and(|told| told.missing == missing && now_ms < told.at_ms + AGAIN_MS);
        if known {
            return;
        }
        let status = self.replica.status(now_ms);
        tracing::warn!(
            lasted_ms = now_ms - since_ms,
            founded = !status.voters.is_empty(),
            voters = ?texts(&self.voters()),
            missing = ?texts(&missing),
            term = status.term,
            "control: nobody leads"
        );
        let at_ms = now_ms;
        self.leaderless.told = Some(Told { at_ms, missing });
    }

    /// The voters, or those that are to found the cluster.
    fn voters(&self) -> Vec<EntryName> {
        let voters = self.replica.voters();
        match voters.is_empty() {
            true => self.settings.seeds.clone(),
            false => voters,
        }
    }

    /// The voters that were not heard lately.
    fn missing(&self, now_ms: u64) -> Vec<EntryName> {
        let there = |name: &EntryName| {
            let heard = self.met.get(name);
            *name == self.settings.me || heard.is_some_and(|at| now_ms < at + THERE_MS)
        };
        let mut missing = self.voters();
        missing.retain(|name| !there(name));
        missing
    }
}
