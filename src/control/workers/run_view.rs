use crate::control::RunLoad;
use crate::jobs::Step;

/// Age up to which a listing shows that a run is at work: two renewals.
const LISTING_VALID_MS: u64 = 2_500;

/// The leader's view of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunView {
    /// State of the orders for the run.
    pub phase: RunPhase,
    /// Progress as last listed, 0 to 100; for a lasting task, how far it has started up.
    pub percent: u8,
    /// Tail latency or processor use as last listed.
    pub gauge: Option<u64>,
    /// Time at which the renewal was sent that listed the run last.
    pub listed_ms: Option<u64>,
    /// Share of its full speed that the run was last allowed, in percent.
    pub share_percent: u8,
    /// Changes of its progress; `None` before it was first listed.
    pub progress: Option<Progress>,
    /// Time and percentage of the first listing; `None` before.
    pub(super) first_listed: Option<(u64, u8)>,
    /// Whether an earlier leader placed the run.
    pub(in crate::control) is_inherited: bool,
    /// Age of the run at the first listing, if an earlier leader placed it, in milliseconds.
    pub(super) inherited_age_ms: Option<u64>,
    /// How many earlier runs of the task were stopped as stalled.
    pub stalls: u32,
    /// Load that the run puts on the worker.
    pub load: RunLoad,
    /// Time of placement in milliseconds since 1970 and expected run time in milliseconds;
    /// `None` for a lasting task.
    pub expected: Option<(u64, u64)>,
    /// Whether the progress of the run is saved when it is stopped.
    pub saves: bool,
    /// Whether the process of the worker that is known has confirmed that it has the run.
    pub confirmed: bool,
    /// The worker's clock as it was known when the start was last sent.
    pub start_clock_ms: u64,
}

/// The last change in a run's progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Time at which the run was first listed with its current progress.
    pub changed_ms: u64,
}

/// State of the orders for a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// An earlier leader placed the run; it is unknown whether it ever started.
    Inherited,
    /// A start order is in flight.
    Starting {
        /// Number of earlier start orders without an answer.
        unanswered: u32,
    },
    /// The run was confirmed by the worker.
    Running {
        /// Time of the confirmation; the run began no later.
        since_ms: u64,
    },
    /// The run is to be stopped.
    Stopping {
        /// Whether a stop order is in flight.
        ordered: bool,
        /// Time at which to send the stop order again.
        again_ms: u64,
    },
    /// The worker has accepted the stop order and will not start the run any more.
    Stopped {
        /// Time at which the leader learned of it.
        at_ms: u64,
    },
}

impl RunView {
    /// Creates the view of a run that was not listed yet.
    pub fn new(phase: RunPhase, load: RunLoad) -> Self {
        Self {
            phase,
            load,
            expected: None,
            saves: false,
            confirmed: false,
            start_clock_ms: 0,
            percent: 0,
            gauge: None,
            listed_ms: None,
            share_percent: 100,
            progress: None,
            first_listed: None,
            is_inherited: phase == RunPhase::Inherited,
            inherited_age_ms: None,
            stalls: 0,
        }
    }

    /// Sets the time of placement and the expected run time, unless the step is lasting, and
    /// whether its progress is saved.
    pub fn set_expected(&mut self, step: &Step, placed_unix_ms: u64, takes_ms: u64) {
        self.expected = (!step.lasting).then_some((placed_unix_ms, takes_ms));
        self.saves = step.checkpoints;
    }

    pub(super) fn note_progress(&mut self, now_ms: u64, percent: u8) {
        let progress = self.progress.get_or_insert(Progress { changed_ms: now_ms });
        if percent != self.percent {
            progress.changed_ms = now_ms;
        }
        self.percent = percent;
        self.first_listed.get_or_insert((now_ms, percent));
    }

    /// Records when the run was placed, as its age now, if an earlier leader did that. Its pace
    /// is known from that before it makes progress under this leader.
    pub fn note_inherited(&mut self, age_ms: u64) {
        self.inherited_age_ms.get_or_insert(age_ms);
    }

    /// Returns how long a sound run of this length takes for a percent at most, in milliseconds:
    /// as the run itself took so far, otherwise as is expected.
    pub fn percent_ms(&self) -> u64 {
        let listed = self.progress.zip(self.first_listed);
        let (since_first_ms, first_percent) = listed.map_or((0, 0), |(progress, first)| {
            (progress.changed_ms.saturating_sub(first.0), first.1)
        });
        // The first percent was listed at any time in its course, and so was the last one.
        let whole = u64::from(self.percent.saturating_sub(first_percent)).saturating_sub(1);
        since_first_ms.checked_div(whole).unwrap_or_else(|| {
            let expected_ms = self.expected.map_or(0, |(_, takes_ms)| takes_ms / 100);
            let inherited_ms = self.inherited_age_ms.unwrap_or(0) / u64::from(first_percent.max(1));
            expected_ms.max(inherited_ms).max(since_first_ms)
        })
    }

    /// Returns whether the run is to be stopped or was stopped.
    pub fn is_stopping(&self) -> bool {
        matches!(
            self.phase,
            RunPhase::Stopping { .. } | RunPhase::Stopped { .. }
        )
    }

    /// Returns whether the run is to be stopped and the stop is not ordered.
    pub(super) fn is_stop_due(&self) -> bool {
        matches!(self.phase, RunPhase::Stopping { ordered: false, .. })
    }

    /// Returns whether the run was listed lately, and not before `since_ms`, as running and fully
    /// started.
    pub(super) fn is_fully_running(&self, now_ms: u64, since_ms: u64) -> bool {
        let running = matches!(self.phase, RunPhase::Running { .. });
        let recent = self
            .listed_ms
            .is_some_and(|at| at >= since_ms && now_ms < at + LISTING_VALID_MS);
        running && recent && self.percent >= 100
    }
}
