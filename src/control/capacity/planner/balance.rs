use super::allotment::Allotment;
use crate::model::PoolName;

/// The machine counts of a pool compared with its need.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Balance {
    pub(super) name: PoolName,
    /// Usable machines in the pool, without those that are about to leave it.
    pub(super) has: usize,
    /// Machines that are moving to the pool or are being drained for that.
    pub(super) incoming: usize,
    /// Machines that the pool's accepted and arriving work needs.
    pub(super) needs: usize,
    /// Machines that it needs if its late work is to end within a bounded time; at least `needs`.
    pub(super) overdue: usize,
    /// Machines that it needs if its turn is as it is expected to be; at least `needs`.
    pub(super) expects: usize,
    /// Machines that the pool does not release to the needs of another pool.
    pub(super) keep: usize,
    /// Machines that the pool does not release to standby.
    pub(super) keep_powered: usize,
    /// What the pool may have if there are not enough machines for all pools.
    pub(super) allotment: Option<Allotment>,
}

/// What a machine is moved for, the most urgent first. Late work that has waited long takes only
/// what no pool needs. What pools are expected to need comes last: where machines are scarce, an
/// expectation would otherwise take them from work that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    Need,
    Overdue,
    Expectation,
}

impl Purpose {
    /// All purposes, the most urgent first.
    pub(super) const ALL: [Self; 3] = [Self::Need, Self::Overdue, Self::Expectation];
}

impl Balance {
    /// Returns how many machines may move to other pools.
    pub(super) fn surplus(&self, purpose: Purpose) -> usize {
        let keep = match purpose {
            Purpose::Need => self.keep,
            Purpose::Overdue => self.keep.max(self.overdue),
            Purpose::Expectation => self.keep.max(self.overdue).max(self.expects),
        };
        (self.has + self.incoming).saturating_sub(keep)
    }

    /// Returns how many machines may go to standby.
    pub(super) fn unneeded(&self) -> usize {
        (self.has + self.incoming).saturating_sub(self.keep_powered)
    }

    /// Returns how many machines are missing.
    pub(super) fn deficit(&self, purpose: Purpose) -> usize {
        self.wanted(purpose)
            .saturating_sub(self.has + self.incoming)
    }

    /// Returns the deficit as a part of the machines that are wanted, in thousandths.
    pub(super) fn deficit_per_mille(&self, purpose: Purpose) -> usize {
        self.deficit(purpose) * 1_000 / self.wanted(purpose).max(1)
    }

    /// Limits what the pool wants and keeps to its allotment. `kept` is the largest allotment of
    /// the last moments, so that no machine leaves because of a lull between two arrivals.
    pub(super) fn limit(&mut self, allotment: Allotment, kept: usize) {
        self.needs = self.needs.min(allotment.machines);
        self.overdue = self.needs;
        self.expects = self.needs;
        self.keep = kept;
        self.allotment = Some(allotment);
    }

    /// Returns the priority of the entitled work for which machines are missing; `None` if there
    /// are enough machines for all pools, or none are missing for such work.
    pub(super) fn entitled_deficit(&self) -> Option<u32> {
        let allotment = self.allotment?;
        let is_missing = self.has + self.incoming < allotment.entitled.min(self.needs);
        allotment.priority.filter(|_| is_missing)
    }

    fn wanted(&self, purpose: Purpose) -> usize {
        match purpose {
            Purpose::Need => self.needs,
            Purpose::Overdue => self.overdue,
            Purpose::Expectation => self.expects,
        }
    }
}

/// Returns the pool with the largest deficit relative to what it wants.
pub(super) fn largest_deficit(pools: &[Balance], purpose: Purpose) -> Option<usize> {
    (0..pools.len())
        .filter(|p| pools[*p].deficit(purpose) > 0)
        .max_by_key(|p| pools[*p].deficit_per_mille(purpose))
}
