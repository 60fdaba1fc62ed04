//! Random schedules of all dispatcher inputs. Invariants are checked against a simple
//! model, and results under light load against the naive dispatcher.
#![allow(missing_docs, clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosemarygauge::load::fleets;
use rosemarygauge::load::scenarios::{Kind, Scenario, Stream};
use rosemarygauge::load::{
    Action, AttemptId, AttemptRefusal, Dispatcher, Input, LoadSettings, Request, RequestId, View,
};
use rosemarygauge::model::{
    Absence, Capacity, Class, DesiredState, InstanceName, Row, RowKey, ServiceName, UpstreamReport,
    UpstreamState, ZoneName,
};

const ZONES: [&str; 2] = ["a", "b"];
const SERVICES: [&str; 4] = ["check", "score", "archive", "nobody"];
const TEAMS: [&str; 3] = ["north", "south", "west"];

/// State of a request in the model.
struct TrackedRequest {
    request: Request,
    attempts: u32,
    running_on: Option<RunningOn>,
    may_have_run: bool,
    is_cancelled: bool,
    has_ended: bool,
}

#[derive(Clone)]
struct RunningOn {
    instance: InstanceName,
    incarnation: u64,
    zone: ZoneName,
}

/// Reference model with plain maps, in which every check is a full scan.
struct Model {
    rng: ChaCha8Rng,
    now_ms: u64,
    dispatcher: Dispatcher,
    view: View,
    reports: BTreeMap<InstanceName, (UpstreamReport, u64)>,
    known: BTreeMap<RequestId, TrackedRequest>,
    is_fresh: bool,
    next_id: u64,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut view = View::default();
        let urgent = vec![
            fleets::service("check", Class::Urgent, 20),
            fleets::service("score", Class::Urgent, 50),
        ];
        fleets::pool(&mut view, "people", urgent, &ZONES, 5);
        let mut archive = fleets::service("archive", Class::Patient, 200);
        archive.demand.cores = 6;
        fleets::pool(&mut view, "store", vec![archive], &ZONES, 3);
        let settings = LoadSettings {
            home: "a".into(),
            me: "entry-0".into(),
            seed,
        };
        let mut model = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            dispatcher: Dispatcher::new(settings, 0),
            view: View::default(),
            reports: BTreeMap::new(),
            known: BTreeMap::new(),
            is_fresh: true,
            next_id: 0,
        };
        model.feed_view(view);
        for name in model.names() {
            model.report(&name);
        }
        model
    }

    fn names(&self) -> Vec<InstanceName> {
        self.view.instances.keys().cloned().collect()
    }

    fn step(&mut self) {
        self.now_ms += [0, 0, 1, 7, 300][self.rng.random_range(0..5)];
        match self.rng.random_range(0..100) {
            0..35 => self.offer(),
            35..65 => self.end_one(),
            65..72 => self.cancel_one(),
            72..84 => {
                let names = self.names();
                let name = names.choose(&mut self.rng).unwrap().clone();
                self.report(&name);
            }
            84..88 => self.change_view(),
            88..92 => self.change_peer(),
            92..94 => {
                self.is_fresh = !self.is_fresh;
                self.feed(Input::ViewFresh(self.is_fresh));
            }
            _ => self.feed(Input::Tick),
        }
    }

    fn offer(&mut self) {
        self.next_id += 1;
        let service = SERVICES[self.rng.random_range(0..SERVICES.len())];
        let request = Request {
            id: RequestId(self.next_id),
            service: service.into(),
            class: if self.rng.random_bool(0.5) {
                Class::Urgent
            } else {
                Class::Patient
            },
            team: TEAMS[self.rng.random_range(0..3)].into(),
            caller: format!("caller-{}", self.rng.random_range(0..4)),
            idempotent: self.rng.random_bool(0.5),
            deadline_ms: self.now_ms + [5, 100, 2_000][self.rng.random_range(0..3)],
        };
        let known = TrackedRequest {
            request: request.clone(),
            attempts: 0,
            running_on: None,
            may_have_run: false,
            is_cancelled: false,
            has_ended: false,
        };
        self.known.insert(request.id, known);
        self.feed(Input::Offer(request));
    }

    fn running(&self) -> Vec<RequestId> {
        let runs = self.known.iter().filter(|(_, k)| k.running_on.is_some());
        runs.map(|(id, _)| *id).collect()
    }

    fn end_one(&mut self) {
        let running = self.running();
        let Some(&request) = running.choose(&mut self.rng) else {
            return;
        };
        let known = self.known.get_mut(&request).unwrap();
        let attempt = AttemptId(known.attempts);
        // Sometimes repeats the end of an attempt that is already over.
        if known.attempts > 1 && self.rng.random_bool(0.3) {
            let attempt = AttemptId(known.attempts - 1);
            self.feed(Input::Lost {
                request,
                attempt,
                run_us: 1,
            });
            return;
        }
        known.running_on = None;
        let roll = self.rng.random_range(0..10);
        if roll < 6 {
            known.may_have_run = true;
        }
        let run_us = self.rng.random_range(100..90_000);
        let input = match roll {
            0..4 => finished(request, attempt, 200, run_us),
            4 => finished(request, attempt, 503, run_us),
            5 => Input::Lost {
                request,
                attempt,
                run_us,
            },
            _ => Input::Refused {
                request,
                attempt,
                refusal: [
                    AttemptRefusal::ConnectFailed,
                    AttemptRefusal::Busy,
                    AttemptRefusal::Leaving,
                    AttemptRefusal::StaleEpoch,
                ][roll - 6],
            },
        };
        if known.is_cancelled {
            known.has_ended = true;
        }
        self.feed(input);
    }

    fn cancel_one(&mut self) {
        let id = RequestId(self.rng.random_range(0..self.next_id + 2));
        if let Some(known) = self.known.get_mut(&id) {
            known.is_cancelled |= known.running_on.is_some();
        }
        self.feed(Input::Cancel(id));
    }

    fn report(&mut self, name: &InstanceName) {
        let instance = &self.view.instances[name];
        let slots = self.rng.random_range(1..4);
        let mut report = match self.reports.get(name) {
            Some((old, _)) => old.clone(),
            None => UpstreamReport {
                instance: name.clone(),
                incarnation: 1,
                sequence: 0,
                address: String::new(),
                zone: instance.zone.clone(),
                rack: instance.rack.clone(),
                pool: instance.pool.clone(),
                capacity: Capacity {
                    slots,
                    ..fleets::WORKER
                },
                pool_epoch: 1,
                standing: UpstreamState::Serving,
                running: 0,
                usage_age_ms: 0,
            },
        };
        report.sequence += 1;
        report.running = self.rng.random_range(0..4);
        if self.rng.random_bool(0.1) {
            report.incarnation += 1;
            report.sequence = 1;
        }
        report.standing = if self.rng.random_bool(0.1) {
            UpstreamState::Draining
        } else {
            UpstreamState::Serving
        };
        let lease_until_ms = self.now_ms + self.rng.random_range(1..3_000);
        self.reports
            .insert(name.clone(), (report.clone(), lease_until_ms));
        self.feed(Input::Report {
            report: &report,
            lease_until_ms,
        });
        // An older report that arrives late through a peer must change nothing.
        if self.rng.random_bool(0.2) {
            report.sequence -= 1;
            report.standing = UpstreamState::Serving;
            report.capacity.slots = 100;
            self.feed(Input::Report {
                report: &report,
                lease_until_ms: lease_until_ms + 10_000,
            });
        }
    }

    fn change_view(&mut self) {
        let mut view = self.view.clone();
        let names = self.names();
        let name = names.choose(&mut self.rng).unwrap();
        let instance = view.instances.get_mut(name).unwrap();
        match self.rng.random_range(0..4) {
            0 => {
                instance.duty = DesiredState::Draining {
                    absence: Absence::Operator,
                }
            }
            1 => instance.duty = DesiredState::Serving,
            2 => {
                let pool = ["people", "store"][self.rng.random_range(0..2)];
                instance.pool = pool.into();
                instance.epoch += 1;
            }
            _ => {
                let row = Row {
                    weight: self.rng.random_range(0..3) * 50,
                    limit_in_flight: self.rng.random_range(0..6),
                    queue_ms: 200,
                };
                let key = if self.rng.random_bool(0.5) {
                    RowKey::Team {
                        team: TEAMS[self.rng.random_range(0..3)].into(),
                    }
                } else {
                    RowKey::Service {
                        service: SERVICES[self.rng.random_range(0..3)].into(),
                        zone: ZONES[self.rng.random_range(0..2)].into(),
                    }
                };
                if self.rng.random_bool(0.5) {
                    view.rows.insert(key, row);
                } else {
                    view.rows.remove(&key);
                }
            }
        }
        self.feed_view(view);
    }

    fn feed_view(&mut self, view: View) {
        self.view = view.clone();
        self.feed(Input::View(view));
    }

    fn change_peer(&mut self) {
        if self.rng.random_bool(0.3) {
            self.feed(Input::PeerGone("entry-1".into()));
            return;
        }
        let names = self.names();
        let name = names.choose(&mut self.rng).unwrap().clone();
        let requests = self.rng.random_range(0..4);
        self.feed(Input::PeerLoad {
            peer: "entry-1".into(),
            in_flight: vec![(name, requests)],
        });
    }

    fn feed(&mut self, input: Input<'_>) {
        for action in self.dispatcher.handle(self.now_ms, input) {
            match action {
                Action::Dispatch {
                    request,
                    attempt,
                    instance,
                    incarnation,
                    pool_epoch,
                } => {
                    let known = &self.known[&request];
                    assert!(!known.has_ended && !known.is_cancelled && known.running_on.is_none());
                    assert!(!known.may_have_run || known.request.idempotent);
                    assert_eq!(attempt.0, known.attempts + 1);
                    assert_eq!(pool_epoch, self.view.instances[&instance].epoch);
                    self.check_dispatch(&known.request, &instance, incarnation);
                    let known = self.known.get_mut(&request).unwrap();
                    known.attempts += 1;
                    known.running_on = Some(RunningOn {
                        zone: self.reports[&instance].0.zone.clone(),
                        instance,
                        incarnation,
                    });
                }
                Action::Deliver { request, attempt } => {
                    let known = self.record_end(request);
                    assert!(known.may_have_run && attempt.0 == known.attempts);
                }
                Action::Refuse { request, .. } => {
                    let known = self.record_end(request);
                    assert!(
                        !known.may_have_run,
                        "refused as not run, but it may have run"
                    );
                }
                Action::GiveUpUnknown { request } => {
                    assert!(self.record_end(request).may_have_run);
                }
            }
        }
    }

    /// Records the final answer: at most one, and none while an attempt runs.
    fn record_end(&mut self, request: RequestId) -> &TrackedRequest {
        let known = self.known.get_mut(&request).unwrap();
        assert!(!known.has_ended && !known.is_cancelled && known.running_on.is_none());
        known.has_ended = true;
        known
    }

    /// Checks the invariants of a dispatch against the state just before it.
    fn check_dispatch(&self, request: &Request, instance: &InstanceName, incarnation: u64) {
        let member = &self.view.instances[instance];
        let (report, lease_until_ms) = &self.reports[instance];
        assert_eq!(self.view.carriers[&request.service], member.pool);
        assert_eq!(member.duty, DesiredState::Serving);
        assert_eq!(report.standing, UpstreamState::Serving);
        assert!(*lease_until_ms > self.now_ms && request.deadline_ms > self.now_ms);
        assert_eq!(report.incarnation, incarnation);
        assert!(self.is_fresh || report.zone.as_str() == "a");
        let on_same_incarnation =
            |run: &RunningOn| run.instance == *instance && run.incarnation == incarnation;
        let slots = self.count(|_, run| on_same_incarnation(run));
        assert!(
            slots < report.capacity.slots as usize,
            "more requests than slots"
        );
        let cores = |service: &ServiceName| if service.as_str() == "archive" { 6 } else { 1 };
        let running = self
            .known
            .values()
            .filter(|k| k.running_on.as_ref().is_some_and(on_same_incarnation));
        let used: u32 = running.map(|k| cores(&k.request.service)).sum();
        assert!(
            used + cores(&request.service) <= report.capacity.cores,
            "demand exceeds the cores"
        );
        if let Some(row) = self.view.rows.get(&RowKey::Service {
            service: request.service.clone(),
            zone: report.zone.clone(),
        }) {
            let running =
                self.count(|r, run| r.service == request.service && run.zone == report.zone);
            assert!(
                row.weight > 0 && running < row.limit_in_flight as usize,
                "limit of the row exceeded"
            );
        }
        let team = request.team.clone();
        if let Some(row) = self.view.rows.get(&RowKey::Team { team: team.clone() }) {
            let running = self.count(|r, _| r.team == team);
            assert!(
                row.weight > 0 && running < row.limit_in_flight as usize,
                "quota of the team exceeded"
            );
        }
    }

    fn count(&self, which: impl Fn(&Request, &RunningOn) -> bool) -> usize {
        let runs = self
            .known
            .values()
            .filter_map(|k| Some((&k.request, k.running_on.as_ref()?)));
        runs.filter(|(request, run)| which(request, run)).count()
    }

    /// Ends all running attempts, lets all timers expire, and checks that no request is
    /// pending.
    fn finish(&mut self) {
        for _ in 0..50 {
            for request in self.running() {
                let known = self.known.get_mut(&request).unwrap();
                known.running_on = None;
                known.may_have_run = true;
                known.has_ended |= known.is_cancelled;
                let attempt = AttemptId(known.attempts);
                self.feed(finished(request, attempt, 200, 1_000));
            }
            self.now_ms += 100;
            self.feed(Input::Tick);
        }
        assert!(
            self.known.values().all(|k| k.has_ended),
            "a request got no answer"
        );
        assert_eq!(self.dispatcher.pending(), 0);
    }
}

fn finished<'a>(request: RequestId, attempt: AttemptId, status: u16, run_us: u64) -> Input<'a> {
    Input::Finished {
        request,
        attempt,
        status,
        run_us,
    }
}

#[test]
fn every_schedule_keeps_what_must_hold() {
    for seed in 0..300 {
        let mut model = Model::new(seed);
        for _ in 0..400 {
            model.step();
        }
        model.finish();
    }
}

#[test]
fn the_same_seed_gives_the_same_actions() {
    let run_schedule = || {
        let mut model = Model::new(7);
        (0..2_000).for_each(|_| model.step());
        let ends = model
            .known
            .values()
            .map(|k| (k.request.id, k.attempts, k.has_ended));
        (
            ends.collect::<Vec<_>>(),
            model.dispatcher.status(model.now_ms),
        )
    };
    assert_eq!(run_schedule(), run_schedule());
}

#[test]
fn calm_load_is_answered_as_by_the_naive_twin() {
    for seed in 0..10 {
        let answered = |kind| {
            let mut s = Scenario::ten_workers(kind, seed);
            let check = Stream::new("check", Class::Urgent, 500.0, 20).not_repeatable();
            s.add(0, 2_000, &check);
            s.add(
                0,
                2_000,
                &Stream::new("archive", Class::Patient, 20.0, 400).deadline_ms(9_000),
            );
            s.bench.run(20_000);
            assert_eq!(s.bench.faults(), &[] as &[String]);
            let good = s
                .bench
                .accounts()
                .filter(|a| a.is_good() && a.dispatches == 1);
            good.map(|a| a.request.id).collect::<BTreeSet<_>>()
        };
        let both = [answered(Kind::Dispatcher), answered(Kind::Naive)];
        assert_eq!(both[0], both[1]);
        assert!(both[0].len() > 900);
    }
}
