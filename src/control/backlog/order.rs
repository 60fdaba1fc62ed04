use std::collections::btree_map::Range;
use std::iter::Peekable;
use std::ops::Bound;

use super::super::ranking::Class;
use super::super::{OrderPolicy, Shares};
use super::{Entry, Row, Waits};

/// A walk through a pool's waiting steps by rank, but that within a class the large jobs
/// get their share of the room.
pub(in super::super) struct Order<'a> {
    row: &'a Row,
    groups: [Peekable<Range<'a, Entry, Waits>>; 2],
    /// How far the walk is in each group. One place for both would not do: shares bring
    /// the walk to different ranks in them, and what lies between would be left out.
    reached: [Option<Entry>; 2],
    /// What runs in the pool.
    running: Shares,
    large_part: f64,
    /// The class that the walk is in.
    class: Option<Class>,
    shares: Shares,
    weights: [f64; 2],
}

impl<'a> Order<'a> {
    /// A walk from the beginning, beside what runs in the pool.
    pub(in super::super) fn new(row: &'a Row, running: Shares, policy: &OrderPolicy) -> Self {
        Self::behind(row, [None, None], running, policy)
    }

    /// A walk from where the last look at the rest ended.
    pub(in super::super) fn resumed(row: &'a Row, running: Shares, policy: &OrderPolicy) -> Self {
        Self::behind(row, row.resume, running, policy)
    }

    fn behind(
        row: &'a Row,
        reached: [Option<Entry>; 2],
        running: Shares,
        policy: &OrderPolicy,
    ) -> Self {
        let group = |group: usize| {
            let from = reached[group].map_or(Bound::Unbounded, Bound::Excluded);
            let entries = row.group(group == 1);
            entries.range((from, Bound::Unbounded)).peekable()
        };
        Self {
            row,
            groups: [group(0), group(1)],
            reached,
            running,
            large_part: policy.large_part,
            class: None,
            shares: running,
            weights: [0.0; 2],
        }
    }

    /// The last entries of small and of large jobs that the walk came to.
    pub(in super::super) fn reached(&self) -> [Option<Entry>; 2] {
        self.reached
    }

    /// The group whose turn it is.
    fn group(&mut self) -> Option<usize> {
        let [small, large] = &mut self.groups;
        let (small, large) = match (small.peek(), large.peek()) {
            (None, None) => return None,
            (Some(_), None) => return Some(0),
            (None, Some(_)) => return Some(1),
            (Some((small, _)), Some((large, _))) => (*small, *large),
        };
        if !small.rank.shares_with(&large.rank) || self.large_part <= 0.0 {
            return Some(usize::from(large < small));
        }
        let class = small.rank.class();
        if self.class != Some(class) {
            self.class = Some(class);
            self.shares = self.running;
            let [few, many] = self.row.asks(class);
            self.shares.asks(false, few);
            self.shares.asks(true, many);
            self.weights = self.shares.weights(self.large_part);
        }
        Some(self.shares.group(self.weights))
    }
}

impl Iterator for Order<'_> {
    type Item = (Entry, Waits);

    fn next(&mut self) -> Option<Self::Item> {
        let group = self.group()?;
        let (entry, waits) = self.groups[group].next()?;
        self.reached[group] = Some(*entry);
        self.shares.has(group == 1, waits.cores());
        Some((*entry, *waits))
    }
}
