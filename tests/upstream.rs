//! The stand-in upstream: what it admits, says of itself, records and obeys.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use std::net::TcpListener;
use std::thread;

use rosemarygauge::upstream::{Faults, Orders, Refusal, RunEnd, Spec, Worker};
use rosemarygauge::upstream_api::{AnnounceReply, Order};
use serde_json::json;
use support::{FakeEntry, Upstreams, agent, reply, until};

struct Run<'a> {
    epoch: u64,
    incarnation: u64,
    run_ms: u64,
    request: &'a str,
}

const RUN: Run<'static> = Run {
    epoch: 1,
    incarnation: 7,
    run_ms: 0,
    request: "r",
};

/// Status and refusal or body.
fn run(address: &str, run: &Run<'_>) -> (u16, String) {
    let sent = agent(10_000)
        .post(format!("http://{address}/run"))
        .header("rg-request", run.request)
        .header("rg-attempt", "1")
        .header("rg-service", "s")
        .header("rg-pool", "p")
        .header("rg-pool-epoch", run.epoch.to_string())
        .header("rg-incarnation", run.incarnation.to_string())
        .header("rg-idempotent", "true")
        .header("rg-run-ms", run.run_ms.to_string())
        .send("body");
    let mut got = match sent {
        Ok(got) => got,
        Err(e) => return (0, e.to_string()),
    };
    let header = |name: &str| {
        got.headers()
            .get(name)
            .map(|v| v.to_str().unwrap().to_owned())
    };
    let said = header("rg-refused").or(header("rg-checkpoint"));
    match got.body_mut().read_to_string() {
        Ok(body) => (got.status().as_u16(), said.unwrap_or(body)),
        Err(e) => (0, e.to_string()),
    }
}

fn start(args: &[&str]) -> (Upstreams, String) {
    let up = Upstreams::start(&[&["--incarnation", "7"], args].concat());
    let address = up.process.ready["instances"]["w"]
        .as_str()
        .unwrap()
        .to_owned();
    (up, address)
}

fn order(order: Order, pool_epoch: u64) -> AnnounceReply {
    AnnounceReply {
        lease_ms: 100,
        refresh_ms: 10,
        pool: Some("p".into()),
        pool_epoch,
        order,
    }
}

#[test]
fn refuses_before_starting_and_says_why() {
    let (up, address) = start(&["--slots", "1"]);
    let stale = (503, "stale-epoch".to_owned());
    assert_eq!(
        run(
            &address,
            &Run {
                incarnation: 6,
                ..RUN
            }
        ),
        stale
    );
    assert_eq!(run(&address, &Run { epoch: 2, ..RUN }).0, 200);
    assert_eq!(
        run(&address, &RUN),
        stale,
        "the newer epoch voids the older one"
    );
    let epoch = 2;
    thread::scope(|scope| {
        scope.spawn(|| {
            run(
                &address,
                &Run {
                    epoch,
                    run_ms: 600,
                    ..RUN
                },
            )
        });
        until(5_000, "the slot is taken", || {
            up.instance("w")["running"] == 1
        });
        assert_eq!(
            run(&address, &Run { epoch, ..RUN }),
            (503, "busy".to_owned())
        );
        up.leave(&[]);
        assert_eq!(
            run(&address, &Run { epoch, ..RUN }),
            (503, "leaving".to_owned())
        );
    });
    assert_eq!(up.runs().len(), 2, "only what started is on record");
}

// The caller of a long run waits; SIGTERM comes while it runs. The stand-in must
// refuse new work, finish the run, answer it whole and exit 0: an exit at the
// signal would cut off the answer.
#[test]
fn a_planned_stop_finishes_what_runs() {
    let (mut up, address) = start(&[]);
    // Longer than a leaving instance lingers when nothing runs.
    let long = Run {
        run_ms: 2_500,
        ..RUN
    };
    let answer = thread::scope(|scope| {
        let call = scope.spawn(|| run(&address, &long));
        until(5_000, "it runs", || up.instance("w")["running"] == 1);
        up.process.term();
        call.join().unwrap()
    });
    assert_eq!(answer.0, 200);
    assert!(up.process.exit(5_000).success());
}

#[test]
fn faults_do_what_they_say_and_are_on_record() {
    let (up, address) = start(&[]);
    for (faults, status) in [
        (json!({ "fail_everything": true }), 500),
        (json!({ "cut_short": "length" }), 0),
        (json!({ "cut_short": "chunked" }), 0),
        (json!({}), 200),
    ] {
        up.set_faults(&["w"], faults.clone());
        assert_eq!(run(&address, &RUN).0, status, "{faults}");
    }
    let stop = |request: &str| {
        let body = json!({ "request": request, "attempt": 1 });
        let url = format!("http://{address}/stop");
        agent(5_000).post(url).send_json(body).unwrap().status()
    };
    let long = Run {
        run_ms: 60_000,
        request: "long",
        ..RUN
    };
    thread::scope(|scope| {
        let call = scope.spawn(|| run(&address, &long));
        until(5_000, "it is stopped", || stop("long") == 200);
        let (status, done_ms) = call.join().unwrap();
        assert_eq!(status, 202);
        assert!(u64::from_str_radix(&done_ms, 16).unwrap() < 60_000);
    });
    let ends: Vec<_> = up.runs().iter().map(|run| run.end).collect();
    use RunEnd::{Checkpointed, Failed, Finished};
    assert_eq!(ends, [Failed, Finished, Finished, Finished, Checkpointed]);
}

// An instance that dies under a request: its caller's connection breaks, the run
// is on record as abandoned, and the instance comes back under a new incarnation
// that refuses what was meant for the old one.
#[test]
fn death_abandons_runs_and_return_is_a_new_incarnation() {
    let (up, address) = start(&[]);
    thread::scope(|scope| {
        let call = scope.spawn(|| {
            run(
                &address,
                &Run {
                    run_ms: 60_000,
                    ..RUN
                },
            )
        });
        until(5_000, "it runs", || up.instance("w")["running"] == 1);
        up.set_faults(&["w"], json!({ "dead": true }));
        assert_eq!(call.join().unwrap().0, 0);
    });
    assert_eq!(up.runs()[0].end, RunEnd::Abandoned);
    assert_eq!(run(&address, &RUN).0, 0);
    up.set_faults(&["w"], json!({}));
    until(5_000, "it is back", || up.instance("w")["address"] != "");
    let back = up.instance("w");
    assert_eq!(
        (&back["incarnation"], &back["running"]),
        (&json!(8), &json!(0))
    );
    let address = back["address"].as_str().unwrap();
    assert_eq!(run(address, &RUN), (503, "stale-epoch".to_owned()));
}

// One of two entry instances accepts the announcement and never answers. The
// other must go on hearing the upstream at the refresh it asked for; announced
// one after the other, its lease would run out with every silence.
#[test]
fn a_silent_entry_delays_announcements_to_no_other() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let answer = serde_json::to_string(&order(Order::Serve, 1)).unwrap();
    let entry = FakeEntry::start(move |_| Some(reply(200, "", &answer)));
    let entries = format!("z1={},{}", silent.local_addr().unwrap(), entry.address);
    let (_up, _) = start(&["--entries", &entries]);
    until(
        900,
        "many announcements arrive before one silence is given up",
        || entry.seen().len() > 20,
    );
}

#[test]
fn a_reboot_is_ordered_once_and_orders_join() {
    let mut orders = Orders::default();
    let now = |orders: &Orders, now_ms| {
        orders
            .current(now_ms)
            .map(|(_, epoch, order)| (epoch, order))
    };
    orders.hear(0, "a", &order(Order::Drain, 1));
    orders.hear(0, "b", &order(Order::Serve, 1));
    assert_eq!(
        now(&orders, 50),
        Some((1, Order::Drain)),
        "the strictest holds"
    );
    orders.hear(60, "b", &order(Order::Serve, 2));
    assert_eq!(
        now(&orders, 70),
        Some((2, Order::Serve)),
        "the newest epoch holds"
    );
    assert_eq!(now(&orders, 500), None, "nothing fresh is no order");

    let mut orders = Orders::after_restart();
    orders.hear(0, "a", &order(Order::Reboot, 1));
    assert_eq!(now(&orders, 1), Some((1, Order::Serve)), "it was done");
    orders.hear(2, "a", &order(Order::Serve, 1));
    orders.hear(3, "a", &order(Order::Reboot, 1));
    assert_eq!(now(&orders, 4), Some((1, Order::Reboot)), "this is another");
}

// An instance dies under a request that goes on without its connection, comes
// back, and takes new work. When the old run ends at last it must not free a
// slot of the new incarnation, or that one takes more than its slots.
#[test]
fn a_run_of_an_old_incarnation_frees_no_slot_of_the_new() {
    let spec = Spec {
        name: "w".into(),
        zone: "z1".into(),
        rack: "r1".into(),
        pool: "p".into(),
        cores: 1,
        memory_mib: 1,
        accelerators: 0,
        slots: 1,
        connections: 8,
        listen: None,
        advertise: None,
    };
    let mut worker = Worker::new(spec, 7, Faults::default());
    assert_eq!(worker.admit(0, 7, "p", 1), Ok(()));
    worker.restart(1);
    assert_eq!(worker.admit(2, 8, "p", 1), Ok(()));
    worker.end(3, 7);
    assert_eq!(worker.admit(4, 8, "p", 1), Err(Refusal::Busy));
    worker.end(5, 8);
    assert_eq!(worker.admit(6, 8, "p", 1), Ok(()));
}
