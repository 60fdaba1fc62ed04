//! What it costs to check and accept a whole table, by the size of the fleet.
//!
//! `cargo run --release --example table_check` prints one line for each size:
//! pools with one service each in three availability zones, one row for each
//! service and zone, every row changed at once.

use std::time::Instant;

use rosemarygauge::maintenance::FleetCommand;
use rosemarygauge::model::{
    Budget, Capacity, Class, Demand, FailureDomain, Pool, Row, RowKey, Service, ServiceName,
    ZoneName,
};
use rosemarygauge::state::{Change, Command, CommandId, Reply, RowChange, State};

/// Instances and pools: today, and two that are larger.
const SIZES: [(u32, u32); 3] = [(50, 5), (2_000, 20), (21_000, 70)];

/// Puts timed at each size; the middle one is given.
const PUTS: u32 = 9;

fn main() {
    println!("instances  pools  rows  check and accept us  us a row");
    for (instances, pools) in SIZES {
        println!("{}", line(instances, pools));
    }
}

fn line(instances: u32, pools: u32) -> String {
    let mut bench = Bench::new(instances, pools);
    let mut times: Vec<f64> = (0..PUTS)
        .map(|n| {
            let rows = bench.rows(pools, u64::from(n));
            let started = Instant::now();
            assert!(bench.put(rows) == Reply::Accepted, "the rows are right");
            started.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    times.sort_by(f64::total_cmp);
    let (us, rows) = (times[PUTS as usize / 2], pools * 3);
    let per_row = us / f64::from(rows);
    format!("{instances:<11}{pools:<7}{rows:<6}{us:<21.0}{per_row:.1}")
}

/// A state with the number of its next command.
struct Bench {
    state: State,
    sequence: u64,
}

impl Bench {
    fn new(instances: u32, pools: u32) -> Self {
        let (state, sequence) = (State::default(), 0);
        let mut bench = Self { state, sequence };
        for n in 0..pools {
            bench.fleet(FleetCommand::PutPool { pool: pool(n) });
        }
        for n in 0..instances {
            let name = format!("w{n}");
            bench.fleet(FleetCommand::Join {
                instance: name.as_str().into(),
                zone: zone(n / pools % 3),
                rack: format!("r{}", n / 4).into(),
                pool: format!("p{}", n % pools).into(),
            });
            let capacity = Capacity {
                cores: 16,
                memory_mib: 65_536,
                accelerators: 0,
                slots: 8,
                connections: 64,
            };
            let instance = name.into();
            bench.run(Change::Capacity { instance, capacity });
        }
        bench
    }

    fn rows(&self, pools: u32, version: u64) -> Vec<RowChange> {
        let keys = (0..pools).flat_map(|pool| (0..3).map(move |n| (service(pool), zone(n))));
        keys.map(|(service, zone)| RowChange {
            key: RowKey::Service { service, zone },
            expected_version: version,
            row: Some(Row {
                weight: 33 + version as u32 % 2,
                limit_in_flight: 8,
                queue_ms: 500,
            }),
        })
        .collect()
    }

    fn put(&mut self, rows: Vec<RowChange>) -> Reply {
        self.run(Change::PutRows {
            change: self.sequence.to_string().into(),
            operator: "samira".into(),
            rows,
            confirm_jump: false,
        })
    }

    fn fleet(&mut self, command: FleetCommand) {
        let by = "example".into();
        let change = None;
        self.run(Change::Fleet {
            change,
            by,
            command,
        });
    }

    fn run(&mut self, change: Change) -> Reply {
        self.sequence += 1;
        let id = CommandId {
            entry: "e".into(),
            incarnation: 1,
            sequence: self.sequence,
        };
        let at_unix_ms = 0;
        self.state.apply(&Command {
            id,
            at_unix_ms,
            change,
        })
    }
}

fn pool(n: u32) -> Pool {
    let demand = Demand {
        cores: 1,
        memory_mib: 512,
        accelerators: 0,
        run_ms: 100,
    };
    Pool {
        name: format!("p{n}").into(),
        budget: Budget {
            min_available: 4,
            survive: FailureDomain::None,
        },
        services: vec![Service {
            name: service(n),
            class: Class::Urgent,
            demand,
        }],
    }
}

fn service(n: u32) -> ServiceName {
    format!("s{n}").into()
}

fn zone(n: u32) -> ZoneName {
    format!("z{n}").into()
}
