//! Patient jobs: exactly once.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosemarygauge::model::*;
use rosemarygauge::state::*;

use super::Bench;
use super::claims::print;

pub fn accept(id: &str, idempotent: bool) -> Change {
    Change::JobAccept(NewJob {
        job: id.into(),
        key: id.into(),
        fingerprint: print(id),
        service: "audit".into(),
        team: "t".into(),
        caller: "c".into(),
        idempotent,
        body: b"body".to_vec(),
    })
}

fn assign(id: &str, fence: u64, owner: &str) -> Change {
    Change::JobAssign {
        job: id.into(),
        fence: Fence(fence),
        owner: owner.into(),
        incarnation: 1,
    }
}

fn done(id: &str, fence: u64, status: u16) -> Change {
    Change::JobDone {
        job: id.into(),
        fence: Fence(fence),
        status,
        body: Vec::new(),
    }
}

fn bench() -> Bench {
    let mut bench = Bench::default();
    for entry in ["e", "f", "g"] {
        let zone = "a".into();
        bench.run(entry, 0, Change::EntrySeen { zone });
    }
    bench
}

fn status(bench: &Bench, id: &str) -> Option<u16> {
    match bench.state.job(&id.into())?.phase {
        JobPhase::Done { status, .. } => Some(status),
        _ => None,
    }
}

const NOTED: Reply = Reply::Job(JobReply::Noted);

// A worker with an archiving job falls silent and the job goes to another one.
// The first was only slow: it finishes as well, and later. Its completion is
// under an old fence and must not count, or the job would finish twice.
#[test]
fn only_the_present_fence_completes_a_job() {
    let mut bench = bench();
    bench.run("e", 1, accept("j", true));
    let checkpoint = Change::JobCheckpoint {
        job: "j".into(),
        fence: Fence(1),
        data: vec![1],
    };
    let lost = Change::JobLost {
        job: "j".into(),
        fence: Fence(1),
    };
    bench.run("e", 2, assign("j", 1, "e"));
    assert_eq!(bench.run("f", 2, assign("j", 1, "f")), Reply::StaleFence);
    assert_eq!(bench.run("e", 3, checkpoint.clone()), NOTED);
    assert_eq!(bench.run("e", 4, lost), NOTED);
    assert_eq!(bench.run("e", 5, assign("j", 1, "e")), Reply::StaleFence);
    let second = Reply::Job(JobReply::Assigned { fence: Fence(2) });
    assert_eq!(bench.run("f", 5, assign("j", 2, "f")), second);
    assert_eq!(
        bench.state.job(&"j".into()).unwrap().checkpoint,
        Some(vec![1])
    );
    assert_eq!(bench.run("e", 6, checkpoint), Reply::StaleFence);
    assert_eq!(bench.run("e", 6, done("j", 1, 201)), Reply::StaleFence);
    assert_eq!(bench.run("f", 7, done("j", 2, 202)), NOTED);
    assert_eq!(
        bench.run("f", 8, done("j", 2, 203)),
        Reply::Job(JobReply::Ended)
    );
    assert_eq!(status(&bench, "j"), Some(202));
}

// An entry instance is lost with two jobs in its hands. The one that may run
// twice is ready again; the budget review may have been posted, so it becomes
// unknown and is not run again, but its late completion still counts.
#[test]
fn a_lost_entry_frees_only_idempotent_jobs() {
    let mut bench = bench();
    for (id, idempotent) in [("archive", true), ("review", false)] {
        bench.run("e", 1, accept(id, idempotent));
        bench.run("e", 2, assign(id, 1, "e"));
    }
    assert_eq!(bench.state.jobs_owned(&"e".into(), 1).count(), 2);
    let entry_lost = Change::EntryLost {
        entry: "e".into(),
        incarnation: 1,
    };
    bench.run("f", 3, entry_lost);
    let ready: Vec<&str> = bench.state.ready_jobs().map(|j| j.id.as_str()).collect();
    assert_eq!(ready, ["archive"]);
    let again = bench.run("f", 4, assign("review", 1, "f"));
    assert_eq!(again, Reply::Job(JobReply::Ended));
    assert_eq!(
        bench.run("f", 4, assign("archive", 2, "e")),
        Reply::StaleIncarnation
    );
    assert_eq!(bench.run("e", 5, done("review", 1, 200)), NOTED);
    assert_eq!(status(&bench, "review"), Some(200));
}

// The answer to an acceptance is lost and the caller sends the job again, with
// a new id from another entry instance, before and after the job ended and
// after its answer's time. There is one job, and later the word that it ran.
#[test]
fn a_resent_job_is_the_same_job() {
    let mut bench = bench();
    let first = Reply::Job(JobReply::Accepted { job: "j".into() });
    let resent = |id: &str| {
        let Change::JobAccept(mut new) = accept("j", false) else {
            unreachable!()
        };
        new.job = id.into();
        Change::JobAccept(new)
    };
    assert_eq!(bench.run("e", 1, accept("j", false)), first);
    assert_eq!(bench.run("f", 2, resent("j2")), first);
    let claimed = bench.run("f", 2, super::claims::claim("j", 1));
    assert_eq!(claimed, Reply::Claim(ClaimReply::Conflict));
    bench.run("e", 3, super::claims::claim("k", 1));
    let conflict = Reply::Job(JobReply::Conflict);
    assert_eq!(bench.run("f", 3, accept("k", false)), conflict);
    let Change::JobAccept(mut clash) = accept("j", true) else {
        unreachable!()
    };
    clash.key = "other".into();
    assert_eq!(bench.run("f", 3, Change::JobAccept(clash)), conflict);
    bench.run("e", 3, assign("j", 1, "e"));
    bench.run("e", 4, done("j", 1, 200));
    assert_eq!(bench.run("f", 5, resent("j3")), first);
    for entry in ["e", "f", "g"] {
        let zone = "a".into();
        bench.run(entry, JOB_RETENTION_MS + 4, Change::EntrySeen { zone });
    }
    let expired = Reply::Job(JobReply::Expired);
    assert_eq!(bench.run("f", JOB_RETENTION_MS + 5, resent("j4")), expired);
    assert_eq!(bench.state.usage().jobs, 0);
}

#[test]
fn cancel_and_refuse_end_what_has_not_run() {
    let mut bench = bench();
    for id in ["a", "b", "c"] {
        bench.run("e", 1, accept(id, false));
    }
    let cancel = |id: &str| Change::JobCancel { job: id.into() };
    bench.run("e", 2, assign("a", 1, "e"));
    assert_eq!(
        bench.run("e", 3, cancel("a")),
        Reply::Job(JobReply::Started)
    );
    let not_run = Change::JobNotRun {
        job: "a".into(),
        fence: Fence(1),
    };
    assert_eq!(bench.run("e", 4, not_run), NOTED);
    let ready: Vec<&str> = bench.state.ready_jobs().map(|j| j.id.as_str()).collect();
    assert_eq!(ready, ["a", "b", "c"], "keeps its place");
    assert_eq!(bench.run("e", 5, cancel("a")), NOTED);
    let refused = Change::JobRefused {
        job: "b".into(),
        fence: Fence(1),
        reason: RefusalReason::NeverFits,
    };
    assert_eq!(bench.run("e", 6, refused), NOTED);
    assert_eq!(bench.state.ready_jobs().count(), 1);
    assert_eq!(
        bench.run("e", 7, assign("a", 2, "e")),
        Reply::Job(JobReply::Ended)
    );
}

// Jobs fill the store, each with a body of the largest size. Open jobs are
// never dropped to make room; new ones are refused instead.
#[test]
fn open_jobs_are_never_dropped_for_new_ones() {
    let mut bench = bench();
    let fill = |id: String| {
        let Change::JobAccept(mut new) = accept(&id, true) else {
            unreachable!()
        };
        new.body = vec![0; MAX_JOB_PART_BYTES as usize];
        Change::JobAccept(new)
    };
    let room = MAX_JOBS_BYTES / MAX_JOB_PART_BYTES;
    for n in 0..room {
        bench.run("e", n, fill(n.to_string()));
    }
    let full = Reply::Job(JobReply::Full);
    assert_eq!(bench.run("e", room, fill("more".into())), full);
    assert_eq!(bench.state.ready_jobs().count() as u64, room);
    bench.run("e", room, assign("0", 1, "e"));
    let checkpoint = Change::JobCheckpoint {
        job: "0".into(),
        fence: Fence(1),
        data: vec![1],
    };
    assert_eq!(bench.run("e", room, checkpoint), full);
}

// An upstream answers a job with more than is kept. The job ran, so it must not
// run again; and its caller must not be given an empty body as the whole answer.
// The largest parts that are kept must pass the log, which drops larger commands
// without a word: the job would be completed over and over and never end.
#[test]
fn an_answer_too_large_to_keep_is_no_empty_answer() {
    let mut bench = bench();
    let part = vec![0; MAX_JOB_PART_BYTES as usize + 1];
    bench.run("e", 1, accept("j", true));
    bench.run("e", 2, assign("j", 1, "e"));
    let large = Change::JobDone {
        job: "j".into(),
        fence: Fence(1),
        status: 200,
        body: part,
    };
    let command = bench.command("e", 3, large);
    let bytes = bincode::serde::encode_to_vec(&command, bincode::config::standard());
    assert!(bytes.unwrap().len() < rosemarygauge::consensus::COMMAND_LIMIT_BYTES);
    assert_eq!(bench.state.apply(&command), NOTED);
    assert_eq!(status(&bench, "j"), Some(STATUS_TOO_LARGE));
    assert_eq!(bench.state.ready_jobs().count(), 0);
}

// Jobs are accepted, assigned, lost, not run, completed late and more than
// once, while entry instances are taken for lost. The naive model counts what
// each attempt did: of a job that must not run twice at most one attempt ran,
// and every job has at most one completion, which then never changes.
#[test]
fn random_schedules_finish_each_job_at_most_once() {
    for seed in 0..150 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut bench = bench();
        let mut attempts: Vec<(String, String, u64)> = Vec::new();
        let mut ran: BTreeMap<String, u32> = BTreeMap::new();
        let mut ended: BTreeMap<String, u16> = BTreeMap::new();
        for at in 1..250 {
            let id = format!("j{}", rng.random_range(0..5));
            let once = id.as_str() > "j2";
            let entry = ["e", "f", "g"][rng.random_range(0..3)];
            let fence = bench
                .state
                .job(&id.as_str().into())
                .map_or(0, |j| j.fence.0);
            match rng.random_range(0..9) {
                0 | 1 => {
                    bench.run(entry, at, accept(&id, !once));
                }
                2..5 => {
                    let reply = bench.run(entry, at, assign(&id, fence, entry));
                    let held = (entry.to_owned(), id.clone(), fence);
                    let granted = matches!(reply, Reply::Job(JobReply::Assigned { .. }));
                    if granted && !attempts.contains(&held) {
                        attempts.push(held);
                    }
                }
                5 => {
                    let entry_lost = Change::EntryLost {
                        entry: entry.into(),
                        incarnation: 1,
                    };
                    bench.run("e", at, entry_lost);
                }
                _ if !attempts.is_empty() => {
                    let n = rng.random_range(0..attempts.len());
                    let (entry, id, fence) = attempts[n].clone();
                    let job: JobId = id.as_str().into();
                    let fence = Fence(fence);
                    let change = match rng.random_range(0..3) {
                        0 => Change::JobNotRun { job, fence },
                        1 => Change::JobLost { job, fence },
                        _ => done(&id, fence.0, at as u16 + 200),
                    };
                    if !matches!(change, Change::JobNotRun { .. }) {
                        *ran.entry(id.clone()).or_default() += 1;
                    }
                    // A word may come twice, but an attempt has one outcome.
                    attempts.remove(n);
                    bench.run(&entry, at, change.clone());
                    bench.run(&entry, at, change);
                }
                _ => {}
            }
            for id in ["j3", "j4"] {
                assert!(ran.get(id).is_none_or(|n| *n <= 1), "seed {seed}: {id}");
            }
            for id in ["j0", "j1", "j2", "j3", "j4"] {
                let Some(status) = status(&bench, id) else {
                    assert!(!ended.contains_key(id), "seed {seed}: {id} came undone");
                    continue;
                };
                assert_eq!(*ended.entry(id.into()).or_insert(status), status);
            }
        }
        assert!(!ended.is_empty());
    }
}
