use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::model::ChangeId;

use super::{Fingerprint, Reply};

/// Operators' changes whose first reply is kept. A day of busy seasonal staff
/// is some hundreds; an older change sent again is stopped by its versions.
pub const CHANGES_KEPT: usize = 4_096;

/// First replies by change id.
///
/// An operator who lost the answer sends the change again: without this the
/// second try would be told "version behind" and look refused although it is
/// in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Changes {
    first: BTreeMap<ChangeId, (Fingerprint, Reply)>,
    order: VecDeque<ChangeId>,
}

impl Changes {
    /// The reply for a change id that was used before: its first reply, or a
    /// refusal where the content differs.
    pub fn replay(&self, change: &ChangeId, content: Fingerprint) -> Option<Reply> {
        let (first, reply) = self.first.get(change)?;
        if *first == content {
            Some(reply.clone())
        } else {
            Some(Reply::ChangeReused)
        }
    }

    /// Keeps the first reply to a change.
    pub fn keep(&mut self, change: &ChangeId, content: Fingerprint, reply: Reply) {
        if self.order.len() >= CHANGES_KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.first.remove(&oldest);
        }
        self.first.insert(change.clone(), (content, reply));
        self.order.push_back(change.clone());
    }
}
