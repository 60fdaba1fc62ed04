//! Resources and machines that the work of each pool needs.

use std::collections::BTreeMap;

use crate::control::{
    Estimates, Fleet, Load, NeedsPolicy, OfferedLoad, Policy, Queue, Remaining, RunView, Runs,
    ServiceClass, State, WorkspaceShares,
};
use crate::jobs::{Job, Occurrence, Step, Task};
use crate::model::{InstanceName, PoolName};

/// Fraction of the expected run time that counts as remaining even for an overdue task.
const MIN_REMAINING_FRACTION: f64 = 0.1;

/// The workers of a pool and the resources that its work needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolDemand<'a> {
    /// Resources that complete the present work in time, without lasting tasks.
    pub work: Load,
    /// The same, but that late work ends within the policy's time for it, counted from when it
    /// became late.
    pub overdue_work: Load,
    /// Resources that complete the present work in time, by class.
    pub work_by_class: BTreeMap<ServiceClass, Load>,
    /// Work of the jobs that arrived lately, in core-milliseconds.
    pub arrived_work: f64,
    /// The part of that which is beyond the shares of its workspaces.
    pub arrived_beyond_share: f64,
    /// Resources that lasting tasks reserve.
    pub lasting: Load,
    /// Resources that other tasks hold at present.
    pub held: Load,
    /// Fewest workers over which every lasting step can be spread within its limit of tasks
    /// per worker.
    pub min_workers: usize,
    /// Workers that report and take work.
    pub workers: Vec<WorkerUse<'a>>,
    /// Total capacity of those workers.
    pub room: Load,
}

/// The runs on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerUse<'a> {
    /// The worker's incarnation.
    pub worker: &'a InstanceName,
    /// The machine that it runs on, if it reports one.
    pub machine: Option<&'a str>,
    /// Number of runs of lasting tasks.
    pub lasting: usize,
    /// Number of other runs, which end by themselves.
    pub passing: usize,
    /// Expected time until the last of those has ended, in milliseconds.
    pub idle_in_ms: f64,
    /// The same without the runs whose progress is saved when they are stopped.
    pub clear_in_ms: f64,
}

impl PoolDemand<'_> {
    /// Returns the part of the arriving work that is beyond the shares of its workspaces.
    pub fn beyond_share_part(&self) -> f64 {
        match self.arrived_work > 0.0 {
            true => self.arrived_beyond_share / self.arrived_work,
            false => 0.0,
        }
    }

    /// Returns the number of workers on which nothing runs.
    pub fn idle(&self) -> usize {
        let idle = self.workers.iter().filter(|w| w.lasting + w.passing == 0);
        idle.count()
    }

    /// Returns the mean capacity of a worker, `None` if there is no worker.
    pub fn size(&self) -> Option<Load> {
        let count = self.workers.len();
        (count > 0).then(|| self.room.times(1.0 / count as f64))
    }

    /// Returns the resources that are needed to complete the present, arriving and forecast
    /// work in time.
    pub fn needed(&self, offer: &OfferedLoad, policy: &NeedsPolicy) -> Load {
        self.needed_beside(&self.work, offer, policy)
    }

    /// Returns the resources that are needed beside the lasting tasks' for `work`, or for the
    /// arriving or forecast work if that is more, and theirs.
    fn needed_beside(&self, work: &Load, offer: &OfferedLoad, policy: &NeedsPolicy) -> Load {
        let arriving = match policy.arrivals {
            true => offer.load.times(1.0 + offer.rise),
            false => Load::default(),
        };
        let work = work.max(&arriving).max(&offer.foreseen);
        let margin = Load::of_cores(policy.deviations * offer.deviation);
        self.lasting.plus(&work).plus(&margin)
    }

    /// Returns the work that is entitled to room.
    pub fn entitled_work(&self) -> Load {
        let entitled = self.work_by_class.iter();
        let entitled = entitled.filter(|(class, _)| class.is_entitled());
        entitled.fold(Load::default(), |sum, (_, load)| sum.plus(load))
    }

    /// Returns the work of each class, the entitled ones first and by priority. Arriving work
    /// within the shares of its workspaces counts as entitled, as far as it exceeds what waits.
    pub fn claims(&self, offer: &OfferedLoad, policy: &NeedsPolicy) -> Vec<(ServiceClass, Load)> {
        let mut classes = self.work_by_class.clone();
        let part = 1.0 - self.beyond_share_part();
        if policy.arrivals {
            let arriving = offer.load.times((1.0 + offer.rise) * part);
            let margin = Load::of_cores(policy.deviations * offer.deviation * part);
            let more = arriving.plus(&margin).excess_over(&self.entitled_work());
            let entitled = ServiceClass::entitled(offer.priority);
            let load = classes.entry(entitled).or_default();
            *load = load.plus(&more);
        }
        let mut classes: Vec<(ServiceClass, Load)> = classes.into_iter().collect();
        classes.sort_by_key(|(class, _)| (!class.is_entitled(), *class));
        classes
    }

    /// Returns the number of machines of capacity `size` that are needed.
    pub fn needed_machines(&self, size: &Load, offer: &OfferedLoad, policy: &NeedsPolicy) -> usize {
        self.machines(&self.needed(offer, policy), size)
    }

    /// Returns the number of machines of capacity `size` that are needed if late work is to end
    /// within the policy's time for it, counted from when it became late.
    pub fn overdue_machines(
        &self,
        size: &Load,
        offer: &OfferedLoad,
        policy: &NeedsPolicy,
    ) -> usize {
        let needed = self.needed_beside(&self.overdue_work, offer, policy);
        self.machines(&needed, size)
    }

    fn machines(&self, needed: &Load, size: &Load) -> usize {
        (needed.count(size).ceil() as usize).max(self.min_workers)
    }
}

/// Computes the demand of all pools.
pub fn demand<'a>(
    now_ms: u64,
    now_unix_ms: u64,
    state: &'a State,
    fleet: &'a Fleet,
    estimates: &Estimates,
    shares: &WorkspaceShares,
    policy: &Policy,
) -> BTreeMap<PoolName, PoolDemand<'a>> {
    let mut pools: BTreeMap<PoolName, PoolDemand> = BTreeMap::new();
    let queues = state.queues_by_name();
    for job in state.active().filter(|job| job.verdict.is_none()) {
        let takes_ms = estimates.run_times_ms(job);
        if !pools.contains_key(&job.pool) {
            pools.insert(job.pool.clone(), PoolDemand::default());
        }
        if let Some(pool) = pools.get_mut(&job.pool) {
            let queue = queues.get(job.queue.as_str()).copied();
            let beyond_share = shares.is_beyond(job.id);
            add_work(
                now_unix_ms,
                job,
                queue,
                &takes_ms,
                beyond_share,
                policy,
                pool,
            );
        }
    }
    for (name, worker, link) in fleet.linked_workers(state) {
        if !link.is_heard(now_ms) || !worker.takes_work() {
            continue;
        }
        let pool = match pools.get_mut(&worker.report.pool) {
            Some(pool) => pool,
            None => pools.entry(worker.report.pool.clone()).or_default(),
        };
        let used = link.runs.used();
        let lasting = used.lasting as usize;
        pool.held = pool.held.plus(&Load::from(&used.passing));
        pool.room = pool.room.plus(&Load::from(&worker.report.capacity));
        pool.workers.push(WorkerUse {
            worker: name,
            machine: worker.report.machine.as_deref(),
            lasting,
            passing: link.runs.len().saturating_sub(lasting),
            idle_in_ms: idle_in_ms(now_unix_ms, &link.runs, |_| true),
            clear_in_ms: idle_in_ms(now_unix_ms, &link.runs, |view| !view.saves),
        });
    }
    pools
}

/// Returns the expected time until the last of some runs on a worker, lasting ones aside, has
/// ended, in milliseconds.
fn idle_in_ms(now_unix_ms: u64, runs: &Runs, counts: impl Fn(&RunView) -> bool) -> f64 {
    let expected = runs.values().filter(|view| counts(view));
    let expected = expected.filter_map(|view| view.expected);
    let left = expected.map(|(placed_unix_ms, takes_ms)| {
        remaining_after_ms(now_unix_ms.saturating_sub(placed_unix_ms), takes_ms)
    });
    left.fold(0.0, f64::max)
}

fn add_work(
    now_unix_ms: u64,
    job: &Job,
    queue: Option<&Queue>,
    takes_ms: &[u64],
    beyond_share: bool,
    policy: &Policy,
    pool: &mut PoolDemand<'_>,
) {
    let chains_ms = job.spec.critical_paths_ms(takes_ms);
    let chain_ms = chains_ms.iter().copied().max().unwrap_or(0);
    for (k, occurrence) in job.occurrences() {
        let mut work = Load::default();
        let mut left_ms = 0.0_f64;
        for (step, spec) in job.spec.steps.iter().enumerate() {
            if spec.lasting {
                add_lasting(spec, step, occurrence, pool);
                continue;
            }
            let room = Load::from(&spec.demand);
            if job.placements == 0 {
                let whole_ms = takes_ms[step] as f64;
                left_ms = left_ms.max(chains_ms[step] as f64);
                work = work.plus(&room.times(whole_ms * f64::from(spec.tasks)));
                continue;
            }
            for task in occurrence.step(step).iter().filter(|t| !t.done) {
                let task_left_ms = remaining_ms(now_unix_ms, task, takes_ms[step]);
                let after_ms = chains_ms[step].saturating_sub(takes_ms[step]);
                left_ms = left_ms.max(task_left_ms + after_ms as f64);
                work = work.plus(&room.times(task_left_ms));
            }
        }
        let passed_ms = now_unix_ms.saturating_sub(job.due_unix_ms(k)) as f64;
        let objective_ms = queue.map_or(f64::INFINITY, |q| q.objective_ms(chain_ms));
        let slack_ms = objective_ms - passed_ms - left_ms;
        let within_ms = if slack_ms < 0.0 || beyond_share {
            policy.needs.late_ms as f64
        } else {
            left_ms.max(policy.needs.shortest_ms as f64)
        };
        let resources = work.times(1.0 / within_ms);
        pool.work = pool.work.plus(&resources);
        // Over a time that begins anew with every look, the need shrinks with the rest of the
        // work, and the last jobs wait without bound.
        let left_of_late_ms = within_ms + slack_ms.min(0.0);
        let overdue_within_ms = left_of_late_ms
            .max(left_ms.max(policy.needs.shortest_ms as f64))
            .min(within_ms);
        pool.overdue_work = pool.overdue_work.plus(&work.times(1.0 / overdue_within_ms));
        if work == Load::default() {
            continue;
        }
        let remaining = Remaining {
            chain_ms,
            left_ms: left_ms as u64,
            work: work.cores,
            lasts: job.spec.lasts(),
            beyond_share,
        };
        let due_unix_ms = job.due_unix_ms(k);
        let order = &policy.order;
        let (class, _) = ServiceClass::of(now_unix_ms, queue, due_unix_ms, &remaining, order);
        let by_class = pool.work_by_class.entry(class).or_default();
        *by_class = by_class.plus(&resources);
        if passed_ms <= policy.needs.window_ms as f64 {
            pool.arrived_work += work.cores;
            if beyond_share {
                pool.arrived_beyond_share += work.cores;
            }
        }
    }
}

fn add_lasting(spec: &Step, step: usize, occurrence: &Occurrence, pool: &mut PoolDemand<'_>) {
    let tasks = occurrence.step(step).iter().filter(|t| !t.done).count();
    if tasks == 0 {
        return;
    }
    let per_worker_max = spec.per_worker_max.unwrap_or(u16::MAX).max(1);
    pool.min_workers = pool
        .min_workers
        .max(usize::from(spec.tasks.div_ceil(per_worker_max)));
    let room = Load::from(&spec.reserved());
    pool.lasting = pool.lasting.plus(&room.times(tasks as f64));
}

/// Returns the expected remaining run time of a task, in milliseconds. A task that is overdue
/// still has some time left.
fn remaining_ms(now_unix_ms: u64, task: &Task, takes_ms: u64) -> f64 {
    let since_unix_ms = task.runs.iter().map(|run| run.placed_unix_ms).min();
    let passed_ms = since_unix_ms.map_or(0, |since| now_unix_ms.saturating_sub(since));
    remaining_after_ms(passed_ms, takes_ms)
}

fn remaining_after_ms(passed_ms: u64, takes_ms: u64) -> f64 {
    let takes_ms = takes_ms as f64;
    (takes_ms - passed_ms as f64).max(takes_ms * MIN_REMAINING_FRACTION)
}
