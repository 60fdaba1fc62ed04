//! The faults and their seeded plan. They come in series and overlap; disks are lost
//! one at a time, as the settings promise.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::play::Size;

/// Between two lost disks: the one before has caught up.
const WIPE_GAP_MS: u64 = 9_000;

/// What goes wrong; places count from 0, control instances before entry instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    KillInstance {
        at: usize,
        for_ms: u64,
    },
    KillAllControls {
        for_ms: u64,
    },
    PauseInstance {
        at: usize,
        for_ms: u64,
    },
    TerminateInstance {
        at: usize,
    },
    /// Killed, and its data folder is lost.
    LoseDisk {
        control: usize,
    },
    StepClock {
        control: usize,
        by_ms: i64,
    },
    DelayLinks {
        at: usize,
        by_ms: u64,
        for_ms: u64,
    },
    ResetLinks {
        at: usize,
    },
    /// Open connections to it never carry a byte again; new ones work.
    SilenceLinks {
        at: usize,
    },
    /// Nothing reaches it; what it sends arrives.
    CutLinks {
        at: usize,
        for_ms: u64,
    },
    /// Nothing goes into a zone, to its instances and workers, nor from one of its workers to
    /// an instance elsewhere.
    CutZone {
        zone: usize,
        for_ms: u64,
    },
    CrashWorker {
        at: usize,
        for_ms: u64,
    },
    /// Orders arrive, late.
    HoldWorker {
        at: usize,
        for_ms: u64,
    },
    SilenceWorker {
        at: usize,
    },
    WorkerFailsAll {
        at: usize,
        for_ms: u64,
    },
    WorkerStandsStill {
        at: usize,
        for_ms: u64,
    },
    HoldKeeper {
        for_ms: u64,
    },
    SilenceKeeper,
    StartWave {
        first: usize,
        machines: usize,
        down_max: usize,
    },
}

/// Zones that are cut off, one after the other: apart from the other faults, so that the plans
/// of seeds without zones stay as they were.
pub fn zone_cuts(rng: &mut ChaCha8Rng, size: Size, length_ms: u64) -> Vec<(u64, Fault)> {
    let mut cuts = Vec::new();
    let mut at_ms = rng.random_range(500..3_000);
    while size.zones > 1 && at_ms < length_ms {
        let zone = rng.random_range(0..size.zones);
        let for_ms = rng.random_range(300..5_000);
        cuts.push((at_ms, Fault::CutZone { zone, for_ms }));
        at_ms += for_ms + rng.random_range(500..6_000);
    }
    cuts
}

/// A plan for so long: what happens when, in order.
pub fn plan(rng: &mut ChaCha8Rng, size: Size, length_ms: u64) -> Vec<(u64, Fault)> {
    let mut plan = Vec::new();
    let mut at_ms = 300;
    let mut wiped_ms = None;
    while at_ms < length_ms {
        let fault = draw(rng, size);
        if let Fault::LoseDisk { .. } = fault {
            if wiped_ms.is_some_and(|last| at_ms < last + WIPE_GAP_MS) {
                continue;
            }
            wiped_ms = Some(at_ms);
        }
        plan.push((at_ms, fault));
        // Series of faults within a fraction of a second, and lulls.
        let calm = rng.random_bool(0.5);
        at_ms += if calm {
            rng.random_range(400..2_000)
        } else {
            rng.random_range(5..120)
        };
    }
    plan
}

fn draw(rng: &mut ChaCha8Rng, size: Size) -> Fault {
    let at = rng.random_range(0..size.controls + size.entries);
    let control = rng.random_range(0..size.controls);
    let worker = rng.random_range(0..size.workers);
    let short_ms = rng.random_range(50..1_500);
    let long_ms = rng.random_range(300..4_000);
    match rng.random_range(0..19) {
        0 | 1 => Fault::KillInstance {
            at,
            for_ms: short_ms,
        },
        2 => Fault::KillAllControls { for_ms: short_ms },
        3 | 4 => Fault::PauseInstance {
            at,
            for_ms: long_ms,
        },
        5 => Fault::TerminateInstance { at },
        6 => Fault::LoseDisk { control },
        7 => Fault::StepClock {
            control,
            by_ms: rng.random_range(-8_000..8_000),
        },
        8 => Fault::DelayLinks {
            at,
            by_ms: rng.random_range(20..400),
            for_ms: long_ms,
        },
        9 => Fault::ResetLinks { at },
        10 => Fault::SilenceLinks { at },
        11 => Fault::CutLinks {
            at,
            for_ms: long_ms,
        },
        12 => Fault::CrashWorker {
            at: worker,
            for_ms: short_ms,
        },
        13 => Fault::HoldWorker {
            at: worker,
            for_ms: long_ms,
        },
        14 => Fault::SilenceWorker { at: worker },
        15 => Fault::WorkerFailsAll {
            at: worker,
            for_ms: short_ms,
        },
        16 => Fault::WorkerStandsStill {
            at: worker,
            for_ms: long_ms,
        },
        17 if rng.random_bool(0.5) => Fault::HoldKeeper { for_ms: long_ms },
        17 => Fault::SilenceKeeper,
        _ => Fault::StartWave {
            first: worker,
            machines: rng.random_range(2..5),
            down_max: rng.random_range(1..3),
        },
    }
}
