//! Policy lab: whole fleets with their callers, played in simulated time against the
//! real decisions of a control instance.
//!
//! An [`Emulator`] plays machines, workers, their keeper and the disk of one control
//! instance; it hands out events and carries out what the instance wants done. A [`Play`]
//! adds callers and faults, both drawn from a seed before the first event, so that two
//! policies meet the same world; a [`Comparison`] plays many seeds under two policies and
//! tells their paired differences. A [`Ledger`] checks the promises at every start. No
//! network, no clock but the simulated one: the same seed gives the same figures.

mod arrival;
mod arrivals;
mod comparison;
mod disk;
mod due;
mod emulator;
mod interval;
mod ledger;
mod machine;
mod outcome;
mod play;
mod rule_break;
mod running_task;
mod seeds;
mod spread;
mod task_truth;
mod trouble;
mod worker;
mod workload;
mod workload_fault;

pub use arrival::Arrival;
pub use arrivals::Arrivals;
pub use comparison::{Comparison, Row};
pub use disk::Disk;
pub use due::Due;
pub use emulator::{Emulator, Keeper};
pub use interval::{Interval, paired};
pub use ledger::{Counts, Ledger, TaskRun};
pub use machine::{FakeMachine, MachineState};
pub use outcome::Outcome;
pub use play::Play;
pub use rule_break::RuleBreak;
pub use running_task::RunningTask;
pub use seeds::Seeds;
pub use spread::Spread;
pub use task_truth::TaskTruth;
pub use trouble::{Trouble, troubles};
pub use worker::FakeWorker;
pub use workload::{
    Demand, FaultsSpec, FleetSpec, LeaderLoss, PoolSpec, QueueSpec, RackLoss, StandbySpec,
    StepSpec, TurnPace, WaveSpec, Workload,
};
pub use workload_fault::WorkloadFault;
