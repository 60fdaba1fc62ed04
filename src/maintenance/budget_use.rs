use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::model::{FailureDomain, PoolName};

use super::Cause;

/// The use of one pool's budget; its display text shows the calculation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetUse {
    /// The pool.
    pub pool: PoolName,
    /// Number of its instances.
    pub members: u32,
    /// Number of instances that serve.
    pub serving: u32,
    /// Numbers of instances that do not serve, by cause.
    pub absent: BTreeMap<Cause, u32>,
    /// The failure domain whose loss the pool must survive.
    pub survive: FailureDomain,
    /// Most instances that the loss of one such domain would take out of service.
    pub worst_loss: u32,
    /// Number of instances that must be available.
    pub needed: u32,
}

impl BudgetUse {
    /// Number of serving instances left after the worst loss.
    pub fn after(&self) -> u32 {
        self.serving.saturating_sub(self.worst_loss)
    }

    /// Whether the budget holds even after the worst loss.
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
            let separator = if i == 0 { " (" } else { ", " };
            write!(f, "{separator}{count} {cause}")?;
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
