use super::backlog::{Entry, PoolBacklog, RankedSteps};
use super::candidate::Candidate;
use super::candidates::Candidates;
use crate::control::{Policy, SizeShares};
use crate::jobs::Resources;
use crate::model::PoolName;

/// Number of consecutive steps without room after which a pass stops searching a pool. It
/// first searches from the start of the backlog, then resumes where the last pass stopped,
/// so that a step with room is reached behind any number of steps without.
const MISSES_IN_A_ROW_MAX: usize = 96;

/// The progress of a scheduling pass in one pool.
pub(super) struct PoolPass<'a> {
    pub(super) pool: &'a PoolName,
    backlog: &'a PoolBacklog,
    running: SizeShares,
    pub(super) steps: RankedSteps<'a>,
    pub(super) candidates: Candidates<'a>,
    /// At least the largest free amount of each resource among the candidates.
    pub(super) largest: Resources,
    /// Whether room was taken since `largest` was computed.
    is_largest_stale: bool,
    /// Consecutive steps that found no room.
    pub(super) misses: usize,
    pub(super) stage: Stage,
}

/// Stage of a pass in one pool.
pub(super) enum Stage {
    /// Walks the backlog from its start.
    FromStart,
    /// Walks on from where the last pass stopped.
    Resumed,
    /// Nothing more fits; the next pass resumes after these entries of small and large
    /// jobs.
    Full([Option<Entry>; 2]),
    /// The whole backlog was visited.
    Exhausted,
}

impl<'a> PoolPass<'a> {
    pub(super) fn new(
        pool: &'a PoolName,
        backlog: &'a PoolBacklog,
        (candidates, running): (Vec<Candidate<'a>>, SizeShares),
        policy: &Policy,
    ) -> Self {
        let candidates = Candidates::new(candidates);
        Self {
            pool,
            backlog,
            running,
            steps: RankedSteps::new(backlog, running, &policy.order),
            largest: candidates.largest(),
            is_largest_stale: false,
            candidates,
            misses: 0,
            stage: Stage::FromStart,
        }
    }

    /// Records that a step was placed.
    pub(super) fn record_placed(&mut self) {
        self.misses = 0;
        self.is_largest_stale = true;
    }

    /// Records that a step found no room, and moves to the next stage after
    /// [`MISSES_IN_A_ROW_MAX`] of them.
    pub(super) fn record_miss(&mut self, policy: &Policy) {
        // Room is only taken during a pass, so the old values are an upper bound.
        if std::mem::take(&mut self.is_largest_stale) {
            self.largest = self.candidates.largest();
        }
        self.misses += 1;
        if self.misses < MISSES_IN_A_ROW_MAX {
            return;
        }
        self.misses = 0;
        self.stage = match self.stage {
            Stage::FromStart => {
                self.steps = RankedSteps::resumed(self.backlog, self.running, &policy.order);
                Stage::Resumed
            }
            Stage::Resumed | Stage::Full(_) | Stage::Exhausted => Stage::Full(self.steps.reached()),
        };
    }

    pub(super) fn is_active(&self) -> bool {
        matches!(self.stage, Stage::FromStart | Stage::Resumed)
    }
}
