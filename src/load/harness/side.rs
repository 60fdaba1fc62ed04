//! What decides on a bench: the product, or the baseline beside it.

use super::super::{Action, Dispatcher, Input, Naive};

/// What decides.
#[derive(Debug)]
pub enum Side {
    /// The product.
    Dispatcher(Box<Dispatcher>),
    /// The baseline.
    Naive(Box<Naive>),
}

impl Side {
    /// Feeds one input.
    pub fn handle(&mut self, now_ms: u64, input: Input<'_>) -> Vec<Action> {
        match self {
            Self::Dispatcher(side) => side.handle(now_ms, input),
            Self::Naive(side) => side.handle(now_ms, input),
        }
    }

    pub(super) fn next_wake_ms(&self) -> Option<u64> {
        match self {
            Self::Dispatcher(side) => side.next_wake_ms(),
            Self::Naive(_) => None,
        }
    }
}
