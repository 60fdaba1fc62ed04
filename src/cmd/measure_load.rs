//! `measure load`: the decisions under load beside the naive dispatcher.
//!
//! Plays each pattern of load on the in-process bench with both, in one run, and
//! prints one table. Times are those of the bench's clock, so they do not depend
//! on the machine; only the costs in microseconds do, and are to be read as
//! ratios between sizes.

use std::time::Instant;

use eyre::Result;

use crate::load::harness::{Side, Worker};
use crate::load::plays::{self, Figures, Played};
use crate::load::scenarios::{Kind, ZONE, side};
use crate::load::{Action, AttemptId, Input, Request, RequestId, View, fleets};
use crate::model::{Class, Row, RowKey, UpstreamReport, UpstreamState};

/// Workers in the plays beyond capacity, where the naive queue is slow.
const FEW_WORKERS: usize = 2;

/// Plays all patterns and prints the table.
pub fn run(seed: u64) -> Result<()> {
    println!("{}", report(seed));
    Ok(())
}

/// The table.
pub fn report(seed: u64) -> String {
    let mut table = Table::default();
    table.row("figure", "dispatcher", "naive", "target");
    urgent(&mut table, seed);
    goodput(&mut table, seed);
    fairness(&mut table, seed);
    faults(&mut table, seed);
    costs(&mut table, seed);
    table.text
}

#[derive(Debug, Default)]
struct Table {
    text: String,
}

impl Table {
    fn row(&mut self, figure: &str, dispatcher: &str, naive: &str, target: &str) {
        let line = format!("{figure:<52} {dispatcher:>14} {naive:>14}  {target}\n");
        self.text.push_str(&line);
    }
}

fn percent(part: f64) -> String {
    format!("{:.1} %", 100.0 * part)
}

/// A play by both dispatchers, played once each.
struct Both<T> {
    dispatcher: T,
    naive: T,
}

impl<T> Both<T> {
    fn play(play: impl Fn(Kind) -> T) -> Self {
        Self {
            dispatcher: play(Kind::Dispatcher),
            naive: play(Kind::Naive),
        }
    }

    fn row(&self, table: &mut Table, figure: &str, target: &str, text: impl Fn(&T) -> String) {
        table.row(figure, &text(&self.dispatcher), &text(&self.naive), target);
    }
}

fn urgent(table: &mut Table, seed: u64) {
    let times = |f: &Figures| format!("{} / {} ms", f.p50_ms, f.p99_ms);
    let alone = Both::play(|kind| plays::urgent_beside_patient(kind, seed, false).figures());
    let beside = Both::play(|kind| plays::urgent_beside_patient(kind, seed, true).figures());
    alone.row(table, "urgent p50 / p99, alone", "", times);
    beside.row(table, "  beside patient saturation", "", times);
    let ratio = |beside: &Figures, alone: &Figures| {
        format!("{:.1}", beside.p99_ms as f64 / alone.p99_ms as f64)
    };
    table.row(
        "  p99 over p99 alone",
        &ratio(&beside.dispatcher, &alone.dispatcher),
        &ratio(&beside.naive, &alone.naive),
        "<= 2, naive > 10",
    );
    let patient = Both::play(|kind| plays::patient_beside_urgent(kind, seed).figures());
    let name = "patient done in time, urgent at 1.5 x capacity";
    patient.row(table, name, "100 %", |f| percent(f.good_part()));
    patient.row(table, "  p99", "", |f| format!("{} ms", f.p99_ms));
}

fn goodput(table: &mut Table, seed: u64) {
    let goodput = |played: &Played| played.goodput_per_s(1_000, 5_000);
    let play = |factor| Both::play(|kind| plays::saturation(kind, seed, FEW_WORKERS, factor));
    let whole = play(1.0);
    whole.row(table, "goodput at capacity, 1/s", "", |p| {
        format!("{:.0}", goodput(p))
    });
    for factor in [2.0, 5.0] {
        let over = play(factor);
        let name = format!("  at {factor} x capacity, of that at capacity");
        table.row(
            &name,
            &percent(goodput(&over.dispatcher) / goodput(&whole.dispatcher)),
            &percent(goodput(&over.naive) / goodput(&whole.naive)),
            ">= 95 %",
        );
        over.row(table, "  refused after 50 ms, of the refused", "", |p| {
            let figures = p.figures();
            percent(figures.refused_late as f64 / figures.refused.max(1) as f64)
        });
    }
}

fn fairness(table: &mut Table, seed: u64) {
    let good = |f: &Figures| percent(f.good_part());
    let light = Both::play(|kind| plays::heavy_caller(kind, seed, FEW_WORKERS).figures());
    let name = "answered to callers beside one with 90 %";
    light.row(table, name, ">= 95 %", good);
    let short = Both::play(|kind| plays::long_among_short(kind, seed).figures());
    short.row(table, "short requests answered beside long ones", "", good);
    let calm = Both::play(|kind| plays::burst(kind, seed).figures());
    let name = "p99 of callers beside a burst of 2,000";
    calm.row(table, name, "", |f| format!("{} ms", f.p99_ms));
    let late = plays::late_entry(seed).figures();
    let name = "answered at the second of two entry instances";
    table.row(name, &good(&late), "-", "");
}

fn faults(table: &mut Table, seed: u64) {
    let failed = |f: &Figures| f.failed.to_string();
    let missed = |f: &Figures| (f.offered - f.good).to_string();
    let attempts = |f: &Figures| format!("{:.3}", f.dispatches as f64 / f.offered as f64);
    let once = Both::play(|kind| plays::failing_worker(kind, seed, false).figures());
    let name = "requests failed by a worker that fails all";
    once.row(table, name, "", failed);
    let again = Both::play(|kind| plays::failing_worker(kind, seed, true).figures());
    again.row(table, "  with repeatable requests", "0", failed);
    let slow = Both::play(|kind| plays::slow_upstream(kind, seed).figures());
    let name = "deadlines missed by one worker 10 x slower";
    slow.row(table, name, "", missed);
    let rack = Both::play(|kind| plays::rack_lost(kind, seed).figures());
    rack.row(
        table,
        "not answered when a rack of 4 of 10 is lost",
        "",
        missed,
    );
    rack.row(table, "  attempts over requests", "", attempts);
    let sick = Both::play(|kind| plays::sick_pool(kind, seed).all());
    let name = "attempts over requests, whole pool sick for 6 s";
    sick.row(table, name, "", attempts);
}

fn costs(table: &mut Table, seed: u64) {
    let mut first = None;
    for n in [50, 2_000, 21_000] {
        let cost = |kind, rounds| decision_us(kind, seed, n, rounds);
        let ours = cost(Kind::Dispatcher, 20_000);
        let ratio = ours / *first.get_or_insert(ours);
        // The naive one looks at every upstream: fewer rounds are enough.
        let naive = cost(Kind::Naive, 200_000 / n as u32);
        let name = format!("request in and out, {n} upstreams");
        let target = format!("x {ratio:.2} of 50");
        table.row(
            &name,
            &format!("{ours:.2} us"),
            &format!("{naive:.2} us"),
            &target,
        );
    }
    for n in [50, 2_000, 21_000] {
        let name = format!("change of one row, {n} upstreams");
        let cost = |kind| format!("{:.0} us", row_us(kind, seed, n));
        table.row(&name, &cost(Kind::Dispatcher), &cost(Kind::Naive), "");
    }
    for n in [1_000, 10_000] {
        let name = format!("cancel, of {n} waiting");
        let cost = |kind| format!("{:.2} us", cancel_us(kind, seed, n));
        // The naive one walks its queue at each event; 10,000 take it minutes.
        let naive = if n > 1_000 {
            "-".to_owned()
        } else {
            cost(Kind::Naive)
        };
        table.row(&name, &cost(Kind::Dispatcher), &naive, "flat");
    }
}

fn fleet(n: usize) -> (View, Vec<Worker>) {
    let mut view = View::default();
    let services = vec![fleets::service("check", Class::Urgent, 20)];
    let workers = fleets::pool(&mut view, "pool", services, &[ZONE], n);
    (view, workers)
}

/// A dispatcher with `n` upstreams of one pool that announced themselves.
pub fn announced(kind: Kind, seed: u64, n: usize) -> Side {
    let (view, workers) = fleet(n);
    let mut side = side(kind, "entry-0", seed);
    side.handle(0, Input::View(view));
    for worker in &workers {
        let report = UpstreamReport {
            instance: worker.name.clone(),
            incarnation: 1,
            sequence: 1,
            address: String::new(),
            zone: worker.zone.clone(),
            rack: worker.rack.clone(),
            pool: worker.pool.clone(),
            capacity: worker.capacity,
            pool_epoch: 1,
            standing: UpstreamState::Serving,
            running: 0,
            usage_age_ms: 0,
        };
        let lease_until_ms = 1_000_000;
        let input = Input::Report {
            report: &report,
            lease_until_ms,
        };
        side.handle(0, input);
    }
    side
}

/// One request from its arrival to its answer.
pub fn in_and_out(side: &mut Side, now_ms: u64, id: u64) {
    let request = RequestId(id);
    let sent = side.handle(now_ms, Input::Offer(offer(id, now_ms)));
    debug_assert!(matches!(sent.first(), Some(Action::Dispatch { .. })));
    let answer = Input::Finished {
        request,
        attempt: AttemptId(1),
        status: 200,
        run_us: 20_000,
    };
    side.handle(now_ms, answer);
}

fn offer(id: u64, now_ms: u64) -> Request {
    Request {
        id: RequestId(id),
        service: "check".into(),
        class: Class::Urgent,
        team: "team".into(),
        caller: "caller".to_owned(),
        idempotent: true,
        deadline_ms: now_ms + 1_000_000,
    }
}

fn decision_us(kind: Kind, seed: u64, n: usize, rounds: u32) -> f64 {
    let mut side = announced(kind, seed, n);
    let start = Instant::now();
    for round in 0..rounds {
        in_and_out(&mut side, 1, u64::from(round));
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

/// Time to take a view in which one row changed; making the view is not counted.
fn row_us(kind: Kind, seed: u64, n: usize) -> f64 {
    const ROUNDS: u32 = 20;
    let mut side = announced(kind, seed, n);
    let mut view = fleet(n).0;
    let mut spent_us = 0.0;
    for round in 0..ROUNDS {
        let row = Row {
            weight: 50 + round,
            limit_in_flight: 1_000_000,
            queue_ms: 1_000,
        };
        let team = RowKey::Team {
            team: "team".into(),
        };
        view.rows.insert(team, row);
        let next = Input::View(view.clone());
        let start = Instant::now();
        side.handle(1, next);
        spent_us += start.elapsed().as_secs_f64() * 1e6;
    }
    spent_us / f64::from(ROUNDS)
}

fn cancel_us(kind: Kind, seed: u64, n: u32) -> f64 {
    let mut side = announced(kind, seed, 1);
    for id in 0..u64::from(n) {
        side.handle(1, Input::Offer(offer(id, 1)));
    }
    let start = Instant::now();
    for id in 0..u64::from(n) {
        side.handle(2, Input::Cancel(RequestId(id)));
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(n)
}
