use std::collections::BTreeSet;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::model::EntryName;

use super::founding::Founding;
use super::journal::{Journal, Waiting};
use super::leading::Leading;
use super::log::Log;
use super::snapshots::Incoming;
use super::{
    Action, COMMAND_LIMIT_BYTES, HardState, Input, Message, Record, Recovered, ReplicaSettings,
    Snapshot, VoterChange,
};

/// One entry instance's copy of the log: a voter if the membership counts its
/// data folder, else a learner.
///
/// It holds no clock, socket, thread or file. `now_ms` may start anywhere but
/// must not go back while the object lives.
#[derive(Debug)]
pub struct Replica {
    pub(super) settings: ReplicaSettings,
    /// All other entry instances, in the order of their names.
    pub(super) others: Vec<EntryName>,
    pub(super) rng: ChaCha8Rng,
    /// Tells this start from others.
    pub(super) start: u32,
    pub(super) started_ms: u64,
    pub(super) incarnation: Option<u64>,
    pub(super) hard: HardState,
    pub(super) log: Log,
    pub(super) journal: Journal,
    pub(super) snapshot: Option<Arc<Snapshot>>,
    pub(super) incoming: Option<Incoming>,
    pub(super) taking_snapshot: bool,
    /// Up to which entry the last snapshot that was asked for goes.
    pub(super) snapshot_asked_index: u64,
    pub(super) commit_index: u64,
    pub(super) applied_index: u64,
    pub(super) part: Part,
    pub(super) leader: Option<EntryName>,
    /// When a leader was heard last.
    pub(super) heard_ms: Option<u64>,
    /// The term whose leader resigned.
    pub(super) resigned_term: Option<u64>,
    /// The latest moment at which the leader has proved to know of this replica.
    pub(super) confirmed_ms: Option<u64>,
    /// Who elected it in the present term, itself included.
    pub(super) votes: BTreeSet<EntryName>,
    /// The term in which it has led, if any.
    pub(super) led_term: Option<u64>,
    /// The candidate that was told last that it would be elected, and when.
    pub(super) favoured: Option<(EntryName, u64)>,
    /// When to ask for an election.
    pub(super) election_ms: u64,
    pub(super) founding: Founding,
    pub(super) out: Vec<Action>,
}

/// What a replica does at present.
#[derive(Debug)]
pub(super) enum Part {
    Follower,
    Candidate {
        /// Whether it only asks if it would be elected.
        pre: bool,
        /// Who would elect it.
        granted: BTreeSet<EntryName>,
        /// Who refused.
        refused: BTreeSet<EntryName>,
    },
    Leader(Box<Leading>),
}

impl Replica {
    /// A replica that goes on from what its data folder remembers, or
    /// `Recovered::default()` for one without a folder.
    pub fn new(settings: ReplicaSettings, mut recovered: Recovered, now_ms: u64) -> Self {
        let mut others: BTreeSet<EntryName> = settings.voters.iter().cloned().collect();
        others.extend(settings.peers.iter().cloned());
        others.remove(&settings.me);
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let start = rng.random();
        let log = Log::new(&mut recovered);
        let applied = recovered.snapshot.as_ref().map_or(0, |s| s.index);
        let mut replica = Self {
            others: others.into_iter().collect(),
            rng,
            start,
            started_ms: now_ms,
            incarnation: recovered.incarnation,
            hard: recovered.hard,
            journal: Journal::new(recovered.incarnation.is_none(), log.last_index()),
            log,
            snapshot: recovered.snapshot,
            incoming: None,
            taking_snapshot: false,
            snapshot_asked_index: 0,
            commit_index: applied,
            applied_index: applied,
            part: Part::Follower,
            leader: None,
            heard_ms: None,
            resigned_term: None,
            confirmed_ms: None,
            votes: BTreeSet::new(),
            led_term: None,
            favoured: None,
            election_ms: 0,
            founding: Founding::default(),
            out: Vec::new(),
            settings,
        };
        replica.rest(now_ms);
        replica.restore_snapshot();
        replica
    }

    /// Takes one input and returns what to do, in this order.
    pub fn handle(&mut self, now_ms: u64, input: Input) -> Vec<Action> {
        match input {
            Input::Tick => self.tick(now_ms),
            Input::Message { from, message } => self.message(now_ms, from, message),
            Input::Propose { command } => self.propose(command),
            Input::ChangeVoters { change } => self.change_voters(change),
            Input::Meet { name } => self.meet(now_ms, name),
            Input::Resign => self.resign(now_ms),
            Input::Persisted { token } => self.persisted(now_ms, token),
            Input::SnapshotTaken { index, data } => self.snapshot_taken(index, data),
        }
        self.meet_voters(now_ms);
        self.lead_on(now_ms);
        self.out.extend(self.journal.flush());
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self, now_ms: u64) {
        match self.part {
            Part::Leader(_) => self.tick_leader(now_ms),
            Part::Follower | Part::Candidate { .. } => {
                if self.leader.is_some() && !self.hears_leader(now_ms) {
                    self.leader = None;
                }
                self.found(now_ms);
                self.tick_election(now_ms);
            }
        }
    }

    fn message(&mut self, now_ms: u64, from: EntryName, message: Message) {
        match message {
            Message::Forward { command } => {
                if self.leads() {
                    self.propose(command);
                }
            }
            Message::ForwardChange { change } => {
                if self.leads() {
                    self.change_voters(change);
                }
            }
            Message::Found { founder } => self.asked_by_founder(from, founder),
            Message::FoundReply {
                founder,
                incarnation,
                empty,
            } => self.founder_answered(now_ms, from, founder, incarnation, empty),
            Message::Vote(request) => self.asked_for_vote(now_ms, from, &request),
            Message::VoteReply {
                term,
                pre,
                granted,
                incarnation,
            } => self.vote_answered(now_ms, from, term, pre, granted, incarnation),
            Message::Append {
                beat,
                prev_index,
                prev_term,
                entries,
            } => self.append(now_ms, from, &beat, (prev_index, prev_term), entries),
            Message::Chunk {
                beat,
                index,
                term,
                membership,
                total_bytes,
                offset_bytes,
                data,
            } => {
                let head = Incoming::new(index, term, membership, total_bytes);
                self.chunk(now_ms, from, &beat, head, offset_bytes, &data);
            }
            Message::Resign { term, successor } => {
                self.leader_resigned(now_ms, &from, term, &successor);
            }
            Message::Reply(reply) => self.replied(now_ms, from, &reply),
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
        if self.leads() {
            self.add_command(command);
        } else if let Some(to) = self.leader.clone() {
            self.send(to, Message::Forward { command });
        }
    }

    fn change_voters(&mut self, change: VoterChange) {
        if let Part::Leader(leading) = &mut self.part {
            leading.wanted.insert(change);
        } else if let Some(to) = self.leader.clone() {
            self.send(to, Message::ForwardChange { change });
        }
    }

    fn persisted(&mut self, now_ms: u64, token: u64) {
        for what in self.journal.synced(token) {
            self.act(now_ms, what);
        }
    }

    fn act(&mut self, now_ms: u64, what: Waiting) {
        match what {
            Waiting::Act(action) => self.out.push(action),
            Waiting::OwnVote { term } => self.own_vote(now_ms, term),
        }
    }

    /// Does it once everything written so far is synced.
    pub(super) fn after_sync(&mut self, now_ms: u64, what: Waiting) {
        if let Some(now) = self.journal.after_sync(what) {
            self.act(now_ms, now);
        }
    }

    /// Sends it once everything written so far is synced.
    pub(super) fn send_after_sync(&mut self, now_ms: u64, to: EntryName, message: Message) {
        let action = Action::Send { to, message };
        self.after_sync(now_ms, Waiting::Act(action));
    }

    pub(super) fn send(&mut self, to: EntryName, message: Message) {
        self.out.push(Action::Send { to, message });
    }

    /// Enters a higher term, in which it has not voted.
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
        self.part = Part::Follower;
        self.rest(now_ms);
    }

    /// Draws anew how long to wait for a leader.
    pub(super) fn rest(&mut self, now_ms: u64) {
        let timeout_ms = self.settings.election_timeout_ms;
        let more_ms = self.rng.random_range(0..=timeout_ms / 2);
        self.election_ms = now_ms + timeout_ms + more_ms;
    }

    /// Draws anew how long to wait after a round that was lost early: the voters answer, so
    /// only their reasons have to pass.
    pub(super) fn rest_briefly(&mut self, now_ms: u64) {
        let timeout_ms = self.settings.election_timeout_ms;
        self.election_ms = now_ms + self.rng.random_range(timeout_ms / 8..=timeout_ms / 2);
    }

    pub(super) fn leads(&self) -> bool {
        matches!(self.part, Part::Leader(_))
    }

    /// Whether the membership counts this replica's data folder.
    pub(super) fn is_voter(&self) -> bool {
        let membership = self.log.membership();
        membership.counts(&self.settings.me, self.incarnation)
    }

    /// Whether a leader was heard within the shortest election timeout.
    pub(super) fn hears_leader(&self, now_ms: u64) -> bool {
        let timeout_ms = self.settings.election_timeout_ms;
        self.heard_ms.is_some_and(|at| now_ms < at + timeout_ms)
    }

    /// Applies what is committed and not applied yet.
    pub(super) fn apply(&mut self) {
        if self.commit_index <= self.applied_index {
            return;
        }
        let range = self.log.range(self.applied_index + 1, self.commit_index);
        let entries = range.cloned().collect();
        self.applied_index = self.commit_index;
        self.out.push(Action::Apply { entries });
        self.consider_snapshot();
    }
}
