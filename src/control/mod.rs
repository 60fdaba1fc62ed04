//! Control: one leader among the control instances decides where every task runs.
//!
//! [`State`] is the replicated state, which [`Change`]s in the log modify. [`Fleet`] is the
//! leader's view of its workers: their clocks, their leases and what runs on them. Each new
//! leader rebuilds it. [`Node`] combines both: it takes events and returns effects, with
//! `now_ms` as an argument. Entry instances and followers forward calls to the leader with
//! a [`Relay`].

mod answer;
mod arrivals;
mod backlog;
mod boottime;
mod call;
mod candidate;
mod capacity;
mod carrier;
mod carriers;
mod change;
mod clock;
mod configuration;
mod configuration_fault;
mod configuration_parts;
mod connection_budget;
mod decision;
mod demand;
mod desk;
mod driver;
mod effect;
mod estimates;
mod event;
mod fleet;
mod forecast;
mod gateway;
mod history;
mod load;
mod loop_meter;
mod machine;
mod machine_list;
mod machine_order;
mod metrics;
mod node;
mod order;
mod peer_message;
mod pending;
mod pending_step;
mod placement;
mod policy;
mod policy_fault;
mod pool_pass;
mod queue;
mod ranking;
mod relay;
mod report;
mod reports;
mod runs;
mod runs_by_worker;
mod sizes;
mod stall;
mod state;
mod throttle;
mod timing;
mod upkeep;
mod wall_clock;
mod wave;
mod worker;
mod worker_link;
mod workers_by_address;

pub use answer::{Answer, Refusal};
pub use arrivals::{Arrivals, JobSize};
pub use boottime::boottime_ms;
pub use call::{Call, Place};
pub use capacity::{Capacity, CapacityInput, Move};
pub use carrier::Carrier;
pub use carriers::Carriers;
pub use change::{Change, Command};
pub use clock::Clock;
pub use configuration::{CONFIGURATION_LIMIT_BYTES, Configuration};
pub use configuration_fault::ConfigurationFault;
pub use configuration_parts::{ConfigurationPart, ConfigurationParts};
pub use connection_budget::{ConnectionBudget, ConnectionPermits, Grant};
pub use decision::Decision;
pub use demand::{PoolDemand, WorkerUse, demand};
pub use desk::{Desk, Incoming, ListenerStatus};
pub use driver::{Driver, ExternalSystems, Links, LocalFuture, Signal};
pub use effect::Effect;
pub use estimates::Estimates;
pub use event::Event;
pub use fleet::Fleet;
pub use forecast::{Forecast, OfferedLoad};
pub use gateway::{Gateway, GatewayEffect};
pub use history::History;
pub use load::Load;
pub use loop_meter::{EventKind, LoopMeter};
pub use machine::{Machine, MachinePhase};
pub use machine_list::MachineList;
pub use machine_order::{MachineOrder, MachineOrderKind, MachineOutcome};
pub use metrics::{Metrics, outcome};
pub use node::{ELECTION_TIMEOUT_MS, Node, NodeSettings};
pub use order::{Ended, Order, OrderKind, OrderOutcome, Rejection, Running};
pub use peer_message::PeerMessage;
pub use placement::{Placement, Scheduler, SchedulerInput};
pub use policy::{
    CarriersPolicy, MovesPolicy, NeedsPolicy, OrderPolicy, PlacementPolicy, Policy, RunsPolicy,
    StandbyPolicy, TurnsPolicy, UpkeepPolicy,
};
pub use policy_fault::PolicyFault;
pub use queue::{Advice, Queue};
pub use ranking::{Rank, Remaining, rank_job};
pub use relay::{Relay, RelayAction};
pub use report::{Phase, Report};
pub use reports::Reports;
pub use runs::{RunLoad, Runs};
pub use runs_by_worker::RunsByWorker;
pub use sizes::{SizeShares, Sizes};
pub use stall::is_stalled;
pub use state::State;
pub use throttle::Throttle;
pub use timing::Timing;
pub use upkeep::{Upkeep, UpkeepInput, UpkeepStep};
pub use wall_clock::WallClock;
pub use wave::Wave;
pub use worker::Worker;
pub use worker_link::{Progress, RunPhase, RunView, WorkerLink};
pub use workers_by_address::WorkersByAddress;
