use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Access, ConfigurationFault, Queue, Workspace};
use crate::codec::CodecError;
use crate::model::PoolName;

/// Largest encoded configuration. 70 pools with 210 teams' quotas each and 1,000 queues take
/// some 1.2 MiB. A configuration has to fit into one message between instances, which has
/// 4 MiB at most.
pub const CONFIGURATION_LIMIT_BYTES: usize = 3 << 20;

/// A whole configuration: queues, pools and workspaces under one version.
///
/// It holds both the parsed form and the document as its author sent it, which is returned
/// unchanged when it is read back. The document holds keys, so `Debug` shows only its size.
///
/// It is encoded with [`Self::encode`]. Its own `Serialize` is the layout of earlier builds,
/// which has no workspaces, and refuses a configuration that has some.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize, derive_more::Debug)]
pub struct Configuration {
    /// Version; the highest one is in force.
    pub version: u64,
    /// The queues that accept jobs.
    pub queues: Vec<Queue>,
    /// The pools, each with whether it is a standby pool, whose machines are off.
    pub pools: BTreeMap<PoolName, bool>,
    /// The document as it was sent.
    #[debug("{} bytes", document.len())]
    pub document: Arc<Vec<u8>>,
    /// Who may call which queue; `None` if the deployment has no workspaces and anyone may
    /// call every queue.
    #[serde(with = "no_access")]
    pub access: Option<Access>,
}

/// The absent [`Configuration::access`] in the layout of earlier builds.
mod no_access {
    use serde::ser::Error;
    use serde::{Deserializer, Serializer};

    use super::Access;

    pub(super) fn serialize<S: Serializer>(
        access: &Option<Access>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match access {
            None => serializer.serialize_unit(),
            Some(_) => Err(S::Error::custom("workspaces have no place in this layout")),
        }
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(_: D) -> Result<Option<Access>, D::Error> {
        Ok(None)
    }
}

impl Configuration {
    /// Returns whether the configuration says whose work is to go first where room is scarce:
    /// queues differ in priority, or workspaces have shares.
    pub fn ranks_work(&self) -> bool {
        let mut priorities = self.queues.iter().map(|queue| queue.priority);
        let first = priorities.next();
        self.access.is_some() || priorities.any(|priority| Some(priority) != first)
    }

    /// Validates the configuration.
    ///
    /// # Errors
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), ConfigurationFault> {
        let limit_bytes = CONFIGURATION_LIMIT_BYTES;
        let size_bytes = self.size_bytes();
        if size_bytes > limit_bytes {
            return Err(ConfigurationFault::TooLarge {
                size_bytes,
                limit_bytes,
            });
        }
        let mut places = BTreeMap::new();
        for queue in &self.queues {
            if !self.pools.contains_key(&queue.pool) {
                return Err(ConfigurationFault::UnknownPool {
                    queue: queue.name.clone(),
                    pool: queue.pool.to_string(),
                });
            }
            if queue.timeout_ms == 0 {
                return Err(ConfigurationFault::NoTimeout {
                    queue: queue.name.clone(),
                });
            }
            let place = (queue.host.to_ascii_lowercase(), &queue.path_prefix);
            if let Some(first) = places.insert(place, &queue.name) {
                return Err(ConfigurationFault::SamePlace {
                    first: first.clone(),
                    second: queue.name.clone(),
                });
            }
        }
        self.access.as_ref().map_or(Ok(()), Access::check)
    }

    /// Encodes the configuration: the layout of earlier builds, followed by the workspaces
    /// if there are any.
    pub fn encode(&self) -> Vec<u8> {
        let Some(access) = &self.access else {
            return crate::codec::encode(self);
        };
        let queues_and_pools = Self {
            access: None,
            ..self.clone()
        };
        let mut bytes = crate::codec::encode(&queues_and_pools);
        bytes.extend(crate::codec::encode(access));
        bytes
    }

    /// Decodes what [`Self::encode`] returned, also that of an earlier build.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a valid configuration.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        let (mut configuration, rest) = crate::codec::decode_prefix::<Self>(bytes)?;
        if !rest.is_empty() {
            configuration.access = Some(crate::codec::decode(rest)?);
        }
        Ok(configuration)
    }

    /// Returns the encoded size in bytes.
    pub fn size_bytes(&self) -> usize {
        self.encode().len()
    }

    /// Returns the queue of a host whose prefix is the longest match for a path.
    pub fn queue_at(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|q| q.host.eq_ignore_ascii_case(host) && path.starts_with(&q.path_prefix))
            .max_by_key(|q| q.path_prefix.len())
    }

    /// Returns all queues by name, for callers that look up many: with some hundred queues, a
    /// linear search for every job took most of the leader's processor time.
    pub fn queues_by_name(&self) -> BTreeMap<&str, &Queue> {
        self.queues.iter().map(|q| (q.name.as_str(), q)).collect()
    }

    /// Returns the queue with this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| q.name == name)
    }

    /// Returns the workspace with this name, if it is configured.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.access.as_ref()?.workspace(name)
    }

    /// Returns the standby pools, whose machines are off until they are needed.
    pub fn standby(&self) -> BTreeSet<&PoolName> {
        let standby = self.pools.iter().filter(|(_, standby)| **standby);
        standby.map(|(pool, _)| pool).collect()
    }
}
