//! Fakes around the controller: machines that drain, reboot, die and restart on
//! order, and entry instances that acknowledge or stay silent. Time is a number.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::maintenance::{
    Controller, ControllerAction, ControllerSettings, EntryAck, Fleet, FleetCommand, FleetRefusal,
    InstanceSeen, Observed, PlatformOrder,
};
use crate::model::{
    Capacity, DesiredState, EntryName, Instance, InstanceName, UpstreamReport, UpstreamState,
};

/// Time between two steps, and between two reports of a machine.
pub const STEP_MS: u64 = 1_000;

/// Unix time at which every world starts.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// Time a sick machine serves before the dispatchers notice.
const SICK_AFTER_MS: u64 = 20_000;

/// A fleet with its controller, and fakes for all that is around them.
pub struct World {
    /// The fleet.
    pub fleet: Fleet,
    /// The leader's controller.
    pub controller: Controller,
    /// The present time.
    pub now_ms: u64,
    /// The machines by name.
    pub machines: BTreeMap<InstanceName, Machine>,
    /// Entry instances that neither hear the log nor are heard.
    pub silent: BTreeSet<EntryName>,
    /// How far the leader's wall clock is ahead.
    pub clock_error_ms: u64,
    /// Machines that run but are not heard.
    pub muted: BTreeSet<InstanceName>,
    /// Called with the fleet after each command that it took.
    pub audit: fn(&World, &FleetCommand),
    /// Commands the fleet took, refused, and that were ordered of machines.
    pub counts: Counts,
    settings: ControllerSettings,
    observed: Observed,
    permits: BTreeMap<InstanceName, Permit>,
    /// The index of each instance's last drain.
    drained_at: BTreeMap<InstanceName, u64>,
    rng: ChaCha8Rng,
}

/// How often what happened.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Commands taken.
    pub accepted: u32,
    /// Commands refused.
    pub refused: u32,
    /// Processor time of the controller's steps; for measurement only.
    pub controller_time: Duration,
    /// Instances that changed pool.
    pub moves: u32,
    /// Instances absent at once by decision, at most.
    pub absent_peak: u32,
    /// Instances absent by decision, times how long, in milliseconds.
    pub absent_instance_ms: u64,
}

/// The last report with `Serving` that a silent entry instance may have heard.
#[derive(Clone, Copy, Debug)]
struct Permit {
    epoch: u64,
    until_ms: u64,
}

/// A fake machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Time its running work needs to end.
    pub drain_ms: u64,
    /// Time from an order until it serves again.
    pub absence_ms: u64,
    /// What becomes of it.
    pub fate: RestartOutcome,
    /// What it does.
    pub state: MachineState,
    /// Times it was restarted with requests running.
    pub cut_off: u32,
    incarnation: u64,
    sequence: u64,
    epoch: u64,
    since_ms: u64,
}

/// What becomes of a machine that is restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartOutcome {
    /// It comes back whole.
    Returns,
    /// It never comes back.
    Never,
    /// It comes back, and every task that starts there fails.
    Sick,
}

/// What a machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Takes requests.
    Serving,
    /// Finishes what runs.
    Draining {
        /// When nothing runs any more.
        until_ms: u64,
    },
    /// Leaves for good, once what runs has ended.
    Leaving {
        /// When nothing runs any more.
        until_ms: u64,
    },
    /// Restarts.
    Restarting {
        /// When it serves again.
        until_ms: u64,
    },
    /// Lost until it is ordered to restart.
    Dead,
}

impl World {
    /// A world of the fleet, all of it serving, with three entry instances.
    pub fn new(fleet: Fleet, seed: u64) -> Self {
        let settings = ControllerSettings::default();
        let mut world = Self {
            controller: Controller::new(settings, 0),
            now_ms: 0,
            machines: BTreeMap::new(),
            silent: BTreeSet::new(),
            clock_error_ms: 0,
            muted: BTreeSet::new(),
            audit: |_, _| {},
            counts: Counts::default(),
            settings,
            observed: Observed::default(),
            permits: BTreeMap::new(),
            drained_at: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            fleet,
        };
        for entry in ["entry-a", "entry-b", "entry-c"] {
            let ack = EntryAck::default();
            world.observed.entries.insert(entry.into(), ack);
        }
        for name in world.fleet.instances().keys() {
            world.machines.insert(name.clone(), Machine::new());
        }
        world
    }

    /// Draws each machine's true times around `drain_ms` and `absence_ms`.
    pub fn draw(&mut self, spread_percent: u64, times: impl Fn(&Instance) -> (u64, u64)) {
        for instance in self.fleet.instances().values() {
            let (drain_ms, absence_ms) = times(instance);
            let percent = self
                .rng
                .random_range(100 - spread_percent..=100 + spread_percent);
            if let Some(machine) = self.machines.get_mut(&instance.name) {
                machine.drain_ms = drain_ms * percent / 100;
                machine.absence_ms = absence_ms * percent / 100;
            }
        }
    }

    /// A new leader takes over, with nothing but the fleet.
    pub fn change_leader(&mut self) {
        self.controller = Controller::new(self.settings, self.now_ms);
        self.observed.instances.clear();
    }

    /// The wall clock.
    pub fn unix_ms(&self) -> u64 {
        START_UNIX_MS + self.now_ms + self.clock_error_ms
    }

    /// Applies a command as the log would.
    ///
    /// # Errors
    /// The fleet's refusal.
    pub fn apply(&mut self, command: &FleetCommand) -> Result<(), FleetRefusal> {
        let at_unix_ms = self.unix_ms();
        let result = self.fleet.apply(at_unix_ms, command);
        self.observed.applied_index += 1;
        match &result {
            Ok(()) => {
                self.counts.accepted += 1;
                if let Some(name) = drained(command) {
                    let index = self.observed.applied_index;
                    self.drained_at.insert(name.clone(), index);
                }
                self.counts.moves += u32::from(matches!(command, FleetCommand::FinishMove { .. }));
                (self.audit)(self, command);
            }
            Err(_) => self.counts.refused += 1,
        }
        result
    }

    /// Whether an entry instance that does not know of the instance's last drain
    /// could still dispatch to it under the epoch.
    pub fn is_permitted(&self, instance: &InstanceName, epoch: u64) -> bool {
        let permit = self.permits.get(instance);
        let valid = |p: &Permit| p.epoch == epoch && p.until_ms > self.now_ms;
        let drained_at = self.drained_at.get(instance).copied().unwrap_or(0);
        let mut entries = self.observed.entries.values();
        permit.is_some_and(valid) && entries.any(|ack| ack.applied_index < drained_at)
    }

    /// A machine is lost until it is ordered to restart.
    pub fn kill(&mut self, name: &InstanceName) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.state = MachineState::Dead;
        }
    }

    /// What a draining instance waits for.
    pub fn waits_for(&self, name: &InstanceName) -> Option<String> {
        self.controller.waits_for(self.now_ms, name, &self.observed)
    }

    /// Lets one step of time pass.
    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.observed.unix_ms = self.unix_ms();
        self.report();
        self.acknowledge();
        let start = Instant::now();
        let actions = self
            .controller
            .step(self.now_ms, &self.fleet, &self.observed);
        self.counts.controller_time += start.elapsed();
        for action in actions {
            match action {
                ControllerAction::Propose(command) => {
                    let _refused = self.apply(&command);
                }
                ControllerAction::Order {
                    instance,
                    incarnation,
                    order,
                } => self.order(&instance, incarnation, order),
            }
        }
        self.count();
    }

    /// Steps until `done` or until the time is over; whether it was done.
    pub fn run_until(&mut self, limit_ms: u64, done: impl Fn(&World) -> bool) -> bool {
        let end_ms = self.now_ms + limit_ms;
        while self.now_ms < end_ms {
            if done(self) {
                return true;
            }
            self.step();
        }
        done(self)
    }

    fn report(&mut self) {
        let lease_ms = self.settings.dispatch_lease_ms;
        for (name, machine) in &mut self.machines {
            let Some(instance) = self.fleet.instances().get(name) else {
                continue;
            };
            machine.advance(self.now_ms);
            if !machine.is_up() || self.muted.contains(name) {
                continue;
            }
            let report = machine.report(instance, self.now_ms);
            if report.standing == UpstreamState::Serving {
                let until_ms = self.now_ms + lease_ms;
                let epoch = report.pool_epoch;
                self.permits
                    .insert(name.clone(), Permit { epoch, until_ms });
            }
            let seen = InstanceSeen {
                report,
                heard_ms: self.now_ms,
                sick: machine.is_sick(self.now_ms),
            };
            self.observed.instances.insert(name.clone(), seen);
            machine.hear_reply(instance);
        }
    }

    fn acknowledge(&mut self) {
        for (entry, ack) in &mut self.observed.entries {
            if !self.silent.contains(entry) {
                ack.applied_index = self.observed.applied_index;
            }
        }
    }

    fn order(&mut self, name: &InstanceName, incarnation: u64, order: PlatformOrder) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let epoch = self.fleet.instances().get(name).map_or(0, |i| i.epoch);
        // An order for an older start is void; one of which nothing was heard
        // (0) goes to the platform, which knows its machines.
        if incarnation == machine.incarnation || incarnation == 0 {
            machine.obey(order, epoch, self.now_ms);
        }
    }

    fn count(&mut self) {
        let absent = u32::try_from(self.fleet.absent().len()).unwrap_or(u32::MAX);
        let lent = self.fleet.loans().keys();
        let lent = lent
            .filter(|name| !self.fleet.absent().contains(*name))
            .count();
        let held = absent + u32::try_from(lent).unwrap_or(u32::MAX);
        self.counts.absent_peak = self.counts.absent_peak.max(held);
        self.counts.absent_instance_ms += u64::from(held) * STEP_MS;
    }
}

impl Machine {
    fn new() -> Self {
        Self {
            drain_ms: 60_000,
            absence_ms: 240_000,
            fate: RestartOutcome::Returns,
            state: MachineState::Serving,
            cut_off: 0,
            incarnation: 1,
            sequence: 0,
            epoch: 1,
            since_ms: 0,
        }
    }

    fn is_up(&self) -> bool {
        match self.state {
            MachineState::Serving
            | MachineState::Draining { .. }
            | MachineState::Leaving { .. } => true,
            MachineState::Restarting { .. } | MachineState::Dead => false,
        }
    }

    fn is_sick(&self, now_ms: u64) -> bool {
        let served_ms = now_ms.saturating_sub(self.since_ms);
        self.fate == RestartOutcome::Sick && self.incarnation > 1 && served_ms >= SICK_AFTER_MS
    }

    fn advance(&mut self, now_ms: u64) {
        let MachineState::Restarting { until_ms } = self.state else {
            return;
        };
        if now_ms >= until_ms {
            self.state = MachineState::Serving;
            self.incarnation += 1;
            self.sequence = 0;
            self.epoch = 0;
            self.since_ms = now_ms;
        }
    }

    fn report(&mut self, instance: &Instance, now_ms: u64) -> UpstreamReport {
        self.sequence += 1;
        let running = match self.state {
            MachineState::Draining { until_ms } | MachineState::Leaving { until_ms } => {
                u32::from(now_ms < until_ms)
            }
            _ => RUNNING,
        };
        UpstreamReport {
            instance: instance.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            address: String::new(),
            zone: instance.zone.clone(),
            rack: instance.rack.clone(),
            pool: instance.pool.clone(),
            capacity: CAPACITY,
            pool_epoch: self.epoch,
            standing: match self.state {
                MachineState::Draining { .. } => UpstreamState::Draining,
                MachineState::Leaving { .. } => UpstreamState::Leaving,
                _ => UpstreamState::Serving,
            },
            running,
            usage_age_ms: 0,
        }
    }

    /// The reply to a report tells the machine its epoch and its duty.
    fn hear_reply(&mut self, instance: &Instance) {
        self.epoch = instance.epoch;
        let leaves = matches!(self.state, MachineState::Leaving { .. });
        if instance.duty == DesiredState::Serving && !leaves {
            self.state = MachineState::Serving;
        }
    }

    fn obey(&mut self, order: PlatformOrder, epoch: u64, now_ms: u64) {
        match (order, self.state) {
            (PlatformOrder::Drain, MachineState::Serving) => {
                self.epoch = epoch;
                let until_ms = now_ms + self.drain_ms;
                self.state = MachineState::Draining { until_ms };
            }
            (PlatformOrder::Drain, _) | (_, MachineState::Restarting { .. }) => {}
            (PlatformOrder::Stop, _) => self.state = MachineState::Dead,
            (PlatformOrder::Reboot | PlatformOrder::Replace, state) => {
                self.cut_off += u32::from(match state {
                    MachineState::Serving => true,
                    MachineState::Draining { until_ms } => now_ms < until_ms,
                    _ => false,
                });
                let until_ms = match self.fate {
                    RestartOutcome::Never => u64::MAX,
                    RestartOutcome::Returns | RestartOutcome::Sick => now_ms + self.absence_ms,
                };
                self.state = MachineState::Restarting { until_ms };
            }
        }
    }
}

/// Requests that run on a machine while it serves.
const RUNNING: u32 = 3;

/// A worker of today's size.
const CAPACITY: Capacity = Capacity {
    cores: 16,
    memory_mib: 65_536,
    accelerators: 0,
    slots: 8,
    connections: 64,
};

/// The instance that a command drains.
fn drained(command: &FleetCommand) -> Option<&InstanceName> {
    match command {
        FleetCommand::Drain { instance }
        | FleetCommand::StartMove { instance, .. }
        | FleetCommand::Lend { instance, .. }
        | FleetCommand::BeginAbsence { instance, .. } => Some(instance),
        _ => None,
    }
}
