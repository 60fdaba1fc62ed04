//! Who takes orders at which address.

use std::sync::Arc;

use quickcheck_macros::quickcheck;
use rosemarygauge::control::{Change, Command, State};
use rosemarygauge::model::InstanceName;

use crate::worker::Worker;
use crate::world::address;

/// Workers report from addresses that change, end, and come back, and the instance goes
/// on from snapshots in between. A leader asks at once who was at the address of a worker
/// that reports: one that is missed keeps its tasks until its lease has run out, one that
/// is not there any more is asked for nothing. A walk of all workers finds the same.
#[quickcheck]
fn workers_are_found_at_the_address_of_their_latest_report(happenings: Vec<(u8, u8)>) {
    let mut state = State::default();
    for (at_unix_ms, (kind, place)) in (1..).zip(happenings) {
        let name = format!("i-{}", place % 6);
        let change = match kind % 8 {
            0 => {
                let restored = State::decode(&state.encode()).unwrap();
                assert_eq!(restored, state);
                state = restored;
                continue;
            }
            1 | 2 => Change::Gone {
                worker: name.as_str().into(),
            },
            port => {
                let mut worker = Worker::new(&name, address(port.into()), "east", 0);
                Change::Report(Arc::new(worker.report()))
            }
        };
        state.apply(&Command {
            by: "10.0.0.1".into(),
            start: 1,
            sequence: at_unix_ms,
            at_unix_ms,
            changes: vec![change],
        });
        for port in 0..8 {
            let walked = state.workers().iter();
            let walked = walked.filter(|(_, w)| w.report.address == address(port));
            let walked: Vec<&InstanceName> = walked.map(|(name, _)| name).collect();
            let found: Vec<&InstanceName> = state.workers_at(address(port)).collect();
            assert_eq!(found, walked, "at {port}");
        }
    }
}
