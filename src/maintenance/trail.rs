use std::collections::VecDeque;
use std::collections::vec_deque::Iter;

use serde::{Deserialize, Serialize};

/// Decisions kept per instance, pool or wave. Eight cover a failure, its repair and
/// a wave's visit, and take about 15 MB for 21,000 instances.
const MAX_NOTES: usize = 8;

/// Audit trail: the last decisions about an instance, a pool or a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trail {
    notes: VecDeque<Note>,
}

/// One decision in a trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{at_unix_ms} {text}")]
pub struct Note {
    /// When it was proposed, in milliseconds of Unix time.
    pub at_unix_ms: u64,
    /// What was decided, and why.
    pub text: String,
}

impl Trail {
    /// Adds a decision and drops the oldest one if the trail is full.
    pub fn note(&mut self, at_unix_ms: u64, text: impl Into<String>) {
        if self.notes.len() == MAX_NOTES {
            self.notes.pop_front();
        }
        let text = text.into();
        self.notes.push_back(Note { at_unix_ms, text });
    }

    /// The decisions, oldest first.
    pub fn iter(&self) -> Iter<'_, Note> {
        self.notes.iter()
    }
}
