use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::json;

use crate::consensus::{self, Single};
use crate::load::{self, Action, AttemptId, Naive, Request, RequestId, View};
use crate::maintenance::FleetCommand;
use crate::model::{Duty, EntryName, Outcome, RefusalReason, Standing, UpstreamReport, ZoneName};
use crate::state::{Change, Command, CommandId, Reply, State};
use crate::upstream_api::{AnnounceReply, Order};

use super::proposals::Proposals;
use super::{
    AttemptEnd, Call, CallAnswer, CallId, Directory, Effect, Event, Gossip, OperatorAnswer,
    OperatorId, OperatorRequest, PeerFrame, PeerMessage, Sending,
};

/// How long an operator's change is tried before the answer is `unknown`.
const OPERATOR_PATIENCE_MS: u64 = 5_000;
/// How long the system's own changes are tried; they are proposed anew from what
/// is seen then.
const SYSTEM_PATIENCE_MS: u64 = 2_000;
/// How long an upstream that is not heard is remembered, for `status`.
const FORGET_MS: u64 = 600_000;

/// What an entry instance is told at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Its name.
    pub me: EntryName,
    /// Counts its starts; any number that never comes again for this name.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: ZoneName,
    /// All entry instances of the system, this one included, with their zones.
    pub members: BTreeMap<EntryName, ZoneName>,
    /// How long an upstream's report counts.
    pub upstream_lease_ms: u64,
    /// How often an upstream reports.
    pub refresh_ms: u64,
    /// How often peers hear of upstreams and load.
    pub gossip_ms: u64,
    /// After what silence a peer counts as gone.
    pub peer_gone_ms: u64,
}

/// A whole entry instance without its edges.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    replica: Single,
    state: State,
    applied_index: u64,
    dispatcher: Naive,
    directory: Directory,
    peers: BTreeMap<EntryName, Peer>,
    proposals: Proposals<Purpose>,
    next_sequence: u64,
    next_request: u64,
    requests: BTreeMap<RequestId, Open>,
    calls: BTreeMap<CallId, RequestId>,
    last_gossip_ms: u64,
    outbox: BTreeMap<EntryName, Vec<PeerMessage>>,
    stopping: bool,
    stopped: bool,
    unix_offset_ms: u64,
}

/// What is known of a peer's link.
#[derive(Debug, Default)]
struct Peer {
    incarnation: u64,
    newest_sent_ms: Option<u64>,
    heard_ms: u64,
    applied_index: u64,
    gone: bool,
}

/// Why a command was proposed.
#[derive(Debug)]
enum Purpose {
    Operator(OperatorId),
    System,
}

/// A request between its arrival and its answer.
#[derive(Debug)]
struct Open {
    call: Call,
    id: CallId,
    deadline_ms: u64,
    gone: bool,
    answer: Option<(AttemptId, u16, Vec<u8>)>,
}

impl Node {
    /// An entry instance at its start. `unix_offset_ms` turns its clock into
    /// Unix time.
    pub fn new(settings: NodeSettings, unix_offset_ms: u64, now_ms: u64) -> Self {
        let others: Vec<EntryName> = settings
            .members
            .keys()
            .filter(|name| **name != settings.me)
            .cloned()
            .collect();
        let leader = settings
            .members
            .keys()
            .next()
            .unwrap_or(&settings.me)
            .clone();
        let peers = others
            .iter()
            .map(|name| (name.clone(), Peer::default()))
            .collect();
        Self {
            replica: Single::new(settings.me.clone(), leader, others),
            state: State::default(),
            applied_index: 0,
            dispatcher: Naive::new(settings.zone.clone()),
            directory: Directory::default(),
            peers,
            proposals: Proposals::default(),
            next_sequence: 1,
            next_request: 1,
            requests: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_gossip_ms: now_ms,
            outbox: BTreeMap::new(),
            stopping: false,
            stopped: false,
            unix_offset_ms,
            settings,
        }
    }

    /// Takes one event and returns what to do, in order.
    pub fn handle(&mut self, now_ms: u64, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now_ms, &mut out),
            Event::Call { id, call } => self.call(now_ms, id, call, &mut out),
            Event::CallerGone { id } => self.caller_gone(now_ms, id, &mut out),
            Event::Announced { id, report } => self.announced(now_ms, id, &report, &mut out),
            Event::AttemptEnded {
                request,
                attempt,
                run_us,
                end,
            } => self.attempt_ended(now_ms, request, attempt, run_us, end, &mut out),
            Event::Peer { from, frame } => self.peer(now_ms, &from, frame, &mut out),
            Event::Persisted { token } => {
                self.log(now_ms, consensus::Input::Persisted { token }, &mut out);
            }
            Event::Operator { id, request } => self.operator(now_ms, id, request, &mut out),
            Event::Stop => self.stopping = true,
        }
        self.flush(now_ms, &mut out);
        if self.stopping && self.requests.is_empty() && !self.stopped {
            self.stopped = true;
            out.push(Effect::Stopped);
        }
        out
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    fn tick(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        self.log(now_ms, consensus::Input::Tick, out);
        for command in self.proposals.due(now_ms) {
            self.propose(now_ms, &command, out);
        }
        for (_, purpose) in self.proposals.given_up(now_ms) {
            if let Purpose::Operator(id) = purpose {
                let answer = OperatorAnswer::Unknown(
                    "the replicated log did not confirm the change in time; \
                     send it again under the same change id"
                        .into(),
                );
                out.push(Effect::AnswerOperator { id, answer });
            }
        }
        self.note_gone_peers(now_ms, out);
        if self.last_gossip_ms + self.settings.gossip_ms <= now_ms {
            self.last_gossip_ms = now_ms;
            self.gossip(now_ms);
        }
        let fresh = self.replica.status().fresh;
        self.load(now_ms, load::Input::ViewFresh(fresh), out);
        self.load(now_ms, load::Input::Tick, out);
        self.directory.forget(now_ms, FORGET_MS);
    }

    fn note_gone_peers(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let limit_ms = self.settings.peer_gone_ms;
        let gone: Vec<EntryName> = self
            .peers
            .iter_mut()
            .filter(|(_, peer)| !peer.gone && peer.heard_ms + limit_ms <= now_ms)
            .map(|(name, peer)| {
                peer.gone = true;
                name.clone()
            })
            .collect();
        for name in gone {
            self.load(now_ms, load::Input::PeerGone(name), out);
        }
    }

    // Callers.

    fn call(&mut self, now_ms: u64, id: CallId, call: Call, out: &mut Vec<Effect>) {
        if self.stopping {
            let outcome = Outcome::NotRun {
                reason: RefusalReason::Stopping,
                retry_after_ms: Some(0),
            };
            let answer = CallAnswer::Outcome(outcome);
            out.push(Effect::AnswerCall { id, answer });
            return;
        }
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let class = self
            .state
            .fleet()
            .carrier(&call.service)
            .and_then(|pool| pool.services.iter().find(|s| s.name == call.service))
            .map(|service| service.class);
        let Some(class) = class else {
            let outcome = Outcome::NotRun {
                reason: RefusalReason::UnknownService,
                retry_after_ms: None,
            };
            let answer = CallAnswer::Outcome(outcome);
            out.push(Effect::AnswerCall { id, answer });
            return;
        };
        let deadline_ms = now_ms.saturating_add(call.deadline_ms);
        let offer = Request {
            id: request,
            service: call.service.clone(),
            class,
            team: call.team.clone(),
            caller: call.caller.clone(),
            idempotent: call.idempotent,
            deadline_ms,
        };
        self.calls.insert(id, request);
        let open = Open {
            call,
            id,
            deadline_ms,
            gone: false,
            answer: None,
        };
        self.requests.insert(request, open);
        self.load(now_ms, load::Input::Offer(offer), out);
    }

    fn caller_gone(&mut self, now_ms: u64, id: CallId, out: &mut Vec<Effect>) {
        let Some(request) = self.calls.remove(&id) else {
            return;
        };
        if let Some(open) = self.requests.get_mut(&request) {
            open.gone = true;
        }
        self.load(now_ms, load::Input::Cancel(request), out);
    }

    fn attempt_ended(
        &mut self,
        now_ms: u64,
        request: RequestId,
        attempt: AttemptId,
        run_us: u64,
        end: AttemptEnd,
        out: &mut Vec<Effect>,
    ) {
        let input = match end {
            AttemptEnd::Answer { status, body } => {
                if let Some(open) = self.requests.get_mut(&request) {
                    open.answer = Some((attempt, status, body));
                }
                load::Input::Finished {
                    request,
                    attempt,
                    status,
                    run_us,
                }
            }
            AttemptEnd::Refused(refusal) => load::Input::Refused {
                request,
                attempt,
                refusal,
            },
            AttemptEnd::Lost => load::Input::Lost {
                request,
                attempt,
                run_us,
            },
        };
        self.load(now_ms, input, out);
    }

    fn load(&mut self, now_ms: u64, input: load::Input<'_>, out: &mut Vec<Effect>) {
        for action in self.dispatcher.handle(now_ms, input) {
            match action {
                Action::Dispatch {
                    request,
                    attempt,
                    instance,
                    incarnation,
                    pool_epoch,
                } => {
                    let sending =
                        self.sending(now_ms, request, attempt, &instance, incarnation, pool_epoch);
                    out.extend(sending.map(Effect::Send));
                }
                Action::Deliver { request, attempt } => self.deliver(request, attempt, out),
                Action::Refuse {
                    request,
                    reason,
                    retry_after_ms,
                } => {
                    let outcome = Outcome::NotRun {
                        reason,
                        retry_after_ms,
                    };
                    self.answer(request, outcome, out);
                }
                Action::GiveUpUnknown { request } => self.answer(request, Outcome::Unknown, out),
            }
        }
    }

    fn sending(
        &self,
        now_ms: u64,
        request: RequestId,
        attempt: AttemptId,
        instance: &crate::model::InstanceName,
        incarnation: u64,
        pool_epoch: u64,
    ) -> Option<Sending> {
        let open = self.requests.get(&request)?;
        let known = self.directory.get(instance)?;
        let pool = self.state.fleet().carrier(&open.call.service)?;
        let service = pool.services.iter().find(|s| s.name == open.call.service)?;
        Some(Sending {
            request,
            attempt,
            instance: instance.clone(),
            address: known.report.address.clone(),
            incarnation,
            service: open.call.service.clone(),
            pool: pool.name.clone(),
            pool_epoch,
            class: service.class,
            idempotent: open.call.idempotent,
            key: open.call.key.clone(),
            fence: None,
            timeout_ms: open.deadline_ms.saturating_sub(now_ms).max(1),
            body: Arc::clone(&open.call.body),
        })
    }

    fn deliver(&mut self, request: RequestId, attempt: AttemptId, out: &mut Vec<Effect>) {
        let answer = self
            .requests
            .get_mut(&request)
            .and_then(|open| open.answer.take());
        let outcome = match answer {
            Some((of, status, body)) if of == attempt => Outcome::Done { status, body },
            _ => Outcome::Unknown,
        };
        self.answer(request, outcome, out);
    }

    fn answer(&mut self, request: RequestId, outcome: Outcome, out: &mut Vec<Effect>) {
        let Some(open) = self.requests.remove(&request) else {
            return;
        };
        self.calls.remove(&open.id);
        if !open.gone {
            out.push(Effect::AnswerCall {
                id: open.id,
                answer: CallAnswer::Outcome(outcome),
            });
        }
    }

    // Upstreams.

    fn announced(
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
        if instance.is_none() && report.standing == Standing::Serving {
            let command = FleetCommand::Join {
                instance: report.instance.clone(),
                zone: report.zone.clone(),
                rack: report.rack.clone(),
                pool: report.pool.clone(),
            };
            self.change_fleet(now_ms, command, out);
        }
        let order = match instance.as_ref().map(|i| &i.duty) {
            None | Some(Duty::Serving) => Order::Serve,
            Some(Duty::Draining { .. } | Duty::Away { .. }) => Order::Drain,
        };
        out.push(Effect::AnswerAnnounce {
            id,
            reply: AnnounceReply {
                lease_ms: self.settings.upstream_lease_ms,
                refresh_ms: self.settings.refresh_ms,
                pool: instance.as_ref().map(|i| i.pool.clone()),
                pool_epoch: instance.as_ref().map_or(0, |i| i.epoch),
                order,
            },
        });
    }

    fn hear(
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
        let input = load::Input::Report {
            report,
            lease_until_ms: heard_ms + self.settings.upstream_lease_ms,
        };
        self.load(now_ms, input, out);
    }

    fn change_fleet(&mut self, now_ms: u64, command: FleetCommand, out: &mut Vec<Effect>) {
        let change = Change::Fleet {
            change: None,
            by: self.settings.me.to_string(),
            command,
        };
        self.open_proposal(now_ms, change, Purpose::System, SYSTEM_PATIENCE_MS, out);
    }

    // The replicated log.

    fn open_proposal(
        &mut self,
        now_ms: u64,
        change: Change,
        purpose: Purpose,
        patience_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let command = Command {
            id: CommandId {
                entry: self.settings.me.clone(),
                incarnation: self.settings.incarnation,
                sequence: self.next_sequence,
            },
            at_unix_ms: self.unix_offset_ms + now_ms,
            change,
        };
        self.next_sequence += 1;
        self.proposals
            .open(now_ms, command.clone(), purpose, patience_ms);
        self.propose(now_ms, &command, out);
    }

    fn propose(&mut self, now_ms: u64, command: &Command, out: &mut Vec<Effect>) {
        let bytes = crate::codec::encode(command);
        let input = consensus::Input::Propose { command: bytes };
        self.log(now_ms, input, out);
    }

    fn log(&mut self, now_ms: u64, input: consensus::Input, out: &mut Vec<Effect>) {
        let mut changed = false;
        for action in self.replica.handle(now_ms, input) {
            match action {
                consensus::Action::Send { to, message } => {
                    let messages = self.outbox.entry(to).or_default();
                    messages.push(PeerMessage::Log(message));
                }
                consensus::Action::Apply { entries } => {
                    for entry in entries {
                        self.applied_index = entry.index;
                        changed |= self.apply(&entry.command, out);
                    }
                }
                consensus::Action::Restore { .. } | consensus::Action::TakeSnapshot => {}
            }
        }
        if changed {
            let view = self.view();
            self.load(now_ms, load::Input::View(view), out);
        }
    }

    fn apply(&mut self, bytes: &[u8], out: &mut Vec<Effect>) -> bool {
        if bytes.is_empty() {
            return false;
        }
        let Ok(command) = crate::codec::decode::<Command>(bytes) else {
            tracing::error!("log: a committed command cannot be read; it is left out");
            return false;
        };
        let reply = self.state.apply(&command);
        let mine = command.id.entry == self.settings.me
            && command.id.incarnation == self.settings.incarnation;
        if mine && let Some(Purpose::Operator(id)) = self.proposals.applied(&command.id) {
            let answer = match reply {
                Reply::Accepted => OperatorAnswer::Ok(json!({ "accepted": self.applied_index })),
                Reply::Fleet(refusal) => {
                    OperatorAnswer::Refused(json!({ "refused": refusal.to_string() }))
                }
            };
            out.push(Effect::AnswerOperator { id, answer });
        }
        true
    }

    fn view(&self) -> View {
        let fleet = self.state.fleet();
        let carriers = fleet
            .pools()
            .values()
            .flat_map(|pool| {
                pool.services
                    .iter()
                    .map(|service| (service.name.clone(), pool.name.clone()))
            })
            .collect();
        View {
            pools: fleet.pools().clone(),
            carriers,
            instances: fleet.instances().clone(),
            rows: self
                .state
                .rows()
                .iter()
                .map(|(key, row)| (key.clone(), row.row))
                .collect(),
        }
    }

    // Peers.

    fn peer(&mut self, now_ms: u64, from: &EntryName, frame: PeerFrame, out: &mut Vec<Effect>) {
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        if frame.incarnation < peer.incarnation {
            return;
        }
        if frame.incarnation > peer.incarnation {
            peer.incarnation = frame.incarnation;
            peer.newest_sent_ms = None;
        }
        peer.newest_sent_ms = peer.newest_sent_ms.max(Some(frame.sent_ms));
        peer.heard_ms = now_ms;
        peer.gone = false;
        for message in frame.messages {
            match message {
                PeerMessage::Log(message) => {
                    let from = from.clone();
                    self.log(now_ms, consensus::Input::Message { from, message }, out);
                }
                PeerMessage::Gossip(gossip) => {
                    self.hear_gossip(now_ms, from, frame.echo_ms, gossip, out);
                }
            }
        }
    }

    fn hear_gossip(
        &mut self,
        now_ms: u64,
        from: &EntryName,
        echo_ms: Option<u64>,
        gossip: Gossip,
        out: &mut Vec<Effect>,
    ) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.applied_index = gossip.applied_index;
        }
        // Without an echo nothing bounds how long the frame was under way, and a
        // report of unknown age could bring back an upstream that has left.
        if let Some(echo_ms) = echo_ms {
            for (report, age_ms) in &gossip.reports {
                let heard_ms = echo_ms.saturating_sub(*age_ms).min(now_ms);
                self.hear(now_ms, report, heard_ms, false, out);
            }
        }
        let input = load::Input::PeerLoad {
            peer: from.clone(),
            in_flight: gossip.in_flight,
        };
        self.load(now_ms, input, out);
    }

    fn gossip(&mut self, now_ms: u64) {
        let lease_ms = self.settings.upstream_lease_ms;
        let reports = self
            .directory
            .iter()
            .filter_map(|(_, known)| {
                let age_ms = now_ms.saturating_sub(known.direct_ms?);
                (age_ms < lease_ms).then(|| (known.report.clone(), age_ms))
            })
            .collect();
        let gossip = Gossip {
            reports,
            in_flight: Vec::new(),
            applied_index: self.applied_index,
            stopping: self.stopping,
        };
        let names: Vec<EntryName> = self.peers.keys().cloned().collect();
        for name in names {
            let messages = self.outbox.entry(name).or_default();
            messages.push(PeerMessage::Gossip(gossip.clone()));
        }
    }

    fn flush(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        for (to, messages) in std::mem::take(&mut self.outbox) {
            let echo_ms = self.peers.get(&to).and_then(|peer| peer.newest_sent_ms);
            let frame = PeerFrame {
                incarnation: self.settings.incarnation,
                sent_ms: now_ms,
                echo_ms,
                messages,
            };
            out.push(Effect::Peer { to, frame });
        }
    }

    // Operators.

    fn operator(
        &mut self,
        now_ms: u64,
        id: OperatorId,
        request: OperatorRequest,
        out: &mut Vec<Effect>,
    ) {
        let change = match request {
            OperatorRequest::Status => {
                let answer = OperatorAnswer::Ok(self.status(now_ms));
                out.push(Effect::AnswerOperator { id, answer });
                return;
            }
            OperatorRequest::Table => {
                let rows: Vec<_> = self.state.rows().iter().collect();
                let answer = OperatorAnswer::Ok(json!({ "rows": rows }));
                out.push(Effect::AnswerOperator { id, answer });
                return;
            }
            OperatorRequest::PutRows {
                change,
                operator,
                rows,
            } => Change::PutRows {
                change,
                operator,
                rows,
            },
            OperatorRequest::PutPool {
                change,
                operator,
                pool,
            } => Change::Fleet {
                change: Some(change),
                by: operator,
                command: FleetCommand::PutPool { pool },
            },
        };
        let purpose = Purpose::Operator(id);
        self.open_proposal(now_ms, change, purpose, OPERATOR_PATIENCE_MS, out);
    }

    fn status(&self, now_ms: u64) -> serde_json::Value {
        let log = self.replica.status();
        let lease_ms = self.settings.upstream_lease_ms;
        let upstreams = self
            .directory
            .iter()
            .filter(|(_, known)| known.heard_ms + lease_ms > now_ms)
            .count();
        let peers: BTreeMap<&str, serde_json::Value> = self
            .peers
            .iter()
            .map(|(name, peer)| {
                let value = json!({ "gone": peer.gone, "applied_index": peer.applied_index });
                (name.as_str(), value)
            })
            .collect();
        json!({
            "entry": self.settings.me,
            "zone": self.settings.zone,
            "log": log,
            "applied_index": self.applied_index,
            "peers": peers,
            "upstreams": upstreams,
            "instances": self.state.fleet().instances().len(),
            "requests": self.requests.len(),
            "stopping": self.stopping,
        })
    }
}
