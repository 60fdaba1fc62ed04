//! Upstreams: what they announce, and what they are told.

use crate::load::Input;
use crate::maintenance::FleetCommand;
use crate::model::{Absence, DesiredState, Instance, UpstreamReport, UpstreamState};
use crate::state::Change;
use crate::upstream_api::{AnnounceReply, Order};

use super::super::{CallId, Effect};
use super::{Node, Purpose, SYSTEM_PATIENCE_MS};

impl Node {
    pub(super) fn announced(
        &mut self,
        now_ms: u64,
        id: CallId,
        report: &UpstreamReport,
        out: &mut Vec<Effect>,
    ) {
        self.hear(now_ms, report, now_ms, true, out);
        let instance = self
            .state
            .fleet()
            .instances()
            .get(&report.instance)
            .cloned();
        self.introduce(now_ms, report, instance.is_some(), out);
        let told = instance.filter(|i| self.may_tell(now_ms, i, report));
        let reply = AnnounceReply {
            lease_ms: self.settings.upstream_lease_ms,
            refresh_ms: self.settings.refresh_ms,
            pool: told.as_ref().map(|i| i.pool.clone()),
            pool_epoch: told.as_ref().map_or(report.pool_epoch, |i| i.epoch),
            order: told.as_ref().map_or(Order::Serve, order_for),
        };
        out.push(Effect::AnswerAnnounce { id, reply });
    }

    /// Whether what is known here of an instance may be told to its upstream.
    ///
    /// An entry instance that was cut off before a move still knows the old
    /// epoch. An upstream that restarted right after the move has forgotten the
    /// new one; told the old, it would run requests of both pools. So without
    /// recent news an upstream is told no epoch but the one it says itself.
    fn may_tell(&self, now_ms: u64, instance: &Instance, report: &UpstreamReport) -> bool {
        self.replica.status(now_ms).fresh || instance.epoch == report.pool_epoch
    }

    /// Brings a new upstream, or a changed capacity, into the replicated state.
    fn introduce(
        &mut self,
        now_ms: u64,
        report: &UpstreamReport,
        known: bool,
        out: &mut Vec<Effect>,
    ) {
        if report.standing != UpstreamState::Serving || self.is_introducing(now_ms, report) {
            return;
        }
        if !known {
            let command = FleetCommand::Join {
                instance: report.instance.clone(),
                zone: report.zone.clone(),
                rack: report.rack.clone(),
                pool: report.pool.clone(),
            };
            self.change_fleet(now_ms, command, out);
        } else if self.state.capacities().get(&report.instance) != Some(&report.capacity) {
            let change = Change::Capacity {
                instance: report.instance.clone(),
                capacity: report.capacity,
            };
            self.open_proposal(now_ms, change, Purpose::System, SYSTEM_PATIENCE_MS, out);
        }
    }

    /// Whether it was proposed a moment ago: every entry instance of the zone
    /// hears the upstream every second, and each proposal costs a place in the
    /// log.
    fn is_introducing(&mut self, now_ms: u64, report: &UpstreamReport) -> bool {
        let again_ms = now_ms + SYSTEM_PATIENCE_MS;
        match self.introduced.get_mut(&report.instance) {
            Some(until_ms) if *until_ms > now_ms => true,
            Some(until_ms) => {
                *until_ms = again_ms;
                false
            }
            None => {
                self.introduced.insert(report.instance.clone(), again_ms);
                false
            }
        }
    }

    /// Takes in a report, heard directly or through a peer.
    pub(super) fn hear(
        &mut self,
        now_ms: u64,
        report: &UpstreamReport,
        heard_ms: u64,
        direct: bool,
        out: &mut Vec<Effect>,
    ) {
        if !self.directory.hear(report, heard_ms, direct) {
            return;
        }
        let input = Input::Report {
            report,
            lease_until_ms: heard_ms + self.settings.upstream_lease_ms,
        };
        self.load(now_ms, input, out);
    }

    pub(super) fn change_fleet(
        &mut self,
        now_ms: u64,
        command: FleetCommand,
        out: &mut Vec<Effect>,
    ) {
        let change = Change::Fleet {
            change: None,
            by: self.settings.me.to_string(),
            command,
        };
        self.open_proposal(now_ms, change, Purpose::System, SYSTEM_PATIENCE_MS, out);
    }
}

/// What an instance is to do, read off the replicated state alone, so that every
/// entry instance gives the same order.
fn order_for(instance: &Instance) -> Order {
    match &instance.duty {
        DesiredState::Serving => Order::Serve,
        DesiredState::Draining { .. } => Order::Drain,
        DesiredState::Away { absence } => match absence {
            Absence::Reboot { .. } | Absence::Repair => Order::Reboot,
            Absence::Replace { .. } => Order::Replace,
            Absence::Operator | Absence::Move { .. } | Absence::SetAside { .. } => Order::Drain,
        },
    }
}
