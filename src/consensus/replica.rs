use std::collections::BTreeSet;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::model::EntryName;

use super::bootstrap::Bootstrap;
use super::journal::{Deferred, Journal};
use super::leader::{LeaderState, MAX_BATCH_BYTES};
use super::log::Log;
use super::snapshots::IncomingSnapshot;
use super::{
    Action, COMMAND_LIMIT_BYTES, HardState, Input, Message, Record, Recovered, ReplicaSettings,
    Snapshot, VoterChange,
};

/// An entry instance's copy of the replicated log: a voter if the membership lists its
/// data folder, else a learner.
///
/// It owns no clock, socket, thread or file. `now_ms` may start at any value but must
/// not go backwards during the lifetime of the object.
#[derive(Debug)]
pub struct Replica {
    pub(super) settings: ReplicaSettings,
    /// All other entry instances, ordered by name.
    pub(super) peers: Vec<EntryName>,
    pub(super) rng: ChaCha8Rng,
    /// Random number that identifies this start of the process.
    pub(super) start_id: u32,
    pub(super) started_ms: u64,
    pub(super) incarnation: Option<u64>,
    pub(super) hard: HardState,
    pub(super) log: Log,
    pub(super) journal: Journal,
    pub(super) snapshot: Option<Arc<Snapshot>>,
    pub(super) incoming: Option<IncomingSnapshot>,
    pub(super) snapshot_pending: bool,
    /// Index that the last requested snapshot covers.
    pub(super) snapshot_requested_index: u64,
    pub(super) commit_index: u64,
    pub(super) applied_index: u64,
    pub(super) role_state: RoleState,
    pub(super) leader: Option<EntryName>,
    /// Time of the last message from a leader.
    pub(super) leader_heard_ms: Option<u64>,
    /// The term whose leader resigned.
    pub(super) resigned_term: Option<u64>,
    /// Latest timestamp of this replica that the leader has confirmed; the view lease
    /// counts from it.
    pub(super) view_confirmed_ms: Option<u64>,
    /// Voters that voted for this replica in the current term, itself included.
    pub(super) votes: BTreeSet<EntryName>,
    /// The last term in which this replica was the leader.
    pub(super) last_led_term: Option<u64>,
    /// The candidate to which this replica last granted a pre-vote, and the time.
    pub(super) last_pre_vote: Option<(EntryName, u64)>,
    /// Time at which the election timeout expires.
    pub(super) election_due_ms: u64,
    pub(super) bootstrap: Bootstrap,
    pub(super) actions: Vec<Action>,
}

/// The current role of a replica with the state that belongs to it.
#[derive(Debug)]
pub(super) enum RoleState {
    Follower,
    Candidate {
        /// Whether this is a pre-vote round.
        pre: bool,
        /// Voters that granted a pre-vote.
        granted: BTreeSet<EntryName>,
        /// Voters that refused.
        refused: BTreeSet<EntryName>,
    },
    Leader(Box<LeaderState>),
}

impl Replica {
    /// Creates a replica from the state of its data folder, or from
    /// `Recovered::default()` if it has none.
    pub fn new(settings: ReplicaSettings, mut recovered: Recovered, now_ms: u64) -> Self {
        let mut peers: BTreeSet<EntryName> = settings.voters.iter().cloned().collect();
        peers.extend(settings.peers.iter().cloned());
        peers.remove(&settings.me);
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let start_id = rng.random();
        let log = Log::new(&mut recovered);
        let applied = recovered.snapshot.as_ref().map_or(0, |s| s.index);
        let mut replica = Self {
            peers: peers.into_iter().collect(),
            rng,
            start_id,
            started_ms: now_ms,
            incarnation: recovered.incarnation,
            hard: recovered.hard,
            journal: Journal::new(recovered.incarnation.is_none(), log.last_index()),
            log,
            snapshot: recovered.snapshot,
            incoming: None,
            snapshot_pending: false,
            snapshot_requested_index: 0,
            commit_index: applied,
            applied_index: applied,
            role_state: RoleState::Follower,
            leader: None,
            leader_heard_ms: None,
            resigned_term: None,
            view_confirmed_ms: None,
            votes: BTreeSet::new(),
            last_led_term: None,
            last_pre_vote: None,
            election_due_ms: 0,
            bootstrap: Bootstrap::default(),
            actions: Vec::new(),
            settings,
        };
        replica.reset_election_timer(now_ms);
        replica.restore_snapshot();
        replica
    }

    /// Handles one input and returns the actions to carry out, in order.
    pub fn handle(&mut self, now_ms: u64, input: Input) -> Vec<Action> {
        match input {
            Input::Tick => self.tick(now_ms),
            Input::Message { from, message } => self.handle_message(now_ms, from, message),
            Input::Propose { command } => self.propose(command),
            Input::ChangeVoters { change } => self.change_voters(change),
            Input::PlanVoters { change } => self.plan_voters(change),
            Input::AddPeer { name } => self.add_peer(now_ms, name),
            Input::Resign => self.resign(now_ms),
            Input::Transfer { to } => self.transfer(now_ms, to),
            Input::Persisted { token } => self.handle_persisted(now_ms, token),
            Input::SnapshotTaken { index, data } => self.handle_snapshot_taken(index, data),
        }
        self.add_peers_from_membership(now_ms);
        self.advance_leader(now_ms);
        self.actions.extend(self.journal.flush());
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self, now_ms: u64) {
        match self.role_state {
            RoleState::Leader(_) => self.tick_leader(now_ms),
            RoleState::Follower | RoleState::Candidate { .. } => {
                if self.leader.is_some() && !self.has_recent_leader(now_ms) {
                    self.leader = None;
                }
                self.tick_bootstrap(now_ms);
                self.tick_election(now_ms);
            }
        }
    }

    fn handle_message(&mut self, now_ms: u64, from: EntryName, message: Message) {
        match message {
            Message::Forward { command } => {
                if self.is_leader() {
                    self.propose(command);
                }
            }
            Message::ForwardChange { change } => {
                if self.is_leader() {
                    self.change_voters(change);
                }
            }
            Message::Found { founder } => self.handle_found(from, founder),
            Message::FoundReply {
                founder,
                incarnation,
                empty,
            } => self.handle_found_reply(now_ms, from, founder, incarnation, empty),
            Message::Vote(request) => self.handle_vote_request(now_ms, from, &request),
            Message::VoteReply {
                term,
                pre,
                granted,
                incarnation,
            } => self.handle_vote_reply(now_ms, from, term, pre, granted, incarnation),
            Message::Append {
                beat,
                prev_index,
                prev_term,
                entries,
            } => self.handle_append(now_ms, from, &beat, (prev_index, prev_term), entries),
            Message::Chunk {
                beat,
                index,
                term,
                membership,
                total_bytes,
                offset_bytes,
                data,
            } => {
                let head = IncomingSnapshot::new(index, term, membership, total_bytes);
                self.handle_chunk(now_ms, from, &beat, head, offset_bytes, &data);
            }
            Message::Resign { term, successor } => {
                self.handle_resign(now_ms, &from, term, &successor);
            }
            Message::Reply(reply) => self.handle_reply(now_ms, from, &reply),
        }
    }

    fn propose(&mut self, command: Vec<u8>) {
        if command.is_empty() || command.len() > COMMAND_LIMIT_BYTES {
            let size_bytes = command.len();
            tracing::error!(
                size_bytes,
                "log: a command is empty or too large and dropped"
            );
            return;
        }
        if self.is_leader() {
            self.append_command(command);
        } else if let Some(to) = self.leader.clone() {
            self.send(to, Message::Forward { command });
        }
    }

    fn change_voters(&mut self, change: VoterChange) {
        if let RoleState::Leader(leader) = &mut self.role_state {
            leader.requested_changes.insert(change);
        } else if let Some(to) = self.leader.clone() {
            self.send(to, Message::ForwardChange { change });
        }
    }

    fn plan_voters(&mut self, change: Option<VoterChange>) {
        if let RoleState::Leader(leader) = &mut self.role_state {
            leader.requested_changes = change.into_iter().collect();
        }
    }

    fn handle_persisted(&mut self, now_ms: u64, token: u64) {
        for deferred in self.journal.synced(token) {
            self.run_deferred(now_ms, deferred);
        }
    }

    fn run_deferred(&mut self, now_ms: u64, deferred: Deferred) {
        match deferred {
            Deferred::Action(action) => self.actions.push(action),
            Deferred::OwnVote { term } => self.count_own_vote(now_ms, term),
        }
    }

    /// Runs the deferred work once all records written so far are synced.
    pub(super) fn after_sync(&mut self, now_ms: u64, deferred: Deferred) {
        if let Some(ready) = self.journal.after_sync(deferred) {
            self.run_deferred(now_ms, ready);
        }
    }

    /// Sends the message once all records written so far are synced.
    pub(super) fn send_after_sync(&mut self, now_ms: u64, to: EntryName, message: Message) {
        let action = Action::Send { to, message };
        self.after_sync(now_ms, Deferred::Action(action));
    }

    pub(super) fn send(&mut self, to: EntryName, message: Message) {
        self.actions.push(Action::Send { to, message });
    }

    /// Enters a higher term as a follower that has not voted.
    pub(super) fn enter_term(&mut self, now_ms: u64, term: u64) {
        self.hard = HardState {
            term,
            voted_for: None,
        };
        self.journal.write(Record::Hard(self.hard.clone()));
        self.votes.clear();
        self.leader = None;
        self.become_follower(now_ms);
    }

    pub(super) fn become_follower(&mut self, now_ms: u64) {
        self.role_state = RoleState::Follower;
        self.reset_election_timer(now_ms);
    }

    /// Restarts the election timer with a new random timeout.
    pub(super) fn reset_election_timer(&mut self, now_ms: u64) {
        let timeout_ms = self.settings.election_timeout_ms;
        let more_ms = self.rng.random_range(0..=timeout_ms / 2);
        self.election_due_ms = now_ms + timeout_ms + more_ms;
    }

    /// Restarts the election timer with a short random timeout after a lost round: the
    /// voters are reachable, so only the cause of their refusal has to pass.
    pub(super) fn shorten_election_timer(&mut self, now_ms: u64) {
        let timeout_ms = self.settings.election_timeout_ms;
        self.election_due_ms = now_ms + self.rng.random_range(timeout_ms / 8..=timeout_ms / 2);
    }

    pub(super) fn is_leader(&self) -> bool {
        matches!(self.role_state, RoleState::Leader(_))
    }

    /// Returns whether the membership lists this replica's data folder.
    pub(super) fn is_voter(&self) -> bool {
        let membership = self.log.membership();
        membership.is_voter(&self.settings.me, self.incarnation)
    }

    /// Returns whether a leader was heard from within the shortest election timeout.
    pub(super) fn has_recent_leader(&self, now_ms: u64) -> bool {
        let timeout_ms = self.settings.election_timeout_ms;
        self.leader_heard_ms
            .is_some_and(|at| now_ms < at + timeout_ms)
    }

    /// Commits the entries up to `index` and applies them, at most [`MAX_BATCH_BYTES`] at
    /// once, as much as a message of a leader carries. The rest follows with the next inputs.
    ///
    /// After a restart of all voters, a new leader and its followers apply what the log holds
    /// beyond the latest snapshot. In one go that can take longer than an election timeout, in
    /// which a leader sends no heartbeats, and it loses its quorum before it has begun.
    pub(super) fn commit(&mut self, index: u64) {
        let entries = self
            .log
            .batch(self.applied_index + 1, index, MAX_BATCH_BYTES);
        if entries.is_empty() {
            return;
        }
        self.commit_index = self.applied_index + entries.len() as u64;
        self.applied_index = self.commit_index;
        self.actions.push(Action::Apply { entries });
        self.request_snapshot_if_due();
    }
}
