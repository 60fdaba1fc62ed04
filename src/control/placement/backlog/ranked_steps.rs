use super::super::ServiceClass;
use super::{Entry, PoolBacklog, RankedLanes, StepDemand};
use crate::control::{OrderPolicy, SizeShares};
use crate::model::WorkspaceName;

/// Iterates over the waiting steps of a pool by rank, except that within a class small and
/// large jobs alternate by their shares of the room.
pub(in super::super) struct RankedSteps<'a> {
    backlog: &'a PoolBacklog,
    groups: [RankedLanes<'a>; 2],
    /// The last entry visited in each group. A single position for both would skip entries,
    /// because the shares bring the iteration to different ranks in the two groups.
    reached: [Option<Entry>; 2],
    /// The cores in use in the pool.
    running: SizeShares,
    large_part: f64,
    /// The class that the iteration is in, to which `shares` and `weights` apply.
    class: Option<ServiceClass>,
    shares: SizeShares,
    weights: [f64; 2],
}

impl<'a> RankedSteps<'a> {
    /// Iterates from the first step, given the cores in use in the pool.
    pub(in super::super) fn new(
        backlog: &'a PoolBacklog,
        running: SizeShares,
        policy: &OrderPolicy,
    ) -> Self {
        Self::after(backlog, [None, None], running, policy)
    }

    /// Iterates from where the last pass stopped.
    pub(in super::super) fn resumed(
        backlog: &'a PoolBacklog,
        running: SizeShares,
        policy: &OrderPolicy,
    ) -> Self {
        Self::after(backlog, backlog.resume, running, policy)
    }

    fn after(
        backlog: &'a PoolBacklog,
        reached: [Option<Entry>; 2],
        running: SizeShares,
        policy: &OrderPolicy,
    ) -> Self {
        let group = |group: usize| {
            let steps = backlog.group(group == 1);
            steps.ranked(reached[group])
        };
        Self {
            backlog,
            groups: [group(0), group(1)],
            reached,
            running,
            large_part: policy.large_part,
            class: None,
            shares: running,
            weights: [0.0; 2],
        }
    }

    /// Returns the last visited entries of small and of large jobs.
    pub(in super::super) fn reached(&self) -> [Option<Entry>; 2] {
        self.reached
    }

    /// Skips the rest of a workspace's steps.
    pub(in super::super) fn close(&mut self, workspace: &WorkspaceName) {
        for group in &mut self.groups {
            group.close(workspace);
        }
    }

    /// Returns the group of the next step: 0 for small jobs, 1 for large ones.
    fn next_group(&mut self) -> Option<usize> {
        let [small, large] = &self.groups;
        let (small, large) = match (small.peek(), large.peek()) {
            (None, None) => return None,
            (Some(_), None) => return Some(0),
            (None, Some(_)) => return Some(1),
            (Some(small), Some(large)) => (small, large),
        };
        if !small.rank.shares_room_with(&large.rank) || self.large_part <= 0.0 {
            return Some(usize::from(large < small));
        }
        let class = small.rank.class();
        if self.class != Some(class) {
            self.class = Some(class);
            self.shares = self.running;
            let [small, large] = self.backlog.demand_cores(class);
            self.shares.add_waiting(false, small);
            self.shares.add_waiting(true, large);
            self.weights = self.shares.weights(self.large_part);
        }
        Some(self.shares.next_group(self.weights))
    }
}

impl Iterator for RankedSteps<'_> {
    type Item = (Entry, StepDemand);

    fn next(&mut self) -> Option<Self::Item> {
        let group = self.next_group()?;
        let (entry, demand) = self.groups[group].next()?;
        self.reached[group] = Some(entry);
        self.shares.add_running(group == 1, demand.cores());
        Some((entry, demand))
    }
}
