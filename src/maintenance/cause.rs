use serde::{Deserialize, Serialize};

use crate::model::{Absence, DesiredState, Instance};

/// Why an instance does not serve, as counted in the budget use.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
pub enum Cause {
    /// It failed.
    #[display("failed")]
    Failed,
    /// An operator drained it.
    #[display("drained")]
    Operator,
    /// A wave reboots it.
    #[display("rebooting")]
    Reboot,
    /// A wave replaces it.
    #[display("being replaced")]
    Replace,
    /// It moves to another pool.
    #[display("moving away")]
    Move,
    /// It is excluded until an operator restores it.
    #[display("set aside")]
    SetAside,
    /// It is being repaired.
    #[display("in repair")]
    Repair,
}

impl Cause {
    /// Every cause, in the order in which the budget use lists them.
    pub const ALL: [Self; 7] = [
        Self::Failed,
        Self::Operator,
        Self::Reboot,
        Self::Replace,
        Self::Move,
        Self::SetAside,
        Self::Repair,
    ];

    /// Returns the cause under which an instance is counted, or none if it serves.
    /// A decided absence takes precedence over a failure, so that an instance
    /// which fails while it drains is not counted twice.
    pub fn of(instance: &Instance, failed: bool) -> Option<Self> {
        match &instance.duty {
            DesiredState::Serving => failed.then_some(Self::Failed),
            DesiredState::Draining { absence } | DesiredState::Away { absence } => {
                Some(Self::of_absence(absence))
            }
        }
    }

    fn of_absence(absence: &Absence) -> Self {
        match absence {
            Absence::Operator => Self::Operator,
            Absence::Reboot { .. } => Self::Reboot,
            Absence::Replace { .. } => Self::Replace,
            Absence::Move { .. } => Self::Move,
            Absence::SetAside { .. } => Self::SetAside,
            Absence::Repair => Self::Repair,
        }
    }
}
