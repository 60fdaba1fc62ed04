//! Queues, configurations and jobs of the usual kind.

use std::collections::BTreeMap;

use rosemarygauge::control::{Configuration, Queue};
use rosemarygauge::jobs::{JobSpec, Resources, Step};

pub fn queue(name: &str, pool: &str) -> Queue {
    Queue {
        name: name.into(),
        host: "h.example".into(),
        path_prefix: format!("/{name}/"),
        pool: pool.into(),
        priority: 0,
        attempts_max: 3,
        slack_factor: 1.6,
        target_latency_ms: 600,
        timeout_ms: 3_000,
        advice: None,
    }
}

pub fn configuration(version: u64) -> Configuration {
    Configuration {
        version,
        queues: vec![queue("quick", "east"), queue("long", "west")],
        pools: BTreeMap::from([
            ("east".into(), false),
            ("west".into(), false),
            ("spare".into(), true),
        ]),
        document: format!("document {version}").into_bytes().into(),
        access: None,
    }
}

pub fn step(tasks: u16) -> Step {
    Step {
        tasks,
        demand: Resources {
            cpu_milli: 1_000,
            memory_mb: 1_000,
            accelerators: 0,
        },
        estimate_ms: 300,
        ..Step::default()
    }
}

pub fn job(steps: Vec<Step>) -> JobSpec {
    JobSpec {
        payload: "work".into(),
        steps,
        recurrence: None,
    }
}

pub fn lasting(tasks: u16) -> JobSpec {
    let step = Step {
        lasting: true,
        estimate_ms: 0,
        per_worker_max: Some(1),
        disruption_budget: Some(1),
        ..step(tasks)
    };
    job(vec![step])
}
