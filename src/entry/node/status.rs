//! Health and status of an entry instance.

use std::collections::BTreeMap;

use crate::load;
use crate::model::InstanceName;

use super::super::{Effect, EntryStatus, Health, PeerStatus, PoolStatus};
use super::Node;

/// Time without a leader after which calls that need the log are refused at once:
/// longer than an election, so that an election does not refuse requests.
const CUT_OFF_AFTER_MS: u64 = 2_000;

impl Node {
    /// Whether the log has been without a leader for longer than [`CUT_OFF_AFTER_MS`].
    pub(super) fn is_cut_off(&self, now_ms: u64) -> bool {
        self.last_fresh_ms + CUT_OFF_AFTER_MS < now_ms
    }

    pub(super) fn publish_health(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let health = self.health(now_ms);
        if self.health != Some(health) {
            tracing::info!("entry: {} is {health}", self.settings.me);
            self.health = Some(health);
            out.push(Effect::Health(health));
        }
    }

    fn health(&self, now_ms: u64) -> Health {
        if self.is_stopping() {
            Health::Draining
        } else if !self.is_state_known {
            Health::Starting
        } else if self.is_cut_off(now_ms) {
            Health::CutOff
        } else {
            Health::Ready
        }
    }

    /// Entry instances that still have attempts in flight on a draining instance, or
    /// are silent, as far as this one knows.
    pub(super) fn waits_for(&self, instance: &InstanceName) -> Vec<String> {
        let own_count = self.in_flight.get(instance).copied();
        let own_line = own_count.map(|n| format!("{}: {n} in flight", self.settings.me));
        let peers = self.peers.iter().filter_map(|(name, peer)| {
            if peer.gone {
                return Some(format!("{name}: silent"));
            }
            let count = peer.in_flight.get(instance)?;
            Some(format!("{name}: {count} in flight"))
        });
        own_line.into_iter().chain(peers).collect()
    }

    /// Returns the status of the system as this entry instance sees it.
    pub fn status(&self, now_ms: u64) -> EntryStatus {
        let lease_ms = self.settings.upstream_lease_ms;
        let alive = |heard_ms: u64| heard_ms + lease_ms > now_ms;
        let load = self.dispatcher.status(now_ms);
        let mut status = EntryStatus {
            entry: self.settings.me.clone(),
            zone: self.settings.zone.clone(),
            health: self.health(now_ms),
            up_ms: now_ms.saturating_sub(self.started_ms),
            log: self.replica.status(now_ms),
            applied_index: self.applied_index,
            row_versions: self.state.rows().values().map(|row| row.version).sum(),
            peers: BTreeMap::new(),
            pools: BTreeMap::new(),
            upstreams: self
                .directory
                .iter()
                .filter(|(_, known)| alive(known.heard_ms))
                .count(),
            instances: self.state.fleet().instances().len(),
            open_requests: self.requests.len(),
            in_flight: self.attempt_instances.len(),
            attempts: self.attempts_sent,
            open_proposals: self.proposals.len(),
            outcomes: self.counts.clone(),
            waiting: BTreeMap::new(),
            wait_ms: BTreeMap::new(),
            retries: load
                .retries
                .iter()
                .map(|(reason, count)| (reason.to_string(), *count))
                .collect(),
            usage: self.state.usage(),
        };
        self.show_queues(&load, &mut status);
        self.show_peers(now_ms, &mut status);
        self.show_pools(&mut status);
        status
    }

    fn show_queues(&self, load: &load::LoadStatus, status: &mut EntryStatus) {
        for service in &load.services {
            for (class, queue) in [("urgent", &service.urgent), ("patient", &service.patient)] {
                *status.waiting.entry(class.into()).or_default() += queue.waiting;
                let wait = status.wait_ms.entry(class.into()).or_default();
                *wait = (*wait).max(queue.wait_ms as u64);
            }
        }
    }

    fn show_peers(&self, now_ms: u64, status: &mut EntryStatus) {
        for (name, peer) in &self.peers {
            let shown = PeerStatus {
                heard: !peer.gone && peer.heard_ms.is_some(),
                silent_ms: peer.silent_ms(now_ms),
                applied_index: peer.applied_index,
                behind: self.applied_index.saturating_sub(peer.applied_index),
            };
            status.peers.insert(name.clone(), shown);
        }
    }

    fn show_pools(&self, status: &mut EntryStatus) {
        let fleet = self.state.fleet();
        for pool in fleet.pools().values() {
            let serving = fleet.budget_use(&pool.name).map_or(0, |used| used.serving);
            let shown = PoolStatus {
                min_available: pool.budget.min_available,
                serving,
                budget_use: self.budget_use(&pool.name),
            };
            status.pools.insert(pool.name.clone(), shown);
        }
    }
}
