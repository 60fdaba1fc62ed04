//! Control: one leader among the control instances decides where every task runs.
//!
//! [`State`] is the replicated state, which [`Change`]s in the log modify. [`Fleet`] is the
//! leader's view of its workers: their clocks, their leases and what runs on them. Each new
//! leader rebuilds it. [`Node`] combines both: it takes events and returns effects, with
//! `now_ms` as an argument. Entry instances and followers forward calls to the leader with
//! a [`Relay`].
//!
//! The parts, each of which uses only those above it:
//!
//! | Part | Holds |
//! | --- | --- |
//! | `configurations` | queues, pools and workspaces, and their validation |
//! | `replication` | the replicated state and the statistics in it |
//! | `messages` | calls, answers, events, effects, orders |
//! | `policy`, `clocks` | parameters and time |
//! | `voters` | which control instances vote |
//! | `workers` | the leader's view of its workers |
//! | `placement` | which tasks start where |
//! | `preemption` | which runs are stopped for others |
//! | `capacity` | how many machines each pool has |
//! | `upkeep` | maintenance waves |
//! | `forwarding` | the way of a call to the leader |
//! | `node` | a control instance: the log, the calls, the orders |
//! | `runtime` | the event loop around all of it |

mod capacity;
mod clocks;
mod configurations;
mod forwarding;
mod messages;
mod node;
mod placement;
mod policy;
mod preemption;
mod replication;
mod runtime;
mod upkeep;
mod voters;
mod workers;

pub use capacity::{
    Allotment, Capacity, CapacityInput, Claim, Forecast, MachineList, Move, OfferedLoad, OrderPace,
    PoolDemand, WorkerUse, allot, demand,
};
pub use clocks::{Clock, WallClock, boottime_ms};
pub use configurations::{
    Access, Advice, CONFIGURATION_LIMIT_BYTES, Configuration, ConfigurationFault,
    ConfigurationPart, ConfigurationParts, Credentials, CredentialsFault, KeyDigest, Queue, Quota,
    ResourceTotals, Workspace,
};
pub use forwarding::{Gateway, GatewayEffect, Relay, RelayAction};
pub use messages::{
    Answer, Call, Decision, Effect, Ended, Event, Machine, MachineOrder, MachineOrderKind,
    MachineOutcome, MachinePhase, Order, OrderKind, OrderOutcome, PeerMessage, Place, Presence,
    QuorumStatus, Refusal, Rejection, Running, VoterStatus,
};
pub use node::{ELECTION_TIMEOUT_MS, Node, NodeSettings};
pub use placement::{
    Placement, Rank, Remaining, Scheduler, SchedulerInput, ServiceClass, Timeliness,
    WorkspaceShares, rank_job,
};
pub use policy::{
    ArbitrationPolicy, CarriersPolicy, MovesPolicy, NeedsPolicy, OrderPolicy, PlacementPolicy,
    Policy, PolicyFault, PreemptionPolicy, RunsPolicy, StandbyPolicy, Timing, TurnsPolicy,
    UpkeepPolicy,
};
pub use preemption::{PreemptionInput, Preemptor, Victim};
pub use replication::{
    Arrivals, CancelledIds, Change, Command, Estimates, History, JobMemory, JobSize, Load, Phase,
    Report, RunsByWorker, State, Wave, Worker, WorkerIndex, WorkspaceUsage,
};
pub use runtime::{
    CallBridge, ConnectionBudget, ConnectionPermits, Driver, EventKind, ExternalSystems, Grant,
    Incoming, Links, ListenerStatus, LocalFuture, LoopMeter, Metrics, Signal, outcome,
};
pub use upkeep::{Upkeep, UpkeepInput, UpkeepStep};
pub use voters::{Borne, Location, Member, Spread, Tolerance, VoterPlan, next_voter_change};
pub use workers::{
    Carrier, Carriers, FailedRun, Fleet, LeaseLimits, OUTLIVING_MARGIN_MS, Progress, Reports,
    Restarts, RunLoad, RunPhase, RunView, Runs, SizeShares, Sizes, TaskFaults, Throttle,
    WorkerLink, WorkerStart, is_stalled,
};
