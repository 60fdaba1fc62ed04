//! An in-memory model of the data folder.

use std::sync::Arc;

use rosemarygauge::consensus::{Record, Recovered};

/// Applies one record to the model.
pub fn replay(disk: &mut Recovered, record: &Record) {
    match record {
        Record::Hard(hard) => disk.hard = hard.clone(),
        Record::Entry(entry) => {
            disk.entries.retain(|e| e.index < entry.index);
            disk.entries.push(entry.clone());
        }
        Record::Truncate { from } => disk.entries.retain(|e| e.index < *from),
        Record::Snapshot(snapshot) => {
            disk.entries.retain(|e| e.index > snapshot.index);
            disk.snapshot = Some(Arc::clone(snapshot));
        }
        Record::Identity { incarnation } => disk.incarnation = Some(*incarnation),
    }
}
