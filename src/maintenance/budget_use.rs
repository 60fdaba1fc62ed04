use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::model::{FailureDomain, PoolName};

use super::Cause;

/// The arithmetic of one pool's budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetUse {
    /// The pool.
    pub pool: PoolName,
    /// Its instances.
    pub members: u32,
    /// Those that serve.
    pub serving: u32,
    /// Those that do not, each under one cause.
    pub absent: BTreeMap<Cause, u32>,
    /// The failure domain still to come.
    pub survive: FailureDomain,
    /// What would be lost with it.
    pub worst_loss: u32,
    /// Instances that must be available.
    pub needed: u32,
}

impl BudgetUse {
    /// Instances left after the worst loss still to come.
    pub fn after(&self) -> u32 {
        self.serving.saturating_sub(self.worst_loss)
    }

    /// Whether the budget holds, the worst loss still to come included.
    pub fn is_whole(&self) -> bool {
        self.after() >= self.needed
    }
}

impl fmt::Display for BudgetUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "pool {}: {} of {} serving",
            self.pool, self.serving, self.members
        )?;
        for (i, (cause, count)) in self.absent.iter().enumerate() {
            let lead = if i == 0 { " (" } else { ", " };
            write!(f, "{lead}{count} {cause}")?;
        }
        if !self.absent.is_empty() {
            write!(f, ")")?;
        }
        if self.survive != FailureDomain::None {
            let (loss, domain) = (self.worst_loss, self.survive);
            write!(f, ", less {loss} for the worst {domain} still to come")?;
        }
        let verdict = if self.is_whole() { "meets" } else { "breaks" };
        write!(
            f,
            " = {}, {verdict} its need of {}",
            self.after(),
            self.needed
        )
    }
}
