use std::collections::BTreeSet;

use crate::control::{Fleet, State, Timing, UpkeepPolicy};
use crate::model::InstanceName;

/// The inputs of [`super::Upkeep::tick`].
#[derive(Clone, Copy, Debug)]
pub struct UpkeepInput<'a> {
    /// The replicated state.
    pub state: &'a State,
    /// The leader's links to workers.
    pub fleet: &'a Fleet,
    /// Machines that are off.
    pub off: &'a BTreeSet<String>,
    /// Machines with an order that is not answered yet.
    pub ordered: &'a BTreeSet<&'a String>,
    /// Workers with a proposed start that is not committed yet.
    pub busy: &'a BTreeSet<InstanceName>,
    /// Times of the deployment.
    pub timing: &'a Timing,
    /// The operator's policy for upkeep.
    pub policy: &'a UpkeepPolicy,
}
