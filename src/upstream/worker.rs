use std::collections::VecDeque;

use crate::model::{PoolName, UpstreamReport, UpstreamState};

use super::orders::is_restart;
use super::{Faults, Orders, Refusal, Spec};
use crate::upstream_api::{AnnounceReply, Order};

/// How long a leaving instance stays reachable after its last request, so that
/// entry instances that have not heard of it yet are refused and not cut off.
const LEAVE_LINGER_MS: u64 = 1_500;

/// One stand-in instance: what it admits, says of itself and does next.
#[derive(Debug)]
pub struct Worker {
    spec: Spec,
    incarnation: u64,
    sequence: u64,
    address: String,
    pool: PoolName,
    pool_epoch: u64,
    orders: Orders,
    faults: Faults,
    leaving_since_ms: Option<u64>,
    running: u32,
    peak_running: u32,
    refused_busy: u64,
    /// When it last refused work because it drains or leaves.
    last_refused_ms: Option<u64>,
    /// Changes of `running`, oldest first, for reports with a lag.
    usage: VecDeque<(u64, u32)>,
}

/// What an instance does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Goes on.
    Stay,
    /// Goes silent and comes back with a new incarnation.
    Reboot,
    /// Is dead until the fault is cleared.
    Die,
    /// Has left.
    Leave,
}

impl Worker {
    /// A worker that has heard nothing yet.
    pub fn new(spec: Spec, incarnation: u64, faults: Faults) -> Self {
        Self {
            pool: spec.pool.clone(),
            spec,
            incarnation,
            sequence: 0,
            address: String::new(),
            pool_epoch: 0,
            orders: Orders::default(),
            faults,
            leaving_since_ms: None,
            running: 0,
            peak_running: 0,
            refused_busy: 0,
            last_refused_ms: None,
            usage: VecDeque::new(),
        }
    }

    /// Admits a dispatch and counts it as running.
    ///
    /// # Errors
    /// Why it did not start.
    pub fn admit(
        &mut self,
        now_ms: u64,
        incarnation: u64,
        pool: &str,
        pool_epoch: u64,
    ) -> Result<(), Refusal> {
        let stale = pool_epoch < self.pool_epoch
            || (pool_epoch == self.pool_epoch && pool != self.pool.as_str());
        if incarnation != self.incarnation || stale {
            return Err(Refusal::StaleEpoch);
        }
        // A dispatcher may learn of a move before the instance does. From its
        // first request of the new pool on, the old pool's are void.
        if pool_epoch > self.pool_epoch {
            self.pool_epoch = pool_epoch;
            self.pool = PoolName::from(pool);
        }
        if self.standing(now_ms) != UpstreamState::Serving {
            self.last_refused_ms = Some(now_ms);
            return Err(Refusal::Leaving);
        }
        if self.running >= self.spec.slots {
            self.refused_busy += 1;
            return Err(Refusal::Busy);
        }
        self.set_running(now_ms, self.running + 1);
        self.peak_running = self.peak_running.max(self.running);
        Ok(())
    }

    /// A run of this incarnation ended.
    pub fn end(&mut self, now_ms: u64, incarnation: u64) {
        if incarnation == self.incarnation {
            self.set_running(now_ms, self.running.saturating_sub(1));
        }
    }

    /// An entry instance answered an announcement.
    pub fn hear(&mut self, now_ms: u64, entry: &str, reply: &AnnounceReply) {
        self.orders.hear(now_ms, entry, reply);
        let Some((pool, epoch, order)) = self.orders.current(now_ms) else {
            return;
        };
        if let Some(pool) = pool.filter(|_| epoch >= self.pool_epoch) {
            self.pool = pool.clone();
            self.pool_epoch = epoch;
        }
        if order == Order::Stop {
            self.leave(now_ms);
        }
    }

    /// Leaves for good.
    pub fn leave(&mut self, now_ms: u64) {
        self.leaving_since_ms.get_or_insert(now_ms);
    }

    /// Changes what is wrong with it.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// What it does next.
    pub fn step(&self, now_ms: u64) -> Step {
        if self.faults.dead {
            return Step::Die;
        }
        if self.running > 0 {
            return Step::Stay;
        }
        if let Some(since_ms) = self.leaving_since_ms {
            let idle_since_ms = self.usage.back().map_or(since_ms, |(at_ms, _)| *at_ms);
            let until_ms = since_ms.max(idle_since_ms) + LEAVE_LINGER_MS;
            return if now_ms >= until_ms {
                Step::Leave
            } else {
                Step::Stay
            };
        }
        match self.orders.current(now_ms) {
            Some((_, _, order)) if is_restart(order) => Step::Reboot,
            _ => Step::Stay,
        }
    }

    /// Comes back with a new incarnation, which inherits nothing but its pool.
    pub fn restart(&mut self, now_ms: u64) {
        self.incarnation += 1;
        self.sequence = 0;
        self.orders = Orders::after_restart();
        self.usage.clear();
        self.set_running(now_ms, 0);
    }

    /// The next report, none while it announces nothing.
    pub fn report(&mut self, now_ms: u64) -> Option<UpstreamReport> {
        if self.faults.mute || self.faults.dead || self.address.is_empty() {
            return None;
        }
        self.sequence += 1;
        Some(UpstreamReport {
            instance: self.spec.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            address: self.address.clone(),
            zone: self.spec.zone.clone(),
            rack: self.spec.rack.clone(),
            pool: self.spec.pool.clone(),
            capacity: self.spec.capacity(),
            pool_epoch: self.pool_epoch,
            standing: self.standing(now_ms),
            running: self.running_at(now_ms.saturating_sub(self.faults.usage_lag_ms)),
            usage_age_ms: self.faults.usage_lag_ms,
        })
    }

    /// What it says it is doing.
    pub fn standing(&self, now_ms: u64) -> UpstreamState {
        if self.leaving_since_ms.is_some() {
            return UpstreamState::Leaving;
        }
        match self.orders.current(now_ms) {
            None | Some((_, _, Order::Serve)) => UpstreamState::Serving,
            Some(_) => UpstreamState::Draining,
        }
    }

    /// Sets the address it listens on; empty while it listens on none.
    pub fn set_address(&mut self, address: String) {
        self.address = address;
    }

    /// The address it listens on.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// How it was set up.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// What is wrong with it.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Its present incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Its pool and the epoch under which it belongs to it.
    pub fn pool(&self) -> (&PoolName, u64) {
        (&self.pool, self.pool_epoch)
    }

    /// Requests running now, and the most there ever were.
    pub fn running(&self) -> (u32, u32) {
        (self.running, self.peak_running)
    }

    /// Requests refused because all slots were taken.
    pub fn refused_busy(&self) -> u64 {
        self.refused_busy
    }

    /// When it last refused work because it drains or leaves: a dispatcher did
    /// not know of it then.
    pub fn last_refused_ms(&self) -> Option<u64> {
        self.last_refused_ms
    }

    fn set_running(&mut self, now_ms: u64, running: u32) {
        self.running = running;
        self.usage.push_back((now_ms, running));
        // All but the newest change before the reported moment are of no use.
        let seen_ms = now_ms.saturating_sub(self.faults.usage_lag_ms);
        while self
            .usage
            .get(1)
            .is_some_and(|(at_ms, _)| *at_ms <= seen_ms)
        {
            self.usage.pop_front();
        }
    }

    fn running_at(&self, at_ms: u64) -> u32 {
        self.usage
            .iter()
            .rev()
            .find(|(changed_ms, _)| *changed_ms <= at_ms)
            .map_or(0, |(_, running)| *running)
    }
}
