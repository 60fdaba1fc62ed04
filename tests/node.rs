//! A whole entry instance without its edges: events in, effects out.
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

/// One entry instance that is its own quorum, and its clock.
struct Bench {
    node: Node,
    now_ms: u64,
    seen: Vec<Effect>,
    calls: u64,
    ids: u64,
    reports: u64,
    /// Writes that a disk which stands still has not synced; none while it works.
    unsynced: Option<Vec<u64>>,
}

impl Bench {
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
        let mut bench = Self {
            node: Node::new(settings, recovered, 1_000_000, 0),
            now_ms: 0,
            seen: Vec::new(),
            calls: 0,
            ids: 0,
            reports: 0,
            unsynced: None,
        };
        bench.run_ms(3_000);
        bench.feed(Event::Operator {
            id: OperatorId(1),
            request: OperatorRequest::Fleet {
                change: "c1".into(),
                operator: "mona".into(),
                command: FleetCommand::PutPool { pool: pool() },
            },
        });
        bench.report();
        bench.run_ms(100);
        bench.report();
        bench
    }

    /// Feeds an event and, as a disk without delay would, its writes.
    fn feed(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in self.node.handle(self.now_ms, event) {
                if let Effect::Persist { token, .. } = effect {
                    match &mut self.unsynced {
                        Some(unsynced) => unsynced.push(token),
                        None => events.push(Event::Persisted { token }),
                    }
                } else {
                    self.seen.push(effect);
                }
            }
        }
    }

    /// The disk syncs nothing for so long, then all at once.
    fn stall_disk_ms(&mut self, ms: u64) {
        self.run_ms(ms);
        for token in self.unsynced.take().unwrap_or_default() {
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

    /// A call under the key of the call of that number.
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

    /// A call that brings a patient job which may run only once.
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
        self.seen.iter().filter_map(sending).collect()
    }

    fn end(&mut self, sending: &Sending, end: AttemptEnd) {
        self.feed(Event::AttemptEnded {
            request: sending.request,
            attempt: sending.attempt,
            run_us: 1_000,
            end,
        });
    }

    fn answer_to(&self, call: CallId) -> Option<CallAnswer> {
        self.seen.iter().find_map(|effect| match effect {
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

fn whole() -> AttemptEnd {
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

/// Callers go away while their requests run. The requests end, and nobody is
/// told; yet they stayed open in the entry instance for good, and a planned stop
/// waited for them until its grace was over.
#[test]
fn a_request_whose_caller_went_away_leaves_nothing_open() {
    for idempotent in [true, false] {
        let mut bench = Bench::start();
        let call = bench.call(idempotent);
        let sent = bench.sent();
        assert_eq!(sent.len(), 1, "idempotent {idempotent}");
        bench.feed(Event::CallerGone { id: call });
        bench.end(&sent[0], whole());
        assert_eq!(bench.node.status(bench.now_ms).open_requests, 0);
        bench.feed(Event::Stop);
        bench.run_ms(2_000);
        let stopped = bench.seen.iter().any(|e| matches!(e, Effect::Stopped));
        assert!(stopped, "idempotent {idempotent}");
    }
}

/// A caller that may not be served twice goes away and asks again under its key.
/// The first run's answer was whole although nobody waited for it: the second
/// call gets it, and nothing runs again.
#[test]
fn an_answer_nobody_waited_for_is_stored_under_its_key() {
    let mut bench = Bench::start();
    let call = bench.call(false);
    let sent = bench.sent();
    bench.feed(Event::CallerGone { id: call });
    bench.end(&sent[0], whole());
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
    bench.feed(Event::Call { id: again, call });
    assert_eq!(bench.answer_to(again), Some(done()));
    assert_eq!(bench.sent().len(), 1);
}

/// An operator asks what became of a caller's request, by the names the caller
/// gave. The key stands in the state with team and caller in front, which nobody
/// could type.
#[test]
fn a_request_is_explained_by_the_names_its_caller_gave() {
    let mut bench = Bench::start();
    bench.call(false);
    let sent = bench.sent();
    bench.end(&sent[0], whole());
    let request = OperatorRequest::Explain(Subject::Request("t/c/k1".into()));
    let id = OperatorId(7);
    bench.feed(Event::Operator { id, request });
    let told = bench.seen.iter().any(|effect| {
        matches!(effect, Effect::AnswerOperator { id: of, answer: OperatorAnswer::Ok(value) }
            if *of == id && value["phase"].to_string().contains("Answered"))
    });
    assert!(told);
}

/// The upstream gives no whole answer to a request that may run only once. The
/// caller is told `unknown` at once, and the key never runs again.
#[test]
fn a_lost_answer_is_unknown_and_never_run_again() {
    let mut bench = Bench::start();
    let call = bench.call(false);
    let sent = bench.sent();
    bench.end(&sent[0], AttemptEnd::Lost);
    let unknown = Some(CallAnswer::Outcome(Outcome::Unknown));
    assert_eq!(bench.answer_to(call), unknown);
    bench.calls = 0;
    let before = bench.seen.len();
    bench.call(false);
    let told = bench.seen[before..].iter().any(|effect| {
        matches!(effect, Effect::AnswerCall { answer, .. } if Some(answer) == unknown.as_ref())
    });
    assert!(told);
    assert_eq!(bench.sent().len(), 1);
}

/// A caller's request that may run only once is answered `done`; sent again under
/// its key it runs a second time. The disk stands still, so the claim is proposed
/// again after 400 ms and the log holds it twice. The first one is granted and the
/// request is sent; the second one was taken for a claim that had been given up,
/// and the key was set free while its request ran.
#[test]
fn a_claim_that_the_log_holds_twice_keeps_its_key() {
    let mut bench = Bench::start();
    bench.unsynced = Some(Vec::new());
    bench.call(false);
    bench.stall_disk_ms(500);
    let sent = bench.sent();
    assert_eq!(sent.len(), 1);
    bench.run_ms(100);
    bench.end(&sent[0], whole());
    let again = bench.call_key(1, false, 5_000);
    assert_eq!(bench.sent().len(), 1, "it ran again");
    assert_eq!(bench.answer_to(again), Some(done()));
}

/// The same, and the second call comes while the first one's request still runs:
/// the key ran twice at once. It waits for the one answer.
#[test]
fn a_call_beside_a_claim_that_the_log_holds_twice_waits_for_its_answer() {
    let mut bench = Bench::start();
    bench.unsynced = Some(Vec::new());
    bench.call(false);
    bench.stall_disk_ms(500);
    let sent = bench.sent();
    bench.run_ms(100);
    let again = bench.call_key(1, false, 5_000);
    assert_eq!(bench.sent().len(), 1, "it ran beside itself");
    assert_eq!(bench.answer_to(again), None);
    bench.end(&sent[0], whole());
    assert_eq!(bench.answer_to(again), Some(done()));
}

/// A call is told `unknown` as the disk stands still for longer than it waits.
/// Later its claim is granted after all, and the log holds it several times.
/// Nothing was sent under it, so the key must be free for the next call, and stay
/// that one's.
#[test]
fn a_claim_that_was_given_up_sets_its_key_free_once() {
    let mut bench = Bench::start();
    bench.unsynced = Some(Vec::new());
    let late = bench.call_key(1, false, 1_000);
    bench.stall_disk_ms(1_500);
    let unknown = CallAnswer::Outcome(Outcome::Unknown);
    assert_eq!(bench.answer_to(late), Some(unknown));
    assert_eq!(bench.sent().len(), 0);
    bench.run_ms(100);
    bench.report();
    let again = bench.call_key(1, false, 5_000);
    let sent = bench.sent();
    assert_eq!(sent.len(), 1, "the key is still held");
    bench.run_ms(1_000);
    bench.end(&sent[0], whole());
    assert_eq!(bench.answer_to(again), Some(done()));
    bench.call_key(1, false, 5_000);
    assert_eq!(bench.sent().len(), 1, "it ran again");
}

/// A patient job that may run only once runs twice at once. The disk stands still,
/// so the leader gives the job out again after 400 ms and the log holds that twice.
/// At each of the two its owner began an attempt.
#[test]
fn a_job_that_is_given_out_twice_begins_once() {
    let mut bench = Bench::start();
    bench.job(1);
    bench.unsynced = Some(Vec::new());
    bench.stall_disk_ms(700);
    bench.run_ms(200);
    let sent = bench.sent();
    assert_eq!(sent.len(), 1, "attempts of one job");
    bench.end(&sent[0], whole());
    bench.run_ms(1_000);
    assert_eq!(bench.sent().len(), 1, "attempts after its end");
}

/// A call comes before the entry instance knows the pools. "Unknown service"
/// would tell the caller never to come back; it is told when to.
#[test]
fn a_call_before_the_state_is_known_is_told_to_come_back() {
    let mut bench = Bench::start();
    bench.node = Node::new(
        NodeSettings::default(),
        Recovered::default(),
        1_000_000,
        bench.now_ms,
    );
    bench.seen.clear();
    let call = bench.call(true);
    let Some(CallAnswer::Outcome(Outcome::NotRun {
        reason,
        retry_after_ms,
    })) = bench.answer_to(call)
    else {
        panic!("{:?}", bench.seen);
    };
    assert_eq!(reason, RefusalReason::Starting);
    assert!(retry_after_ms.is_some());
}

/// Two entry instances and the frames between them, which can be held back.
struct Pair {
    leader: Bench,
    learner: Bench,
}

impl Pair {
    fn start() -> Self {
        Self::start_with(NodeSettings::default().snapshot_every)
    }

    /// With a snapshot after so many entries.
    fn start_with(snapshot_every: u64) -> Self {
        let mut pair = Self {
            leader: pair_node("a-1", Some(7), 1, 0, snapshot_every),
            learner: pair_node("a-2", None, 1, 0, snapshot_every),
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

    /// Runs both, with or without the link between them.
    fn run_ms(&mut self, ms: u64, linked: bool) {
        for _ in 0..ms / 20 {
            for bench in [&mut self.leader, &mut self.learner] {
                bench.now_ms += 20;
                bench.feed(Event::Tick);
            }
            carry("a-1", &mut self.leader, &mut self.learner, linked);
            carry("a-2", &mut self.learner, &mut self.leader, linked);
        }
    }
}

/// Entry instance `me` of a-1, which votes alone, and a-2, which follows.
fn pair_node(
    me: &str,
    folder: Option<u64>,
    incarnation: u64,
    now_ms: u64,
    snapshot_every: u64,
) -> Bench {
    let settings = NodeSettings {
        me: me.into(),
        incarnation,
        zone: "a".into(),
        members: ["a-1", "a-2"].map(|name| (name.into(), "a".into())).into(),
        voters: vec!["a-1".into()],
        seed: folder.unwrap_or(3) + incarnation,
        snapshot_every,
        ..NodeSettings::default()
    };
    let recovered = Recovered {
        incarnation: folder,
        ..Recovered::default()
    };
    Bench {
        node: Node::new(settings, recovered, 1_000_000, now_ms),
        now_ms,
        seen: Vec::new(),
        calls: 0,
        ids: 0,
        reports: 0,
        unsynced: None,
    }
}

fn carry(from: &str, sender: &mut Bench, receiver: &mut Bench, linked: bool) {
    let (frames, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut sender.seen)
        .into_iter()
        .partition(|effect| matches!(effect, Effect::Peer { .. }));
    sender.seen = rest;
    for effect in frames {
        if let Effect::Peer { frame, .. } = effect
            && linked
        {
            let from = from.into();
            receiver.feed(Event::Peer { from, frame });
        }
    }
}

/// An entry instance is cut off; meanwhile an instance may move and restart. It
/// announces itself to the one that is cut off, having forgotten its epoch. Told
/// the old one, it would run requests of two pools at once.
#[test]
fn a_cut_off_entry_tells_a_restarted_upstream_no_epoch() {
    let mut pair = Pair::start();
    pair.leader.report();
    pair.run_ms(200, true);
    let told = |bench: &mut Bench, incarnation| {
        bench.reports += 1;
        let sequence = bench.reports;
        let report = UpstreamReport {
            incarnation,
            sequence,
            pool_epoch: 0,
            ..report(sequence)
        };
        bench.feed(Event::Announced {
            id: CallId(2_000_000),
            report,
        });
        let reply = bench.seen.iter().rev().find_map(|effect| match effect {
            Effect::AnswerAnnounce { reply, .. } => Some(reply.pool_epoch),
            _ => None,
        });
        reply.unwrap()
    };
    assert_eq!(told(&mut pair.learner, 2), 1, "with recent news");
    pair.run_ms(2_000, false);
    assert_eq!(told(&mut pair.learner, 3), 0, "cut off");
}

/// An entry instance runs jobs that may run only once, is cut off for two seconds
/// and is so far behind then that it is given a snapshot. The snapshot says that the
/// jobs are its own: it began them anew, beside the attempts under way.
#[test]
fn a_snapshot_begins_no_job_that_is_under_way() {
    let mut pair = Pair::start_with(8);
    pair.learner.report();
    pair.run_ms(100, true);
    pair.learner.report();
    for number in 0..4 {
        pair.leader.job(number);
    }
    pair.run_ms(500, true);
    let sent = pair.learner.sent();
    assert!(!sent.is_empty(), "it was given jobs");
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
    pair.learner.end(&sent[0], whole());
    pair.run_ms(500, true);
    assert_eq!(pair.learner.sent().len(), jobs.len(), "after an end");
}

/// An entry instance restarts, and the leader hears its new start before it is in
/// the replicated state. Jobs given to the old start would run nowhere, and those
/// that may run only once would end as unknown although nothing was lost.
#[test]
fn no_job_is_given_to_a_start_that_is_over() {
    let mut pair = Pair::start();
    let now_ms = pair.leader.now_ms;
    let every = NodeSettings::default().snapshot_every;
    pair.learner = pair_node("a-2", None, 2, now_ms, every);
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
            .seen
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
