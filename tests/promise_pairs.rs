//! Two faults at once under a running load, each pair of a killed process, a
//! frozen one, a cut, a lost disk and silent connections: the account is clean.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use rosemarygauge::proxy::LinkFaults;
use support::{System, assert_clean, controls, read_report, until};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Kill,
    Freeze,
    Cut,
    LostDisk,
    BlackHole,
}

/// Above the election timeout and the lease on the state, so that the rest takes
/// over before the fault is undone.
const FAULT_MS: u64 = 2_500;

impl Fault {
    fn begin(self, system: &mut System, i: usize) {
        match self {
            Self::Kill | Self::LostDisk => system.kill(i),
            Self::Freeze => system.process(i).freeze(),
            Self::Cut => system.cut_off(&[i], &LinkFaults::cut()),
            Self::BlackHole => {
                for j in (0..3).filter(|j| *j != i) {
                    system.link(i, j).silence_open();
                    system.link(j, i).silence_open();
                }
            }
        }
    }

    fn end(self, system: &mut System, i: usize) {
        match self {
            Self::Kill => system.restart(i),
            Self::LostDisk => {
                system.lose_disk(i);
                system.restart(i);
            }
            Self::Freeze => system.process(i).thaw(),
            Self::Cut => system.cut_off(&[i], &LinkFaults::default()),
            Self::BlackHole => {}
        }
    }
}

// The first fault hits the leader, the second another voter at the same moment, so
// that there is no quorum until one is undone. Callers send urgent requests, of
// which a third may run once, and patient jobs; they send again what they lost.
// Refusals are allowed, each with when to come back; a lost, doubled or mixed up
// request, or a `not-run` for work that ran, is not.
fn pair(first: Fault, second: Fault) {
    let mut system = System::start(1);
    system.put_pool(1);
    let ups = system.upstreams_in_all_zones(&["--run-ms", "archive=200"]);
    let load = system.load_process(
        &controls(&ups),
        &[
            "--service",
            "check:urgent:5",
            "--service",
            "archive:patient:1",
            "--not-idempotent",
            "33",
            "--rate",
            "60",
            "--duration-ms",
            "6000",
            "--resend",
            "20",
            "--settle-ms",
            "30000",
        ],
    );
    let runs = || ups.iter().map(|up| up.runs().len()).sum::<usize>();
    until(10_000, "it is under load", || runs() > 50);
    let leader = system.await_leader();
    let other = (leader + 1) % 3;
    first.begin(&mut system, leader);
    second.begin(&mut system, other);
    let begun = Instant::now();
    let lasted = Duration::from_millis(FAULT_MS);
    until(2 * FAULT_MS, "the faults lasted", || {
        begun.elapsed() > lasted
    });
    first.end(&mut system, leader);
    second.end(&mut system, other);
    system.await_leader();
    let report = read_report(&load.wait_with_output().unwrap());
    assert_clean(&report);
    assert_eq!(report["account"]["no_come_back"], 0, "{report:#}");
}

macro_rules! pairs {
    ($($name:ident: $first:ident, $second:ident;)*) => {
        $(
            #[test]
            fn $name() {
                pair(Fault::$first, Fault::$second);
            }
        )*
    };
}

pairs! {
    kill_and_kill: Kill, Kill;
    kill_and_freeze: Kill, Freeze;
    kill_and_cut: Kill, Cut;
    kill_and_lost_disk: Kill, LostDisk;
    kill_and_black_hole: Kill, BlackHole;
    freeze_and_cut: Freeze, Cut;
    freeze_and_lost_disk: Freeze, LostDisk;
    freeze_and_black_hole: Freeze, BlackHole;
    cut_and_lost_disk: Cut, LostDisk;
    cut_and_black_hole: Cut, BlackHole;
    lost_disk_and_black_hole: LostDisk, BlackHole;
}
