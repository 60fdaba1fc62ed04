//! Requests of operators: changes, queries and explanations.

use serde_json::{Value, json};

use crate::maintenance::{FleetCommand, Trail, plan};
use crate::model::{EntryName, PoolName, RowKey, ServiceName, WorkspaceName, ZoneName};
use crate::state::{Change, JobId, Reply, scoped_key};
use crate::table;

use super::super::{Effect, OperatorAnswer, OperatorId, OperatorRequest, Subject};
use super::{Node, Purpose};

/// How long an operator's change is resent before the answer is `unknown`.
const CHANGE_TIMEOUT_MS: u64 = 5_000;
/// How long the answer to an accepted change waits until the change is in force
/// everywhere. Entry instances that have not confirmed it are named in the answer.
const IN_FORCE_WAIT_MS: u64 = 1_500;

/// An accepted change that some entry instances have not confirmed yet.
#[derive(Debug)]
pub(super) struct UnconfirmedChange {
    id: OperatorId,
    index: u64,
    since_ms: u64,
}

impl Node {
    pub(super) fn handle_operator_request(
        &mut self,
        now_ms: u64,
        id: OperatorId,
        request: OperatorRequest,
        out: &mut Vec<Effect>,
    ) {
        let answer = match request {
            OperatorRequest::Status => OperatorAnswer::Ok(json!(self.status(now_ms))),
            OperatorRequest::Metrics => OperatorAnswer::Metrics(Box::new(self.status(now_ms))),
            OperatorRequest::Table => self.table_sheet(),
            OperatorRequest::CheckTable { sheet } => self.check_table(&sheet),
            OperatorRequest::Pools => OperatorAnswer::Ok(self.pools_json()),
            OperatorRequest::Waves => OperatorAnswer::Ok(self.waves_json()),
            OperatorRequest::PlanWave { spec } => {
                let plan = plan(self.state.fleet(), &spec);
                OperatorAnswer::Ok(json!({ "plan": plan.to_string() }))
            }
            OperatorRequest::Explain(subject) => self.explain(&subject),
            OperatorRequest::PutTable {
                change,
                operator,
                sheet,
                confirm_jump,
            } => match table::read(&sheet[..]) {
                Ok(rows) => {
                    let change = Change::PutRows {
                        change,
                        operator,
                        rows,
                        confirm_jump,
                    };
                    return self.operator_change(now_ms, id, change, out);
                }
                // The table is refused in any case: report every wrong cell at once,
                // also those that only the state reveals.
                Err(_) => match table::review(&sheet[..], confirm_jump, &self.state) {
                    Ok(_) => OperatorAnswer::Refused(json!({ "refused": "send it again" })),
                    Err(errors) => OperatorAnswer::Refused(cell_errors_json(&errors)),
                },
            },
            OperatorRequest::Fleet {
                change,
                operator,
                command,
            } => match command_refusal(&command) {
                None => {
                    let change = Change::Fleet {
                        change: Some(change),
                        by: operator,
                        command,
                    };
                    return self.operator_change(now_ms, id, change, out);
                }
                Some(line) => OperatorAnswer::Refused(json!({ "refused": line })),
            },
        };
        out.push(Effect::AnswerOperator { id, answer });
    }

    fn operator_change(
        &mut self,
        now_ms: u64,
        id: OperatorId,
        change: Change,
        out: &mut Vec<Effect>,
    ) {
        self.open_proposal(
            now_ms,
            change,
            Purpose::Operator(id),
            CHANGE_TIMEOUT_MS,
            out,
        );
    }

    /// Answers an operator whose change was applied, or waits until it is in force
    /// everywhere.
    pub(super) fn handle_operator_reply(
        &mut self,
        now_ms: u64,
        id: OperatorId,
        index: u64,
        reply: Reply,
        out: &mut Vec<Effect>,
    ) {
        let refused = match reply {
            Reply::Accepted => {
                self.unconfirmed_changes.push(UnconfirmedChange {
                    id,
                    index,
                    since_ms: now_ms,
                });
                return self.answer_confirmed_changes(now_ms, out);
            }
            Reply::Rows(errors) => cell_errors_json(&errors),
            Reply::Fleet(refusal) => json!({ "refused": refusal.to_string() }),
            Reply::ChangeReused => json!({
                "refused": "change id: it was used before for another change: send a new one"
            }),
            _ => {
                let line = "the change was not recognised: send it again under the same id";
                let answer = OperatorAnswer::Unknown(line.into());
                return out.push(Effect::AnswerOperator { id, answer });
            }
        };
        let answer = OperatorAnswer::Refused(refused);
        out.push(Effect::AnswerOperator { id, answer });
    }

    /// Answers operators whose change is in force everywhere, or not in time.
    pub(super) fn answer_confirmed_changes(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        for forcing in std::mem::take(&mut self.unconfirmed_changes) {
            let (mut in_force, behind) = self.split_by_index(forcing.index);
            if !behind.is_empty() && now_ms < forcing.since_ms + IN_FORCE_WAIT_MS {
                self.unconfirmed_changes.push(forcing);
                continue;
            }
            in_force.push(self.settings.me.clone());
            in_force.sort();
            let answer = OperatorAnswer::Ok(json!({
                "index": forcing.index,
                "in_force": in_force,
                "behind": behind,
                "after_ms": now_ms.saturating_sub(forcing.since_ms),
            }));
            let id = forcing.id;
            out.push(Effect::AnswerOperator { id, answer });
        }
    }

    fn split_by_index(&self, index: u64) -> (Vec<EntryName>, Vec<EntryName>) {
        let (mut in_force, mut behind) = (Vec::new(), Vec::new());
        for (name, peer) in &self.peers {
            if peer.applied_index >= index {
                in_force.push(name.clone());
            } else {
                behind.push(name.clone());
            }
        }
        (in_force, behind)
    }

    fn table_sheet(&self) -> OperatorAnswer {
        let mut sheet = Vec::new();
        match table::write(&mut sheet, self.state.rows()) {
            Ok(()) => OperatorAnswer::Sheet(sheet),
            Err(err) => OperatorAnswer::Refused(json!({ "refused": err.to_string() })),
        }
    }

    fn check_table(&self, sheet: &[u8]) -> OperatorAnswer {
        match table::review(sheet, false, &self.state) {
            Ok(rows) => OperatorAnswer::Ok(json!({ "rows": rows.len() })),
            Err(errors) => OperatorAnswer::Refused(cell_errors_json(&errors)),
        }
    }

    fn pools_json(&self) -> Value {
        let fleet = self.state.fleet();
        let pools: Vec<Value> = fleet
            .pools()
            .values()
            .map(|pool| {
                let instances: Vec<_> = fleet
                    .instances()
                    .values()
                    .filter(|instance| instance.pool == pool.name)
                    .collect();
                json!({
                    "name": pool.name,
                    "budget": pool.budget,
                    "budget_use": self.budget_use(&pool.name),
                    "services": pool.services,
                    "instances": instances,
                })
            })
            .collect();
        json!({ "pools": pools })
    }

    pub(super) fn budget_use(&self, pool: &PoolName) -> String {
        let budget_use = self.state.fleet().budget_use(pool);
        budget_use.map_or_else(String::new, |used| used.to_string())
    }

    fn waves_json(&self) -> Value {
        let waves: Vec<Value> = self
            .state
            .fleet()
            .waves()
            .values()
            .map(|wave| {
                json!({
                    "name": wave.spec.name,
                    "kind": wave.spec.kind,
                    "state": wave.state.to_string(),
                    "pending": wave.pending_len(),
                    "out": wave.out.keys().collect::<Vec<_>>(),
                    "done": wave.done,
                    "left_out": wave.left_out,
                    "started_unix_ms": wave.started_unix_ms,
                    "ended_unix_ms": wave.ended_unix_ms,
                })
            })
            .collect();
        json!({ "waves": waves })
    }

    fn explain(&self, subject: &Subject) -> OperatorAnswer {
        let fleet = self.state.fleet();
        let found = match subject {
            Subject::Instance(name) => {
                let name = name.as_str().into();
                fleet.explain_instance(&name).map(|trail| {
                    json!({
                        "instance": fleet.instances().get(&name),
                        "failed": fleet.is_failed(&name),
                        "waits_for": self.waits_for(&name),
                        "decisions": trail_json(trail),
                    })
                })
            }
            Subject::Pool(name) => {
                let name = name.as_str().into();
                fleet.explain_pool(&name).map(|trail| {
                    json!({
                        "budget_use": self.budget_use(&name),
                        "decisions": trail_json(trail),
                    })
                })
            }
            Subject::Wave(name) => fleet
                .explain_wave(&name.as_str().into())
                .map(|trail| json!({ "decisions": trail_json(trail) })),
            Subject::Row(name) => self.explain_row(name),
            Subject::Request(name) => self.explain_request(name),
        };
        match found {
            Some(value) => OperatorAnswer::Ok(value),
            None => OperatorAnswer::Refused(json!({
                "refused": "nothing is known by this name: check it, and ask the entry \
                            instance that took the request"
            })),
        }
    }

    fn explain_row(&self, name: &str) -> Option<Value> {
        let key = match name.split_once('/') {
            Some((service, zone)) => RowKey::Service {
                service: ServiceName::from(service),
                zone: ZoneName::from(zone),
            },
            None => RowKey::Team {
                team: WorkspaceName::from(name),
            },
        };
        let steps: Vec<Value> = self.state.row_trail(&key).map(|s| json!(s)).collect();
        let row = self.state.rows().get(&key);
        (row.is_some() || !steps.is_empty()).then(|| json!({ "in_force": row, "changes": steps }))
    }

    fn explain_request(&self, name: &str) -> Option<Value> {
        if let Some(job) = self.state.job(&JobId::from(name)) {
            return Some(json!({
                "service": job.service,
                "phase": job.phase,
                "fence": job.fence,
                "decisions": job.trail,
            }));
        }
        let mut parts = name.splitn(3, '/');
        let (team, caller, key) = (parts.next()?, parts.next()?, parts.next()?);
        let key = scoped_key(&team.into(), caller, key);
        let claim = self.state.claim(&key)?;
        Some(json!({
            "phase": claim.phase,
            "fence": claim.fence,
            "decisions": claim.trail,
        }))
    }
}

fn trail_json(trail: &Trail) -> Value {
    json!(trail)
}

fn cell_errors_json(errors: &[table::CellError]) -> Value {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    json!({ "errors": lines })
}

/// Returns why an operator may not propose a command. Some commands are reserved for
/// the system itself, as they record what was proved or observed.
fn command_refusal(command: &FleetCommand) -> Option<&'static str> {
    match command {
        FleetCommand::PutPool { .. }
        | FleetCommand::RemovePool { .. }
        | FleetCommand::Drain { .. }
        | FleetCommand::Undrain { .. }
        | FleetCommand::StartMove { .. }
        | FleetCommand::AbortMove { .. }
        | FleetCommand::StartWave { .. }
        | FleetCommand::StopWave { .. }
        | FleetCommand::SetAside { .. }
        | FleetCommand::Restore { .. } => None,
        _ => Some("this change is the system's own: drain, move, restore or start a wave"),
    }
}
