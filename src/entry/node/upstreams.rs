//! Announcements of upstreams and the orders they get in reply.

use crate::load::Input;
use crate::maintenance::FleetCommand;
use crate::model::{Absence, DesiredState, Instance, UpstreamReport, UpstreamState};
use crate::state::Change;
use crate::upstream_api::{AnnounceReply, Order};

use super::super::{CallId, Effect};
use super::{Node, Purpose, SYSTEM_PROPOSAL_TIMEOUT_MS};

impl Node {
    pub(super) fn handle_announcement(
        &mut self,
        now_ms: u64,
        id: CallId,
        report: &UpstreamReport,
        out: &mut Vec<Effect>,
    ) {
        self.record_report(now_ms, report, now_ms, true, out);
        let instance = self
            .state
            .fleet()
            .instances()
            .get(&report.instance)
            .cloned();
        self.propose_introduction(now_ms, report, instance.is_some(), out);
        let sendable = instance.filter(|i| self.may_send_order(now_ms, i, report));
        let reply = AnnounceReply {
            lease_ms: self.settings.upstream_lease_ms,
            refresh_ms: self.settings.refresh_ms,
            pool: sendable.as_ref().map(|i| i.pool.clone()),
            pool_epoch: sendable.as_ref().map_or(report.pool_epoch, |i| i.epoch),
            order: sendable.as_ref().map_or(Order::Serve, order_for),
        };
        out.push(Effect::AnswerAnnounce { id, reply });
    }

    /// Whether the pool, epoch and order known here may be sent to an upstream.
    ///
    /// An entry instance that was cut off before a move still knows the old epoch. An
    /// upstream that restarted right after the move has forgotten the new one; if it
    /// were told the old one, it would run requests of both pools. So without a fresh
    /// view, an upstream is told an epoch only if it reports that epoch itself.
    fn may_send_order(&self, now_ms: u64, instance: &Instance, report: &UpstreamReport) -> bool {
        self.replica.status(now_ms).fresh || instance.epoch == report.pool_epoch
    }

    /// Proposes a new upstream, or a changed capacity, for the replicated state.
    fn propose_introduction(
        &mut self,
        now_ms: u64,
        report: &UpstreamReport,
        known: bool,
        out: &mut Vec<Effect>,
    ) {
        if report.standing != UpstreamState::Serving || self.debounce_introduction(now_ms, report) {
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
            self.open_proposal(
                now_ms,
                change,
                Purpose::System,
                SYSTEM_PROPOSAL_TIMEOUT_MS,
                out,
            );
        }
    }

    /// Whether this upstream was proposed recently; if not, records that it is now.
    /// Every entry instance of the zone hears the upstream each second, and each
    /// proposal costs an entry in the log.
    fn debounce_introduction(&mut self, now_ms: u64, report: &UpstreamReport) -> bool {
        let again_ms = now_ms + SYSTEM_PROPOSAL_TIMEOUT_MS;
        match self.introduction_retry_ms.get_mut(&report.instance) {
            Some(until_ms) if *until_ms > now_ms => true,
            Some(until_ms) => {
                *until_ms = again_ms;
                false
            }
            None => {
                self.introduction_retry_ms
                    .insert(report.instance.clone(), again_ms);
                false
            }
        }
    }

    /// Records a report, received directly or through a peer.
    pub(super) fn record_report(
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
        self.drive_dispatcher(now_ms, input, out);
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
        self.open_proposal(
            now_ms,
            change,
            Purpose::System,
            SYSTEM_PROPOSAL_TIMEOUT_MS,
            out,
        );
    }
}

/// Returns the order for an instance. It depends only on the replicated state, so that
/// every entry instance gives the same order.
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
