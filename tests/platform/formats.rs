//! Decoding of jobs, reports, configurations and listings in the platform's formats.

use rosemarygauge::control::{
    ConfigurationFault, Credentials, KeyDigest, OrderOutcome, Phase, Quota,
};
use rosemarygauge::jobs::RunResult;
use rosemarygauge::platform::{read_configuration, read_job, read_listing, read_report};
use secrecy::SecretString;
use serde_json::{Value, json};

fn report() -> Value {
    json!({
        "service": "huvo11a", "address": "10.128.0.9:8080", "zone": "hall-a",
        "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
        "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
        "labels": ["a", "r1-3"], "clock_ms": 482113, "seq": 4, "machine": "m-1",
    })
}

#[test]
fn a_report_is_read() {
    let (started, read) = read_report("i-7f3a91c2", report().to_string().as_bytes()).unwrap();
    assert_eq!(started, None);
    assert_eq!(read.worker.as_str(), "i-7f3a91c2");
    assert_eq!(read.rack.unwrap().as_str(), "r1-3");
    assert_eq!(read.capacity.cpu_milli, 16_000);
    assert_eq!(read.phase, Phase::Ready);
    assert_eq!(read.machine.as_deref(), Some("m-1"));
}

/// Guards against items of a list that take far more memory decoded than sent.
#[test]
fn lists_longer_than_any_valid_one_are_rejected() {
    let job = |steps: usize| json!({"phases": vec![json!({}); steps]}).to_string();
    assert_eq!(
        read_job(job(10_000).as_bytes()).unwrap().steps.len(),
        10_000
    );
    assert!(read_job(job(10_001).as_bytes()).is_err());
    let mut value = report();
    value["labels"] = json!(vec![""; 1_024]);
    assert!(read_report("i-1", value.to_string().as_bytes()).is_ok());
    value["labels"] = json!(vec![""; 1_025]);
    assert!(read_report("i-1", value.to_string().as_bytes()).is_err());
    value["labels"] = json!(["x".repeat(64 << 10)]);
    let why = read_report("i-1", value.to_string().as_bytes()).unwrap_err();
    assert!(why.contains("65536 are the most"), "{why}");
}

/// A report with a missing field, a field of another type, an unknown state or invalid bytes
/// does not describe a usable worker.
#[test]
fn malformed_reports_are_rejected() {
    for field in ["service", "address", "zone", "state", "seq", "capacity"] {
        let mut value = report();
        value.as_object_mut().unwrap().remove(field);
        assert!(
            read_report("i-1", value.to_string().as_bytes()).is_err(),
            "{field}"
        );
        let mut value = report();
        value[field] = json!([7]);
        assert!(
            read_report("i-1", value.to_string().as_bytes()).is_err(),
            "{field}"
        );
    }
    for wrong in [json!("1764788400123"), json!(1.5), json!(-3), json!([7])] {
        let mut value = report();
        value["born"] = wrong.clone();
        let read = read_report("i-1", value.to_string().as_bytes());
        assert!(read.is_err(), "{wrong}");
    }
    let mut value = report();
    value["state"] = json!("sleeping");
    assert!(read_report("i-1", value.to_string().as_bytes()).is_err());
    assert!(read_report("i-1", b"\xff\xfe{").is_err());
    assert!(read_report("", report().to_string().as_bytes()).is_err());
}

#[test]
fn a_job_is_read_with_defaults_for_absent_fields() {
    let text = json!({
        "spec": "(text)",
        "phases": [
            {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 900, "data_rack": "r1-3"},
            {"count": 20, "cpu": 2000, "depends_on": [0], "checkpointing": true,
             "max_per_server": 2, "speculative": true},
            {"count": 3, "long_running": true, "target_ms": 80, "missable": 1},
            {"count": 3, "long_running": true, "fills": true},
        ],
    });
    let job = read_job(text.to_string().as_bytes()).unwrap();
    assert_eq!(job.steps[0].data_rack.as_deref(), Some("r1-3"));
    assert_eq!(job.steps[0].per_worker_max, None);
    assert!(job.steps[1].checkpoints && job.steps[1].copies);
    assert_eq!(job.steps[1].after, [0]);
    assert_eq!(job.steps[2].tail_target_ms, Some(80));
    assert_eq!(job.steps[2].disruption_budget, Some(1));
    assert!(job.steps[3].best_effort);
    assert_eq!(job.steps[3].disruption_budget, Some(0));
    assert!(job.recurrence.is_none() && job.check().is_ok());
    assert!(read_job(b"{\"phases\":[{\"count\":\"4\"}]}").is_err());
}

#[test]
fn a_recurring_job_is_read() {
    let text = json!({
        "phases": [{"count": 1}], "times": 3, "start_at_ms": 1000, "interval_ms": 500,
    });
    let job = read_job(text.to_string().as_bytes()).unwrap();
    assert_eq!(job.occurrences(), 3);
    assert_eq!(job.recurrence.unwrap().due_unix_ms(2), 2_000);
}

#[test]
fn a_configuration_is_read_and_its_document_is_kept() {
    let text = json!({
        "version": 7,
        "routes": [{
            "name": "r-1", "host": "h.example", "path_prefix": "/a/", "kind": "unsafe",
            "timeout_ms": 3000, "target_latency_ms": 600, "priority": 1, "service": "s1",
            "max_attempts": 4, "slack_factor": 1.6,
            "advice": {"decision_ms": 20, "per_worker_ms": 1, "validity_ms": 3000},
        }],
        "services": [
            {"name": "s1", "health_path": "/healthz", "standby": false},
            {"name": "s2", "health_path": "/healthz", "standby": true},
        ],
        "limits": {},
    })
    .to_string();
    let read = read_configuration(text.as_bytes()).unwrap();
    assert_eq!(*read.document, text.as_bytes());
    assert_eq!(read.version, 7);
    assert_eq!(read.queues[0].attempts_max, 4);
    assert_eq!(read.queues[0].advice.unwrap().validity_ms, 3_000);
    assert_eq!(read.standby().len(), 1);
    assert!(read_configuration(&text.as_bytes()[..text.len() / 2]).is_err());
}

/// A worker may start again under its name: its reports and listings say when it started.
#[test]
fn the_start_time_of_a_worker_is_read() {
    let mut value = report();
    value["born"] = json!(1_764_788_400_123_u64);
    let (started, _) = read_report("i-1", value.to_string().as_bytes()).unwrap();
    assert_eq!(started, Some(1_764_788_400_123));
    let listing = json!({"clock_ms": 77, "born": 1_764_788_400_123_u64, "running": []});
    let (started, listing) = read_listing(listing.to_string().as_bytes()).split_start();
    assert_eq!(started, Some(1_764_788_400_123));
    assert!(matches!(listing, OrderOutcome::Listed { clock_ms: 77, .. }));
}

#[test]
fn a_listing_is_read() {
    let body = json!({
        "clock_ms": 77, "new": {"a": [1]},
        "running": [["95d669bf78e7d6d4.0.0.1", 2, "c\n\"1", 50.7, 900], ["95d669bf78e7d6d4.0.0.2", 1, "", 7]],
        "finished": [[4, "95d669bf78e7d6d4.0.0.3", 3, "lapsed", "c-9"]],
    });
    let OrderOutcome::Listed {
        clock_ms,
        running,
        ended,
    } = read_listing(body.to_string().as_bytes())
    else {
        panic!("the listing cannot be read")
    };
    assert_eq!(clock_ms, 77);
    assert_eq!(running[0].task, "95d669bf78e7d6d4.0.0.1".parse().unwrap());
    assert_eq!((running[0].attempt, running[0].percent), (2, 50));
    assert_eq!(running[0].checkpoint, "c\n\"1");
    assert_eq!((running[0].gauge, running[1].gauge), (Some(900), None));
    assert_eq!((ended[0].number, ended[0].attempt), (4, 3));
    assert_eq!(ended[0].ending, RunResult::Lapsed);
    assert_eq!(ended[0].checkpoint, "c-9");
}

/// Guards against one malformed row that invalidates a whole listing: the worker's lease would
/// expire and all of its tasks would be started again. Only the malformed row is skipped.
#[test]
fn malformed_rows_are_skipped_and_the_others_are_read() {
    let task = "95d669bf78e7d6d4.0.0.1";
    let good = json!([task, 1, "", 50, 900]);
    let bad = [
        json!(null),
        json!(true),
        json!("text"),
        json!(-7),
        json!({"task": [task, {"a": null}]}),
        json!([]),
        json!([task, 1, ""]),
        json!([task, -1, "", 50]),
        json!([task, 1.5, "", 50]),
        json!([task, 5_000_000_000_u64, "", 50]),
        json!([[task], 1, "", 50]),
        json!(["other", 1, "", 50]),
    ];
    for bad in bad {
        let body = json!({
            "clock_ms": 1, "running": [good, bad, good],
            "finished": [[1, task, 1, "done"], bad, [2, task, 1, "vanished"], [3, task, 2, "failed", 7]],
        });
        let OrderOutcome::Listed { running, ended, .. } = read_listing(body.to_string().as_bytes())
        else {
            panic!("the listing cannot be read with the row {bad}")
        };
        assert_eq!(running.len(), 2, "{bad}");
        let numbers: Vec<u64> = ended.iter().map(|end| end.number).collect();
        assert_eq!(numbers, [1, 3], "{bad}");
    }
    let extra_cells = json!({"clock_ms": 1, "running": [[task, 1, "", 250, "many", [9]]]});
    let OrderOutcome::Listed { running, .. } = read_listing(extra_cells.to_string().as_bytes())
    else {
        panic!("the listing cannot be read")
    };
    assert_eq!((running[0].percent, running[0].gauge), (100, None));
    assert_eq!(
        read_listing(b"{\"clock_ms\":1,\"running\":[["),
        OrderOutcome::Unanswered
    );
}

fn keyed_configuration() -> Value {
    json!({
        "version": 7,
        "routes": [
            {"name": "open", "host": "h", "path_prefix": "/a/", "timeout_ms": 3000,
             "service": "s1", "anonymous": true},
            {"name": "keyed", "host": "h", "path_prefix": "/b/", "timeout_ms": 3000,
             "service": "s1", "anonymous": false},
        ],
        "services": [{"name": "s1"}],
        "tenants": [
            {"name": "t1", "api_keys": ["one-secret", "two-secret"], "priority": 1, "weight": 109,
             "max_count": {"cpu": 1500, "mem_mb": 0, "gpu": 2}},
            {"name": "t2", "api_keys": [], "weight": 0.5},
        ],
    })
}

#[test]
fn workspaces_are_read() {
    let read = read_configuration(keyed_configuration().to_string().as_bytes()).unwrap();
    assert_eq!(read.check(), Ok(()));
    let access = read.access.as_ref().unwrap();
    assert!(access.is_anonymous("open") && !access.is_anonymous("keyed"));
    let digest = KeyDigest::of(&SecretString::from("two-secret"));
    let workspace = access.identify(&Credentials::Key(digest)).unwrap();
    assert_eq!((workspace.name.as_str(), workspace.weight), ("t1", 109.0));
    let quota = Quota {
        cpu_milli: Some(1_500),
        memory_mb: None,
        accelerators: Some(2),
    };
    assert_eq!(workspace.quota, quota);
    assert_eq!(access.workspace("t2").unwrap().quota, Quota::default());
}

/// Guards against an unreadable or negative limit that counts as none, and against an error
/// that shows a key because it quotes the value that it is about.
#[test]
fn malformed_workspaces_are_refused_without_showing_a_key() {
    let with = |field: &str, value: Value| {
        let mut wrong = keyed_configuration();
        wrong["tenants"][0][field] = value;
        let fault = read_configuration(wrong.to_string().as_bytes()).unwrap_err();
        let text = format!("{fault} {fault:?}");
        assert!(!text.contains("secret"), "{text}");
        fault
    };
    for field in ["cpu", "mem_mb", "gpu"] {
        let fault = with("max_count", json!({ field: -1 }));
        assert!(
            matches!(fault, ConfigurationFault::NegativeLimit { .. }),
            "{fault}"
        );
    }
    with("priority", json!(-1));
    for wrong in [
        json!("one-secret"),
        json!([["one-secret"]]),
        json!({"one-secret": 1}),
    ] {
        with("api_keys", wrong);
    }
    with("weight", json!("one-secret"));
    with("max_count", json!({"cpu": "one-secret"}));
    with("name", json!(["one-secret"]));
    let mut without = keyed_configuration();
    without.as_object_mut().unwrap().remove("tenants");
    let fault = read_configuration(without.to_string().as_bytes()).unwrap_err();
    assert!(fault.to_string().contains("tenants"), "{fault}");
}
