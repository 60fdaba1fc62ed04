use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use super::{ConfigurationFault, KeyDigest, Workspace};
use crate::model::WorkspaceName;

/// Who may call which queue: the workspaces with their keys, and the queues that anyone may
/// call.
///
/// Keys are found by one look-up of their digest, whatever the number of workspaces.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "StoredAccess", into = "StoredAccess")]
pub struct Access {
    workspaces: Vec<Workspace>,
    anonymous: BTreeSet<String>,
    by_key: HashMap<KeyDigest, usize>,
    by_name: BTreeMap<WorkspaceName, usize>,
}

/// The encoded form of [`Access`], without the indexes.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredAccess {
    workspaces: Vec<Workspace>,
    anonymous: BTreeSet<String>,
}

impl From<StoredAccess> for Access {
    fn from(stored: StoredAccess) -> Self {
        Self::new(stored.workspaces, stored.anonymous)
    }
}

impl From<Access> for StoredAccess {
    fn from(access: Access) -> Self {
        Self {
            workspaces: access.workspaces,
            anonymous: access.anonymous,
        }
    }
}

impl PartialEq for Access {
    fn eq(&self, other: &Self) -> bool {
        self.workspaces == other.workspaces && self.anonymous == other.anonymous
    }
}

/// How a caller identified itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Credentials {
    /// Without a key.
    Missing,
    /// With something that holds no key, or with several keys.
    Malformed,
    /// With a key; its digest.
    Key(KeyDigest),
}

/// Why a caller is not identified.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum CredentialsFault {
    /// No key was sent.
    #[display("key-missing")]
    Missing,
    /// The header holds no key, or there are several headers.
    #[display("key-malformed")]
    Malformed,
    /// The configuration in force does not have the key.
    #[display("key-unknown")]
    Unknown,
}

impl Access {
    /// Returns the access rules of these workspaces and anonymous queues.
    pub fn new(workspaces: Vec<Workspace>, anonymous: BTreeSet<String>) -> Self {
        let keys = workspaces.iter().enumerate();
        let by_key = keys
            .flat_map(|(index, workspace)| workspace.keys.iter().map(move |key| (*key, index)))
            .collect();
        let names = workspaces.iter().enumerate();
        let by_name = names
            .map(|(index, workspace)| (workspace.name.clone(), index))
            .collect();
        Self {
            workspaces,
            anonymous,
            by_key,
            by_name,
        }
    }

    /// Validates the workspaces.
    ///
    /// # Errors
    /// Returns the first fault found. It names workspaces and shows no key.
    pub fn check(&self) -> Result<(), ConfigurationFault> {
        let mut names = BTreeSet::new();
        let mut owners: HashMap<KeyDigest, &Workspace> = HashMap::new();
        for workspace in &self.workspaces {
            let name = &workspace.name;
            if name.as_str().trim().is_empty() {
                return Err(ConfigurationFault::NamelessWorkspace);
            }
            if !names.insert(name) {
                return Err(ConfigurationFault::SameWorkspace {
                    workspace: name.to_string(),
                });
            }
            if !workspace.weight.is_finite() || workspace.weight < 0.0 {
                return Err(ConfigurationFault::NegativeLimit {
                    workspace: name.to_string(),
                    field: "weight",
                });
            }
            for key in &workspace.keys {
                match owners.insert(*key, workspace) {
                    Some(other) if other.name == *name => {
                        return Err(ConfigurationFault::RepeatedKey {
                            workspace: name.to_string(),
                        });
                    }
                    Some(other) => {
                        return Err(ConfigurationFault::SharedKey {
                            first: other.name.to_string(),
                            second: name.to_string(),
                        });
                    }
                    None => {}
                }
            }
        }
        Ok(())
    }

    /// Returns the workspace of a caller.
    ///
    /// # Errors
    /// Returns an error if the caller sent no key, or none that a workspace has.
    pub fn identify(&self, credentials: &Credentials) -> Result<&Workspace, CredentialsFault> {
        let index = match credentials {
            Credentials::Missing => return Err(CredentialsFault::Missing),
            Credentials::Malformed => return Err(CredentialsFault::Malformed),
            Credentials::Key(digest) => self.by_key.get(digest),
        };
        let workspace = index.and_then(|index| self.workspaces.get(*index));
        workspace.ok_or(CredentialsFault::Unknown)
    }

    /// Returns whether anyone may call a queue.
    pub fn is_anonymous(&self, queue: &str) -> bool {
        self.anonymous.contains(queue)
    }

    /// Returns the workspace with this name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.get(*self.by_name.get(name)?)
    }

    /// Returns all workspaces.
    pub fn workspaces(&self) -> &[Workspace] {
        &self.workspaces
    }
}
