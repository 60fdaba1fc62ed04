use std::cmp::Reverse;
use std::collections::btree_map::Range;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Bound;

use super::{Entry, StepDemand};
use crate::model::WorkspaceName;

/// Waiting steps by workspace; those of jobs without a workspace have a lane of their own.
#[derive(Debug, Default)]
pub(super) struct Lanes(BTreeMap<Option<WorkspaceName>, BTreeMap<Entry, StepDemand>>);

impl Lanes {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn insert(
        &mut self,
        workspace: Option<&WorkspaceName>,
        entry: Entry,
        step: StepDemand,
    ) {
        let lane = self.0.entry(workspace.cloned()).or_default();
        lane.insert(entry, step);
    }

    pub(super) fn remove(&mut self, workspace: Option<&WorkspaceName>, entry: &Entry) {
        let workspace = workspace.cloned();
        if let Some(lane) = self.0.get_mut(&workspace) {
            lane.remove(entry);
            if lane.is_empty() {
                self.0.remove(&workspace);
            }
        }
    }

    /// Iterates over the steps of all lanes by rank, starting after `after`.
    pub(super) fn ranked(&self, after: Option<Entry>) -> RankedLanes<'_> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut lanes: Vec<Lane> = self
            .0
            .iter()
            .map(|(workspace, steps)| Lane {
                workspace: workspace.as_ref(),
                steps: steps.range((from, Bound::Unbounded)),
            })
            .collect();
        let firsts = lanes.iter_mut().enumerate();
        let heads = firsts
            .filter_map(|(index, lane)| Some(Reverse(lane.next_head(index)?)))
            .collect();
        RankedLanes { lanes, heads }
    }
}

/// Merges the lanes by rank. A lane can be closed, which skips the rest of its steps at once:
/// a workspace that is at its quota may have thousands.
pub(super) struct RankedLanes<'a> {
    lanes: Vec<Lane<'a>>,
    /// The next step of each open lane.
    heads: BinaryHeap<Reverse<Head>>,
}

struct Lane<'a> {
    workspace: Option<&'a WorkspaceName>,
    steps: Range<'a, Entry, StepDemand>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Head {
    entry: Entry,
    demand: StepDemand,
    lane: usize,
}

impl Ord for Head {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.entry.cmp(&other.entry)
    }
}

impl PartialOrd for Head {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Lane<'_> {
    fn next_head(&mut self, lane: usize) -> Option<Head> {
        let (entry, demand) = self.steps.next()?;
        Some(Head {
            entry: *entry,
            demand: *demand,
            lane,
        })
    }
}

impl RankedLanes<'_> {
    pub(super) fn peek(&self) -> Option<Entry> {
        self.heads.peek().map(|Reverse(head)| head.entry)
    }

    pub(super) fn close(&mut self, workspace: &WorkspaceName) {
        let closed = self
            .lanes
            .iter()
            .position(|lane| lane.workspace == Some(workspace));
        if let Some(closed) = closed {
            self.heads.retain(|Reverse(head)| head.lane != closed);
        }
    }
}

impl Iterator for RankedLanes<'_> {
    type Item = (Entry, StepDemand);

    fn next(&mut self) -> Option<Self::Item> {
        let Reverse(head) = self.heads.pop()?;
        let next = self.lanes[head.lane].next_head(head.lane);
        self.heads.extend(next.map(Reverse));
        Some((head.entry, head.demand))
    }
}
