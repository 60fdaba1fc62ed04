use std::fmt;

use crate::model::{InstanceName, PoolName, WaveName};

/// The schedule of a wave as long as nothing fails.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The wave.
    pub wave: WaveName,
    /// Visits and loans, in order of their start.
    pub steps: Vec<Step>,
    /// Expected costs.
    pub expected: Figures,
    /// Lower bounds on the costs of any plan.
    pub bound: Figures,
    /// Expected time if every visit takes its longest, in milliseconds.
    pub latest_ms: u64,
    /// Pools that cannot be finished, each described with its budget use.
    pub stuck: Vec<String>,
}

/// Costs of a wave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// From the start to the last return, in milliseconds.
    pub rollout_ms: u64,
    /// Number of moves, returns to the own pool included.
    pub moves: u32,
    /// Time that instances are unavailable to their own pool, summed over the
    /// instances, in milliseconds.
    pub buffer_instance_ms: u64,
    /// Most instances unavailable to their own pool at the same time.
    pub buffer_peak: u32,
}

/// One visit or loan of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// When it starts, in milliseconds from the wave's start.
    pub start_ms: u64,
    /// When it is expected to end, in milliseconds from the wave's start.
    pub end_ms: u64,
    /// The instance.
    pub instance: InstanceName,
    /// The pool it is in when the step starts.
    pub pool: PoolName,
    /// The kind of step.
    pub work: Work,
}

/// What a step does to its instance.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Work {
    /// It is rebooted or replaced.
    #[display("visit")]
    Visit,
    /// It moves to another pool temporarily.
    #[display("lend to {_0}")]
    Lend(PoolName),
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (plan, bound) = (&self.expected, &self.bound);
        writeln!(f, "wave {}: {} steps", self.wave, self.steps.len())?;
        writeln!(f, "{:<28}{:>12}{:>14}", "", "expected", "lower bound")?;
        let (rollout, least) = (Minutes(plan.rollout_ms), Minutes(bound.rollout_ms));
        writeln!(f, "{:<28}{rollout:>12}{least:>14}", "roll-out (min)")?;
        let (moves, least) = (plan.moves, bound.moves);
        writeln!(f, "{:<28}{moves:>12}{least:>14}", "moves")?;
        let held = Minutes(plan.buffer_instance_ms);
        let least = Minutes(bound.buffer_instance_ms);
        writeln!(f, "{:<28}{held:>12}{least:>14}", "buffer (instance min)")?;
        let (peak, least) = (plan.buffer_peak, bound.buffer_peak);
        writeln!(
            f,
            "{:<28}{peak:>12}{least:>14}",
            "buffer (instances at once)"
        )?;
        let latest = Minutes(self.latest_ms);
        writeln!(f, "{:<28}{latest:>12}", "latest with spread (min)")?;
        for why in &self.stuck {
            writeln!(f, "cannot finish: {why}")?;
        }
        for step in &self.steps {
            writeln!(f, "{step}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (start, end) = (Minutes(self.start_ms), Minutes(self.end_ms));
        let (instance, pool, work) = (&self.instance, &self.pool, &self.work);
        write!(
            f,
            "{start:>8} to {end:>8} min  {instance} of {pool}: {work}"
        )
    }
}

/// A time in milliseconds, displayed in minutes with one decimal.
struct Minutes(u64);

impl fmt::Display for Minutes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let tenths = self.0 / 6_000;
        f.pad(&format!("{}.{}", tenths / 10, tenths % 10))
    }
}
