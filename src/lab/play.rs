//! One play of a workload under a policy.

mod tally;

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{
    Arrival, Arrivals, Disk, Emulator, Keeper, Outcome, RuleBreak, Trouble, WaveSpec, Workload,
    troubles,
};
use crate::control::{
    Answer, Call, Effect, Event, Location, Node, NodeSettings, Place, Policy, Timing, Tolerance,
    Wave,
};
use crate::jobs::{JobId, JobState};
use crate::model::EntryName;
use tally::Tally;

use super::workload::HOST;

/// Any time of day does.
const UNIX_MS: u64 = 1_700_000_000_000;
/// How often time is fed to the control instance, as its process does.
const TICK_MS: u64 = 20;
/// After so long a call that has no clear answer is made again.
const RESEND_INTERVAL_MS: u64 = 1_000;
/// Workers are known and listed by then, and jobs begin to come.
const WARM_MS: u64 = 4_000;
/// A leader has the configuration by then, or there is none.
const BEGIN_MAX_MS: u64 = 10_000;
/// Numbers of operators' calls; those of jobs are smaller.
const CONFIGURE: u64 = 1 << 40;

/// One play: the callers, their fleet, and one control instance.
pub struct Play<'a> {
    workload: &'a Workload,
    settings: NodeSettings,
    /// None while it is lost.
    node: Option<Node>,
    /// When the next one begins, while it is lost.
    back_ms: u64,
    disk: Disk,
    emulator: Emulator,
    arrivals: Vec<Arrival>,
    troubles: Vec<(u64, Trouble)>,
    /// Calls that have no clear answer yet, and when they are made again.
    open: BTreeMap<u64, (u64, Call)>,
    tally: Tally,
    /// Jobs that were handed in, and troubles that came.
    handed_in: usize,
    troubled: usize,
    /// When the first job could come.
    begin_ms: u64,
}

impl<'a> Play<'a> {
    /// Plays a workload under a policy and a seed.
    ///
    /// # Errors
    /// The promise that was broken.
    pub fn run(workload: &'a Workload, policy: &Policy, seed: u64) -> Result<Outcome, RuleBreak> {
        let mut play = Self::new(workload, policy, seed);
        play.begin()?;
        let play_ms = workload.play_ms();
        while play.since_ms() < play_ms {
            play.step()?;
            play.tally.count_machines(play.emulator.machines());
        }
        let end_ms = play_ms + workload.rest_ms();
        while play.since_ms() < end_ms && play.tally.is_open() {
            play.step()?;
        }
        let since_ms = play.since_ms();
        let ledger = play.emulator.ledger();
        Ok(play
            .tally
            .outcome(workload, ledger, play.begin_ms, since_ms))
    }

    fn new(workload: &'a Workload, policy: &Policy, seed: u64) -> Self {
        let me = EntryName::from("10.0.0.1");
        let settings = NodeSettings {
            me: me.clone(),
            seeds: vec![me],
            first_start: true,
            location: Location {
                region: None,
                zone: "lab".into(),
            },
            tolerance: Tolerance::default(),
            machine_orders_per_s: 600.0,
            timing: Timing {
                report_interval_ms: 1_500,
                lease_max_ms: 10_000,
                stop_timeout_ms: 400,
                remember_ms: 120_000,
                upkeep_ms: workload.fleet.upkeep_ms,
                ..Timing::default()
            },
            policy: policy.clone(),
            seed,
        };
        let keeper = Keeper::Works {
            move_ms: workload.fleet.move_ms,
            upkeep_ms: workload.fleet.upkeep_ms,
            standby: workload
                .configuration()
                .standby()
                .into_iter()
                .cloned()
                .collect(),
        };
        let disk = Disk::new(1);
        let arrivals = Arrivals::new(workload, seed).draw();
        Self {
            workload,
            node: Some(Node::new(settings.clone(), disk.recovered(), UNIX_MS, 0)),
            settings,
            back_ms: 0,
            disk,
            emulator: Emulator::new(workload.fleet.machines(), keeper),
            troubles: troubles(workload, seed),
            tally: Tally::new(workload, &arrivals),
            arrivals,
            open: BTreeMap::new(),
            handed_in: 0,
            troubled: 0,
            begin_ms: u64::MAX,
        }
    }

    /// Waits for a leader that has the configuration, and knows its workers.
    fn begin(&mut self) -> Result<(), RuleBreak> {
        let configuration = Arc::new(self.workload.configuration());
        self.ask(CONFIGURE, Call::Configure(configuration));
        while !self.open.is_empty() || self.emulator.now_ms() < WARM_MS {
            if self.emulator.now_ms() > BEGIN_MAX_MS {
                let within_ms = BEGIN_MAX_MS;
                return Err(RuleBreak::NoLeader { within_ms });
            }
            self.step()?;
        }
        self.begin_ms = self.emulator.now_ms();
        Ok(())
    }

    /// How long jobs may come already.
    fn since_ms(&self) -> u64 {
        self.emulator.now_ms().saturating_sub(self.begin_ms)
    }

    fn step(&mut self) -> Result<(), RuleBreak> {
        self.emulator.advance();
        let now_ms = self.emulator.now_ms();
        if self.node.is_none() && now_ms >= self.back_ms {
            self.start_again();
        }
        while let Some(event) = self.emulator.next_event() {
            self.feed(event)?;
        }
        if now_ms > self.begin_ms {
            self.trouble();
            self.hand_in()?;
        }
        if now_ms.is_multiple_of(TICK_MS) {
            self.call_again()?;
            self.feed(Event::Tick)?;
        }
        self.note_ends();
        Ok(())
    }

    fn feed(&mut self, event: Event) -> Result<(), RuleBreak> {
        let Some(node) = &mut self.node else {
            return Ok(());
        };
        for effect in node.handle(self.emulator.now_ms(), event) {
            match &effect {
                Effect::Answer { id, answer } => self.answered(*id, answer),
                Effect::Persist { records, .. } => {
                    records.iter().for_each(|record| self.disk.write(record));
                }
                _ => {}
            }
            self.emulator.carry_out(effect)?;
        }
        Ok(())
    }

    /// Only what is done is over: an instance that has no leader yet refuses for now, and
    /// a call that was given up then would be missing for the whole play.
    fn answered(&mut self, id: u64, answer: &Answer) {
        if *answer == Answer::Done {
            self.open.remove(&id);
        }
    }

    /// Makes a call with the next tick, and again until it is answered.
    fn ask(&mut self, id: u64, call: Call) {
        self.open.insert(id, (self.emulator.now_ms(), call));
    }

    fn call_again(&mut self) -> Result<(), RuleBreak> {
        let now_ms = self.emulator.now_ms();
        let mut due = Vec::new();
        for (id, (at_ms, call)) in &mut self.open {
            if now_ms >= *at_ms {
                *at_ms = now_ms + RESEND_INTERVAL_MS;
                due.push((*id, call.clone()));
            }
        }
        for (id, call) in due {
            self.feed(Event::Call { id, call })?;
        }
        Ok(())
    }

    fn hand_in(&mut self) -> Result<(), RuleBreak> {
        let now_ms = self.emulator.now_ms();
        while let Some(arrival) = self.arrivals.get_mut(self.handed_in)
            && self.begin_ms + arrival.at_ms < now_ms
        {
            let number = self.handed_in as u64 + 1;
            let queue = &self.workload.queues[arrival.queue].name;
            let place = Place {
                host: HOST.into(),
                path: format!("/{queue}/{}", JobId::from(number)),
            };
            let truths = std::mem::take(&mut arrival.truths);
            let spec = Arc::clone(&arrival.spec);
            self.handed_in += 1;
            let event = self.emulator.hand_in(number, place, spec, truths);
            if let Event::Call { id, call } = &event {
                self.open
                    .insert(*id, (now_ms + RESEND_INTERVAL_MS, call.clone()));
            }
            self.feed(event)?;
        }
        Ok(())
    }

    fn trouble(&mut self) {
        let now_ms = self.emulator.now_ms();
        while let Some((at_ms, trouble)) = self.troubles.get(self.troubled).copied()
            && self.begin_ms + at_ms < now_ms
        {
            self.troubled += 1;
            match trouble {
                Trouble::Crash(place) => {
                    let down_ms = self.workload.faults.down_ms;
                    self.emulator.crash(place, down_ms);
                }
                Trouble::Wave(number, spec) => {
                    let wave = self.wave(number, &spec);
                    self.ask(CONFIGURE + number, Call::StartWave(wave));
                }
                Trouble::LeaderLost { down_ms } => {
                    self.node = None;
                    self.back_ms = now_ms + down_ms;
                    self.emulator.lose_control();
                }
            }
        }
    }

    /// Machines all over the fleet.
    fn wave(&self, number: u64, spec: &WaveSpec) -> Wave {
        let all = self.emulator.machines();
        let due = usize::from(spec.machines);
        let machines = (0..due).map(|place| all[place * all.len() / due].name());
        Wave {
            number,
            machines: machines.collect(),
            duration_ms: spec.duration_ms,
            down_max: spec.down_max,
            accepted_unix_ms: 0,
            begun: Default::default(),
            asked: BTreeMap::new(),
        }
    }

    /// A control instance goes on from the log.
    fn start_again(&mut self) {
        let now_ms = self.emulator.now_ms();
        self.settings.first_start = false;
        // Must differ from start to start.
        self.settings.seed = self.settings.seed.wrapping_add(1 << 32);
        let recovered = self.disk.recovered();
        let settings = self.settings.clone();
        self.node = Some(Node::new(settings, recovered, UNIX_MS + now_ms, now_ms));
    }

    /// Takes note of jobs that the leader says are over.
    fn note_ends(&mut self) {
        let Some(node) = &self.node else {
            return;
        };
        let over = self.emulator.ledger().settled().filter_map(|id| {
            let state = node.state().job(id)?.state();
            state.is_final().then_some((id, state))
        });
        let over: Vec<(JobId, JobState)> = over.collect();
        let since_ms = self.since_ms();
        for (id, state) in over {
            self.emulator.ledger_mut().unsettle(id);
            self.tally.ended(id, state, since_ms);
        }
    }
}
