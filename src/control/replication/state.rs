mod snapshot;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::control::{
    CancelledIds, Change, Command, Configuration, ConfigurationParts, History, JobMemory, Queue,
    Report, RunsByWorker, Wave, Worker, WorkerIndex, WorkspaceUsage,
};
use crate::jobs::{Job, JobId, JobSpec, JobState, RunResult, TaskId};
use crate::model::{InstanceName, PoolName, WorkspaceName};

/// The replicated state: the configuration, the jobs, the known workers and the waves. It is
/// the same on every control instance after the same commands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    #[serde(serialize_with = "snapshot::without_access")]
    configuration: Option<Arc<Configuration>>,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs of which a task may still start or run.
    active: BTreeSet<JobId>,
    #[serde(skip)]
    memory: JobMemory,
    #[serde(skip)]
    runs: RunsByWorker,
    workers: BTreeMap<InstanceName, Worker>,
    #[serde(skip)]
    addresses: WorkerIndex<SocketAddr>,
    #[serde(skip)]
    machines: WorkerIndex<String>,
    #[serde(skip)]
    usage: WorkspaceUsage,
    #[serde(skip)]
    cancelled_ids: CancelledIds,
    waves: BTreeMap<u64, Wave>,
    parts: ConfigurationParts,
    history: History,
    /// [`Command::start`] of the leader whose command was applied last, and the time of its
    /// first command, in milliseconds since 1970.
    led_by: u64,
    led_since_unix_ms: u64,
}

impl State {
    /// Applies a committed command.
    pub fn apply(&mut self, command: &Command) {
        if self.led_by != command.start {
            self.led_by = command.start;
            self.led_since_unix_ms = command.at_unix_ms;
        }
        for change in &command.changes {
            self.apply_change(command.at_unix_ms, change);
        }
    }

    /// Returns the configuration in force, `None` before the first one.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_deref()
    }

    /// Returns the queues of the configuration in force by name.
    pub fn queues_by_name(&self) -> BTreeMap<&str, &Queue> {
        self.configuration()
            .map_or_else(BTreeMap::new, Configuration::queues_by_name)
    }

    /// Returns a job, `None` if it is unknown or was forgotten.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Returns the jobs of which a task may still start or run.
    pub fn active(&self) -> impl Iterator<Item = &Job> {
        self.active.iter().filter_map(|id| self.jobs.get(id))
    }

    /// Returns an estimate of the memory that all jobs take.
    pub fn job_memory(&self) -> JobMemory {
        self.memory
    }

    /// Returns the number of active jobs.
    pub fn active_count(&self) -> usize {
        self.active.len()
    }

    /// Returns the next `most` active jobs in the order of their ids, starting after `after`.
    pub fn active_after(
        &self,
        after: Option<JobId>,
        most: usize,
    ) -> impl Iterator<Item = JobId> + '_ {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let rest = self.active.range((from, Bound::Unbounded));
        rest.take(most).copied()
    }

    /// Returns the accepted, non-recurring jobs of a queue whose start is not recorded.
    pub fn queued(&self, queue: &str) -> impl Iterator<Item = &Job> {
        self.active()
            .filter(move |job| job.queue == queue && job.spec.recurrence.is_none())
            .filter(|job| job.state() == JobState::Queued)
    }

    /// Returns whether a run is recorded.
    pub fn has_run(&self, task: TaskId, attempt: u32, worker: &InstanceName) -> bool {
        let task = self.job(task.job).and_then(|job| job.task(task));
        task.is_some_and(|task| task.has_run(attempt, worker))
    }

    /// Returns the known workers by incarnation.
    pub fn workers(&self) -> &BTreeMap<InstanceName, Worker> {
        &self.workers
    }

    /// Returns a worker, `None` once its incarnation is gone.
    pub fn worker(&self, name: &InstanceName) -> Option<&Worker> {
        self.workers.get(name)
    }

    /// Returns the workers that take orders at an address.
    pub fn workers_at(&self, address: SocketAddr) -> impl Iterator<Item = &InstanceName> {
        self.addresses.at(&address)
    }

    /// Returns the worker on a machine, unless it is leaving. If there are several incarnations,
    /// it is the last by name.
    pub fn worker_on(&self, machine: &str) -> Option<&InstanceName> {
        let mut workers = self.machines.at(machine).rev();
        workers.find(|name| self.worker(name).is_some_and(|worker| !worker.leaving))
    }

    /// Returns whether a report adds nothing to the known state of its worker.
    pub fn knows(&self, report: &Report) -> bool {
        let known = self.worker(&report.worker).map(|w| &w.report);
        known.is_some_and(|known| {
            known.phase == report.phase
                && known.pool == report.pool
                && known.address == report.address
                && known.capacity == report.capacity
                && known.labels == report.labels
        })
    }

    /// Returns the maintenance waves by number.
    pub fn waves(&self) -> &BTreeMap<u64, Wave> {
        &self.waves
    }

    /// Returns the ids of jobs that were cancelled before they were accepted.
    pub fn cancelled_ids(&self) -> &CancelledIds {
        &self.cancelled_ids
    }

    /// Returns the statistics of past jobs and runs.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns what the runs of each workspace hold.
    pub fn usage(&self) -> &WorkspaceUsage {
        &self.usage
    }

    fn apply_change(&mut self, at_unix_ms: u64, change: &Change) {
        match change {
            Change::Configure(configuration) => self.configure(configuration),
            Change::ConfigurePart(part) => {
                if let Some(configuration) = self.parts.take(part) {
                    self.configure(&Arc::new(configuration));
                }
            }
            Change::Accept { job, queue, spec } => {
                self.accept(at_unix_ms, *job, None, queue, spec);
            }
            Change::AcceptFor {
                workspace,
                job,
                queue,
                spec,
            } => self.accept(at_unix_ms, *job, Some(workspace), queue, spec),
            Change::Cancel { job } => {
                let known = self.update_job(at_unix_ms, *job, |job| {
                    job.verdict.get_or_insert(JobState::Cancelled);
                });
                if known.is_none() {
                    self.cancelled_ids.add(*job, at_unix_ms);
                }
            }
            Change::Due { job, occurrence } => {
                self.update_job(at_unix_ms, *job, |job| job.create_occurrence(*occurrence));
            }
            Change::Place {
                task,
                attempt,
                worker,
            } => {
                let placed = self.update_job(at_unix_ms, task.job, |job| {
                    !job.record_start(*task, *attempt, worker)
                        && job.place(at_unix_ms, *task, *attempt, worker)
                });
                if placed == Some(true) {
                    self.runs.add(worker, task.job);
                    if let Some(job) = self.jobs.get(&task.job) {
                        self.usage.add_run(job, usize::from(task.step));
                    }
                }
            }
            Change::Unplace {
                task,
                attempt,
                worker,
            } => {
                let unplaced = self.update_job(at_unix_ms, task.job, |job| {
                    job.cancel_placement(*task, *attempt, worker)
                });
                if unplaced == Some(true) {
                    self.record_run_gone(worker, *task);
                }
            }
            Change::End {
                task,
                attempt,
                worker,
                ending,
                checkpoint,
            } => {
                self.record_run_time(at_unix_ms, *task, *attempt, *ending);
                let ended = self.update_job(at_unix_ms, task.job, |job| {
                    job.end(*task, *attempt, worker, *ending, checkpoint)
                });
                if ended == Some(true) {
                    self.record_run_gone(worker, *task);
                }
            }
            Change::Report(report) => self.record_report(report),
            Change::Leave { worker } => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.leaving = true;
                }
            }
            Change::Lapse { worker } => self.lapse(at_unix_ms, worker),
            Change::Gone { worker } => {
                if let Some(gone) = self.workers.remove(worker) {
                    self.addresses.remove(&gone.report.address, worker);
                    if let Some(machine) = &gone.report.machine {
                        self.machines.remove(machine.as_str(), worker);
                    }
                }
                self.lapse(at_unix_ms, worker);
            }
            Change::Wave(wave) => {
                self.waves
                    .entry(wave.number)
                    .or_insert_with(|| wave.clone());
            }
            Change::UpkeepAsked {
                wave,
                machine,
                worker,
            } => {
                if let Some(wave) = self.waves.get_mut(wave) {
                    let asked = wave.asked.entry(machine.clone());
                    asked.or_insert_with(|| worker.clone());
                }
            }
            Change::UpkeepBegun { wave, machine } => {
                if let Some(wave) = self.waves.get_mut(wave) {
                    wave.begun.insert(machine.clone());
                }
            }
            Change::Forget { before_unix_ms } => {
                let active = &self.active;
                let memory = &mut self.memory;
                self.jobs.retain(|id, job| {
                    let is_kept = active.contains(id)
                        || job.ended_unix_ms.is_none_or(|at| at >= *before_unix_ms);
                    if !is_kept {
                        memory.forget(&job.spec);
                    }
                    is_kept
                });
                self.cancelled_ids.forget(*before_unix_ms);
                let configuration = self.configuration.as_deref();
                self.history
                    .retain(|job| active.contains(&job), configuration);
            }
        }
    }

    fn configure(&mut self, configuration: &Arc<Configuration>) {
        let current_version = self.configuration.as_ref().map(|c| c.version);
        if current_version.is_some_and(|current| configuration.version <= current) {
            return;
        }
        // Active jobs follow their queue if it moves to another pool.
        for id in &self.active {
            if let Some(job) = self.jobs.get_mut(id)
                && let Some(queue) = configuration.queue(&job.queue)
            {
                job.pool = queue.pool.clone();
                job.attempts_max = queue.attempts_max;
            }
        }
        self.configuration = Some(Arc::clone(configuration));
    }

    fn accept(
        &mut self,
        at_unix_ms: u64,
        id: JobId,
        workspace: Option<&WorkspaceName>,
        queue: &str,
        spec: &Arc<JobSpec>,
    ) {
        if self.jobs.contains_key(&id) {
            return;
        }
        // The queue is always known, but for logs of earlier builds: a leader proposes no job
        // while a configuration is on its way through the log.
        let known = self.configuration.as_ref().and_then(|c| c.queue(queue));
        let (pool, attempts_max) = known.map_or_else(
            || (PoolName::from(""), 1),
            |q| (q.pool.clone(), q.attempts_max),
        );
        let mut job = Job::new(
            id,
            queue.to_owned(),
            pool,
            Arc::clone(spec),
            attempts_max,
            at_unix_ms,
        );
        job.workspace = workspace.cloned();
        if spec.recurrence.is_none() {
            job.create_occurrence(0);
        }
        if job.spec.recurrence.is_none() && !job.spec.lasts() {
            self.history.record_arrival(at_unix_ms, &job);
        }
        self.memory.add(spec);
        self.jobs.insert(id, job);
        self.active.insert(id);
    }

    /// Records the run time of a task that a single run completed without a checkpoint.
    ///
    /// Runs that an earlier leader placed are left out: their end was reported only once there
    /// was a leader again. With them, run times seemed five times as long after a change of
    /// leader, and every pool seemed to need all machines.
    fn record_run_time(&mut self, at_unix_ms: u64, id: TaskId, attempt: u32, ending: RunResult) {
        let Some(job) = self.jobs.get(&id.job).filter(|_| ending == RunResult::Done) else {
            return;
        };
        let task = job.task(id).filter(|task| task.checkpoint.is_empty());
        let run = task.and_then(|task| task.runs.iter().find(|run| run.attempt == attempt));
        if let Some(run) = run.filter(|run| run.placed_unix_ms >= self.led_since_unix_ms) {
            let took_ms = at_unix_ms.saturating_sub(run.placed_unix_ms);
            self.history.record_end(job, usize::from(id.step), took_ms);
        }
    }

    fn record_report(&mut self, report: &Arc<Report>) {
        let name = &report.worker;
        if let Some(known) = self.workers.get(name).map(|worker| &worker.report) {
            self.addresses.remove(&known.address, name);
            if let Some(machine) = &known.machine {
                self.machines.remove(machine.as_str(), name);
            }
        }
        self.addresses.add(report.address, name);
        if let Some(machine) = &report.machine {
            self.machines.add(machine.clone(), name);
        }
        let report = Report::clone(report);
        match self.workers.get_mut(name) {
            Some(known) => known.report = report,
            None => {
                let worker = Worker {
                    report,
                    leaving: false,
                };
                self.workers.insert(worker.report.worker.clone(), worker);
            }
        }
    }

    fn lapse(&mut self, at_unix_ms: u64, worker: &InstanceName) {
        for id in self.runs.take(worker) {
            if let Some(job) = self.jobs.get(&id) {
                self.usage.remove_runs_on(job, worker);
            }
            self.update_job(at_unix_ms, id, |job| job.lapse(worker));
        }
    }

    /// Updates the indexes for a run that is no longer recorded.
    fn record_run_gone(&mut self, worker: &InstanceName, task: TaskId) {
        self.runs.remove(worker, task.job);
        if let Some(job) = self.jobs.get(&task.job) {
            self.usage.remove_run(job, usize::from(task.step));
        }
    }

    /// Changes a job and updates the active set. Returns the result of `change`, `None` if the
    /// job is unknown.
    fn update_job<T>(
        &mut self,
        at_unix_ms: u64,
        id: JobId,
        change: impl FnOnce(&mut Job) -> T,
    ) -> Option<T> {
        let job = self.jobs.get_mut(&id)?;
        let open_before = job.open_occurrences();
        let outcome = change(job);
        job.settle(at_unix_ms);
        if self.active.contains(&id) {
            let open = job.open_occurrences();
            self.memory.resize(&job.spec, open_before, open);
        }
        if job.verdict.is_some() && job.has_no_runs() && self.active.remove(&id) {
            self.memory.end(job);
        }
        Some(outcome)
    }
}
