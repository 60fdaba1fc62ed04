//! Hands calls on to the leader, whoever that is at present.
//!
//! Every call may be carried out twice without harm, so one that is not answered
//! in time is sent again, to another control instance if need be. A caller is told "not
//! run" by a leader, or if each control instance that the call was sent to has answered that
//! it does not lead; what has left this instance unanswered ends as unknown.

use std::collections::BTreeMap;

use super::{Answer, Call};
use crate::model::EntryName;

/// Silence after which a call is sent again elsewhere. Several round trips and
/// syncs of a healthy leader (about 10 ms), and below the second after which
/// callers themselves try elsewhere.
const RESEND_MS: u64 = 500;
/// First pause before an instance that knows no leader is asked again; it doubles up to
/// [`NO_LEADER_MAX_MS`].
const NO_LEADER_MS: u64 = 100;
/// Longest such pause. A leader that is elected makes itself known anyway.
const NO_LEADER_MAX_MS: u64 = 800;
/// Calls that are sent in a pause while no leader is known. All others wait for what these
/// find. If all that wait at all entry instances were sent again and again, those that are
/// about to elect a leader would be busy with saying that they are none.
const PROBES_MAX: usize = 2;

/// What a relay wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayStep {
    /// Send the call to a control instance.
    Send {
        /// Which.
        to: EntryName,
        /// Names the call.
        id: u64,
        /// The call.
        call: Call,
    },
    /// Answer the caller.
    Answer {
        /// Names the call.
        id: u64,
        /// The answer.
        answer: Answer,
    },
}

/// The calls that wait for the leader.
#[derive(Debug, Default)]
pub struct Relay {
    members: Vec<EntryName>,
    leader: Option<EntryName>,
    open: BTreeMap<u64, Open>,
    turn: usize,
    /// The control instance that others named as the leader last and that answered that it
    /// is none, and until when it is not believed to lead.
    denied: Option<(EntryName, u64)>,
    /// Calls that may still be sent without a leader, and until when.
    probes_left: usize,
    probes_until_ms: u64,
    /// The pause between probes.
    probes_pause_ms: u64,
}

#[derive(Debug)]
struct Open {
    call: Call,
    came_ms: u64,
    give_up_ms: u64,
    next_ms: u64,
    /// Where it was sent last.
    sent_to: Option<EntryName>,
    /// How often it was sent without an answer so far.
    unanswered: usize,
    /// A leader took it and did not tell what became of it.
    taken: bool,
}

impl Open {
    /// A call that nobody took certainly has no effect; any other may have one.
    fn given_up(&self) -> Answer {
        if self.taken || self.unanswered > 0 {
            return Answer::Unknown;
        }
        Answer::Refused(super::Refusal::Busy {
            retry_after_ms: RESEND_MS,
        })
    }
}

impl Relay {
    /// The control instances that calls may be sent to.
    pub fn set_members(&mut self, members: Vec<EntryName>) {
        self.members = members;
    }

    /// The control instances that are known.
    pub fn members(&self) -> &[EntryName] {
        &self.members
    }

    /// The leader that is known; calls that wait are sent to it at once.
    pub fn set_leader(&mut self, now_ms: u64, leader: Option<EntryName>) -> Vec<RelayStep> {
        if self.leader == leader {
            return Vec::new();
        }
        self.leader = leader;
        if self.leader.is_none() {
            return Vec::new();
        }
        self.probes_pause_ms = 0;
        for open in self.open.values_mut() {
            open.next_ms = now_ms;
        }
        self.tick(now_ms)
    }

    /// The leader that is known.
    pub fn leader(&self) -> Option<&EntryName> {
        self.leader.as_ref()
    }

    /// How many calls wait.
    pub fn waiting(&self) -> usize {
        self.open.len()
    }

    /// Takes a call, to be given up at `give_up_ms`.
    pub fn open(&mut self, now_ms: u64, id: u64, call: Call, give_up_ms: u64) -> Vec<RelayStep> {
        let open = Open {
            call,
            came_ms: now_ms,
            give_up_ms,
            next_ms: now_ms,
            sent_to: None,
            unanswered: 0,
            taken: false,
        };
        self.open.insert(id, open);
        if self.leader.is_none() && !self.may_probe(now_ms) {
            return Vec::new();
        }
        self.send(now_ms, id).into_iter().collect()
    }

    /// Takes an answer from a control instance.
    pub fn answered(&mut self, now_ms: u64, id: u64, answer: Answer) -> Vec<RelayStep> {
        let Some(open) = self.open.get_mut(&id) else {
            return Vec::new();
        };
        let leader = match answer {
            Answer::NotLeader { leader } => leader,
            Answer::LeadLost => {
                open.taken = true;
                None
            }
            answer => {
                self.open.remove(&id);
                return vec![RelayStep::Answer { id, answer }];
            }
        };
        open.unanswered = open.unanswered.saturating_sub(1);
        if open.sent_to.is_some() && open.sent_to == self.leader {
            let denied = self.leader.take();
            self.denied = denied.map(|name| (name, now_ms + NO_LEADER_MS));
        }
        let leader = leader.filter(|name| !self.is_denied(now_ms, name));
        let news = leader.is_some() && leader != self.leader;
        if let Some(open) = self.open.get_mut(&id) {
            open.next_ms = if news { now_ms } else { now_ms + NO_LEADER_MS };
        }
        self.leader = leader;
        // Without news nothing else is due: a look at all calls for each of them would cost
        // a multiple of what their number does.
        match news {
            true => self.tick(now_ms),
            false => Vec::new(),
        }
    }

    /// Whether it answered a moment ago that it does not lead.
    ///
    /// One that is elected and has not begun, or has just lost its lead, is still named by the
    /// others. If all calls that wait went to it each time that it is named, and back, every
    /// round trip, those that are about to elect a leader would be busy with nothing else.
    pub(super) fn is_denied(&self, now_ms: u64, name: &EntryName) -> bool {
        let denied = self.denied.as_ref();
        denied.is_some_and(|(denied, until_ms)| denied == name && now_ms < *until_ms)
    }

    /// All calls that wait, for an instance that leads by now.
    pub fn take_all(&mut self) -> Vec<(u64, Call)> {
        let open = std::mem::take(&mut self.open);
        open.into_iter().map(|(id, open)| (id, open.call)).collect()
    }

    /// Gives up the calls that came before, as nobody can answer them from here: their
    /// callers reach another instance sooner.
    pub fn give_up_from_before(&mut self, now_ms: u64, before_ms: u64) {
        for open in self.open.values_mut() {
            if open.came_ms < before_ms {
                open.give_up_ms = now_ms;
            }
        }
    }

    /// Sends what is due and gives up what is over.
    pub fn tick(&mut self, now_ms: u64) -> Vec<RelayStep> {
        let mut steps = Vec::new();
        let over: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, open)| now_ms >= open.give_up_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            if let Some(open) = self.open.remove(&id) {
                let answer = open.given_up();
                steps.push(RelayStep::Answer { id, answer });
            }
        }
        let due: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, open)| now_ms >= open.next_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            if self.leader.is_none() && !self.may_probe(now_ms) {
                break;
            }
            steps.extend(self.send(now_ms, id));
        }
        steps
    }

    /// Whether one more call may be sent though no leader is known.
    fn may_probe(&mut self, now_ms: u64) -> bool {
        if now_ms >= self.probes_until_ms {
            let pause_ms = (2 * self.probes_pause_ms).clamp(NO_LEADER_MS, NO_LEADER_MAX_MS);
            self.probes_pause_ms = pause_ms;
            self.probes_until_ms = now_ms + pause_ms;
            self.probes_left = PROBES_MAX;
        }
        let may = self.probes_left > 0;
        self.probes_left = self.probes_left.saturating_sub(1);
        may
    }

    fn send(&mut self, now_ms: u64, id: u64) -> Option<RelayStep> {
        let open = self.open.get(&id)?;
        if open.unanswered > 0 && now_ms >= open.next_ms + RESEND_MS {
            self.leader = None;
        }
        let to = self.target()?;
        let open = self.open.get_mut(&id)?;
        open.sent_to = Some(to.clone());
        open.unanswered += 1;
        open.next_ms = now_ms + RESEND_MS;
        Some(RelayStep::Send {
            to,
            id,
            call: open.call.clone(),
        })
    }

    /// The leader, else the control instances in turn.
    fn target(&mut self) -> Option<EntryName> {
        if let Some(leader) = &self.leader {
            return Some(leader.clone());
        }
        self.turn = self.turn.wrapping_add(1);
        let place = self.turn.checked_rem(self.members.len())?;
        self.members.get(place).cloned()
    }
}
