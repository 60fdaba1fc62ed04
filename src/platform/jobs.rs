//! Decoding of the jobs that callers submit.

use serde::Deserialize;

use super::BoundedList;
use crate::jobs::{JobSpec, MAX_TASKS, Recurrence, Resources, Step};

/// A job. Fields that are 0, false or empty are omitted on the wire.
#[derive(Deserialize)]
struct WireJob {
    /// Payload that is passed to the tasks unchanged.
    #[serde(default)]
    spec: String,
    /// Steps of the job, each with one task at least. An empty one takes a hundred times its
    /// encoded size.
    phases: BoundedList<WireStep, MAX_TASKS>,
    #[serde(default)]
    times: u32,
    #[serde(default)]
    start_at_ms: u64,
    #[serde(default)]
    interval_ms: u64,
}

#[derive(Deserialize)]
struct WireStep {
    #[serde(default)]
    count: u16,
    #[serde(default)]
    cpu: u32,
    #[serde(default)]
    mem_mb: u32,
    #[serde(default)]
    gpu: u32,
    #[serde(default)]
    estimate_ms: u64,
    #[serde(default)]
    depends_on: Vec<u16>,
    #[serde(default)]
    checkpointing: bool,
    #[serde(default)]
    gang: bool,
    #[serde(default)]
    rack_local: bool,
    #[serde(default)]
    required_label: String,
    #[serde(default)]
    data_rack: String,
    #[serde(default)]
    max_per_server: u16,
    /// Whether copies of a task may run in parallel.
    #[serde(default)]
    speculative: bool,
    #[serde(default)]
    long_running: bool,
    #[serde(default)]
    image: String,
    #[serde(default)]
    target_ms: u64,
    /// Whether the step is best effort and gets only spare processor time.
    #[serde(default)]
    fills: bool,
    /// Disruption budget. For a long-running step, an absent value counts as 0, which allows no
    /// disruption.
    missable: Option<u16>,
}

/// Decodes a job.
///
/// # Errors
/// The body is not JSON, a field is missing or has a wrong type, or there are more steps than
/// a job may have tasks.
pub fn read_job(body: &[u8]) -> Result<JobSpec, serde_json::Error> {
    let job: WireJob = serde_json::from_slice(body)?;
    let recurrence = (job.times > 0).then_some(Recurrence {
        times: job.times,
        start_unix_ms: job.start_at_ms,
        interval_ms: job.interval_ms,
    });
    let mut steps: Vec<_> = job.phases.0.into_iter().map(read_step).collect();
    steps.shrink_to_fit();
    Ok(JobSpec {
        payload: job.spec,
        steps,
        recurrence,
    })
}

fn read_step(wire: WireStep) -> Step {
    let non_empty = |text: String| (!text.is_empty()).then_some(text);
    Step {
        tasks: wire.count,
        demand: Resources {
            cpu_milli: wire.cpu,
            memory_mb: wire.mem_mb,
            accelerators: wire.gpu,
        },
        estimate_ms: wire.estimate_ms,
        after: wire.depends_on,
        checkpoints: wire.checkpointing,
        gang: wire.gang,
        rack_local: wire.rack_local,
        label: non_empty(wire.required_label),
        data_rack: non_empty(wire.data_rack),
        per_worker_max: (wire.max_per_server > 0).then_some(wire.max_per_server),
        copies: wire.speculative,
        lasting: wire.long_running,
        image: wire.image,
        tail_target_ms: (wire.target_ms > 0).then_some(wire.target_ms),
        best_effort: wire.fills,
        disruption_budget: wire.long_running.then(|| wire.missable.unwrap_or(0)),
    }
}
