//! Tests of the replicated state: rows, claims, patient jobs and snapshots under
//! races, repeated commands and lost entry instances, also compared with naive
//! models. Seeds are fixed.
#![allow(missing_docs, clippy::unwrap_used)]

mod claims;
mod jobs;
mod rows;
mod snapshot;

use rosemarygauge::maintenance::FleetCommand;
use rosemarygauge::model::*;
use rosemarygauge::state::*;

/// Time of the first command, in milliseconds of Unix time.
pub const START_UNIX_MS: u64 = 1_700_000_000_000;

/// A state and the sequence number of the latest command, which all entry
/// instances share.
#[derive(Clone, Default)]
pub struct Harness {
    pub state: State,
    pub sequence: u64,
}

impl Harness {
    pub fn command(&mut self, entry: &str, at_ms: u64, change: Change) -> Command {
        self.sequence += 1;
        let id = CommandId {
            entry: entry.into(),
            incarnation: 1,
            sequence: self.sequence,
        };
        Command {
            id,
            at_unix_ms: START_UNIX_MS + at_ms,
            change,
        }
    }

    pub fn apply(&mut self, entry: &str, at_ms: u64, change: Change) -> Reply {
        let command = self.command(entry, at_ms, change);
        self.state.apply(&command)
    }

    /// A state with one pool with one service `scoring`, two instances of 8 slots
    /// in each of the zones `a` and `b`, and a budget of four available instances.
    pub fn with_pool() -> Self {
        let mut harness = Self::default();
        let pool = Pool {
            name: "scoring".into(),
            budget: Budget {
                min_available: 4,
                survive: FailureDomain::None,
            },
            services: vec![Service {
                name: "scoring".into(),
                class: Class::Urgent,
                demand: Demand {
                    cores: 1,
                    memory_mib: 512,
                    accelerators: 0,
                    run_ms: 10,
                },
            }],
        };
        harness.fleet(FleetCommand::PutPool { pool });
        for (name, zone) in [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")] {
            let instance: InstanceName = name.into();
            harness.fleet(FleetCommand::Join {
                instance: instance.clone(),
                zone: zone.into(),
                rack: name.into(),
                pool: "scoring".into(),
            });
            if name == "b2" {
                // Without a reported capacity it counts as large as the largest
                // instance that reported one.
                continue;
            }
            let capacity = Capacity {
                cores: 16,
                memory_mib: 65_536,
                accelerators: 0,
                slots: 8,
                connections: 64,
            };
            assert_eq!(
                harness.apply("e", 0, Change::Capacity { instance, capacity }),
                Reply::Accepted
            );
        }
        harness
    }

    fn fleet(&mut self, command: FleetCommand) {
        let change = Change::Fleet {
            change: None,
            by: "test".into(),
            command,
        };
        assert_eq!(self.apply("e", 0, change), Reply::Accepted);
    }
}

pub fn service_row(zone: &str, version: u64, weight: u32, limit: u32) -> RowChange {
    RowChange {
        key: RowKey::Service {
            service: "scoring".into(),
            zone: zone.into(),
        },
        expected_version: version,
        row: Some(Row {
            weight,
            limit_in_flight: limit,
            queue_ms: 500,
        }),
    }
}

pub fn put(id: &str, rows: Vec<RowChange>) -> Change {
    Change::PutRows {
        change: id.into(),
        operator: "samira".into(),
        rows,
        confirm_jump: false,
    }
}
