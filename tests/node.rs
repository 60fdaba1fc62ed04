//! Tests of the state machine of an entry instance: events in, effects out.
#![allow(missing_docs, clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rosemarygauge::consensus::Recovered;
use rosemarygauge::entry::{
    AttemptEnd, Call, CallAnswer, CallId, Effect, Event, Node, NodeSettings, OperatorAnswer,
    OperatorId, OperatorRequest, Sending, Subject,
};
use rosemarygauge::maintenance::FleetCommand;
use rosemarygauge::model::{
    Budget, Capacity, Class, Demand, EntryName, FailureDomain, Outcome, Pool, RefusalReason,
    Service, UpstreamReport, UpstreamState, ZoneName,
};

/// An entry instance that is its own quorum, with a simulated clock.
struct NodeHarness {
    node: Node,
    now_ms: u64,
    effects: Vec<Effect>,
    calls: u64,
    ids: u64,
    reports: u64,
    /// Writes not synced yet while the disk stalls; none while it works.
    unsynced_writes: Option<Vec<u64>>,
}

impl NodeHarness {
    fn start() -> Self {
        let me = EntryName::from("a-1");
        let settings = NodeSettings {
            me: me.clone(),
            zone: ZoneName::from("a"),
            members: BTreeMap::from([(me.clone(), ZoneName::from("a"))]),
            voters: vec![me],
            ..NodeSettings::default()
        };
        let recovered = Recovered {
            incarnation: Some(7),
            ..Recovered::default()
        };
        let mut harness = Self {
            node: Node::new(settings, recovered, 1_000_000, 0),
            now_ms: 0,
            effects: Vec::new(),
            calls: 0,
            ids: 0,
            reports: 0,
            unsynced_writes: None,
        };
        harness.run_ms(3_000);
        harness.feed(Event::Operator {
            id: OperatorId(1),
            request: OperatorRequest::Fleet {
                change: "c1".into(),
                operator: "mona".into(),
                command: FleetCommand::PutPool { pool: pool() },
            },
        });
        harness.report();
        harness.run_ms(100);
        harness.report();
        harness
    }

    /// Feeds an event, and reports the resulting writes as synced at once unless the
    /// disk stalls.
    fn feed(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in self.node.handle(self.now_ms, event) {
                if let Effect::Persist { token, .. } = effect {
                    match &mut self.unsynced_writes {
                        Some(unsynced_writes) => unsynced_writes.push(token),
                        None => events.push(Event::Persisted { token }),
                    }
                } else {
                    self.effects.push(effect);
                }
            }
        }
    }

    /// Runs for `ms` with a stalled disk, which then syncs all writes at once.
    fn stall_disk_ms(&mut self, ms: u64) {
        self.run_ms(ms);
        for token in self.unsynced_writes.take().unwrap_or_default() {
            self.feed(Event::Persisted { token });
        }
    }

    fn run_ms(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += 20;
            self.feed(Event::Tick);
        }
    }

    fn report(&mut self) {
        self.reports += 1;
        let report = report(self.reports);
        let id = CallId(1_000_000 + self.reports);
        self.feed(Event::Announced { id, report });
    }

    fn call(&mut self, idempotent: bool) -> CallId {
        self.calls += 1;
        self.call_key(self.calls, idempotent, 5_000)
    }

    /// Sends a call under the key `k{number}`.
    fn call_key(&mut self, number: u64, idempotent: bool, deadline_ms: u64) -> CallId {
        self.ids += 1;
        let id = CallId(self.ids);
        let call = Call {
            service: "check".into(),
            team: "t".into(),
            caller: "c".into(),
            class: None,
            key: Some(format!("k{number}").as_str().into()),
            idempotent,
            first: false,
            deadline_ms,
            body: Arc::from(&b"body"[..]),
        };
        self.feed(Event::Call { id, call });
        id
    }

    /// Sends a call that submits a patient job which may run only once.
    fn job(&mut self, number: u64) -> CallId {
        let id = CallId(9_000 + number);
        let call = Call {
            service: "archive".into(),
            team: "t".into(),
            caller: "c".into(),
            class: None,
            key: Some(format!("j{number}").as_str().into()),
            idempotent: false,
            first: false,
            deadline_ms: 5_000,
            body: Arc::from(&b"body"[..]),
        };
        self.feed(Event::Call { id, call });
        id
    }

    fn sent(&self) -> Vec<Sending> {
        let sending = |effect: &Effect| match effect {
            Effect::Send(sending) => Some(sending.clone()),
            _ => None,
        };
        self.effects.iter().filter_map(sending).collect()
    }

    fn end_attempt(&mut self, sending: &Sending, end: AttemptEnd) {
        self.feed(Event::AttemptEnded {
            request: sending.request,
            attempt: sending.attempt,
            run_us: 1_000,
            end,
        });
    }

    fn answer_to(&self, call: CallId) -> Option<CallAnswer> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::AnswerCall { id, answer } if *id == call => Some(answer.clone()),
            _ => None,
        })
    }
}

fn report(sequence: u64) -> UpstreamReport {
    UpstreamReport {
        instance: "w1".into(),
        incarnation: 1,
        sequence,
        address: "127.0.0.1:9".into(),
        zone: "a".into(),
        rack: "r".into(),
        pool: "p".into(),
        capacity: Capacity {
            cores: 16,
            memory_mib: 1_024,
            accelerators: 0,
            slots: 8,
            connections: 64,
        },
        pool_epoch: 1,
        standing: UpstreamState::Serving,
        running: 0,
        usage_age_ms: 0,
    }
}

fn pool() -> Pool {
    Pool {
        name: "p".into(),
        budget: Budget {
            min_available: 0,
            survive: FailureDomain::None,
        },
        services: [("check", Class::Urgent), ("archive", Class::Patient)]
            .map(|(name, class)| Service {
                name: name.into(),
                class,
                demand: Demand {
                    cores: 1,
                    memory_mib: 1,
                    accelerators: 0,
                    run_ms: 10,
                },
            })
            .into(),
    }
}

fn complete_answer() -> AttemptEnd {
    AttemptEnd::Answer {
        status: 200,
        body: b"answer".to_vec(),
    }
}

fn done() -> CallAnswer {
    CallAnswer::Outcome(Outcome::Done {
        status: 200,
        body: b"answer".to_vec(),
    })
}

/// Guards against requests that stay open for good after their caller has disconnected.
/// A planned stop then waited for them until its grace period was over.
#[test]
fn a_request_whose_caller_disconnected_is_removed() {
    for idempotent in [true, false] {
        let mut harness = NodeHarness::start();
        let call = harness.call(idempotent);
        let sent = harness.sent();
        assert_eq!(sent.len(), 1, "idempotent {idempotent}");
        harness.feed(Event::CallerGone { id: call });
        harness.end_attempt(&sent[0], complete_answer());
        assert_eq!(harness.node.status(harness.now_ms).open_requests, 0);
        harness.feed(Event::Stop);
        harness.run_ms(2_000);
        let stopped = harness.effects.iter().any(|e| matches!(e, Effect::Stopped));
        assert!(stopped, "idempotent {idempotent}");
    }
}

/// A caller whose request may run only once disconnects and asks again under its key.
/// The first run completed although nobody waited for it: the second call gets its
/// answer, and nothing runs again.
#[test]
fn an_answer_after_the_caller_disconnected_is_stored_under_its_key() {
    let mut harness = NodeHarness::start();
    let call = harness.call(false);
    let sent = harness.sent();
    harness.feed(Event::CallerGone { id: call });
    harness.end_attempt(&sent[0], complete_answer());
    let again = CallId(500);
    let call = Call {
        service: "check".into(),
        team: "t".into(),
        caller: "c".into(),
        class: None,
        key: Some("k1".into()),
        idempotent: false,
        first: false,
        deadline_ms: 5_000,
        body: Arc::from(&b"body"[..]),
    };
    harness.feed(Event::Call { id: again, call });
    assert_eq!(harness.answer_to(again), Some(done()));
    assert_eq!(harness.sent().len(), 1);
}

/// An operator asks about a request by team, caller and key. The state stores the key
/// with team and caller in front, in a form that an operator cannot type.
#[test]
fn a_request_is_explained_by_team_caller_and_key() {
    let mut harness = NodeHarness::start();
    harness.call(false);
    let sent = harness.sent();
    harness.end_attempt(&sent[0], complete_answer());
    let request = OperatorRequest::Explain(Subject::Request("t/c/k1".into()));
    let id = OperatorId(7);
    harness.feed(Event::Operator { id, request });
    let is_answered = harness.effects.iter().any(|effect| {
        matches!(effect, Effect::AnswerOperator { id: of, answer: OperatorAnswer::Ok(value) }
            if *of == id && value["phase"].to_string().contains("Answered"))
    });
    assert!(is_answered);
}

/// The upstream gives no complete answer to a request that may run only once. The
/// caller is told `unknown` at once, and the key never runs again.
#[test]
fn a_request_with_a_lost_answer_is_unknown_and_does_not_run_again() {
    let mut harness = NodeHarness::start();
    let call = harness.call(false);
    let sent = harness.sent();
    harness.end_attempt(&sent[0], AttemptEnd::Lost);
    let unknown = Some(CallAnswer::Outcome(Outcome::Unknown));
    assert_eq!(harness.answer_to(call), unknown);
    harness.calls = 0;
    let before = harness.effects.len();
    harness.call(false);
    let is_answered = harness.effects[before..].iter().any(|effect| {
        matches!(effect, Effect::AnswerCall { answer, .. } if Some(answer) == unknown.as_ref())
    });
    assert!(is_answered);
    assert_eq!(harness.sent().len(), 1);
}

/// Guards against a request that may run only once running again under its key after it
/// was answered `done`. The disk stalls, so the claim is proposed again after 400 ms
/// and the log holds it twice. The first copy is granted and the request is sent; the
/// second was taken for a claim that had timed out, and the key was released while its
/// request ran.
#[test]
fn a_claim_twice_in_the_log_keeps_its_key() {
    let mut harness = NodeHarness::start();
    harness.unsynced_writes = Some(Vec::new());
    harness.call(false);
    harness.stall_disk_ms(500);
    let sent = harness.sent();
    assert_eq!(sent.len(), 1);
    harness.run_ms(100);
    harness.end_attempt(&sent[0], complete_answer());
    let again = harness.call_key(1, false, 5_000);
    assert_eq!(harness.sent().len(), 1, "it ran again");
    assert_eq!(harness.answer_to(again), Some(done()));
}

/// Like the test above, but the second call arrives while the first one's request is in
/// flight: the key ran twice at once. The second call must wait for the one answer.
#[test]
fn a_second_call_waits_for_the_answer_of_a_claim_twice_in_the_log() {
    let mut harness = NodeHarness::start();
    harness.unsynced_writes = Some(Vec::new());
    harness.call(false);
    harness.stall_disk_ms(500);
    let sent = harness.sent();
    harness.run_ms(100);
    let again = harness.call_key(1, false, 5_000);
    assert_eq!(harness.sent().len(), 1, "it ran twice at once");
    assert_eq!(harness.answer_to(again), None);
    harness.end_attempt(&sent[0], complete_answer());
    assert_eq!(harness.answer_to(again), Some(done()));
}

/// A call is told `unknown` because the disk stalls for longer than the call waits.
/// Later its claim is granted after all, and the log holds it several times. Nothing
/// was sent under it, so the key must be free for the next call, and must then stay
/// with that call.
#[test]
fn a_claim_that_timed_out_releases_its_key_once() {
    let mut harness = NodeHarness::start();
    harness.unsynced_writes = Some(Vec::new());
    let late = harness.call_key(1, false, 1_000);
    harness.stall_disk_ms(1_500);
    let unknown = CallAnswer::Outcome(Outcome::Unknown);
    assert_eq!(harness.answer_to(late), Some(unknown));
    assert_eq!(harness.sent().len(), 0);
    harness.run_ms(100);
    harness.report();
    let again = harness.call_key(1, false, 5_000);
    let sent = harness.sent();
    assert_eq!(sent.len(), 1, "the key is still held");
    harness.run_ms(1_000);
    harness.end_attempt(&sent[0], complete_answer());
    assert_eq!(harness.answer_to(again), Some(done()));
    harness.call_key(1, false, 5_000);
    assert_eq!(harness.sent().len(), 1, "it ran again");
}

/// Guards against a patient job that may run only once running twice at once. The disk
/// stalls, so the leader proposes the assignment again after 400 ms and the log holds
/// it twice. The owner started an attempt for each of the two.
#[test]
fn a_job_assigned_twice_starts_once() {
    let mut harness = NodeHarness::start();
    harness.job(1);
    harness.unsynced_writes = Some(Vec::new());
    harness.stall_disk_ms(700);
    harness.run_ms(200);
    let sent = harness.sent();
    assert_eq!(sent.len(), 1, "attempts of one job");
    harness.end_attempt(&sent[0], complete_answer());
    harness.run_ms(1_000);
    assert_eq!(harness.sent().len(), 1, "attempts after its end");
}

/// A call arrives before the entry instance knows the pools. "Unknown service" would
/// tell the caller not to retry; instead it is told when to retry.
#[test]
fn a_call_before_the_state_is_known_is_told_to_retry() {
    let mut harness = NodeHarness::start();
    harness.node = Node::new(
        NodeSettings::default(),
        Recovered::default(),
        1_000_000,
        harness.now_ms,
    );
    harness.effects.clear();
    let call = harness.call(true);
    let Some(CallAnswer::Outcome(Outcome::NotRun {
        reason,
        retry_after_ms,
    })) = harness.answer_to(call)
    else {
        panic!("{:?}", harness.effects);
    };
    assert_eq!(reason, RefusalReason::Starting);
    assert!(retry_after_ms.is_some());
}

/// Two entry instances and the link between them, which can be cut.
struct Pair {
    leader: NodeHarness,
    learner: NodeHarness,
}

impl Pair {
    fn start() -> Self {
        Self::start_with(NodeSettings::default().snapshot_every)
    }

    /// Starts the pair with a snapshot after every `snapshot_every` entries.
    fn start_with(snapshot_every: u64) -> Self {
        let mut pair = Self {
            leader: pair_harness("a-1", Some(7), 1, 0, snapshot_every),
            learner: pair_harness("a-2", None, 1, 0, snapshot_every),
        };
        pair.run_ms(3_000, true);
        pair.leader.feed(Event::Operator {
            id: OperatorId(1),
            request: OperatorRequest::Fleet {
                change: "c1".into(),
                operator: "mona".into(),
                command: FleetCommand::PutPool { pool: pool() },
            },
        });
        pair.run_ms(200, true);
        pair
    }

    /// Runs both; their frames are delivered only if `linked`.
    fn run_ms(&mut self, ms: u64, linked: bool) {
        for _ in 0..ms / 20 {
            for harness in [&mut self.leader, &mut self.learner] {
                harness.now_ms += 20;
                harness.feed(Event::Tick);
            }
            deliver_frames("a-1", &mut self.leader, &mut self.learner, linked);
            deliver_frames("a-2", &mut self.learner, &mut self.leader, linked);
        }
    }
}

/// Creates the entry instance `me`: a-1, the only voter, or a-2, a learner.
fn pair_harness(
    me: &str,
    log_incarnation: Option<u64>,
    incarnation: u64,
    now_ms: u64,
    snapshot_every: u64,
) -> NodeHarness {
    let settings = NodeSettings {
        me: me.into(),
        incarnation,
        zone: "a".into(),
        members: ["a-1", "a-2"].map(|name| (name.into(), "a".into())).into(),
        voters: vec!["a-1".into()],
        seed: log_incarnation.unwrap_or(3) + incarnation,
        snapshot_every,
        ..NodeSettings::default()
    };
    let recovered = Recovered {
        incarnation: log_incarnation,
        ..Recovered::default()
    };
    NodeHarness {
        node: Node::new(settings, recovered, 1_000_000, now_ms),
        now_ms,
        effects: Vec::new(),
        calls: 0,
        ids: 0,
        reports: 0,
        unsynced_writes: None,
    }
}

fn deliver_frames(from: &str, sender: &mut NodeHarness, receiver: &mut NodeHarness, linked: bool) {
    let (frames, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut sender.effects)
        .into_iter()
        .partition(|effect| matches!(effect, Effect::Peer { .. }));
    sender.effects = rest;
    for effect in frames {
        if let Effect::Peer { frame, .. } = effect
            && linked
        {
            let from = from.into();
            receiver.feed(Event::Peer { from, frame });
        }
    }
}

/// An entry instance is cut off; meanwhile an instance may move and restart. The
/// restarted upstream has forgotten its epoch and announces itself to the entry
/// instance that is cut off. If it were told the old epoch, it would run requests of
/// two pools at once.
#[test]
fn a_cut_off_entry_sends_no_epoch_to_a_restarted_upstream() {
    let mut pair = Pair::start();
    pair.leader.report();
    pair.run_ms(200, true);
    let announced_epoch = |harness: &mut NodeHarness, incarnation| {
        harness.reports += 1;
        let sequence = harness.reports;
        let report = UpstreamReport {
            incarnation,
            sequence,
            pool_epoch: 0,
            ..report(sequence)
        };
        harness.feed(Event::Announced {
            id: CallId(2_000_000),
            report,
        });
        let reply = harness
            .effects
            .iter()
            .rev()
            .find_map(|effect| match effect {
                Effect::AnswerAnnounce { reply, .. } => Some(reply.pool_epoch),
                _ => None,
            });
        reply.unwrap()
    };
    assert_eq!(
        announced_epoch(&mut pair.learner, 2),
        1,
        "with a fresh view"
    );
    pair.run_ms(2_000, false);
    assert_eq!(announced_epoch(&mut pair.learner, 3), 0, "cut off");
}

/// An entry instance runs jobs that may run only once, is cut off for two seconds and
/// then is so far behind that it gets a snapshot. The snapshot shows the jobs as
/// assigned to it: it started them again, beside the attempts in flight.
#[test]
fn a_snapshot_does_not_restart_jobs_in_flight() {
    let mut pair = Pair::start_with(8);
    pair.learner.report();
    pair.run_ms(100, true);
    pair.learner.report();
    for number in 0..4 {
        pair.leader.job(number);
    }
    pair.run_ms(500, true);
    let sent = pair.learner.sent();
    assert!(!sent.is_empty(), "it was assigned jobs");
    let before = pair.learner.node.status(pair.learner.now_ms).applied_index;
    pair.run_ms(100, false);
    for number in 10..50 {
        pair.leader.job(number);
        pair.run_ms(20, false);
    }
    pair.run_ms(1_000, false);
    pair.run_ms(1_000, true);
    let after = pair.learner.node.status(pair.learner.now_ms).applied_index;
    assert!(after >= before + 40, "it caught up: {before} {after}");
    let jobs: BTreeSet<_> = pair.learner.sent().into_iter().map(|s| s.key).collect();
    assert_eq!(pair.learner.sent().len(), jobs.len(), "attempts and jobs");
    pair.learner.end_attempt(&sent[0], complete_answer());
    pair.run_ms(500, true);
    assert_eq!(pair.learner.sent().len(), jobs.len(), "after an end");
}

/// An entry instance restarts, and the leader hears its new incarnation before that is
/// in the replicated state. Jobs assigned to the old incarnation would run nowhere, and
/// those that may run only once would end as unknown although nothing was lost.
#[test]
fn no_job_is_assigned_to_an_ended_incarnation() {
    let mut pair = Pair::start();
    let now_ms = pair.leader.now_ms;
    let every = NodeSettings::default().snapshot_every;
    pair.learner = pair_harness("a-2", None, 2, now_ms, every);
    pair.learner.feed(Event::Tick);
    let frame = rosemarygauge::entry::PeerFrame {
        incarnation: 2,
        sent_ms: now_ms,
        echo_ms: None,
        messages: Vec::new(),
    };
    let from = "a-2".into();
    pair.leader.feed(Event::Peer { from, frame });
    for number in 0..4 {
        pair.leader.job(number);
    }
    pair.run_ms(500, false);
    for number in 0..4 {
        let Some(CallAnswer::Accepted { job }) = pair.leader.answer_to(CallId(9_000 + number))
        else {
            panic!("job {number} was not accepted");
        };
        let id = OperatorId(100 + number);
        let request = OperatorRequest::Explain(Subject::Request(job));
        pair.leader.feed(Event::Operator { id, request });
        let shown = pair
            .leader
            .effects
            .iter()
            .rev()
            .find_map(|effect| match effect {
                Effect::AnswerOperator {
                    answer: OperatorAnswer::Ok(value),
                    ..
                } => Some(value["phase"].to_string()),
                _ => None,
            });
        assert!(!shown.as_ref().unwrap().contains("a-2"), "{shown:?}");
    }
}
