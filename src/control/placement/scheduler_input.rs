use crate::control::{Estimates, Fleet, Policy, State};

/// The input of a scheduling pass.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerInput<'a> {
    /// The replicated state.
    pub state: &'a State,
    /// The leader's links to workers.
    pub fleet: &'a Fleet,
    /// Learned run times of tasks.
    pub estimates: &'a Estimates,
    /// The policy that is in force.
    pub policy: &'a Policy,
}
