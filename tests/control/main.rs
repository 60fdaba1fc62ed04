//! Tests of control instances without a network: simulated time, fake workers and seeded
//! faults. The guarantees are checked at every start and end of a task.
#![allow(missing_docs, clippy::unwrap_used)]

#[path = "../naive_disk/mod.rs"]
mod naive_disk;

mod addresses;
mod advice;
mod arbitration;
mod backlog;
mod calls;
mod cancelled;
mod capacity;
mod carriers;
mod driver;
mod estimates;
mod failing_tasks;
mod failures;
mod faults;
mod fleet_size;
mod forecast;
mod forgotten;
mod held;
mod ineffective_starts;
mod lapsing;
mod late_starts;
mod late_work;
mod leases;
mod long_tasks;
mod loop_meter;
mod members;
mod overload;
mod pending;
mod policy;
mod pool;
mod random;
mod reconfigured;
mod recurring;
mod relay;
mod restarts;
mod scheduler;
mod sizes;
mod slow_days;
mod snapshots;
mod specs;
mod throttle;
mod upkeep;
mod voters;
mod waits;
mod worker;
mod workspaces;
mod world;
mod zoned;
mod zones;
