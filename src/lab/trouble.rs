use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{WaveSpec, Workload};

/// What goes wrong at a time of a play, or is done by an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// The worker on the machine in this place is lost.
    Crash(usize),
    /// A wave of upkeep begins; its number.
    Wave(u64, WaveSpec),
    /// The leader is lost for so long.
    LeaderLost {
        /// How long.
        down_ms: u64,
    },
}

/// Random numbers of troubles come from a stream of their own.
const STREAM: u64 = 1;

/// All troubles of a play by time after the first job could come; drawn before it begins,
/// so that no policy changes them.
pub fn troubles(workload: &Workload, seed: u64) -> Vec<(u64, Trouble)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(STREAM);
    let faults = &workload.faults;
    let size = workload.fleet.size();
    let mut all = Vec::new();
    // At a rate of 0 the first gap is endless.
    let mean_ms = 3_600_000.0 / faults.crashes_per_hour;
    let play_ms = workload.play_ms() as f64;
    for machine in 0..size {
        let mut at_ms = gap_ms(&mut rng, mean_ms);
        while at_ms < play_ms {
            all.push((at_ms as u64, Trouble::Crash(machine)));
            at_ms += gap_ms(&mut rng, mean_ms);
        }
    }
    for loss in &faults.racks {
        let rack = usize::from(workload.fleet.rack_size);
        let first = usize::from(loss.rack) * rack;
        let machines = first..size.min(first + rack);
        all.extend(machines.map(|machine| (loss.at_s * 1_000, Trouble::Crash(machine))));
    }
    for (number, wave) in (1..).zip(&faults.waves) {
        all.push((wave.at_s * 1_000, Trouble::Wave(number, *wave)));
    }
    for loss in &faults.leader {
        let down_ms = loss.down_ms;
        all.push((loss.at_s * 1_000, Trouble::LeaderLost { down_ms }));
    }
    all.sort_by_key(|(at_ms, _)| *at_ms);
    all
}

/// The time to the next of things that come by chance.
fn gap_ms(rng: &mut impl Rng, mean_ms: f64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() * mean_ms
}
