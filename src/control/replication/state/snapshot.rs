//! Snapshots of the state. What earlier builds do not know follows the layout that they read.

use std::sync::Arc;

use serde::{Deserialize, Serialize, Serializer};

use super::State;
use crate::codec::CodecError;
use crate::control::{
    Access, CancelledIds, Configuration, JobMemory, RunsByWorker, WorkspaceUsage,
};
use crate::jobs::JobId;
use crate::model::WorkspaceName;

/// The part of a snapshot about workspaces. It follows the layout of earlier builds, which
/// have none, and is left out if there is nothing in it and nothing behind it. The cancelled ids
/// follow it, if there are any; builds that do not know them ignore what follows.
#[derive(Default, PartialEq, Serialize, Deserialize)]
struct WorkspaceState {
    access: Option<Access>,
    /// The jobs that belong to a workspace.
    owners: Vec<(JobId, WorkspaceName)>,
}

/// Encodes a configuration in the layout of earlier builds, without its workspaces.
pub(super) fn without_access<S: Serializer>(
    configuration: &Option<Arc<Configuration>>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let without = configuration.as_ref().map(|configuration| Configuration {
        access: None,
        ..Configuration::clone(configuration)
    });
    without.serialize(serializer)
}

impl State {
    /// Encodes the state as a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = crate::codec::encode(self);
        let owned = self.jobs.iter();
        let workspaces = WorkspaceState {
            access: self.configuration().and_then(|c| c.access.clone()),
            owners: owned
                .filter_map(|(id, job)| Some((*id, job.workspace.clone()?)))
                .collect(),
        };
        let keeps_ids = !self.cancelled_ids.is_empty();
        if keeps_ids || workspaces != WorkspaceState::default() {
            bytes.extend(crate::codec::encode(&workspaces));
        }
        if keeps_ids {
            bytes.extend(crate::codec::encode(&self.cancelled_ids));
        }
        bytes
    }

    /// Decodes a snapshot and rebuilds the indexes that it does not hold.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a valid snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        let (mut state, rest) = crate::codec::decode_state::<Self>(bytes)?;
        if !rest.is_empty() {
            let (workspaces, rest) = crate::codec::decode_state::<WorkspaceState>(rest)?;
            if !rest.is_empty() {
                let (cancelled_ids, _) = crate::codec::decode_state::<CancelledIds>(rest)?;
                state.cancelled_ids = cancelled_ids;
            }
            if let Some(configuration) = &mut state.configuration {
                Arc::make_mut(configuration).access = workspaces.access;
            }
            for (id, workspace) in workspaces.owners {
                if let Some(job) = state.jobs.get_mut(&id) {
                    job.workspace = Some(workspace);
                }
            }
        }
        let jobs = state.jobs.iter();
        let jobs = jobs.map(|(id, job)| (job, state.active.contains(id)));
        state.memory = JobMemory::of(jobs);
        state.runs = RunsByWorker::of(state.active());
        let workers = state.workers.iter();
        let addresses = workers.map(|(name, worker)| (worker.report.address, name.clone()));
        state.addresses = addresses.collect();
        let workers = state.workers.iter();
        let machines = workers
            .filter_map(|(name, worker)| Some((worker.report.machine.clone()?, name.clone())));
        state.machines = machines.collect();
        state.usage = WorkspaceUsage::of(state.active());
        Ok(state)
    }
}
