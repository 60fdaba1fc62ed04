//! Tests of the load tool: its account reports each kind of violation and no others,
//! its plan is reproducible, and its latencies are exact to a thousandth.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use std::collections::BTreeSet;
use std::sync::Mutex;

use rosemarygauge::account::{
    Account, Answer, Latency, Ledger, Mix, Plan, PlannedRequest, Proof, SentRequest,
};
use rosemarygauge::model::Class;
use rosemarygauge::upstream::{RunEnd, RunRecord};
use support::{FakeEntry, command, free_address, read_report, reply};

fn request_mix() -> Mix {
    Mix {
        services: vec![
            "check:urgent:3".parse().unwrap(),
            "audit:patient:1".parse().unwrap(),
        ],
        teams: vec!["a:9:2".parse().unwrap(), "b:1".parse().unwrap()],
        not_idempotent_percent: 50,
        twin_percent: 10,
        cancel_percent: 10,
        cancel_after_ms: 5,
        body_bytes: 100,
    }
}

fn planned(class: Class, idempotent: bool) -> PlannedRequest {
    Plan::new(request_mix(), 1_000.0, 10_000, "x", 1)
        .find(|planned| planned.class == class && planned.idempotent == idempotent)
        .unwrap()
}

fn done(echo: &str) -> Answer {
    let proof = Proof {
        echo: echo.to_owned(),
        key: None,
        instance: "w".to_owned(),
        run: 0,
    };
    Answer::Done {
        status: 200,
        proof: Some(proof),
    }
}

fn not_run() -> Answer {
    Answer::NotRun {
        reason: "queue-full".to_owned(),
        has_retry_after: true,
    }
}

fn ran(fence: Option<u64>, end: RunEnd) -> RunRecord {
    RunRecord {
        run: 0,
        instance: "w".to_owned(),
        incarnation: 1,
        request: "r".to_owned(),
        attempt: 1,
        service: "s".to_owned(),
        pool: "p".to_owned(),
        pool_epoch: 1,
        key: None,
        idempotent: false,
        fence,
        body_sha256: "mine".to_owned(),
        started_ms: 0,
        ended_ms: None,
        end,
    }
}

/// Returns the names of the violations that the account of one request reports.
fn violations(
    (class, idempotent, tries): (Class, bool, u32),
    answers: &[Answer],
    runs: &[RunRecord],
) -> Vec<&'static str> {
    let mut ledger = Ledger::default();
    ledger.add_request(
        0,
        SentRequest::new(&planned(class, idempotent), "mine".to_owned()),
    );
    for n in 0..tries {
        ledger.record_attempt(0, n > 0);
    }
    for answer in answers {
        ledger.record_answer(0, answer.clone());
    }
    let account = Account::draw(&ledger, Some(runs));
    let counts = [
        ("lost", account.lost),
        ("doubled", account.doubled),
        ("mixed up", account.mixed_up),
        ("not whole", account.not_whole),
        ("not run but ran", account.not_run_but_ran),
        ("done without run", account.done_without_run),
    ];
    let found: Vec<_> = counts
        .iter()
        .filter(|(_, n)| *n > 0)
        .map(|(name, _)| *name)
        .collect();
    assert_eq!(account.is_clean(), found.is_empty());
    found
}

#[test]
fn the_account_finds_each_violation() {
    let once = (Class::Urgent, false, 1);
    let again = (Class::Urgent, true, 2);
    let job = (Class::Patient, false, 1);
    let finished = || ran(None, RunEnd::Finished);
    let whole = done("mine");
    let accepted = Answer::Accepted {
        location: "/job/1".to_owned(),
    };
    let cut = Answer::Done {
        status: 200,
        proof: None,
    };

    assert!(violations(once, std::slice::from_ref(&whole), &[finished()]).is_empty());
    assert!(violations(once, &[Answer::Unknown], &[]).is_empty());
    assert!(violations(once, &[not_run()], &[]).is_empty());
    assert!(violations(again, &[Answer::CutOff, not_run()], &[finished()]).is_empty());
    assert!(
        violations(
            again,
            std::slice::from_ref(&whole),
            &[finished(), finished()]
        )
        .is_empty()
    );
    let attempts = [
        ran(Some(1), RunEnd::Abandoned),
        ran(Some(2), RunEnd::Finished),
    ];
    assert!(violations(job, &[accepted.clone(), whole.clone()], &attempts).is_empty());

    assert_eq!(violations(once, &[Answer::CutOff], &[finished()]), ["lost"]);
    assert_eq!(violations(job, &[accepted], &[finished()]), ["lost"]);
    assert_eq!(
        violations(
            once,
            std::slice::from_ref(&whole),
            &[finished(), finished()]
        ),
        ["doubled"]
    );
    assert_eq!(
        violations(once, &[Answer::Unknown], &[finished(), finished()]),
        ["doubled"]
    );
    let refenced = [
        ran(Some(1), RunEnd::Finished),
        ran(Some(1), RunEnd::Running),
    ];
    assert_eq!(
        violations(job, std::slice::from_ref(&whole), &refenced),
        ["doubled"]
    );
    assert_eq!(
        violations(once, &[done("other")], &[finished()]),
        ["mixed up"]
    );
    assert_eq!(violations(once, &[cut], &[finished()]), ["not whole"]);
    assert_eq!(
        violations(once, &[not_run()], &[ran(None, RunEnd::Running)]),
        ["not run but ran"]
    );
    assert_eq!(violations(once, &[whole], &[]), ["done without run"]);
}

#[test]
fn a_seed_plans_the_same_requests_in_the_requested_shares() {
    for seed in 0..20 {
        let plan = || Plan::new(request_mix(), 1_000.0, 4_000, "x", seed).collect::<Vec<_>>();
        let planned = plan();
        assert_eq!(planned, plan());
        assert!(planned.is_sorted_by_key(|p| p.due_us));
        let n = planned.len() as f64;
        assert!((3_700.0..4_300.0).contains(&n), "{n}");
        let share = |pred: &dyn Fn(&PlannedRequest) -> bool| {
            planned.iter().filter(|p| pred(p)).count() as f64 / n
        };
        assert!((0.7..0.8).contains(&share(&|p| p.service == "check")));
        assert!((0.85..0.95).contains(&share(&|p| p.team == "a")));
        assert!((0.45..0.55).contains(&share(&|p| p.idempotent)));
        assert!(planned.iter().all(|p| p.idempotent || p.key.is_some()));
    }
}

// Guards against a histogram that does not grow: each value saturated at its first
// upper bound, and the report gave 2 µs for every quantile.
#[test]
fn latency_quantiles_are_exact_to_a_thousandth() {
    let mut latency = Latency::default();
    for ms in 1..=1_000 {
        latency.record(Class::Urgent, &done("x"), ms * 1_000);
    }
    let quantiles = &latency.quantiles()[0];
    for (us, exact_us) in [
        (quantiles.p50_us, 500_000),
        (quantiles.p99_us, 990_000),
        (quantiles.max_us, 1_000_000),
    ] {
        assert!(
            us.abs_diff(exact_us) <= exact_us / 1_000,
            "{us} µs instead of {exact_us} µs"
        );
    }
}

// Guards against a load tool that misses answers to the wrong request. Of three entry
// instances one refuses connections, one drops the first call with each key
// unanswered, and both others answer with the proof of another request. The tool must
// try the next instance after a refused connection, resend the same key after a
// dropped call, count the wrong answers, and exit with code 1.
#[test]
fn a_lying_entry_is_found_out() {
    let proof = r#"{"echo":"not yours","key":null,"instance":"w","run":1}"#;
    let wrong_answer = || Some(reply(200, "rg-outcome: done\r\n", proof));
    let lying = FakeEntry::start(move |_| wrong_answer());
    let seen = Mutex::new(BTreeSet::new());
    let dropping = FakeEntry::start(move |request| {
        let key = request.header("rg-key").unwrap().to_owned();
        let is_first = seen.lock().unwrap().insert(key);
        if is_first { None } else { wrong_answer() }
    });
    let entries = [free_address(), dropping.address, lying.address].map(|a| a.to_string());
    let mut load = command(&[
        "load",
        "--json",
        "--service",
        "check",
        "--not-idempotent",
        "100",
    ]);
    load.args(["--rate", "100", "--duration-ms", "500", "--resend", "5"]);
    for entry in &entries {
        load.args(["--entry", entry]);
    }
    let output = load.output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let report = read_report(&output);
    let account = &report["account"];
    let sent = account["sent"].as_u64().unwrap();
    assert_eq!(
        (&account["mixed_up"], &account["lost"]),
        (&sent.into(), &0.into())
    );
    assert!(account["refused_connections"].as_u64() > Some(0));
    assert!(account["cut_off"].as_u64() > Some(0));
    assert_eq!(account["resent"], account["cut_off"]);
    for dropped in dropping.seen() {
        let key = dropped.header("rg-key").unwrap();
        let calls = [dropping.seen(), lying.seen()].concat();
        let same = calls
            .iter()
            .filter(|call| call.header("rg-key") == Some(key));
        let sent: Vec<_> = same
            .map(|call| (&call.body, call.header("rg-resend")))
            .collect();
        assert!(sent.iter().all(|(body, _)| *body == &dropped.body));
        assert_eq!(
            sent.iter()
                .filter(|(_, resend)| *resend == Some("true"))
                .count(),
            1
        );
        assert!(sent.iter().all(|(_, resend)| resend.is_some()));
        assert_eq!(sent.len(), 2);
    }
}
