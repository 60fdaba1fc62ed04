//! The data folder: what it remembers, what it cuts and what it refuses.
#![allow(missing_docs, clippy::unwrap_used)]

mod naive_disk;

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::{Arc, mpsc};

use naive_disk::replay;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosemarygauge::consensus::{Entry, HardState, Membership, Record, Recovered, Snapshot};
use rosemarygauge::storage::{Disk, Job, StorageError, spawn};

/// Header, then tag, index, term, length, command, no membership.
const LAST_WRITE_BYTES: usize = 20 + 3 + 3 + COMMAND_BYTES + 1;
/// More than a sector, so that a crash can leave out some of it.
const COMMAND_BYTES: usize = 700;

fn open(folder: &Path) -> (Disk, Recovered) {
    Disk::open(folder).unwrap()
}

fn entry(rng: &mut ChaCha8Rng, index: u64, term: u64) -> Record {
    let size = if rng.random_bool(0.05) {
        200_000
    } else {
        COMMAND_BYTES
    };
    Record::Entry(Entry {
        index,
        term,
        // No zeros: a zeroed sector is taken for what a crash left out.
        command: (0..size).map(|_| rng.random_range(1..=255)).collect(),
        membership: rng
            .random_bool(0.1)
            .then(|| Membership::new(BTreeMap::from([("a".into(), rng.random())]))),
    })
}

/// Records as a replica writes them.
fn some(rng: &mut ChaCha8Rng, now: &Recovered) -> Record {
    let base = now.snapshot.as_ref().map_or(0, |s| s.index);
    let last = now.entries.last().map_or(base, |e| e.index);
    match rng.random_range(0..100) {
        0..10 => Record::Hard(HardState {
            term: now.hard.term + 1,
            voted_for: Some("b".into()),
        }),
        10..15 => Record::Identity {
            incarnation: rng.random(),
        },
        15..20 => Record::Truncate { from: base + 1 },
        20..30 => {
            // Taken here, or from a leader that is ahead.
            let ahead = if now.entries.is_empty() { 50 } else { 0 };
            Record::Snapshot(Arc::new(Snapshot {
                index: rng.random_range(base..=last + ahead),
                term: now.hard.term,
                membership: Membership::default(),
                data: vec![7; rng.random_range(0..2000)].into(),
            }))
        }
        30..40 => {
            let index = rng.random_range(base + 1..=last + 1);
            entry(rng, index, now.hard.term)
        }
        _ => entry(rng, last + 1, now.hard.term),
    }
}

/// Whatever was synced is there after each restart, as in the naive folder.
#[test]
fn remembers_what_was_synced() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let folder = tempfile::tempdir().unwrap();
        let (mut disk, mut naive) = open(folder.path());
        for _ in 0..60 {
            let mut batch = Vec::new();
            for _ in 0..rng.random_range(1..8) {
                let record = some(&mut rng, &naive);
                replay(&mut naive, &record);
                batch.push(record);
            }
            let (first, second) = batch.split_at(rng.random_range(0..batch.len()));
            disk.persist(&[first, second]).unwrap();
            if rng.random_bool(0.2) {
                drop(disk);
                let (again, recovered) = open(folder.path());
                assert_eq!(recovered, naive, "seed {seed}");
                disk = again;
            }
        }
    }
}

/// A folder with a snapshot and three writes after it; returns what it remembers
/// before the last write and in the end, and the last write's file.
fn written(folder: &Path) -> (Recovered, Recovered, PathBuf) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut disk, mut now) = open(folder);
    let mut before = now.clone();
    for index in 1..=6 {
        before = now.clone();
        let mut records = vec![entry(&mut rng, index, 1)];
        if let Record::Entry(entry) = &mut records[0] {
            entry.membership = None;
            entry.command.truncate(COMMAND_BYTES);
        }
        if index == 3 {
            records.push(Record::Snapshot(Arc::new(Snapshot {
                index: 2,
                term: 1,
                membership: Membership::default(),
                data: vec![7; 100].into(),
            })));
        }
        records.iter().for_each(|r| replay(&mut now, r));
        disk.persist(&[&records]).unwrap();
    }
    let names = fs::read_dir(folder).unwrap().map(|e| e.unwrap().path());
    let last = names.filter(|p| p.to_string_lossy().contains("log-")).max();
    (before, now, last.unwrap())
}

/// The process is killed, or the power fails, in the middle of a write. Nobody
/// was told of it, so at the next start the torn tail is cut, wherever it ends,
/// and the folder goes on from the write before.
#[test]
fn torn_tail_is_cut() {
    let folder = tempfile::tempdir().unwrap();
    let (before, after, log) = written(folder.path());
    let whole = fs::read(&log).unwrap();
    let start = whole.len() - LAST_WRITE_BYTES;
    for length in (start..=whole.len()).rev().step_by(11) {
        fs::write(&log, &whole[..length]).unwrap();
        let (mut disk, recovered) = open(folder.path());
        let expected = if length == whole.len() {
            &after
        } else {
            &before
        };
        assert_eq!(recovered, *expected, "cut to {length} bytes");
        let mut next = recovered.clone();
        let hard = Record::Hard(HardState::default());
        replay(&mut next, &hard);
        disk.persist(&[&[hard]]).unwrap();
        drop(disk);
        assert_eq!(open(folder.path()).1, next);
    }
    // The file was made longer before its data arrived: the rest reads as zeros.
    let mut zeros = whole[..(start + 512) / 512 * 512].to_vec();
    zeros.resize(whole.len() + 4096, 0);
    fs::write(&log, &zeros).unwrap();
    assert_eq!(open(folder.path()).1, before);
}

/// A bit on the disk flips after the sync. A start that skipped the damaged write
/// would forget acknowledged entries, so it is refused with file, place and
/// remedy. Only in the header of the very last write it looks as if torn; what is
/// then cut the leader notices (`older_folder_gives_up_its_identity`).
#[test]
fn flipped_bit_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let (before, _, log) = written(folder.path());
    let last_write = fs::read(&log).unwrap().len() - LAST_WRITE_BYTES;
    for file in [
        log.clone(),
        folder.path().join("snapshot"),
        folder.path().join("identity"),
    ] {
        let whole = fs::read(&file).unwrap();
        for place in (0..whole.len()).rev().step_by(3) {
            let mut flipped = whole.clone();
            flipped[place] ^= 1 << (place % 8);
            fs::write(&file, &flipped).unwrap();
            let in_last_header = file == log && (last_write..last_write + 20).contains(&place);
            match Disk::open(folder.path()) {
                Err(error @ StorageError::Damaged { .. }) => {
                    let text = error.to_string();
                    assert!(text.contains(&*file.to_string_lossy()), "{text}");
                    assert!(text.contains("at byte") && text.contains("move the whole"));
                }
                Ok((disk, recovered)) => {
                    assert!(in_last_header && recovered == before, "{file:?} {place}");
                    drop(disk);
                }
                Err(error) => panic!("{error}"),
            }
        }
        fs::write(&file, &whole).unwrap();
    }
}

/// Files of the folder vanish or hold anything. It is refused or read, without a
/// panic and without memory by the wrong lengths' wish.
#[test]
fn missing_and_random_files() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    for part in ["log-", "identity"] {
        let folder = tempfile::tempdir().unwrap();
        written(folder.path());
        for path in fs::read_dir(folder.path())
            .unwrap()
            .map(|e| e.unwrap().path())
        {
            if path.to_string_lossy().contains(part) {
                fs::remove_file(path).unwrap();
            }
        }
        let refused = matches!(Disk::open(folder.path()), Err(StorageError::Damaged { .. }));
        assert!(refused, "without {part}");
    }
    let folder = tempfile::tempdir().unwrap();
    let (_, _, log) = written(folder.path());
    for file in [
        log,
        folder.path().join("snapshot"),
        folder.path().join("identity"),
    ] {
        let whole = fs::read(&file).unwrap();
        for _ in 0..200 {
            let noise: Vec<u8> = (0..rng.random_range(0..300))
                .map(|_| rng.random())
                .collect();
            fs::write(&file, &noise).unwrap();
            let _ = Disk::open(folder.path());
            fs::write(&file, &whole).unwrap();
        }
    }
}

/// An operator starts the process twice. Both would vote under one identity, each
/// forgetting the other's votes; the second is refused.
#[test]
fn one_process_at_a_time() {
    let folder = tempfile::tempdir().unwrap();
    let (disk, recovered) = open(folder.path());
    let second = Disk::open(folder.path());
    assert!(matches!(second, Err(StorageError::InUse { .. })));
    drop(disk);
    assert_eq!(open(folder.path()).1.incarnation, recovered.incarnation);
}

/// Jobs that wait share a sync, are answered in order, and closing their channel
/// ends the thread.
#[test]
fn waiting_jobs_share_a_sync() {
    let folder = tempfile::tempdir().unwrap();
    let (mut disk, _) = open(folder.path());
    let hard = vec![Record::Hard(HardState::default())];
    let syncs = disk.syncs();
    disk.persist(&[&hard, &hard, &hard]).unwrap();
    assert_eq!(disk.syncs(), syncs + 1);
    let (jobs, waiting) = mpsc::channel();
    let (answers, answered) = mpsc::channel();
    for token in 1..=100 {
        let records = hard.clone();
        jobs.send(Job { token, records }).unwrap();
    }
    let answer = move |result: Result<u64, StorageError>| answers.send(result.unwrap()).unwrap();
    let thread = spawn(disk, waiting, answer).unwrap();
    drop(jobs);
    thread.join().unwrap();
    assert_eq!(
        answered.iter().collect::<Vec<_>>(),
        (1..=100).collect::<Vec<_>>()
    );
}
