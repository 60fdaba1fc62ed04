use std::net::SocketAddr;

use super::FakeWorker;
use crate::control::{Machine, MachinePhase, Phase, Report};
use crate::jobs::Resources;
use crate::model::{InstanceName, PoolName, RackName, ZoneName};

/// Machines are told apart by their ports.
const FIRST_PORT: u16 = 1_000;

/// An emulated machine.
#[derive(Clone, Debug)]
pub struct FakeMachine {
    /// Its place among all machines.
    pub place: u16,
    /// The pool that it is in or moves to.
    pub pool: PoolName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// All its room.
    pub capacity: Resources,
    /// What it does.
    pub state: MachineState,
    /// Workers that it had so far.
    pub incarnations: u32,
}

/// What an emulated machine does.
#[derive(Clone, Debug)]
pub enum MachineState {
    /// A worker runs on it.
    Up(FakeWorker),
    /// It is off, in standby.
    Off,
    /// It is away until something is over.
    Away(MachinePhase),
}

impl FakeMachine {
    /// One that is off.
    pub fn off(
        place: u16,
        pool: PoolName,
        zone: ZoneName,
        rack: RackName,
        room: Resources,
    ) -> Self {
        Self {
            place,
            pool,
            zone,
            rack,
            capacity: room,
            state: MachineState::Off,
            incarnations: 0,
        }
    }

    /// Its name; stays through moves and upkeeps.
    pub fn name(&self) -> String {
        format!("m-{}", self.place)
    }

    /// The place of the machine at this address.
    pub fn place_of(address: SocketAddr) -> Option<usize> {
        let place = address.port().checked_sub(FIRST_PORT)?;
        Some(usize::from(place))
    }

    /// Its next worker begins.
    pub fn boot(&mut self) {
        let name = match self.incarnations {
            0 => format!("i-{}", self.place),
            before => format!("i-{}.{before}", self.place),
        };
        self.incarnations += 1;
        self.state = MachineState::Up(FakeWorker::new(InstanceName::from(name)));
    }

    /// Its worker.
    pub fn worker(&self) -> Option<&FakeWorker> {
        match &self.state {
            MachineState::Up(worker) => Some(worker),
            MachineState::Off | MachineState::Away(_) => None,
        }
    }

    /// Its worker, to be changed.
    pub fn worker_mut(&mut self) -> Option<&mut FakeWorker> {
        match &mut self.state {
            MachineState::Up(worker) => Some(worker),
            MachineState::Off | MachineState::Away(_) => None,
        }
    }

    /// Whether it is in standby for good, so that it costs nothing.
    pub fn is_off(&self) -> bool {
        matches!(self.state, MachineState::Off)
    }

    /// What its worker says of itself; none without one.
    pub fn report(&self, now_ms: u64) -> Option<Report> {
        let worker = self.worker()?;
        Some(Report {
            worker: worker.name.clone(),
            machine: Some(self.name()),
            pool: self.pool.clone(),
            address: SocketAddr::from(([10, 1, 0, 1], FIRST_PORT + self.place)),
            zone: self.zone.clone(),
            rack: Some(self.rack.clone()),
            labels: vec![self.zone.to_string(), self.rack.to_string()],
            capacity: self.capacity,
            phase: Phase::Ready,
            sequence: now_ms,
        })
    }

    /// How its keeper lists it.
    pub fn listed(&self) -> Machine {
        let phase = match &self.state {
            MachineState::Up(_) | MachineState::Off => MachinePhase::Up,
            MachineState::Away(phase) => *phase,
        };
        Machine {
            zone: None,
            name: self.name(),
            pool: self.pool.clone(),
            phase,
            worker: self.worker().map(|worker| worker.name.clone()),
        }
    }
}
