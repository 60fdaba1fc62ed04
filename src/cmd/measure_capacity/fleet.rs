use crate::load::View;
use crate::maintenance::FleetCommand;
use crate::model::{
    Budget, Capacity, ChangeId, Class, Demand, EntryName, FailureDomain, InstanceName, Pool,
    PoolName, RackName, RequestKey, Row, RowKey, Service, UpstreamReport, UpstreamState,
    WorkspaceName, ZoneName,
};
use crate::state::{Change, Command, CommandId, Fingerprint, NewJob, Reply, RowChange, State};

/// A moment in Unix time of today's number of digits, as they count on the wire.
pub const UNIX_MS: u64 = 1_790_000_000_000;

/// Workers in a rack.
const RACK: usize = 4;

/// Builds a replicated state of a wanted size by applying commands.
#[derive(Debug, Default)]
pub struct Builder {
    /// The state so far.
    pub state: State,
    sequence: u64,
}

impl Builder {
    /// A fleet spread evenly over pools and availability zones.
    pub fn fleet(workers: usize, pools: usize, zones: usize) -> Self {
        let mut builder = Self::default();
        for i in 0..pools {
            builder.pool(i);
        }
        for i in 0..workers {
            builder.worker(i, pools, zones);
        }
        builder
    }

    /// Applies a change and gives its reply.
    pub fn apply(&mut self, change: Change) -> Reply {
        self.sequence += 1;
        let command = Command {
            id: CommandId {
                entry: EntryName::from("entry-00"),
                incarnation: 1,
                sequence: self.sequence,
            },
            at_unix_ms: UNIX_MS + self.sequence,
            change,
        };
        self.state.apply(&command)
    }

    /// Applies a change of the fleet by the system itself.
    pub fn change_fleet(&mut self, command: FleetCommand) -> Reply {
        self.apply(Change::Fleet {
            change: None,
            by: "entry-00".to_owned(),
            command,
        })
    }

    /// Adds a pool that carries three services.
    pub fn pool(&mut self, i: usize) {
        let service = |kind: &str| Service {
            name: format!("service-{i:02}-{kind}").into(),
            class: Class::Urgent,
            demand: Demand {
                cores: 1,
                memory_mib: 512,
                accelerators: 0,
                run_ms: 100,
            },
        };
        let pool = Pool {
            name: pool(i),
            budget: Budget {
                min_available: 0,
                survive: FailureDomain::None,
            },
            services: ["check", "score", "store"].map(service).to_vec(),
        };
        self.change_fleet(FleetCommand::PutPool { pool });
    }

    /// Adds a worker with its capacity.
    pub fn worker(&mut self, i: usize, pools: usize, zones: usize) {
        let report = report(i, pools, zones);
        self.change_fleet(FleetCommand::Join {
            instance: report.instance.clone(),
            zone: report.zone,
            rack: report.rack,
            pool: report.pool,
        });
        self.apply(Change::Capacity {
            instance: report.instance,
            capacity: report.capacity,
        });
    }

    /// Puts a team's row in force.
    pub fn team_row(&mut self, i: usize) -> Reply {
        let team = WorkspaceName::from(format!("team-{i:03}"));
        self.apply(Change::PutRows {
            change: ChangeId::from(format!("change-{i:06}")),
            operator: "operator".to_owned(),
            rows: vec![RowChange {
                key: RowKey::Team { team },
                expected_version: 0,
                row: Some(Row {
                    weight: 10,
                    limit_in_flight: 10,
                    queue_ms: 1_000,
                }),
            }],
            confirm_jump: true,
        })
    }

    /// Claims a key and, if there is a body, stores the answer.
    pub fn claim(&mut self, i: usize, body: Option<&[u8]>) {
        let key = RequestKey::from(format!("team-001/booking-{i:09}"));
        let reply = self.apply(Change::Claim {
            key: key.clone(),
            fingerprint: fingerprint(i),
            request: crate::load::RequestId(i as u64),
        });
        let Reply::Claim(crate::state::ClaimReply::Granted { fence }) = reply else {
            return;
        };
        if let Some(body) = body {
            self.apply(Change::ClaimAnswer {
                key,
                fence,
                status: 200,
                body: body.to_vec(),
            });
        }
    }

    /// Accepts a patient job.
    pub fn job(&mut self, i: usize, body: &[u8]) {
        self.apply(Change::JobAccept(NewJob {
            job: format!("job-entry-00-{i:09}").into(),
            key: RequestKey::from(format!("team-001/archive-{i:09}")),
            fingerprint: fingerprint(i),
            service: "service-00-store".into(),
            team: "team-001".into(),
            caller: "caller".to_owned(),
            idempotent: true,
            body: body.to_vec(),
        }));
    }

    /// What an entry instance clones out of the state for its dispatcher.
    pub fn view(&self) -> View {
        let fleet = self.state.fleet();
        let rows = self.state.rows().iter();
        View {
            pools: fleet.pools().clone(),
            carriers: fleet.carriers().clone(),
            instances: fleet.instances().clone(),
            rows: rows.map(|(key, row)| (key.clone(), row.row)).collect(),
        }
    }
}

fn fingerprint(i: usize) -> Fingerprint {
    Fingerprint::of(
        &"service-00-store".into(),
        &"team-001".into(),
        "caller",
        &i.to_le_bytes(),
    )
}

fn pool(i: usize) -> PoolName {
    PoolName::from(format!("pool-{i:02}"))
}

/// The availability zone of this number.
pub fn zone(i: usize) -> ZoneName {
    ZoneName::from(format!("zone-{i}"))
}

/// What worker `i` announces first.
pub fn report(i: usize, pools: usize, zones: usize) -> UpstreamReport {
    let rack = i / RACK;
    UpstreamReport {
        instance: InstanceName::from(format!("worker-{i:05}")),
        incarnation: UNIX_MS,
        sequence: 1_000_000,
        address: format!("10.1.{}.{}:7000", i / 250, i % 250),
        zone: zone(rack % zones),
        rack: RackName::from(format!("rack-{rack:04}")),
        pool: pool(i % pools),
        capacity: Capacity {
            cores: 16,
            memory_mib: 65_536,
            accelerators: 0,
            slots: 8,
            connections: 64,
        },
        pool_epoch: 1,
        standing: UpstreamState::Serving,
        running: 4,
        usage_age_ms: 12,
    }
}
