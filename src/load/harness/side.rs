//! The dispatcher that a simulated entry instance runs: the production one or the
//! naive baseline.

use super::super::{Action, Dispatcher, Input, Naive};

/// A dispatcher under simulation.
#[derive(Debug)]
pub enum Side {
    /// The production dispatcher.
    Dispatcher(Box<Dispatcher>),
    /// The naive baseline.
    Naive(Box<Naive>),
}

impl Side {
    /// Handles one input and returns the actions to carry out.
    pub fn handle(&mut self, now_ms: u64, input: Input<'_>) -> Vec<Action> {
        match self {
            Self::Dispatcher(dispatcher) => dispatcher.handle(now_ms, input),
            Self::Naive(dispatcher) => dispatcher.handle(now_ms, input),
        }
    }

    pub(super) fn next_wake_ms(&self) -> Option<u64> {
        match self {
            Self::Dispatcher(dispatcher) => dispatcher.next_wake_ms(),
            Self::Naive(_) => None,
        }
    }
}
