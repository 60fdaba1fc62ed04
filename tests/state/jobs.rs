//! Patient jobs: each is completed exactly once.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosemarygauge::model::*;
use rosemarygauge::state::*;

use super::Harness;
use super::claims::fingerprint;

pub fn accept(id: &str, idempotent: bool) -> Change {
    Change::JobAccept(NewJob {
        job: id.into(),
        key: id.into(),
        fingerprint: fingerprint(id),
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

fn harness() -> Harness {
    let mut harness = Harness::default();
    for entry in ["e", "f", "g"] {
        let zone = "a".into();
        harness.apply(entry, 0, Change::EntrySeen { zone });
    }
    harness
}

fn status(harness: &Harness, id: &str) -> Option<u16> {
    match harness.state.job(&id.into())?.phase {
        JobPhase::Done { status, .. } => Some(status),
        _ => None,
    }
}

const NOTED: Reply = Reply::Job(JobReply::Noted);

// A worker with an archiving job does not respond and the job is assigned again.
// The first worker was only slow and finishes later. Its completion is under an
// old fence and must be rejected, or the job would be completed twice.
#[test]
fn only_the_present_fence_completes_a_job() {
    let mut harness = harness();
    harness.apply("e", 1, accept("j", true));
    let checkpoint = Change::JobCheckpoint {
        job: "j".into(),
        fence: Fence(1),
        data: vec![1],
    };
    let lost = Change::JobLost {
        job: "j".into(),
        fence: Fence(1),
    };
    harness.apply("e", 2, assign("j", 1, "e"));
    assert_eq!(
        harness.apply("f", 2, assign("j", 1, "f")),
        Reply::StaleFence
    );
    assert_eq!(harness.apply("e", 3, checkpoint.clone()), NOTED);
    assert_eq!(harness.apply("e", 4, lost), NOTED);
    assert_eq!(
        harness.apply("e", 5, assign("j", 1, "e")),
        Reply::StaleFence
    );
    let second = Reply::Job(JobReply::Assigned { fence: Fence(2) });
    assert_eq!(harness.apply("f", 5, assign("j", 2, "f")), second);
    assert_eq!(
        harness.state.job(&"j".into()).unwrap().checkpoint,
        Some(vec![1])
    );
    assert_eq!(harness.apply("e", 6, checkpoint), Reply::StaleFence);
    assert_eq!(harness.apply("e", 6, done("j", 1, 201)), Reply::StaleFence);
    assert_eq!(harness.apply("f", 7, done("j", 2, 202)), NOTED);
    assert_eq!(
        harness.apply("f", 8, done("j", 2, 203)),
        Reply::Job(JobReply::Ended)
    );
    assert_eq!(status(&harness, "j"), Some(202));
}

// An entry instance is lost while it runs two jobs. The idempotent one becomes
// ready again. The budget review may have been posted, so it becomes unknown and
// is not run again, but its late completion is still accepted.
#[test]
fn a_lost_entry_frees_only_idempotent_jobs() {
    let mut harness = harness();
    for (id, idempotent) in [("archive", true), ("review", false)] {
        harness.apply("e", 1, accept(id, idempotent));
        harness.apply("e", 2, assign(id, 1, "e"));
    }
    assert_eq!(harness.state.jobs_owned(&"e".into(), 1).count(), 2);
    let entry_lost = Change::EntryLost {
        entry: "e".into(),
        incarnation: 1,
    };
    harness.apply("f", 3, entry_lost);
    let ready: Vec<&str> = harness.state.ready_jobs().map(|j| j.id.as_str()).collect();
    assert_eq!(ready, ["archive"]);
    let again = harness.apply("f", 4, assign("review", 1, "f"));
    assert_eq!(again, Reply::Job(JobReply::Ended));
    assert_eq!(
        harness.apply("f", 4, assign("archive", 2, "e")),
        Reply::StaleIncarnation
    );
    assert_eq!(harness.apply("e", 5, done("review", 1, 200)), NOTED);
    assert_eq!(status(&harness, "review"), Some(200));
}

// The reply to an acceptance is lost and the caller sends the job again through
// another entry instance, which chooses a new id: before and after the job
// ended, and after its answer expired. There must be one job only; after expiry
// the caller is told that it ran.
#[test]
fn a_resent_job_is_the_same_job() {
    let mut harness = harness();
    let first = Reply::Job(JobReply::Accepted { job: "j".into() });
    let resent = |id: &str| {
        let Change::JobAccept(mut new) = accept("j", false) else {
            unreachable!()
        };
        new.job = id.into();
        Change::JobAccept(new)
    };
    assert_eq!(harness.apply("e", 1, accept("j", false)), first);
    assert_eq!(harness.apply("f", 2, resent("j2")), first);
    let claimed = harness.apply("f", 2, super::claims::claim("j", 1));
    assert_eq!(claimed, Reply::Claim(ClaimReply::Conflict));
    harness.apply("e", 3, super::claims::claim("k", 1));
    let conflict = Reply::Job(JobReply::Conflict);
    assert_eq!(harness.apply("f", 3, accept("k", false)), conflict);
    let Change::JobAccept(mut clash) = accept("j", true) else {
        unreachable!()
    };
    clash.key = "other".into();
    assert_eq!(harness.apply("f", 3, Change::JobAccept(clash)), conflict);
    harness.apply("e", 3, assign("j", 1, "e"));
    harness.apply("e", 4, done("j", 1, 200));
    assert_eq!(harness.apply("f", 5, resent("j3")), first);
    for entry in ["e", "f", "g"] {
        let zone = "a".into();
        harness.apply(entry, JOB_RETENTION_MS + 4, Change::EntrySeen { zone });
    }
    let expired = Reply::Job(JobReply::Expired);
    assert_eq!(
        harness.apply("f", JOB_RETENTION_MS + 5, resent("j4")),
        expired
    );
    assert_eq!(harness.state.usage().jobs, 0);
}

// A job that has not run can be cancelled or refused, also after an attempt that
// did not run; a job that has started cannot be cancelled.
#[test]
fn cancel_and_refuse_end_what_has_not_run() {
    let mut harness = harness();
    for id in ["a", "b", "c"] {
        harness.apply("e", 1, accept(id, false));
    }
    let cancel = |id: &str| Change::JobCancel { job: id.into() };
    harness.apply("e", 2, assign("a", 1, "e"));
    assert_eq!(
        harness.apply("e", 3, cancel("a")),
        Reply::Job(JobReply::Started)
    );
    let not_run = Change::JobNotRun {
        job: "a".into(),
        fence: Fence(1),
    };
    assert_eq!(harness.apply("e", 4, not_run), NOTED);
    let ready: Vec<&str> = harness.state.ready_jobs().map(|j| j.id.as_str()).collect();
    assert_eq!(
        ready,
        ["a", "b", "c"],
        "a job made ready again keeps its position"
    );
    assert_eq!(harness.apply("e", 5, cancel("a")), NOTED);
    let refused = Change::JobRefused {
        job: "b".into(),
        fence: Fence(1),
        reason: RefusalReason::NeverFits,
    };
    assert_eq!(harness.apply("e", 6, refused), NOTED);
    assert_eq!(harness.state.ready_jobs().count(), 1);
    assert_eq!(
        harness.apply("e", 7, assign("a", 2, "e")),
        Reply::Job(JobReply::Ended)
    );
}

// Jobs with bodies of the largest size fill the store. Open jobs must not be
// evicted; new jobs are refused instead.
#[test]
fn open_jobs_are_never_dropped_for_new_ones() {
    let mut harness = harness();
    let fill = |id: String| {
        let Change::JobAccept(mut new) = accept(&id, true) else {
            unreachable!()
        };
        new.body = vec![0; MAX_JOB_PART_BYTES as usize];
        Change::JobAccept(new)
    };
    let fitting = MAX_JOBS_BYTES / MAX_JOB_PART_BYTES;
    for n in 0..fitting {
        harness.apply("e", n, fill(n.to_string()));
    }
    let full = Reply::Job(JobReply::Full);
    assert_eq!(harness.apply("e", fitting, fill("more".into())), full);
    assert_eq!(harness.state.ready_jobs().count() as u64, fitting);
    harness.apply("e", fitting, assign("0", 1, "e"));
    let checkpoint = Change::JobCheckpoint {
        job: "0".into(),
        fence: Fence(1),
        data: vec![1],
    };
    assert_eq!(harness.apply("e", fitting, checkpoint), full);
}

// An upstream's answer to a job is over the limit. The job ran, so it must not
// run again, and its caller must not get an empty body as the whole answer. A
// command with the largest part that is kept must fit in the log, which drops
// larger commands silently: the completion would be proposed forever and the
// job would never end.
#[test]
fn an_answer_too_large_to_keep_is_no_empty_answer() {
    let mut harness = harness();
    let part = vec![0; MAX_JOB_PART_BYTES as usize + 1];
    harness.apply("e", 1, accept("j", true));
    harness.apply("e", 2, assign("j", 1, "e"));
    let large = Change::JobDone {
        job: "j".into(),
        fence: Fence(1),
        status: 200,
        body: part,
    };
    let command = harness.command("e", 3, large);
    let bytes = bincode::serde::encode_to_vec(&command, bincode::config::standard());
    assert!(bytes.unwrap().len() < rosemarygauge::consensus::COMMAND_LIMIT_BYTES);
    assert_eq!(harness.state.apply(&command), NOTED);
    assert_eq!(status(&harness, "j"), Some(STATUS_TOO_LARGE));
    assert_eq!(harness.state.ready_jobs().count(), 0);
}

// Jobs are accepted, assigned, lost, not run, completed late and more than once,
// while entry instances are declared lost. The naive model counts what each
// attempt did: of a job that is not idempotent at most one attempt ran, and every
// job has at most one completion, which never changes.
#[test]
fn random_schedules_finish_each_job_at_most_once() {
    for seed in 0..150 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = harness();
        let mut attempts: Vec<(String, String, u64)> = Vec::new();
        let mut ran: BTreeMap<String, u32> = BTreeMap::new();
        let mut ended: BTreeMap<String, u16> = BTreeMap::new();
        for at in 1..250 {
            let id = format!("j{}", rng.random_range(0..5));
            let runs_once = id.as_str() > "j2";
            let entry = ["e", "f", "g"][rng.random_range(0..3)];
            let fence = harness
                .state
                .job(&id.as_str().into())
                .map_or(0, |j| j.fence.0);
            match rng.random_range(0..9) {
                0 | 1 => {
                    harness.apply(entry, at, accept(&id, !runs_once));
                }
                2..5 => {
                    let reply = harness.apply(entry, at, assign(&id, fence, entry));
                    let attempt = (entry.to_owned(), id.clone(), fence);
                    let granted = matches!(reply, Reply::Job(JobReply::Assigned { .. }));
                    if granted && !attempts.contains(&attempt) {
                        attempts.push(attempt);
                    }
                }
                5 => {
                    let entry_lost = Change::EntryLost {
                        entry: entry.into(),
                        incarnation: 1,
                    };
                    harness.apply("e", at, entry_lost);
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
                    // A report may arrive twice, but an attempt has one outcome.
                    attempts.remove(n);
                    harness.apply(&entry, at, change.clone());
                    harness.apply(&entry, at, change);
                }
                _ => {}
            }
            for id in ["j3", "j4"] {
                assert!(ran.get(id).is_none_or(|n| *n <= 1), "seed {seed}: {id}");
            }
            for id in ["j0", "j1", "j2", "j3", "j4"] {
                let Some(status) = status(&harness, id) else {
                    assert!(
                        !ended.contains_key(id),
                        "seed {seed}: {id} is no longer done"
                    );
                    continue;
                };
                assert_eq!(*ended.entry(id.into()).or_insert(status), status);
            }
        }
        assert!(!ended.is_empty());
    }
}
