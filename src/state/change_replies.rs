use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::model::ChangeId;

use super::{Fingerprint, Reply};

/// Largest number of operators' changes whose first reply is kept. A day with
/// many seasonal staff has some hundreds of changes; an older change that is
/// sent again is refused because its row versions are outdated.
pub const MAX_CHANGE_REPLIES: usize = 4_096;

/// First replies to operators' changes, by change id.
///
/// An operator who did not receive the reply sends the change again. Without
/// this cache the second attempt would be refused for its outdated row versions
/// although the change is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ChangeReplies {
    by_change: BTreeMap<ChangeId, (Fingerprint, Reply)>,
    /// Change ids in the order of arrival, for eviction.
    oldest_first: VecDeque<ChangeId>,
}

impl ChangeReplies {
    /// Returns the first reply to a change id that was used before, or
    /// [`Reply::ChangeReused`] if the content differs; none for a new id.
    pub fn replay(&self, change: &ChangeId, content: Fingerprint) -> Option<Reply> {
        let (first_content, reply) = self.by_change.get(change)?;
        if *first_content == content {
            Some(reply.clone())
        } else {
            Some(Reply::ChangeReused)
        }
    }

    /// Records the first reply to a change and evicts the oldest one over
    /// [`MAX_CHANGE_REPLIES`].
    pub fn record(&mut self, change: &ChangeId, content: Fingerprint, reply: Reply) {
        if self.oldest_first.len() >= MAX_CHANGE_REPLIES
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.by_change.remove(&oldest);
        }
        self.by_change.insert(change.clone(), (content, reply));
        self.oldest_first.push_back(change.clone());
    }
}
