use std::collections::{BTreeMap, BTreeSet};

use super::schedule::Schedule;
use super::silence::{Silence, WorkerGroups};
use crate::control::{RunLoad, RunPhase, RunView, Sizes, State, Worker, WorkerLink};
use crate::jobs::{Job, TaskId};
use crate::model::{InstanceName, ZoneName};

/// The leader's links to all workers that the state knows.
///
/// What has to be done for a worker is found by the time at which it is due, and by what
/// changed: a look through all links in each tick would cost most where nothing happens.
#[derive(Debug)]
pub struct Fleet {
    lease_ms: u64,
    inherited_lease_ms: u64,
    links: BTreeMap<InstanceName, WorkerLink>,
    /// What is kept beside each link.
    notes: BTreeMap<InstanceName, LinkNotes>,
    /// Workers whose links may have changed since [`Self::update`].
    touched: Vec<InstanceName>,
    /// When the renewal of a lease or the end of all leases of a worker is due.
    schedule: Schedule,
    /// Workers with a run that is to be stopped and whose stop is not ordered.
    stopping: BTreeSet<InstanceName>,
    silence: Silence,
}

/// What the fleet keeps beside a link.
#[derive(Debug, Default)]
struct LinkNotes {
    /// Time at which the schedule names the worker next.
    scheduled_ms: Option<u64>,
    /// The groups in which it is counted, once it is confirmed.
    groups: Option<WorkerGroups>,
}

impl Fleet {
    /// Creates the links of a new leader, which grants leases of `lease_ms` and whose
    /// predecessors granted `inherited_lease_ms` at most. All runs in the state count as
    /// inherited from an earlier leader.
    pub fn new(
        now_ms: u64,
        lease_ms: u64,
        inherited_lease_ms: u64,
        state: &State,
        sizes: &Sizes,
    ) -> Self {
        let link = || WorkerLink::with_inherited_lease(now_ms, lease_ms, inherited_lease_ms);
        let names = state.workers().keys().cloned();
        let mut links: BTreeMap<_, _> = names.map(|name| (name, link())).collect();
        for job in state.active() {
            let large = sizes.is_large(job.id);
            let takes_ms = state.history().estimates().run_times_ms(job);
            for (task, run) in job.runs() {
                let link = links.entry(run.worker.clone()).or_insert_with(link);
                let step = usize::from(task.step);
                let load = RunLoad::of(&job.spec.steps[step], large);
                let mut view = RunView::new(RunPhase::Inherited, load);
                view.set_expected(&job.spec.steps[step], run.placed_unix_ms, takes_ms[step]);
                link.runs.insert((task, run.attempt), view);
            }
        }
        Self {
            lease_ms,
            inherited_lease_ms,
            notes: BTreeMap::new(),
            touched: links.keys().cloned().collect(),
            schedule: Schedule::default(),
            stopping: BTreeSet::new(),
            silence: Silence::default(),
            links,
        }
    }

    /// Adds a link to a worker unless there is one.
    pub fn add_link(&mut self, now_ms: u64, name: &InstanceName) {
        if !self.links.contains_key(name) {
            let link =
                WorkerLink::with_inherited_lease(now_ms, self.lease_ms, self.inherited_lease_ms);
            self.links.insert(name.clone(), link);
            self.touched.push(name.clone());
        }
    }

    /// Removes the link to a worker with all its runs.
    pub fn remove_link(&mut self, name: &InstanceName) {
        self.links.remove(name);
        self.stopping.remove(name);
        if let Some(groups) = self.notes.remove(name).and_then(|notes| notes.groups) {
            self.silence.remove(groups);
        }
    }

    /// Marks a worker as changed in the state.
    pub fn touch(&mut self, name: &InstanceName) {
        self.touched.push(name.clone());
    }

    /// Brings the schedule and the counts up to date with the links that changed. Returns
    /// their number.
    pub fn update(&mut self, state: &State) -> usize {
        let mut touched = std::mem::take(&mut self.touched);
        touched.sort_unstable();
        touched.dedup();
        for name in &touched {
            let Some(link) = self.links.get(name) else {
                continue;
            };
            let notes = match self.notes.get_mut(name) {
                Some(notes) => notes,
                None => self.notes.entry(name.clone()).or_default(),
            };
            let worker = state.worker(name);
            let renews = worker.is_some_and(|worker| !worker.leaving);
            let due_ms = link.due_ms(renews);
            if notes.scheduled_ms.is_none_or(|at_ms| due_ms < at_ms) {
                notes.scheduled_ms = Some(self.schedule.add(due_ms, name));
            }
            if link.is_confirmed() && notes.groups.is_none() {
                let report = worker.map(|worker| &worker.report);
                notes.groups = report.map(|r| self.silence.add(&r.zone, r.rack.as_ref()));
            }
            if let (Some(groups), Some(heard_ms)) = (notes.groups, link.heard_ms()) {
                self.silence.record_heard(groups, heard_ms);
            }
            if link.runs.values().any(RunView::is_stop_due) {
                self.stopping.insert(name.clone());
            } else if !self.stopping.is_empty() {
                self.stopping.remove(name);
            }
        }
        let visited = touched.len();
        touched.clear();
        self.touched = touched;
        visited
    }

    /// Takes the workers whose lease is to be renewed, or all of whose leases may have
    /// expired. Each counts as changed.
    pub fn take_due(&mut self, now_ms: u64, state: &State) -> Vec<InstanceName> {
        self.update(state);
        let mut due = self.schedule.take_due(now_ms);
        due.retain(|name| {
            let Some(notes) = self.notes.get_mut(name) else {
                return false;
            };
            // An entry that a sooner one has replaced says nothing.
            let is_due = notes.scheduled_ms.is_some_and(|at_ms| at_ms <= now_ms);
            if is_due {
                notes.scheduled_ms = None;
            }
            is_due
        });
        self.touched.extend(due.iter().cloned());
        due
    }

    /// Returns the workers with a run whose stop may have to be ordered.
    pub fn stopping(&self) -> impl Iterator<Item = (&InstanceName, &WorkerLink)> {
        let stopping = self.stopping.iter();
        stopping.filter_map(|name| Some((name, self.links.get(name)?)))
    }

    /// Returns the workers of availability zones and racks from which nothing is heard any
    /// more.
    pub fn silent_workers(&mut self, now_ms: u64, state: &State) -> BTreeSet<InstanceName> {
        self.update(state);
        if !self.silence.is_any_silent(now_ms) {
            return BTreeSet::new();
        }
        let silent = self.notes.iter().filter(|(_, notes)| {
            let groups = notes.groups;
            groups.is_some_and(|groups| self.silence.is_silent(now_ms, groups))
        });
        silent.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the zones from which nothing is heard any more.
    pub fn silent_zones(&self, now_ms: u64) -> BTreeSet<ZoneName> {
        self.silence.silent_zones(now_ms)
    }

    /// Returns the link to a worker.
    pub fn link(&self, name: &InstanceName) -> Option<&WorkerLink> {
        self.links.get(name)
    }

    /// Returns the link to a worker for changes.
    pub fn link_mut(&mut self, name: &InstanceName) -> Option<&mut WorkerLink> {
        let link = self.links.get_mut(name)?;
        self.touched.push(name.clone());
        Some(link)
    }

    /// Iterates over all links.
    pub fn links(&self) -> impl Iterator<Item = (&InstanceName, &WorkerLink)> {
        self.links.iter()
    }

    /// Iterates over the workers of the state that have a link. Both maps are merged in
    /// their common order, because looking up each worker by name took a third of the time
    /// of a scheduling pass.
    pub fn linked_workers<'a>(
        &'a self,
        state: &'a State,
    ) -> impl Iterator<Item = (&'a InstanceName, &'a Worker, &'a WorkerLink)> {
        let mut links = self.links.iter().peekable();
        state.workers().iter().filter_map(move |(name, worker)| {
            while links.next_if(|(other, _)| *other < name).is_some() {}
            let (_, link) = links.next_if(|(other, _)| *other == name)?;
            Some((name, worker, link))
        })
    }

    /// Returns the runs on a worker (job, task and attempt).
    pub fn runs_on<'a>(
        &'a self,
        state: &'a State,
        worker: &InstanceName,
    ) -> impl Iterator<Item = (&'a Job, TaskId, u32)> {
        let runs = self
            .links
            .get(worker)
            .into_iter()
            .flat_map(|l| l.runs.keys());
        runs.filter_map(|(task, attempt)| Some((state.job(task.job)?, *task, *attempt)))
    }

    /// Returns the leader's view of a run.
    pub fn run(&self, worker: &InstanceName, task: TaskId, attempt: u32) -> Option<&RunView> {
        self.links.get(worker)?.runs.get(&(task, attempt))
    }

    /// Returns the leader's view of a run for changes.
    pub fn run_mut(
        &mut self,
        worker: &InstanceName,
        task: TaskId,
        attempt: u32,
    ) -> Option<&mut RunView> {
        self.link_mut(worker)?.runs.get_mut(&(task, attempt))
    }
}
