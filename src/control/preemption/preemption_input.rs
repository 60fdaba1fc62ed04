use crate::control::{Estimates, Fleet, Policy, State, Timing, WorkspaceShares};

/// The inputs of [`super::Preemptor::choose`].
#[derive(Clone, Copy, Debug)]
pub struct PreemptionInput<'a> {
    /// The replicated state.
    pub state: &'a State,
    /// The leader's links to workers.
    pub fleet: &'a Fleet,
    /// Learned run times of tasks.
    pub estimates: &'a Estimates,
    /// The jobs that are beyond the shares of their workspaces.
    pub shares: &'a WorkspaceShares,
    /// Times that the deployment sets.
    pub timing: &'a Timing,
    /// The policy that is in force.
    pub policy: &'a Policy,
}
