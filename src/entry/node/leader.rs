//! The leader's duties: declare silent entry instances lost, assign patient jobs, and
//! run the fleet controller.

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::Role;
use crate::load::Health;
use crate::maintenance::{Controller, ControllerAction, EntryAck, InstanceSeen, Observed};
use crate::model::{EntryName, InstanceName};
use crate::state::{Change, JobId};

use super::super::Effect;
use super::{Node, Purpose, SYSTEM_PROPOSAL_TIMEOUT_MS};

/// Silence after which an entry instance is declared lost: its claims become unknown
/// and its jobs go to others. Longer than any election or pause of a healthy process,
/// as the declaration cannot be undone.
const ENTRY_LOST_AFTER_MS: u64 = 10_000;
/// Interval between rounds of the leader, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 100;
/// Jobs assigned in one round, so that a thousand waiting jobs do not crowd everything
/// else out of the log.
const MAX_ASSIGNMENTS_PER_ROUND: usize = 64;
/// Jobs one entry instance may own at once: more than its share of the slots of today's
/// pools, few enough that losing it leaves little to reassign.
const MAX_JOBS_PER_ENTRY: usize = 256;

/// State that only the leader holds; a new leader starts without it.
#[derive(Debug)]
pub(super) struct Leader {
    controller: Controller,
    next_round_ms: u64,
    since_ms: u64,
    proposed_assignments: BTreeMap<JobId, u64>,
    next_owner: usize,
}

impl Leader {
    fn new(controller: Controller, now_ms: u64) -> Self {
        Self {
            controller,
            next_round_ms: now_ms,
            since_ms: now_ms,
            proposed_assignments: BTreeMap::new(),
            next_owner: 0,
        }
    }
}

impl Node {
    /// Runs one round of the leader's duties, if this entry instance leads.
    pub(super) fn run_leader_duties(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
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
            leader.next_round_ms = now_ms + ROUND_INTERVAL_MS;
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
            // A new leader may not have heard from a healthy peer yet.
            let silent_ms = peer.silent_ms(now_ms).min(now_ms - leader.since_ms);
            if !entry.lost && silent_ms >= ENTRY_LOST_AFTER_MS {
                lost.push((name.clone(), entry.incarnation));
            }
        }
        for (entry, incarnation) in lost {
            if self.proposed_losses.get(&entry) == Some(&incarnation) {
                continue;
            }
            tracing::warn!("leader: {entry} is lost, settling its claims and jobs");
            self.proposed_losses.insert(entry.clone(), incarnation);
            let change = Change::EntryLost { entry, incarnation };
            self.open_proposal(
                now_ms,
                change,
                Purpose::System,
                SYSTEM_PROPOSAL_TIMEOUT_MS,
                out,
            );
        }
    }

    fn assign_jobs(&mut self, now_ms: u64, leader: &mut Leader, out: &mut Vec<Effect>) {
        leader
            .proposed_assignments
            .retain(|_, until_ms| *until_ms > now_ms);
        let owners = self.owners();
        if owners.is_empty() {
            return;
        }
        let ready: Vec<_> = self
            .state
            .ready_jobs()
            .filter(|job| !leader.proposed_assignments.contains_key(&job.id))
            .take(MAX_ASSIGNMENTS_PER_ROUND)
            .map(|job| (job.id.clone(), job.fence))
            .collect();
        for (job, fence) in ready {
            leader.next_owner += 1;
            let (owner, incarnation) = owners[leader.next_owner % owners.len()].clone();
            leader
                .proposed_assignments
                .insert(job.clone(), now_ms + SYSTEM_PROPOSAL_TIMEOUT_MS);
            let change = Change::JobAssign {
                job,
                fence,
                owner,
                incarnation,
            };
            self.open_proposal(
                now_ms,
                change,
                Purpose::System,
                SYSTEM_PROPOSAL_TIMEOUT_MS,
                out,
            );
        }
    }

    /// Entry instances that may be assigned jobs: heard from, not stopping, below the
    /// limit.
    fn owners(&self) -> Vec<(EntryName, u64)> {
        let me = &self.settings.me;
        self.state
            .entries()
            .iter()
            .filter(|(name, entry)| {
                // An incarnation that has ended runs nothing: an entry instance that
                // has just restarted is heard before the replicated state holds its new
                // incarnation.
                let alive = if *name == me {
                    !self.is_stopping() && entry.incarnation == self.settings.incarnation
                } else {
                    self.peers.get(*name).is_some_and(|peer| {
                        !peer.gone && !peer.stopping && entry.incarnation == peer.incarnation
                    })
                };
                alive
                    && !entry.lost
                    && self.state.jobs_owned(name, entry.incarnation).count() < MAX_JOBS_PER_ENTRY
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
                // Orders reach an upstream in the reply to its announcement; every
                // entry instance derives them from the replicated state.
                ControllerAction::Order { .. } => {}
            }
        }
    }

    /// Instances that the dispatcher here has ejected because their attempts fail.
    fn ejected_upstreams(&self, now_ms: u64) -> BTreeSet<InstanceName> {
        let status = self.dispatcher.status(now_ms);
        status
            .upstreams
            .into_iter()
            .filter(|up| matches!(up.health, Health::Ejected { .. }))
            .map(|up| up.instance)
            .collect()
    }

    fn observed(&self, now_ms: u64) -> Observed {
        let sick = self.ejected_upstreams(now_ms);
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
