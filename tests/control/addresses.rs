//! The lookup of workers by their address and by their machine.

use std::sync::Arc;

use quickcheck_macros::quickcheck;
use rosemarygauge::control::{Change, Command, State};
use rosemarygauge::model::InstanceName;

use crate::worker::Worker;
use crate::world::address;

/// Workers report from changing addresses, end and return, and the instance restores
/// snapshots in between. When a worker reports, the leader at once asks the previous
/// workers at its address. If one of them is missed, its tasks stay assigned until its
/// lease expires; one that has left must not be asked. A wave that misses the worker on a machine
/// takes it for off. The indexes must match a scan of all workers.
#[quickcheck]
fn workers_are_found_at_the_address_of_their_latest_report(events: Vec<(u8, u8)>) {
    let mut state = State::default();
    for (at_unix_ms, (kind, place)) in (1..).zip(events) {
        let name = format!("i-{}", place % 6);
        let change = match kind % 8 {
            0 => {
                let restored = State::decode(&state.encode()).unwrap();
                assert_eq!(restored, state);
                state = restored;
                continue;
            }
            1 => Change::Gone {
                worker: name.as_str().into(),
            },
            2 => Change::Leave {
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
            let scanned = state.workers().iter();
            let scanned = scanned.filter(|(_, w)| w.report.address == address(port));
            let scanned: Vec<&InstanceName> = scanned.map(|(name, _)| name).collect();
            let found: Vec<&InstanceName> = state.workers_at(address(port)).collect();
            assert_eq!(found, scanned, "at {port}");
            let machine = format!("m-{port}");
            let scanned = state.workers().iter().rev();
            let on_machine = scanned.filter(|(_, w)| w.report.machine.as_ref() == Some(&machine));
            let staying = on_machine.filter(|(_, w)| !w.leaving).map(|(name, _)| name);
            assert_eq!(state.worker_on(&machine), staying.into_iter().next());
        }
    }
}
