//! Workspaces: their keys, who is let in while keys change under faults, and their quotas.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::Rng;
use rosemarygauge::control::{
    Access, Answer, Call, Change, Configuration, ConfigurationFault, Credentials, CredentialsFault,
    Event, KeyDigest, Quota, Refusal, ResourceTotals, State, Workspace, WorkspaceUsage,
};
use rosemarygauge::jobs::{JobId, JobSpec, JobState, RunResult, Step, TaskId};
use secrecy::SecretString;

use crate::pool::{Pool, apply};
use crate::world::{World, configuration, job, name, step};

fn key(text: &str) -> Credentials {
    Credentials::Key(KeyDigest::of(&SecretString::from(text)))
}

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: name.into(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(&SecretString::from(*key)))
            .collect(),
        priority: 0,
        weight: 10.0,
        quota: Quota::default(),
    }
}

/// Returns a configuration whose queue `long` is open to anyone.
fn with_workspaces(version: u64, workspaces: Vec<Workspace>) -> Configuration {
    let anonymous = BTreeSet::from(["long".to_owned()]);
    Configuration {
        access: Some(Access::new(workspaces, anonymous)),
        ..configuration(version)
    }
}

fn two_workspaces(version: u64) -> Configuration {
    let north = workspace("north", &["n1", "n2"]);
    with_workspaces(version, vec![north, workspace("south", &["s1"])])
}

fn with_cpu_quota(version: u64, cores: u64) -> Configuration {
    let mut north = workspace("north", &["n1"]);
    north.quota.cpu_milli = Some(cores * 1_000);
    with_workspaces(version, vec![north, workspace("south", &["s1"])])
}

impl World {
    fn configure(&mut self, at: usize, configuration: Configuration) -> Option<Answer> {
        let id = self.call(at, Call::Configure(Arc::new(configuration)));
        self.run_ms(600);
        self.answers.get(&id).cloned()
    }

    fn call_as(&mut self, at: usize, credentials: Credentials, call: Call) -> u64 {
        let call = match credentials {
            Credentials::Missing => call,
            credentials => Call::Authorized {
                credentials,
                call: Box::new(call),
            },
        };
        self.call(at, call)
    }

    fn submit_as(&mut self, at: usize, credentials: Credentials, queue: &str, id: u64) -> u64 {
        let call = Call::Submit {
            place: Self::place(queue, id),
            spec: Some(Arc::new(job(vec![step(2)]))),
        };
        self.call_as(at, credentials, call)
    }

    fn answer_as(&mut self, at: usize, credentials: Credentials, call: Call) -> Option<Answer> {
        let id = self.call_as(at, credentials, call);
        self.run_ms(1_200);
        self.answers.get(&id).cloned()
    }

    fn place_of_leader(&self) -> usize {
        let leader = self.leader().unwrap();
        (1..=3).find(|place| name(*place) == leader).unwrap()
    }
}

fn unauthorized(fault: CredentialsFault) -> Option<Answer> {
    Some(Answer::Refused(Refusal::Unauthorized(fault)))
}

/// Guards against calls that are let in without a key, with an unreadable one, or with one that
/// no configuration has.
#[test]
fn only_a_key_of_the_configuration_opens_a_queue() {
    let mut world = World::new(11, 2, 2);
    assert_eq!(world.configure(2, two_workspaces(2)), Some(Answer::Done));
    let expected = [
        (
            Credentials::Missing,
            unauthorized(CredentialsFault::Missing),
        ),
        (
            Credentials::Malformed,
            unauthorized(CredentialsFault::Malformed),
        ),
        (key("x"), unauthorized(CredentialsFault::Unknown)),
        (key("n2"), Some(Answer::Done)),
    ];
    for at in 1..=3 {
        for (number, (credentials, answer)) in expected.iter().enumerate() {
            let id = world.submit_as(at, *credentials, "quick", 10 * at as u64 + number as u64);
            world.run_ms(600);
            assert_eq!(world.answers.get(&id), answer.as_ref(), "{credentials:?}");
        }
    }
    let open = world.submit_as(1, Credentials::Missing, "long", 50);
    let nowhere = world.submit_as(1, Credentials::Missing, "nowhere", 51);
    world.run_ms(600);
    assert_eq!(world.answers.get(&open), Some(&Answer::Done));
    assert_eq!(
        world.answers.get(&nowhere),
        Some(&Answer::Refused(Refusal::NoQueue))
    );
}

/// Guards against one workspace that reads or cancels the jobs of another, or takes their ids.
#[test]
fn a_job_is_seen_by_its_own_workspace_only() {
    let mut world = World::new(12, 2, 2);
    world.configure(1, two_workspaces(2));
    let accepted = world.submit_as(1, key("n1"), "quick", 7);
    world.run_ms(50);
    let place = World::place("quick", 7);
    let look = Call::Look {
        place: place.clone(),
    };
    let cancel = Call::Cancel { place };
    let not_known = Some(Answer::Refused(Refusal::NotKnown));
    assert_eq!(world.answer_as(2, key("s1"), look.clone()), not_known);
    assert_eq!(world.answer_as(2, key("s1"), cancel), not_known);
    let again = world.submit_as(3, key("n2"), "quick", 7);
    let stolen = world.submit_as(3, key("s1"), "quick", 7);
    world.run_ms(1_500);
    assert_eq!(world.answers.get(&accepted), Some(&Answer::Done));
    assert_eq!(world.answers.get(&again), Some(&Answer::Done));
    assert_eq!(
        world.answers.get(&stolen),
        Some(&Answer::Refused(Refusal::TakenId))
    );
    let completed = Some(Answer::Job(JobState::Completed));
    assert_eq!(world.answer_as(3, key("n2"), look), completed);
}

/// Guards against a job that is accepted and never stored: two workspaces choose its id at the
/// same time, and only the first is stored under it.
#[test]
fn one_of_two_workspaces_that_choose_an_id_at_once_is_refused() {
    for seed in 20..24 {
        let mut world = World::new(seed, 2, 2);
        world.configure(1, two_workspaces(2));
        let calls = ["n1", "s1"].map(|text| world.submit_as(1, key(text), "quick", 7));
        world.run_ms(600);
        let taken = Answer::Refused(Refusal::TakenId);
        let answers = calls.map(|call| world.answers[&call].clone());
        assert!(
            answers == [Answer::Done, taken.clone()] || answers == [taken, Answer::Done],
            "seed {seed}: {answers:?}"
        );
    }
}

/// Guards against a configuration that is acknowledged although its keys are ambiguous.
#[test]
fn ambiguous_workspaces_are_refused_without_showing_a_key() {
    let check = |workspaces| with_workspaces(2, workspaces).check().unwrap_err();
    let shared = check(vec![
        workspace("a", &["secret-key"]),
        workspace("b", &["k", "secret-key"]),
    ]);
    assert!(matches!(shared, ConfigurationFault::SharedKey { .. }));
    let twice = check(vec![workspace("a", &["secret-key", "secret-key"])]);
    assert!(matches!(twice, ConfigurationFault::RepeatedKey { .. }));
    let nameless = check(vec![workspace(" ", &["k"])]);
    assert_eq!(nameless, ConfigurationFault::NamelessWorkspace);
    let same = check(vec![workspace("a", &["k"]), workspace("a", &["l"])]);
    assert!(matches!(same, ConfigurationFault::SameWorkspace { .. }));
    let mut negative = workspace("a", &["k"]);
    negative.weight = -1.0;
    let negative = check(vec![negative]);
    assert!(matches!(negative, ConfigurationFault::NegativeLimit { .. }));
    for fault in [shared, twice] {
        assert!(!format!("{fault} {fault:?}").contains("secret-key"));
    }
    let mut world = World::new(13, 1, 1);
    let wrong = with_workspaces(2, vec![workspace("a", &["k"]), workspace("b", &["k"])]);
    for at in 1..=3 {
        let answer = world.configure(at, wrong.clone());
        assert!(matches!(answer, Some(Answer::Refused(Refusal::Wrong(_)))));
    }
    let leader = world.leader().unwrap();
    assert_eq!(world.state(&leader).configuration().unwrap().version, 1);
}

/// Guards against a configuration without a list of workspaces that opens every queue.
#[test]
fn workspaces_cannot_be_dropped_by_leaving_out_the_list() {
    let mut world = World::new(14, 1, 1);
    world.configure(1, two_workspaces(2));
    let answer = world.configure(2, configuration(3));
    assert!(matches!(answer, Some(Answer::Refused(Refusal::Wrong(_)))));
    let none = with_workspaces(4, Vec::new());
    assert_eq!(world.configure(2, none), Some(Answer::Done));
    let id = world.submit_as(1, key("n1"), "quick", 1);
    world.run_ms(600);
    let refused = unauthorized(CredentialsFault::Unknown);
    assert_eq!(world.answers.get(&id), refused.as_ref());
}

/// Guards against keys in log lines and in debug output of what travels and is stored.
#[test]
fn no_debug_output_shows_a_key() {
    let mut configuration = two_workspaces(2);
    configuration.document = b"{\"api_keys\":[\"n1-secret\"]}".to_vec().into();
    let bytes = format!("{:?}", configuration.document);
    let call = Call::Configure(Arc::new(configuration.clone()));
    let texts = [
        format!("{configuration:?}"),
        format!("{call:?}"),
        format!("{:?}", call.for_peer()),
        format!("{:?}", key("n1-secret")),
    ];
    for text in texts {
        assert!(!text.contains("n1-secret"), "{text}");
        assert!(!text.contains(&bytes[1..bytes.len() - 1]), "{text}");
    }
}

/// Guards against a restart, a snapshot or a new leader that forgets workspaces, or whose a
/// job is.
#[test]
fn workspaces_outlive_restarts_and_snapshots() {
    let mut world = World::new(15, 2, 2);
    world.configure(3, two_workspaces(2));
    let id = world.submit_as(2, key("s1"), "quick", 5);
    world.run_ms(600);
    assert_eq!(world.answers.get(&id), Some(&Answer::Done));
    for place in 1..=3 {
        world.kill(&name(place));
    }
    for place in 1..=3 {
        world.restart(&name(place));
    }
    assert!(world.until(10_000, |world| world.leader().is_some()));
    world.run_ms(1_000);
    let look = Call::Look {
        place: World::place("quick", 5),
    };
    let seen = world.answer_as(1, key("s1"), look.clone());
    assert!(matches!(seen, Some(Answer::Job(_))), "{seen:?}");
    let hidden = world.answer_as(1, key("n1"), look);
    assert_eq!(hidden, Some(Answer::Refused(Refusal::NotKnown)));
    let leader = world.leader().unwrap();
    let state = world.state(&leader);
    let read = State::decode(&state.encode()).unwrap();
    assert!(read == *state);
    assert_eq!(read.configuration(), state.configuration());
}

/// Guards against data of earlier builds that cannot be read, and of this build that those
/// cannot read although nothing in it is new to them.
#[test]
fn a_state_without_workspaces_is_stored_as_before() {
    let mut state = State::default();
    apply(&mut state, Change::Configure(Arc::new(configuration(1))));
    assert_eq!(state.encode(), rosemarygauge::codec::encode(&state));
    let plain = configuration(1);
    assert_eq!(plain.encode(), rosemarygauge::codec::encode(&plain));
    assert_eq!(Configuration::decode(&plain.encode()).unwrap(), plain);
    let keyed = two_workspaces(2);
    assert_eq!(Configuration::decode(&keyed.encode()).unwrap(), keyed);
}

/// Guards against a key that is let in after its removal was acknowledged, by an instance that
/// led before and was cut off, frozen or killed meanwhile, or that learns of it late.
///
/// A random history of configurations, calls and faults; a call that is sent after an
/// acknowledgement must be judged by that version or a later one.
#[test]
fn a_revoked_key_opens_nothing_after_its_acknowledgement() {
    for seed in 300..312 {
        revoke_under_faults(seed);
    }
}

const KEYS: [&str; 4] = ["a", "b", "c", "d"];

/// A call, and what it may be judged by: the newest version that was acknowledged when it was
/// sent.
struct Sent {
    id: u64,
    key: usize,
    version: u64,
}

fn revoke_under_faults(seed: u64) {
    let mut world = World::new(seed, 2, 2);
    let mut versions: BTreeMap<u64, BTreeSet<usize>> = BTreeMap::new();
    let mut newest = 1;
    let mut acknowledged = 1;
    let mut changes: Vec<(u64, u64)> = Vec::new();
    let mut calls: Vec<Sent> = Vec::new();
    for round in 0..120_u64 {
        let at = world.rng.random_range(1..=3);
        let draw = world.rng.random_range(0..100);
        match draw {
            0..25 => {
                newest += 1;
                let valid: BTreeSet<usize> = (0..KEYS.len())
                    .filter(|_| world.rng.random_bool(0.5))
                    .collect();
                let keys: Vec<&str> = valid.iter().map(|key| KEYS[*key]).collect();
                let configuration = with_workspaces(newest, vec![workspace("north", &keys)]);
                versions.insert(newest, valid);
                let call = Call::Configure(Arc::new(configuration));
                changes.push((world.call(at, call), newest));
            }
            25..85 => {
                let key_index = world.rng.random_range(0..KEYS.len());
                let id = world.submit_as(at, key(KEYS[key_index]), "quick", 1_000 + round);
                calls.push(Sent {
                    id,
                    key: key_index,
                    version: acknowledged,
                });
            }
            85..88 => world.freeze(&name(at), true),
            88..91 => world.isolate(&name(at)),
            91..93 if world.is_up(&name(at)) => world.kill(&name(at)),
            _ => {
                for place in 1..=3 {
                    world.freeze(&name(place), false);
                    if !world.is_up(&name(place)) {
                        world.restart(&name(place));
                    }
                }
                world.cut.clear();
            }
        }
        let wait_ms = world.rng.random_range(5..400);
        world.run_ms(wait_ms);
        for (id, version) in &changes {
            if world.answers.get(id) == Some(&Answer::Done) {
                acknowledged = acknowledged.max(*version);
            }
        }
    }
    world.run_ms(3_000);
    let mut refused = 0;
    for call in &calls {
        let answer = world.answers.get(&call.id);
        let ever_valid = versions
            .range(call.version..)
            .any(|(_, keys)| keys.contains(&call.key));
        if answer == Some(&Answer::Done) {
            assert!(
                call.version == 1 || ever_valid,
                "seed {seed}: key {} is let in after version {}",
                KEYS[call.key],
                call.version
            );
        }
        refused += usize::from(matches!(
            answer,
            Some(Answer::Refused(Refusal::Unauthorized(_)))
        ));
    }
    assert!(refused > 0, "seed {seed}: no call was refused");
    assert!(acknowledged > 1, "seed {seed}: nothing was acknowledged");
}

/// Guards against an old leader that lets a revoked key in: it is frozen while its successor
/// acknowledges the removal, and wakes with a call for it.
#[test]
fn a_leader_that_wakes_late_lets_no_revoked_key_in() {
    let mut world = World::new(16, 2, 2);
    world.configure(1, two_workspaces(2));
    let old = world.place_of_leader();
    world.freeze(&name(old), true);
    let other = if old == 1 { 2 } else { 1 };
    world.run_ms(3_000);
    let revoked = with_workspaces(3, vec![workspace("south", &["s1"])]);
    assert_eq!(world.configure(other, revoked), Some(Answer::Done));
    world.freeze(&name(old), false);
    let id = world.submit_as(old, key("n1"), "quick", 9);
    world.run_ms(2_000);
    assert_ne!(world.answers.get(&id), Some(&Answer::Done));
    assert!(world.runs.iter().all(|run| run.task.job != JobId::from(9)));
}

impl Pool {
    fn configure(&mut self, configuration: Configuration) {
        for part in rosemarygauge::control::ConfigurationPart::split(&configuration) {
            self.change(Change::ConfigurePart(part));
        }
    }

    fn accept_for(&mut self, workspace: &str, id: u64, spec: JobSpec) {
        self.change(Change::AcceptFor {
            workspace: workspace.into(),
            job: JobId::from(id),
            queue: "quick".into(),
            spec: Arc::new(spec),
        });
        if let Some(job) = self.state.job(JobId::from(id)) {
            self.scheduler.record_arrival(&self.state, job);
        }
    }

    /// Runs a pass and makes its starts durable, as the leader does.
    fn start_all(&mut self) -> Vec<rosemarygauge::control::Placement> {
        let starts = self.pass();
        for start in &starts {
            self.change(Change::Place {
                task: start.task,
                attempt: start.attempt,
                worker: start.worker.clone(),
            });
        }
        self.restart_leader();
        starts
    }

    fn end(&mut self, start: &rosemarygauge::control::Placement) {
        self.change(Change::End {
            task: start.task,
            attempt: start.attempt,
            worker: start.worker.clone(),
            ending: RunResult::Done,
            checkpoint: String::new(),
        });
        self.restart_leader();
    }
}

fn starts_of(starts: &[rosemarygauge::control::Placement], id: u64) -> usize {
    let starts = starts.iter();
    starts
        .filter(|start| start.task.job == JobId::from(id))
        .count()
}

/// Guards against a workspace that runs more than its quota: a step wider than that runs in
/// parts, and starts that are proposed and not yet durable count.
#[test]
fn a_workspace_runs_no_more_than_its_quota() {
    let mut pool = Pool::new(4);
    pool.configure(with_cpu_quota(2, 5));
    pool.accept_for("north", 1, job(vec![step(12)]));
    let first = pool.pass();
    assert_eq!(first.len(), 5);
    assert!(pool.pass().is_empty());
    for start in &first {
        pool.change(Change::Place {
            task: start.task,
            attempt: start.attempt,
            worker: start.worker.clone(),
        });
    }
    pool.restart_leader();
    assert!(pool.pass().is_empty());
    pool.end(&first[0]);
    pool.end(&first[1]);
    assert_eq!(pool.start_all().len(), 2);
}

/// Guards against head-of-line blocking: a workspace at its quota has a backlog of hundreds of
/// small jobs, which all rank before a job of another workspace.
#[test]
fn a_workspace_at_its_quota_delays_no_other() {
    let mut pool = Pool::new(4);
    pool.configure(with_cpu_quota(2, 3));
    for id in 0..400 {
        pool.accept_for("north", id, job(vec![step(1)]));
    }
    pool.accept_for("south", 1_000, job(vec![step(20)]));
    let starts = pool.pass();
    assert_eq!(starts_of(&starts, 1_000), 20);
    assert_eq!(starts.len(), 23);
}

/// Guards against one workspace that floods a queue with small jobs, far beyond its weight of
/// ten a second, and delays the jobs of another that keeps within its own. None of its jobs is
/// lost: all run once there is room.
#[test]
fn a_flood_of_one_workspace_goes_behind_the_others() {
    let mut pool = Pool::new(1);
    pool.configure(two_workspaces(2));
    for id in 0..60 {
        pool.accept_for("north", id, job(vec![step(1)]));
    }
    for id in 1_000..1_006 {
        pool.accept_for("south", id, job(vec![step(1)]));
    }
    let starts = pool.start_all();
    assert_eq!(starts.len(), 16);
    let south: usize = (1_000..1_006).map(|id| starts_of(&starts, id)).sum();
    assert_eq!(south, 6);
    for start in &starts {
        pool.end(start);
    }
    assert_eq!(pool.start_all().len(), 16);
}

/// Guards against a flood that starves the large jobs of its own workspace: those within its
/// share keep their order.
#[test]
fn jobs_within_the_share_keep_their_order() {
    let mut pool = Pool::new(1);
    pool.configure(two_workspaces(2));
    pool.accept_for("north", 1, job(vec![step(10)]));
    for id in 2..40 {
        pool.accept_for("north", id, job(vec![step(1)]));
    }
    let starts = pool.pass();
    let within: usize = (2..11).map(|id| starts_of(&starts, id)).sum();
    assert_eq!((within, starts_of(&starts, 1)), (9, 7));
}

/// Guards against a gang that starts in part, or holds up its workspace for ever.
#[test]
fn a_gang_waits_for_room_in_its_quota_as_a_whole() {
    let mut pool = Pool::new(4);
    pool.configure(with_cpu_quota(2, 6));
    pool.accept_for("north", 1, job(vec![step(4)]));
    let running = pool.start_all();
    assert_eq!(running.len(), 4);
    let gang = Step {
        gang: true,
        ..step(5)
    };
    pool.accept_for("north", 2, job(vec![gang]));
    assert!(pool.pass().is_empty());
    for start in &running[..3] {
        pool.end(start);
    }
    assert_eq!(starts_of(&pool.pass(), 2), 5);
}

/// Guards against runs that are killed, or further ones that start, when a quota is cut below
/// what runs.
#[test]
fn a_lower_quota_stops_nothing_and_starts_nothing_until_there_is_room() {
    let mut pool = Pool::new(4);
    pool.configure(with_cpu_quota(2, 10));
    pool.accept_for("north", 1, job(vec![step(20)]));
    let running = pool.start_all();
    assert_eq!(running.len(), 10);
    pool.configure(with_cpu_quota(3, 4));
    for start in &running[..6] {
        assert!(pool.pass().is_empty());
        pool.end(start);
    }
    assert!(pool.pass().is_empty());
    pool.end(&running[6]);
    assert_eq!(pool.start_all().len(), 1);
}

/// Guards against a job that waits for ever because it can never fit into its quota.
#[test]
fn a_job_beyond_its_quota_is_refused_with_the_reason() {
    let mut world = World::new(17, 2, 2);
    world.configure(1, with_cpu_quota(2, 5));
    let submit = |spec: JobSpec, id| Call::Submit {
        place: World::place("quick", id),
        spec: Some(Arc::new(spec)),
    };
    let gang = Step {
        gang: true,
        ..step(6)
    };
    let answer = world.answer_as(2, key("n1"), submit(job(vec![gang.clone()]), 1));
    let Some(Answer::Refused(Refusal::Wrong(why))) = answer else {
        panic!("{answer:?}");
    };
    assert!(why.contains("quota") && why.contains("north"), "{why}");
    let wide = world.answer_as(2, key("n1"), submit(job(vec![step(40)]), 2));
    assert_eq!(wide, Some(Answer::Done));
    let other = world.answer_as(2, key("s1"), submit(job(vec![gang]), 3));
    assert_eq!(other, Some(Answer::Done));
}

/// Guards against sums of a workspace's runs that drift: after any sequence of changes they
/// equal a recount, also after a snapshot.
#[test]
fn the_use_of_a_quota_equals_a_recount_after_any_changes() {
    let mut used = 0;
    for seed in 0..30 {
        let mut world = World::new(500 + seed, 0, 0);
        let rng = &mut world.rng;
        let mut pool = Pool::new(5);
        pool.configure(with_cpu_quota(2, 1_000));
        for id in 0..20 {
            let spec = job(vec![step(rng.random_range(1..6)), step(2)]);
            match id % 3 {
                0 => pool.accept(id, spec),
                1 => pool.accept_for("north", id, spec),
                _ => pool.accept_for("south", id, spec),
            }
        }
        for _ in 0..400 {
            let change = random_change(rng);
            apply(&mut pool.state, change);
        }
        let recount = WorkspaceUsage::of(pool.state.active());
        assert_eq!(*pool.state.usage(), recount, "seed {seed}");
        let read = State::decode(&pool.state.encode()).unwrap();
        assert_eq!(read.usage(), pool.state.usage(), "seed {seed}");
        let north = pool.state.usage().get(&"north".into());
        used += usize::from(north != ResourceTotals::default());
    }
    assert!(used > 0, "no history ends with runs of a workspace");
}

fn random_change(rng: &mut impl Rng) -> Change {
    let task = TaskId {
        job: JobId::from(rng.random_range(0..20)),
        occurrence: 0,
        step: rng.random_range(0..2),
        index: rng.random_range(0..6),
    };
    let attempt = rng.random_range(1..5);
    let worker = format!("i-{}", rng.random_range(0..5)).as_str().into();
    match rng.random_range(0..100) {
        0..60 => Change::Place {
            task,
            attempt,
            worker,
        },
        60..70 => Change::Unplace {
            task,
            attempt,
            worker,
        },
        70..90 => Change::End {
            task,
            attempt,
            worker,
            ending: match rng.random_range(0..3) {
                0 => RunResult::Done,
                1 => RunResult::Failed,
                _ => RunResult::Stopped,
            },
            checkpoint: String::new(),
        },
        90..95 => Change::Lapse { worker },
        95..97 => Change::Gone { worker },
        97..99 => Change::Cancel { job: task.job },
        _ => Change::Forget {
            before_unix_ms: u64::MAX,
        },
    }
}

/// Guards against a quota that is exceeded while leaders change, answers are lost and workers
/// are out of reach but still run: what the workers really run is counted all along.
#[test]
fn no_more_than_the_quota_runs_under_faults() {
    for seed in 600..608 {
        let mut world = World::new(seed, 5, 2);
        world.configure(1, with_cpu_quota(2, 9));
        for id in 0..12 {
            let spec = job(vec![step(6)]);
            let call = Call::Submit {
                place: World::place("quick", id),
                spec: Some(Arc::new(spec)),
            };
            world.call_as(1 + id as usize % 3, key("n1"), call);
        }
        world.late_per_mille = 40;
        for round in 0..16 {
            match round % 4 {
                0 => {
                    let leader = world.place_of_leader_or(1);
                    world.kill(&name(leader));
                    run_within(&mut world, 700, 9, seed);
                    world.restart(&name(leader));
                }
                1 => {
                    let port = 1_000 + world.rng.random_range(0..5);
                    world.cut_worker(port);
                }
                2 => {
                    let leader = world.place_of_leader_or(2);
                    world.feed(&name(leader), Event::Tick);
                }
                _ => world.cut.clear(),
            }
            run_within(&mut world, 900, 9, seed);
        }
        world.cut.clear();
        world.late_per_mille = 0;
        run_within(&mut world, 12_000, 9, seed);
        let leader = world.leader().unwrap();
        for id in 0..12 {
            let state = world.state(&leader).job(JobId::from(id)).map(|j| j.state());
            let ended = state.is_none_or(|state| state == JobState::Completed);
            assert!(ended, "seed {seed}: job {id} is {state:?}");
        }
    }
}

impl World {
    fn place_of_leader_or(&self, other: usize) -> usize {
        let leader = self.leader();
        let place = leader.and_then(|leader| (1..=3).find(|place| name(*place) == leader));
        place.unwrap_or(other)
    }
}

/// Runs the world and checks at each step what its workers run.
fn run_within(world: &mut World, for_ms: u64, most: usize, seed: u64) {
    let until_ms = world.now_ms + for_ms;
    while world.now_ms < until_ms {
        world.run_ms(crate::world::STEP_MS);
        let running: usize = world.workers.values().map(|w| w.going.len()).sum();
        assert!(running <= most, "seed {seed}: {running} run, {most} may");
    }
}
