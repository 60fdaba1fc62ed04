//! Logs while there is no leader: for how long, and which voters are missing.
//!
//! Otherwise a cluster that cannot form looks like an idle one: every process is up and
//! logs nothing, while no call is answered.

use super::Node;
use crate::model::EntryName;

/// Time without a leader after which it is logged. An election takes less.
const LOG_AFTER_MS: u64 = 2_000;
/// Interval at which the message is repeated while nothing changes.
const LOG_INTERVAL_MS: u64 = 5_000;

/// How long there has been no leader, and what was last logged about it.
#[derive(Debug, Default)]
pub(super) struct Leaderless {
    since_ms: Option<u64>,
    last_logged: Option<LastLogged>,
}

#[derive(Debug)]
struct LastLogged {
    at_ms: u64,
    missing: Vec<EntryName>,
}

fn as_strs(names: &[EntryName]) -> Vec<&str> {
    names.iter().map(EntryName::as_str).collect()
}

impl Node {
    /// Returns for how long no leader has been known to this instance, in milliseconds.
    pub fn leaderless_ms(&self, now_ms: u64) -> u64 {
        let since_ms = self.leaderless.since_ms;
        since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Logs what prevents an election, when it changes and at regular intervals.
    pub(super) fn log_leaderless(&mut self, now_ms: u64) {
        if self.leader().is_some() {
            let lasted_ms = self.leaderless_ms(now_ms);
            let last_logged = std::mem::take(&mut self.leaderless).last_logged;
            if last_logged.is_some() {
                let leader = self.leader();
                let leader = leader.as_ref().map(EntryName::as_str);
                tracing::info!(leader, lasted_ms, "control: there is a leader again");
            }
            return;
        }
        let since_ms = *self.leaderless.since_ms.get_or_insert(now_ms);
        if now_ms < since_ms + LOG_AFTER_MS {
            return;
        }
        let missing = self.missing_voters(now_ms);
        let already_logged = self
            .leaderless
            .last_logged
            .as_ref()
            .is_some_and(|last_logged| {
                last_logged.missing == missing && now_ms < last_logged.at_ms + LOG_INTERVAL_MS
            });
        if already_logged {
            return;
        }
        let status = self.replica.status(now_ms);
        tracing::warn!(
            lasted_ms = now_ms - since_ms,
            founded = !status.voters.is_empty(),
            voters = ?as_strs(&self.expected_voters()),
            missing = ?as_strs(&missing),
            term = status.term,
            "control: nobody leads"
        );
        let at_ms = now_ms;
        self.leaderless.last_logged = Some(LastLogged { at_ms, missing });
    }

    /// Returns the voters, or the seeds if the cluster has not been formed yet.
    fn expected_voters(&self) -> Vec<EntryName> {
        let voters = self.replica.voters();
        match voters.is_empty() {
            true => self.settings.seeds.clone(),
            false => voters,
        }
    }

    /// Returns the voters that have not been heard recently.
    fn missing_voters(&self, now_ms: u64) -> Vec<EntryName> {
        let is_present =
            |name: &EntryName| *name == self.settings.me || self.peers.is_present(now_ms, name);
        let mut missing = self.expected_voters();
        missing.retain(|name| !is_present(name));
        missing
    }
}
