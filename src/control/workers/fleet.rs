use std::collections::{BTreeMap, BTreeSet};

use super::schedule::Schedule;
use super::silence::{Silence, WorkerGroups};
use crate::control::{LeaseLimits, RunLoad, RunPhase, RunView, Sizes, State, Worker, WorkerLink};
use crate::jobs::{Job, TaskId};
use crate::model::{InstanceName, ZoneName};

/// The leader's links to all workers that the state knows.
///
/// What has to be done for a worker is found by the time at which it is due, and by what
/// changed: a look through all links in each tick would cost most where nothing happens.
#[derive(Debug)]
pub struct Fleet {
    limits: LeaseLimits,
    links: BTreeMap<InstanceName, Entry>,
    /// Workers whose links may have changed since [`Self::update`].
    touched: Vec<InstanceName>,
    /// When the renewal of a lease or the end of all leases of a worker is due.
    schedule: Schedule,
    /// Workers with a run that is to be stopped and whose stop is not ordered.
    stopping: BTreeSet<InstanceName>,
    silence: Silence,
    /// Whether workers say in their listings when they started; `None` before the first listing.
    tells_starts: Option<bool>,
}

/// A link, and what the fleet keeps beside it.
#[derive(Debug)]
struct Entry {
    link: WorkerLink,
    /// Whether the worker is among those whose links may have changed.
    is_touched: bool,
    /// Time at which the schedule names the worker next.
    scheduled_ms: Option<u64>,
    /// The groups in which it is counted, once it is confirmed.
    groups: Option<WorkerGroups>,
}

impl Entry {
    /// Creates the entry of a new link, which counts as changed.
    fn new(link: WorkerLink) -> Self {
        Self {
            link,
            is_touched: true,
            scheduled_ms: None,
            groups: None,
        }
    }

    /// Marks the link as changed, unless it is marked already.
    fn touch(&mut self, name: &InstanceName, touched: &mut Vec<InstanceName>) {
        if !self.is_touched {
            self.is_touched = true;
            touched.push(name.clone());
        }
    }
}

impl Fleet {
    /// Creates the links of a new leader. All runs in the state count as inherited from an
    /// earlier leader.
    pub fn new(now_ms: u64, limits: LeaseLimits, state: &State, sizes: &Sizes) -> Self {
        let entry = || Entry::new(WorkerLink::with_unknown_start(now_ms, limits));
        let names = state.workers().keys().cloned();
        let mut links: BTreeMap<_, _> = names.map(|name| (name, entry())).collect();
        for job in state.active() {
            let large = sizes.is_large(job.id);
            let takes_ms = state.history().estimates().run_times_ms(job);
            for (task, run) in job.runs() {
                let entry = links.entry(run.worker.clone()).or_insert_with(entry);
                let step = usize::from(task.step);
                let load = RunLoad::of(&job.spec.steps[step], large);
                let mut view = RunView::new(RunPhase::Inherited, load);
                view.set_expected(&job.spec.steps[step], run.placed_unix_ms, takes_ms[step]);
                entry.link.runs.insert((task, run.attempt), view);
            }
        }
        Self {
            limits,
            touched: links.keys().cloned().collect(),
            schedule: Schedule::default(),
            stopping: BTreeSet::new(),
            silence: Silence::default(),
            tells_starts: None,
            links,
        }
    }

    /// Adds a link to a worker unless there is one.
    pub fn add_link(&mut self, now_ms: u64, name: &InstanceName) {
        if !self.links.contains_key(name) {
            let link = WorkerLink::new(now_ms, self.limits);
            self.links.insert(name.clone(), Entry::new(link));
            self.touched.push(name.clone());
        }
    }

    /// Remembers when a worker started, as its listing says. If the workers that were heard do
    /// not say it, those that were not heard have not started again under their names either.
    /// Returns the link to the worker for changes.
    pub fn note_start(
        &mut self,
        name: &InstanceName,
        started_unix_ms: Option<u64>,
    ) -> Option<&mut WorkerLink> {
        let tells = started_unix_ms.is_some() || self.tells_starts == Some(true);
        if self.tells_starts.replace(tells) != Some(tells) {
            for (name, entry) in &mut self.links {
                entry.link.set_may_have_started_again(tells);
                entry.touch(name, &mut self.touched);
            }
        }
        let link = self.link_mut(name)?;
        link.note_start(started_unix_ms);
        Some(link)
    }

    /// Removes the link to a worker with all its runs.
    pub fn remove_link(&mut self, name: &InstanceName) {
        let removed = self.links.remove(name);
        self.stopping.remove(name);
        if let Some(groups) = removed.and_then(|entry| entry.groups) {
            self.silence.remove(groups);
        }
    }

    /// Marks a worker as changed in the state.
    pub fn touch(&mut self, name: &InstanceName) {
        if let Some(entry) = self.links.get_mut(name) {
            entry.touch(name, &mut self.touched);
        }
    }

    /// Brings the schedule and the counts up to date with the links that changed. Returns
    /// their number.
    pub fn update(&mut self, state: &State) -> usize {
        let mut touched = std::mem::take(&mut self.touched);
        for name in &touched {
            let Some(entry) = self.links.get_mut(name) else {
                continue;
            };
            entry.is_touched = false;
            let link = &entry.link;
            let worker = state.worker(name);
            let renews = worker.is_some_and(|worker| !worker.leaving);
            let due_ms = link.due_ms(renews);
            if entry.scheduled_ms.is_none_or(|at_ms| due_ms < at_ms) {
                entry.scheduled_ms = Some(self.schedule.add(due_ms, name));
            }
            if link.is_confirmed() && entry.groups.is_none() {
                let report = worker.map(|worker| &worker.report);
                entry.groups = report.map(|r| self.silence.add(&r.zone, r.rack.as_ref()));
            }
            if let (Some(groups), Some(heard_ms)) = (entry.groups, link.heard_ms()) {
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
            let Some(entry) = self.links.get_mut(name) else {
                return false;
            };
            // A time that a sooner one has replaced says nothing.
            let is_due = entry.scheduled_ms.is_some_and(|at_ms| at_ms <= now_ms);
            if is_due {
                entry.scheduled_ms = None;
                entry.touch(name, &mut self.touched);
            }
            is_due
        });
        due
    }

    /// Returns the workers with a run whose stop may have to be ordered.
    pub fn stopping(&self) -> impl Iterator<Item = (&InstanceName, &WorkerLink)> {
        let stopping = self.stopping.iter();
        stopping.filter_map(|name| Some((name, self.link(name)?)))
    }

    /// Returns the workers of availability zones and racks from which nothing is heard any
    /// more.
    pub fn silent_workers(&mut self, now_ms: u64, state: &State) -> BTreeSet<InstanceName> {
        self.update(state);
        if !self.silence.is_any_silent(now_ms) {
            return BTreeSet::new();
        }
        let silent = self.links.iter().filter(|(_, entry)| {
            let groups = entry.groups;
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
        self.links.get(name).map(|entry| &entry.link)
    }

    /// Returns the link to a worker for changes.
    pub fn link_mut(&mut self, name: &InstanceName) -> Option<&mut WorkerLink> {
        let entry = self.links.get_mut(name)?;
        entry.touch(name, &mut self.touched);
        Some(&mut entry.link)
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
            let (_, entry) = links.next_if(|(other, _)| *other == name)?;
            Some((name, worker, &entry.link))
        })
    }

    /// Returns the runs on a worker (job, task and attempt).
    pub fn runs_on<'a>(
        &'a self,
        state: &'a State,
        worker: &InstanceName,
    ) -> impl Iterator<Item = (&'a Job, TaskId, u32)> {
        let runs = self
            .link(worker)
            .into_iter()
            .flat_map(|link| link.runs.keys());
        runs.filter_map(|(task, attempt)| Some((state.job(task.job)?, *task, *attempt)))
    }

    /// Returns the leader's view of a run.
    pub fn run(&self, worker: &InstanceName, task: TaskId, attempt: u32) -> Option<&RunView> {
        self.link(worker)?.runs.get(&(task, attempt))
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
