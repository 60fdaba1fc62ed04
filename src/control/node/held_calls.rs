use super::CallOrigin;
use crate::control::{Call, Credentials};

/// The calls that wait until a proposed configuration is in force.
///
/// A job is accepted into the queue that the configuration in force has at its place, and the
/// change that stores the job is applied later. If another configuration came into force in
/// between, the job would be stored for a queue that no longer exists, and no worker would ever
/// get it. So no such change is proposed behind a configuration that is not applied yet.
#[derive(Debug, Default)]
pub(super) struct HeldCalls {
    /// When the configuration was proposed; `None` if none is in the log.
    proposed_ms: Option<u64>,
    calls: Vec<HeldCall>,
}

/// A call that the leader has not begun to handle.
#[derive(Debug)]
pub(super) struct HeldCall {
    /// Where it came in.
    pub(super) caller: CallOrigin,
    /// What came with it to identify its caller.
    pub(super) credentials: Credentials,
    /// The call.
    pub(super) call: Call,
}

impl HeldCalls {
    /// Records that a configuration is proposed.
    pub(super) fn begin(&mut self, now_ms: u64) {
        self.proposed_ms = Some(now_ms);
    }

    /// Returns whether a call has to wait, because its effect depends on the configuration that
    /// is in force when it is applied.
    pub(super) fn must_hold(&self, call: &Call) -> bool {
        let depends = match call {
            Call::Submit { .. } | Call::Configure(_) | Call::ConfigureParts(_) => true,
            Call::Look { .. }
            | Call::Cancel { .. }
            | Call::Report(_)
            | Call::Leave { .. }
            | Call::ReadConfiguration
            | Call::StartWave(_)
            | Call::LookAtWave { .. }
            | Call::Authorized { .. }
            | Call::Since { .. } => false,
        };
        depends && self.proposed_ms.is_some()
    }

    /// Adds a call that waits.
    pub(super) fn add(&mut self, call: HeldCall) {
        self.calls.push(call);
    }

    /// Takes the waiting calls in the order of their arrival, once the configuration is applied.
    pub(super) fn release(&mut self, now_ms: u64) -> Vec<HeldCall> {
        let proposed_ms = self.proposed_ms.take();
        if !self.calls.is_empty() {
            tracing::info!(
                calls = self.calls.len(),
                waited_ms = proposed_ms.map(|at_ms| now_ms.saturating_sub(at_ms)),
                "calls: those that waited for a configuration are handled"
            );
        }
        std::mem::take(&mut self.calls)
    }

    /// Returns the callers that still wait when the leadership ends.
    pub(super) fn into_callers(self) -> impl Iterator<Item = CallOrigin> {
        self.calls.into_iter().map(|held| held.caller)
    }
}
