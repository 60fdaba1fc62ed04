//! Planned stop: calls are accepted until the notice period ends, then open requests
//! are finished.

use super::super::Effect;
use super::Node;

impl Node {
    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop_ms.is_some()
    }

    /// Whether the notice period of a planned stop is over, so that new calls are
    /// refused.
    pub(super) fn refuses_new(&self) -> bool {
        self.notice_over
    }

    pub(super) fn advance_stop(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let Some(since_ms) = self.stop_ms else {
            return;
        };
        if self.stopped || now_ms < since_ms + self.settings.stop_notice_ms {
            return;
        }
        if !self.notice_over {
            self.notice_over = true;
            out.push(Effect::CloseCallers);
        }
        let is_idle = self.requests.is_empty()
            && self.pending_stores.is_empty()
            && self.waiters.is_empty()
            && self.held_jobs.is_empty()
            && self.proposals.is_empty();
        if is_idle || now_ms >= since_ms + self.settings.stop_grace_ms {
            self.stopped = true;
            out.push(Effect::Stopped);
        }
    }
}
