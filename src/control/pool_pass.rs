use super::backlog::{Entry, Order, Row};
use super::candidate::Candidate;
use super::{Policy, Shares};
use crate::jobs::Room;
use crate::model::PoolName;

/// Steps in a row that find no room before a pool counts as full in a pass: first from
/// the beginning of its order, then from where the last pass ended, so that a step that
/// finds room is come to behind any number that find none.
const MISSES_MAX: usize = 96;

/// One pool in a pass.
pub(super) struct PoolPass<'a> {
    pub(super) pool: &'a PoolName,
    row: &'a Row,
    running: Shares,
    pub(super) order: Order<'a>,
    pub(super) candidates: Vec<Candidate<'a>>,
    /// No candidate has more of any kind.
    pub(super) largest: Room,
    /// Steps in a row that found no room.
    pub(super) misses: usize,
    pub(super) stage: Stage,
}

/// How far a pool's part of a pass is.
pub(super) enum Stage {
    /// Along its order.
    First,
    /// Along what the last passes did not come to.
    Rest,
    /// Nothing more fits; the rest goes on behind these entries in the next pass.
    Full([Option<Entry>; 2]),
    /// All was looked at.
    Over,
}

impl<'a> PoolPass<'a> {
    pub(super) fn new(
        pool: &'a PoolName,
        row: &'a Row,
        (candidates, running): (Vec<Candidate<'a>>, Shares),
        policy: &Policy,
    ) -> Self {
        let mut pass = Self {
            pool,
            row,
            running,
            order: Order::new(row, running, &policy.order),
            candidates,
            largest: Room::default(),
            misses: 0,
            stage: Stage::First,
        };
        pass.measure();
        pass
    }

    /// Works out anew what no candidate exceeds.
    pub(super) fn measure(&mut self) {
        let rooms = self.candidates.iter().map(|c| c.free);
        self.largest = rooms.fold(Room::default(), |most, free| Room {
            cpu_milli: most.cpu_milli.max(free.cpu_milli),
            memory_mb: most.memory_mb.max(free.memory_mb),
            accelerators: most.accelerators.max(free.accelerators),
        });
    }

    /// A step found no room.
    pub(super) fn missed(&mut self, policy: &Policy) {
        self.misses += 1;
        if self.misses < MISSES_MAX {
            return;
        }
        self.misses = 0;
        self.stage = match self.stage {
            Stage::First => {
                self.order = Order::resumed(self.row, self.running, &policy.order);
                Stage::Rest
            }
            Stage::Rest | Stage::Full(_) | Stage::Over => Stage::Full(self.order.reached()),
        };
    }

    pub(super) fn is_on(&self) -> bool {
        matches!(self.stage, Stage::First | Stage::Rest)
    }
}
