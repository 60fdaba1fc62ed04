//! One seeded run: everything started, faults as planned, then all healed and
//! everything brought to its end.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rosemarygauge::proxy::{Flow, Hub, Link, LinkFaults};
use tempfile::TempDir;
use tokio::runtime::Runtime;

use crate::callers::{Callers, Entry};
use crate::fault::{Fault, plan, zone_cuts};
use crate::fleet::{Fleet, Sickness};
use crate::keeper::Keeper;
use crate::ledger::Ledger;
use crate::operator::{Operator, POOLS};
use crate::site::Site;

/// Longer than recovery takes on a machine that is busy.
const LIMIT: Duration = Duration::from_secs(90);
/// After a fault, a request that breaks off is no wonder for so long.
const FAULT_NEAR_MS: u64 = 3_000;
/// How often the main thread looks.
const LOOK: Duration = Duration::from_millis(2);

#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub controls: usize,
    pub entries: usize,
    pub workers: usize,
    pub callers: usize,
    /// Availability zones, among which instances and workers go round; 1 if none is cut.
    pub zones: usize,
}

/// What ends a fault.
enum Cure {
    Start(usize),
    StartAllControls,
    Resume(usize),
    Links(usize),
    Zone(usize),
    BeginWorker(usize, String),
    Worker(usize),
    Well(usize),
    Keeper,
}

pub struct Play {
    seed: u64,
    size: Size,
    runtime: Runtime,
    hub: Hub,
    ledger: Arc<Ledger>,
    folder: TempDir,
}

struct Stage {
    site: Site,
    fleet: Arc<Fleet>,
    keeper_link: Link,
    callers: Arc<Callers>,
    operator: Arc<Operator>,
    cures: Vec<(u64, Cure)>,
    waves: u64,
    zones: usize,
}

impl Play {
    pub fn new(seed: u64, size: Size) -> Self {
        Self {
            seed,
            size,
            runtime: tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap(),
            hub: Hub::start().unwrap(),
            ledger: Arc::new(Ledger::new()),
            folder: tempfile::tempdir().unwrap(),
        }
    }

    /// What was broken; logs of a run that broke something are kept.
    pub fn run(self, length: Duration) -> Vec<String> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let length_ms = length.as_millis() as u64;
        let mut plan = plan(&mut rng, self.size, length_ms);
        plan.extend(zone_cuts(&mut rng, self.size, length_ms));
        plan.sort_by_key(|(at_ms, _)| *at_ms);
        self.go(plan, length)
    }

    /// No faults; prints what the control instances took.
    pub fn measure(self, length: Duration) {
        let broken = self.go(Vec::new(), length);
        println!("broken: {broken:?}");
    }

    fn go(self, plan: Vec<(u64, Fault)>, length: Duration) -> Vec<String> {
        let Self {
            seed,
            size,
            runtime,
            hub,
            ledger,
            folder,
        } = self;
        // Everything but the programs themselves runs in one thread of its own.
        let handle = runtime.handle().clone();
        let (end, ended) = tokio::sync::oneshot::channel::<()>();
        let world = std::thread::spawn(move || {
            let _ = runtime.block_on(ended);
        });
        let entered = handle.enter();
        let mut stage = Stage::set(&hub, &ledger, folder.path(), size);
        stage.open(seed, size, &handle);
        stage.play(plan, &handle, length);
        let (starts, _) = ledger.counts();
        for control in &stage.site.controls {
            if let Some(ms) = control.process.processor_ms() {
                let name = &control.process.name;
                println!("{name}: {ms} ms of processor time, {starts} starts in all");
            }
        }
        stage.close(&handle);
        let (starts, completed) = ledger.counts();
        println!("seed {seed}: {starts} starts, {completed} jobs completed");
        drop(stage);
        drop(entered);
        drop(end);
        world.join().unwrap();
        let broken = ledger.take_broken();
        if !broken.is_empty() {
            println!("seed {seed}: logs are kept in {}", folder.keep().display());
        }
        broken
    }
}

impl Stage {
    fn set(hub: &Hub, ledger: &Arc<Ledger>, folder: &std::path::Path, size: Size) -> Self {
        let site = Site::new(hub, folder, size);
        let controls = site.control_addresses();
        let fleet = Fleet::start(
            Arc::clone(ledger),
            hub,
            size.workers,
            size.zones,
            &POOLS,
            controls.clone(),
        );
        let (keeper, target) = Keeper::start(&fleet);
        let keeper_link = hub.link(site.keeper_address(), target).unwrap();
        let entries = site.entry_addresses().into_iter().map(|address| Entry {
            address,
            faulty_until_ms: 0.into(),
        });
        let callers = Arc::new(Callers {
            ledger: Arc::clone(ledger),
            entries: entries.collect(),
            stop: AtomicBool::new(false),
        });
        let operator = Arc::new(Operator {
            ledger: Arc::clone(ledger),
            controls,
            keeper,
            stop: AtomicBool::new(false),
            open_waves: 0.into(),
        });
        Self {
            site,
            fleet,
            keeper_link,
            callers,
            operator,
            cures: Vec::new(),
            waves: 0,
            zones: size.zones,
        }
    }

    /// Starts all processes, the configuration, and the traffic.
    fn open(&mut self, seed: u64, size: Size, handle: &tokio::runtime::Handle) {
        self.site
            .all()
            .for_each(|instance| instance.process.start());
        let operator = Arc::clone(&self.operator);
        let first = handle.spawn(async move { operator.configure(1, 0).await });
        assert!(
            wait(handle, first),
            "the first configuration is acknowledged"
        );
        for at in 0..size.callers as u64 {
            handle.spawn(Arc::clone(&self.callers).call(seed * 1_000 + at));
        }
        for at in 0..2 {
            handle.spawn(Arc::clone(&self.callers).lasting(seed * 1_000 + 500 + at));
        }
        handle.spawn(Arc::clone(&self.operator).change(seed));
        handle.spawn(Arc::clone(&self.operator).read(seed + 1));
    }

    fn play(&mut self, plan: Vec<(u64, Fault)>, handle: &tokio::runtime::Handle, length: Duration) {
        let mut plan = VecDeque::from(plan);
        let began = Instant::now();
        while began.elapsed() < length && !self.fleet.ledger.is_broken() {
            let now_ms = began.elapsed().as_millis() as u64;
            while plan.front().is_some_and(|(at, _)| *at <= now_ms)
                && let Some((_, fault)) = plan.pop_front()
            {
                println!("{now_ms} ms: {fault:?}");
                self.strike(now_ms, fault, handle);
            }
            self.cure(now_ms);
            self.watch();
            std::thread::sleep(LOOK);
        }
        self.cure(u64::MAX);
    }

    fn strike(&mut self, now_ms: u64, fault: Fault, handle: &tokio::runtime::Handle) {
        let for_ms = match fault {
            Fault::KillInstance { at, for_ms } => {
                self.doubt(at, for_ms);
                self.instance(at).process.kill();
                self.later(now_ms + for_ms, Cure::Start(at));
                for_ms
            }
            Fault::KillAllControls { for_ms } => {
                for control in &mut self.site.controls {
                    control.process.kill();
                }
                self.later(now_ms + for_ms, Cure::StartAllControls);
                for_ms
            }
            Fault::PauseInstance { at, for_ms } => {
                self.doubt(at, for_ms);
                self.instance(at).process.pause();
                self.later(now_ms + for_ms, Cure::Resume(at));
                for_ms
            }
            Fault::TerminateInstance { at } => {
                let instance = self.instance(at);
                let was_up = instance.process.is_up();
                let status = instance.process.terminate();
                let name = instance.process.name.clone();
                if was_up && !status.is_some_and(|s| s.success()) {
                    let line = format!("{name}: a planned stop ended with {status:?}");
                    self.fleet.ledger.broken(line);
                }
                self.later(now_ms, Cure::Start(at));
                0
            }
            Fault::LoseDisk { control } => {
                let process = &mut self.site.controls[control].process;
                process.kill();
                process.wipe();
                self.later(now_ms, Cure::Start(control));
                0
            }
            Fault::StepClock { control, by_ms } => {
                self.site.controls[control].process.step_clock(by_ms);
                0
            }
            Fault::DelayLinks { at, by_ms, for_ms } => {
                let faults = LinkFaults {
                    delay_ms: by_ms,
                    ..LinkFaults::default()
                };
                self.links(now_ms, at, &faults, for_ms)
            }
            Fault::CutLinks { at, for_ms } => {
                let faults = LinkFaults {
                    forward: Flow::Hold,
                    ..LinkFaults::default()
                };
                self.links(now_ms, at, &faults, for_ms)
            }
            Fault::ResetLinks { at } => {
                self.doubt(at, 0);
                self.instance(at).reset_links();
                0
            }
            Fault::SilenceLinks { at } => {
                self.doubt(at, 0);
                self.instance(at).silence_links();
                0
            }
            Fault::CutZone { zone, for_ms } => {
                self.set_zone(zone, &LinkFaults::cut(), for_ms);
                self.later(now_ms + for_ms, Cure::Zone(zone));
                for_ms
            }
            Fault::CrashWorker { at, for_ms } => {
                if let Some(pool) = self.fleet.end(at, None) {
                    self.fleet.link(at).set(LinkFaults::refuse());
                    self.fleet.link(at).reset_open();
                    self.later(now_ms + for_ms, Cure::BeginWorker(at, pool));
                }
                for_ms
            }
            Fault::HoldWorker { at, for_ms } => {
                self.fleet.link(at).set(LinkFaults::cut());
                self.later(now_ms + for_ms, Cure::Worker(at));
                for_ms
            }
            Fault::SilenceWorker { at } => {
                self.fleet.link(at).silence_open();
                0
            }
            Fault::WorkerFailsAll { at, for_ms } => {
                self.fleet.set_sick(at, Sickness::FailsAll);
                self.later(now_ms + for_ms, Cure::Well(at));
                for_ms
            }
            Fault::WorkerStandsStill { at, for_ms } => {
                self.fleet.set_sick(at, Sickness::StandsStill);
                self.later(now_ms + for_ms, Cure::Well(at));
                for_ms
            }
            Fault::HoldKeeper { for_ms } => {
                self.keeper_link.set(LinkFaults::cut());
                self.later(now_ms + for_ms, Cure::Keeper);
                for_ms
            }
            Fault::SilenceKeeper => {
                self.keeper_link.silence_open();
                0
            }
            Fault::StartWave {
                first,
                machines,
                down_max,
            } => {
                self.waves += 1;
                let count = self.fleet.len();
                let machines = (first..first + machines).map(|at| format!("m-{}", at % count));
                let operator = Arc::clone(&self.operator);
                handle.spawn(operator.wave(self.waves, machines.collect(), down_max));
                0
            }
        };
        // What an order finds may be long past: of any control instance, at any worker.
        let workers = 0..self.fleet.len();
        workers.for_each(|at| self.fleet.doubt(at, for_ms));
    }

    fn links(&mut self, now_ms: u64, at: usize, faults: &LinkFaults, for_ms: u64) -> u64 {
        self.doubt(at, for_ms);
        self.instance(at).set_links(faults);
        self.later(now_ms + for_ms, Cure::Links(at));
        for_ms
    }

    /// Sets the links to all instances and workers of a zone.
    fn set_zone(&mut self, zone: usize, faults: &LinkFaults, for_ms: u64) {
        let zones = self.zones;
        let (controls, entries) = (self.site.controls.len(), self.site.entries.len());
        let instances = (0..controls).filter(|at| at % zones == zone).chain(
            (0..entries)
                .filter(|at| at % zones == zone)
                .map(|at| controls + at),
        );
        for at in instances {
            self.doubt(at, for_ms);
            self.instance(at).set_links(faults);
        }
        for at in (0..self.fleet.len()).filter(|at| at % zones == zone) {
            self.fleet.link(at).set(faults.clone());
        }
    }

    fn later(&mut self, at_ms: u64, cure: Cure) {
        self.cures.push((at_ms, cure));
    }

    fn cure(&mut self, now_ms: u64) {
        let cures = std::mem::take(&mut self.cures);
        let (due, left): (Vec<_>, Vec<_>) = cures.into_iter().partition(|(at, _)| *at <= now_ms);
        self.cures = left;
        for (_, cure) in due {
            match cure {
                Cure::Start(at) => self.instance(at).process.start(),
                Cure::StartAllControls => {
                    let controls = self.site.controls.iter_mut();
                    controls.for_each(|control| control.process.start());
                }
                Cure::Resume(at) => self.instance(at).process.resume(),
                Cure::Links(at) => self.instance(at).set_links(&LinkFaults::default()),
                Cure::Zone(zone) => self.set_zone(zone, &LinkFaults::default(), 0),
                Cure::BeginWorker(at, pool) => {
                    self.fleet.link(at).heal();
                    self.fleet.begin(at, &pool);
                }
                Cure::Worker(at) => self.fleet.link(at).heal(),
                Cure::Well(at) => self.fleet.set_sick(at, Sickness::None),
                Cure::Keeper => self.keeper_link.heal(),
            }
        }
    }

    /// Processes that ended by themselves; none should.
    fn watch(&mut self) {
        let ledger = Arc::clone(&self.fleet.ledger);
        for instance in self.site.all() {
            if let Some(status) = instance.process.watch() {
                let name = &instance.process.name;
                ledger.broken(format!("{name} ended by itself with {status}"));
            }
        }
    }

    /// Everything is healed; all that was accepted comes to its end.
    fn close(&mut self, handle: &tokio::runtime::Handle) {
        let ledger = Arc::clone(&self.fleet.ledger);
        self.callers.stop.store(true, Ordering::Relaxed);
        let end = Instant::now() + LIMIT;
        let waves = &Arc::clone(&self.operator).open_waves;
        loop {
            let (left, waves) = (ledger.unfinished(), waves.load(Ordering::Relaxed));
            if ledger.is_broken() || (left.is_empty() && waves == 0) {
                break;
            }
            self.watch();
            if Instant::now() > end {
                ledger.broken(format!("{waves} waves and tasks are not done: {left:?}"));
            }
            std::thread::sleep(LOOK);
        }
        self.operator.stop.store(true, Ordering::Relaxed);
        let newest = ledger.newest_acknowledged();
        for at in 0..self.site.controls.len() {
            while !ledger.is_broken() {
                let operator = Arc::clone(&self.operator);
                let read = handle.spawn(async move { operator.read_at(at).await });
                if wait(handle, read) >= newest {
                    break;
                }
                if Instant::now() > end {
                    ledger.broken(format!("control {at} does not read version {newest:?}"));
                }
                std::thread::sleep(LOOK);
            }
        }
    }

    fn instance(&mut self, at: usize) -> &mut crate::site::Instance {
        let controls = self.site.controls.len();
        match at.checked_sub(controls) {
            None => &mut self.site.controls[at],
            Some(entry) => &mut self.site.entries[entry],
        }
    }

    /// Requests at an entry instance may break off until some time after a fault.
    fn doubt(&mut self, at: usize, for_ms: u64) {
        if let Some(entry) = at.checked_sub(self.site.controls.len()) {
            let until_ms = self.fleet.ledger.now_ms() + for_ms + FAULT_NEAR_MS;
            let near = &self.callers.entries[entry].faulty_until_ms;
            near.fetch_max(until_ms, Ordering::Relaxed);
        }
    }
}

/// Waits in the main thread for what runs in the other.
fn wait<T: Send + 'static>(handle: &tokio::runtime::Handle, task: tokio::task::JoinHandle<T>) -> T {
    handle.block_on(task).unwrap()
}
