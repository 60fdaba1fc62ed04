//! Forwards calls to the leader, whichever instance that is at present.
//!
//! Every call is idempotent, so one without a timely answer is sent again, to another
//! control instance if necessary. A caller learns that its call was not run from the
//! leader, or if every control instance that the call was sent to has answered that it does
//! not lead. A call that was sent and not answered ends as unknown. So does one that is refused
//! while another copy of it may have been accepted.

use std::collections::BTreeMap;

use crate::control::{Answer, Call};
use crate::model::EntryName;

/// Time without an answer after which a call is sent again elsewhere. It is longer than
/// several round trips and disk syncs of a healthy leader (about 10 ms), and shorter than
/// the second after which callers themselves try another instance.
const RESEND_TIMEOUT_MS: u64 = 500;
/// Delay before an instance that knew no leader is asked again. The interval between probes
/// starts here and doubles up to [`MAX_PROBE_INTERVAL_MS`].
const MIN_PROBE_INTERVAL_MS: u64 = 100;
/// Longest interval between probes. A newly elected leader announces itself anyway.
const MAX_PROBE_INTERVAL_MS: u64 = 800;
/// Number of calls that are sent in an interval while no leader is known. All other calls
/// wait for the result of these. If all entry instances sent all waiting calls repeatedly,
/// the instances that are about to elect a leader would be busy answering that they do not
/// lead.
const MAX_PROBES_PER_INTERVAL: usize = 2;

/// An action that a relay requests from its owner.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayAction {
    /// Send the call to a control instance.
    Send {
        /// The receiver.
        to: EntryName,
        /// The id of the call.
        id: u64,
        /// The call.
        call: Call,
    },
    /// Answer the caller.
    Answer {
        /// The id of the call.
        id: u64,
        /// The answer.
        answer: Answer,
    },
}

/// The calls that await an answer of the leader.
#[derive(Debug, Default)]
pub struct Relay {
    members: Vec<EntryName>,
    leader: Option<EntryName>,
    open_calls: BTreeMap<u64, OpenCall>,
    next_member: usize,
    /// The control instance that was named as the leader most recently and answered that it
    /// does not lead, with the time until which it is not believed to lead.
    recent_non_leader: Option<(EntryName, u64)>,
    /// Calls that may still be sent in the current probe interval, and the end of that
    /// interval.
    probes_left: usize,
    probe_interval_end_ms: u64,
    /// The current interval between probes.
    probe_interval_ms: u64,
}

#[derive(Debug)]
struct OpenCall {
    call: Call,
    arrived_ms: u64,
    give_up_ms: u64,
    next_send_ms: u64,
    /// The instance that it was last sent to.
    sent_to: Option<EntryName>,
    /// Number of times that it was sent and not answered.
    unanswered: usize,
    /// Whether a leader accepted it and then lost its leadership without a result.
    accepted_by_leader: bool,
}

impl OpenCall {
    /// Returns whether a copy of the call may have an effect, beside `answered` copies that have
    /// none.
    fn may_have_effect(&self, answered: usize) -> bool {
        let is_open = self.accepted_by_leader || self.unanswered > answered;
        is_open && !self.call.is_read()
    }

    /// Returns the answer to a call whose time is over. A call that no leader can have
    /// accepted has no effect; any other call may have one.
    fn timeout_answer(&self) -> Answer {
        if self.accepted_by_leader || self.unanswered > 0 {
            return Answer::Unknown;
        }
        Answer::Refused(crate::control::Refusal::Busy {
            retry_after_ms: RESEND_TIMEOUT_MS,
        })
    }
}

impl Relay {
    /// Sets the control instances that calls may be sent to.
    pub fn set_members(&mut self, members: Vec<EntryName>) {
        self.members = members;
    }

    /// Returns the known control instances.
    pub fn members(&self) -> &[EntryName] {
        &self.members
    }

    /// Sets the known leader. Waiting calls are sent to it at once.
    pub fn set_leader(&mut self, now_ms: u64, leader: Option<EntryName>) -> Vec<RelayAction> {
        if self.leader == leader {
            return Vec::new();
        }
        self.leader = leader;
        if self.leader.is_none() {
            return Vec::new();
        }
        self.probe_interval_ms = 0;
        for open in self.open_calls.values_mut() {
            open.next_send_ms = now_ms;
        }
        self.tick(now_ms)
    }

    /// Returns the known leader.
    pub fn leader(&self) -> Option<&EntryName> {
        self.leader.as_ref()
    }

    /// Returns the number of calls that await an answer.
    pub fn waiting(&self) -> usize {
        self.open_calls.len()
    }

    /// Adds a call, to be given up at `give_up_ms`.
    pub fn add_call(
        &mut self,
        now_ms: u64,
        id: u64,
        call: Call,
        give_up_ms: u64,
    ) -> Vec<RelayAction> {
        let open = OpenCall {
            call,
            arrived_ms: now_ms,
            give_up_ms,
            next_send_ms: now_ms,
            sent_to: None,
            unanswered: 0,
            accepted_by_leader: false,
        };
        self.open_calls.insert(id, open);
        if self.leader.is_none() && !self.take_probe(now_ms) {
            return Vec::new();
        }
        self.send(now_ms, id).into_iter().collect()
    }

    /// Gives up a call whose caller has left, so that it is not sent again. Only a call that
    /// reads or that submits a job is given up: nobody would learn that the job is accepted.
    pub fn abandon(&mut self, id: u64) -> Option<RelayAction> {
        let open = self.open_calls.get(&id)?;
        if !open.call.is_read() && !open.call.is_submission() {
            return None;
        }
        tracing::info!(
            id,
            unanswered = open.unanswered,
            "call: given up, its caller has left"
        );
        self.open_calls.remove(&id);
        let answer = Answer::Unknown;
        Some(RelayAction::Answer { id, answer })
    }

    /// Handles an answer from a control instance.
    pub fn handle_answer(&mut self, now_ms: u64, id: u64, answer: Answer) -> Vec<RelayAction> {
        let Some(open) = self.open_calls.get_mut(&id) else {
            return Vec::new();
        };
        let leader = match answer {
            Answer::NotLeader { leader } => leader,
            Answer::LeadLost => {
                open.accepted_by_leader = true;
                None
            }
            Answer::Refused(refusal) if open.may_have_effect(1) => {
                tracing::info!(
                    id, %refusal, unanswered = open.unanswered - 1,
                    accepted_by_leader = open.accepted_by_leader,
                    "call: refused, but another copy of it may have an effect"
                );
                self.open_calls.remove(&id);
                let answer = Answer::Unknown;
                return vec![RelayAction::Answer { id, answer }];
            }
            answer => {
                self.open_calls.remove(&id);
                return vec![RelayAction::Answer { id, answer }];
            }
        };
        open.unanswered = open.unanswered.saturating_sub(1);
        if open.sent_to.is_some() && open.sent_to == self.leader {
            let recent_non_leader = self.leader.take();
            self.recent_non_leader =
                recent_non_leader.map(|name| (name, now_ms + MIN_PROBE_INTERVAL_MS));
        }
        let leader = leader.filter(|name| !self.is_recent_non_leader(now_ms, name));
        let names_new_leader = leader.is_some() && leader != self.leader;
        if let Some(open) = self.open_calls.get_mut(&id) {
            open.next_send_ms = if names_new_leader {
                now_ms
            } else {
                now_ms + MIN_PROBE_INTERVAL_MS
            };
        }
        self.leader = leader;
        // Without a new leader no other call is due. Scanning all calls for each answer
        // would make the cost quadratic in their number.
        match names_new_leader {
            true => self.tick(now_ms),
            false => Vec::new(),
        }
    }

    /// Returns whether an instance answered a moment ago that it does not lead.
    ///
    /// An instance that is elected and has not begun its leadership, or that has just lost
    /// it, is still named as the leader by others. If all waiting calls were sent to it
    /// each time, they would go back and forth in every round trip and occupy the instances
    /// that are about to elect a leader.
    pub(super) fn is_recent_non_leader(&self, now_ms: u64, name: &EntryName) -> bool {
        let recent_non_leader = self.recent_non_leader.as_ref();
        recent_non_leader
            .is_some_and(|(non_leader, until_ms)| non_leader == name && now_ms < *until_ms)
    }

    /// Takes all waiting calls, for an instance that has become the leader. Each comes with
    /// whether a copy that an earlier leader got may have an effect.
    pub fn take_all(&mut self) -> Vec<(u64, Call, bool)> {
        let open = std::mem::take(&mut self.open_calls);
        let taken = open.into_iter().map(|(id, open)| {
            let may_have_effect = open.may_have_effect(0);
            (id, open.call, may_have_effect)
        });
        taken.collect()
    }

    /// Gives up the calls that arrived before `arrived_before_ms`, because they cannot be
    /// answered from here. Their callers then try another instance sooner.
    pub fn give_up_older_than(&mut self, now_ms: u64, arrived_before_ms: u64) {
        for open in self.open_calls.values_mut() {
            if open.arrived_ms < arrived_before_ms {
                open.give_up_ms = now_ms;
            }
        }
    }

    /// Sends the calls that are due and gives up those whose time is over.
    pub fn tick(&mut self, now_ms: u64) -> Vec<RelayAction> {
        let mut actions = Vec::new();
        let expired: Vec<u64> = self
            .open_calls
            .iter()
            .filter(|(_, open)| now_ms >= open.give_up_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            if let Some(open) = self.open_calls.remove(&id) {
                let answer = open.timeout_answer();
                actions.push(RelayAction::Answer { id, answer });
            }
        }
        let due: Vec<u64> = self
            .open_calls
            .iter()
            .filter(|(_, open)| now_ms >= open.next_send_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            if self.leader.is_none() && !self.take_probe(now_ms) {
                break;
            }
            actions.extend(self.send(now_ms, id));
        }
        actions
    }

    /// Returns whether one more call may be sent while no leader is known, and counts it.
    fn take_probe(&mut self, now_ms: u64) -> bool {
        if now_ms >= self.probe_interval_end_ms {
            let pause_ms =
                (2 * self.probe_interval_ms).clamp(MIN_PROBE_INTERVAL_MS, MAX_PROBE_INTERVAL_MS);
            self.probe_interval_ms = pause_ms;
            self.probe_interval_end_ms = now_ms + pause_ms;
            self.probes_left = MAX_PROBES_PER_INTERVAL;
        }
        let may = self.probes_left > 0;
        self.probes_left = self.probes_left.saturating_sub(1);
        may
    }

    fn send(&mut self, now_ms: u64, id: u64) -> Option<RelayAction> {
        let open = self.open_calls.get(&id)?;
        if open.unanswered > 0 && now_ms >= open.next_send_ms + RESEND_TIMEOUT_MS {
            self.leader = None;
        }
        let to = self.target()?;
        let open = self.open_calls.get_mut(&id)?;
        open.sent_to = Some(to.clone());
        open.unanswered += 1;
        open.next_send_ms = now_ms + RESEND_TIMEOUT_MS;
        Some(RelayAction::Send {
            to,
            id,
            call: open.call.clone(),
        })
    }

    /// Returns the leader if it is known, otherwise the next control instance in
    /// round-robin order.
    fn target(&mut self) -> Option<EntryName> {
        if let Some(leader) = &self.leader {
            return Some(leader.clone());
        }
        self.next_member = self.next_member.wrapping_add(1);
        let index = self.next_member.checked_rem(self.members.len())?;
        self.members.get(index).cloned()
    }
}
