use std::sync::Arc;

use crate::consensus::{Record, Recovered};

/// The data folder of an emulated control instance, which syncs at once.
#[derive(Clone, Debug)]
pub struct Disk {
    recovered: Recovered,
}

impl Disk {
    /// An empty one of this incarnation.
    pub fn new(incarnation: u64) -> Self {
        let recovered = Recovered {
            incarnation: Some(incarnation),
            ..Recovered::default()
        };
        Self { recovered }
    }

    /// What it remembers.
    pub fn recovered(&self) -> Recovered {
        self.recovered.clone()
    }

    /// Writes a record.
    pub fn write(&mut self, record: &Record) {
        let kept = &mut self.recovered;
        match record {
            Record::Hard(hard) => kept.hard = hard.clone(),
            Record::Entry(entry) => {
                kept.entries.retain(|e| e.index < entry.index);
                kept.entries.push(entry.clone());
            }
            Record::Truncate { from } => kept.entries.retain(|e| e.index < *from),
            Record::Snapshot(snapshot) => {
                kept.entries.retain(|e| e.index > snapshot.index);
                kept.snapshot = Some(Arc::clone(snapshot));
            }
            Record::Identity { incarnation } => {
                *kept = Recovered {
                    incarnation: Some(*incarnation),
                    ..Recovered::default()
                };
            }
        }
    }
}
