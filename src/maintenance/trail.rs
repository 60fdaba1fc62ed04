use std::collections::VecDeque;
use std::collections::vec_deque::Iter;

use serde::{Deserialize, Serialize};

/// Decisions kept of one instance, pool or wave. Eight hold a failure, its
/// repair and a wave's visit; at 21,000 instances they are about 15 MB.
const NOTES_MAX: usize = 8;

/// The last decisions about one thing, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trail {
    notes: VecDeque<Note>,
}

/// One decision: when, and what and why in words.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{at_unix_ms} {text}")]
pub struct Note {
    /// When it was proposed, in milliseconds of Unix time.
    pub at_unix_ms: u64,
    /// What was decided, and why.
    pub text: String,
}

impl Trail {
    /// Adds a decision and forgets the oldest beyond the bound.
    pub fn note(&mut self, at_unix_ms: u64, text: impl Into<String>) {
        if self.notes.len() == NOTES_MAX {
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
