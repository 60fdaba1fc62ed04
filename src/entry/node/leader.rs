//! What only the leader does: settle entry instances that are gone, give out
//! patient jobs, and run the controller of the fleet.

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::Role;
use crate::load::Health;
use crate::maintenance::{Controller, ControllerAction, EntryAck, InstanceSeen, Observed};
use crate::model::{EntryName, InstanceName};
use crate::state::{Change, JobId};

use super::super::Effect;
use super::{Node, Purpose, SYSTEM_PATIENCE_MS};

/// Silence after which an entry instance counts as lost: its claims are unknown
/// from then on and its jobs go to others. Longer than any election or pause of
/// a healthy process, as what it settles stays settled.
const ENTRY_LOST_MS: u64 = 10_000;
/// How often the leader looks at the fleet and the jobs.
const ROUND_MS: u64 = 100;
/// Jobs given out in one round, so that a thousand waiting ones do not crowd
/// everything else out of the log.
const ASSIGN_MAX: usize = 64;
/// Jobs one entry instance may hold at once: more than its share of the slots
/// of today's pools, few enough that a lost one has little to hand on.
const OWNED_MAX: usize = 256;

/// The leader's own memory; a new leader starts with none of it.
#[derive(Debug)]
pub(super) struct Leader {
    controller: Controller,
    next_round_ms: u64,
    since_ms: u64,
    assigned: BTreeMap<JobId, u64>,
    turn: usize,
}

impl Leader {
    fn new(controller: Controller, now_ms: u64) -> Self {
        Self {
            controller,
            next_round_ms: now_ms,
            since_ms: now_ms,
            assigned: BTreeMap::new(),
            turn: 0,
        }
    }
}

impl Node {
    /// One round of the leader's duties, if this entry instance leads.
    pub(super) fn lead(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let status = self.replica.status(now_ms);
        if status.role != Role::Leader || !status.fresh {
            self.leader = None;
            return;
        }
        let mut leader = self.leader.take().unwrap_or_else(|| {
            tracing::info!("leader: {} leads in term {}", self.settings.me, status.term);
            let settings = self.settings.controller();
            Leader::new(Controller::new(settings, now_ms), now_ms)
        });
        if leader.next_round_ms <= now_ms {
            leader.next_round_ms = now_ms + ROUND_MS;
            self.settle_lost_entries(now_ms, &leader, out);
            self.assign_jobs(now_ms, &mut leader, out);
            self.run_controller(now_ms, &mut leader, out);
        }
        self.leader = Some(leader);
    }

    fn settle_lost_entries(&mut self, now_ms: u64, leader: &Leader, out: &mut Vec<Effect>) {
        let mut lost = Vec::new();
        for (name, entry) in self.state.entries() {
            let Some(peer) = self.peers.get(name) else {
                continue;
            };
            // A new leader may not have heard a healthy peer yet.
            let silent_ms = peer.silent_ms(now_ms).min(now_ms - leader.since_ms);
            if !entry.lost && silent_ms >= ENTRY_LOST_MS {
                lost.push((name.clone(), entry.incarnation));
            }
        }
        for (entry, incarnation) in lost {
            if self.lost_proposed.get(&entry) == Some(&incarnation) {
                continue;
            }
            tracing::warn!("leader: {entry} is lost, what it had in flight is settled");
            self.lost_proposed.insert(entry.clone(), incarnation);
            let change = Change::EntryLost { entry, incarnation };
            self.open_proposal(now_ms, change, Purpose::System, SYSTEM_PATIENCE_MS, out);
        }
    }

    fn assign_jobs(&mut self, now_ms: u64, leader: &mut Leader, out: &mut Vec<Effect>) {
        leader.assigned.retain(|_, until_ms| *until_ms > now_ms);
        let owners = self.owners();
        if owners.is_empty() {
            return;
        }
        let ready: Vec<_> = self
            .state
            .ready_jobs()
            .filter(|job| !leader.assigned.contains_key(&job.id))
            .take(ASSIGN_MAX)
            .map(|job| (job.id.clone(), job.fence))
            .collect();
        for (job, fence) in ready {
            leader.turn += 1;
            let (owner, incarnation) = owners[leader.turn % owners.len()].clone();
            leader
                .assigned
                .insert(job.clone(), now_ms + SYSTEM_PATIENCE_MS);
            let change = Change::JobAssign {
                job,
                fence,
                owner,
                incarnation,
            };
            self.open_proposal(now_ms, change, Purpose::System, SYSTEM_PATIENCE_MS, out);
        }
    }

    /// Entry instances that may be given jobs: heard, not stopping, not full.
    fn owners(&self) -> Vec<(EntryName, u64)> {
        let me = &self.settings.me;
        self.state
            .entries()
            .iter()
            .filter(|(name, entry)| {
                // A start that is over runs nothing: one that restarted a moment
                // ago is heard before the state knows its new start.
                let alive = if *name == me {
                    !self.is_stopping() && entry.incarnation == self.settings.incarnation
                } else {
                    self.peers.get(*name).is_some_and(|peer| {
                        !peer.gone && !peer.stopping && entry.incarnation == peer.incarnation
                    })
                };
                alive
                    && !entry.lost
                    && self.state.jobs_owned(name, entry.incarnation).count() < OWNED_MAX
            })
            .map(|(name, entry)| (name.clone(), entry.incarnation))
            .collect()
    }

    fn run_controller(&mut self, now_ms: u64, leader: &mut Leader, out: &mut Vec<Effect>) {
        let observed = self.observed(now_ms);
        let actions = leader
            .controller
            .step(now_ms, self.state.fleet(), &observed);
        for action in actions {
            match action {
                ControllerAction::Propose(command) => self.change_fleet(now_ms, command, out),
                // Orders reach an upstream with the answer to its announcement,
                // read off the replicated state at every entry instance.
                ControllerAction::Order { .. } => {}
            }
        }
    }

    /// Instances that fail what they are given, as the dispatcher here found.
    fn sick_upstreams(&self, now_ms: u64) -> BTreeSet<InstanceName> {
        let status = self.dispatcher.status(now_ms);
        status
            .upstreams
            .into_iter()
            .filter(|up| matches!(up.health, Health::Ejected { .. }))
            .map(|up| up.instance)
            .collect()
    }

    fn observed(&self, now_ms: u64) -> Observed {
        let sick = self.sick_upstreams(now_ms);
        let instances = self
            .directory
            .iter()
            .map(|(name, known)| {
                let seen = InstanceSeen {
                    report: known.report.clone(),
                    heard_ms: known.heard_ms,
                    sick: sick.contains(name),
                };
                (name.clone(), seen)
            })
            .collect();
        let mut entries: BTreeMap<EntryName, EntryAck> = self
            .peers
            .iter()
            .map(|(name, peer)| (name.clone(), peer.ack()))
            .collect();
        let own = EntryAck {
            applied_index: self.applied_index,
            in_flight: self.in_flight.clone(),
        };
        entries.insert(self.settings.me.clone(), own);
        Observed {
            unix_ms: self.unix_offset_ms + now_ms,
            applied_index: self.applied_index,
            instances,
            entries,
        }
    }
}
