//! Names and ids, each with its own type so that they cannot be confused.
//!
//! A name is a shared string, cheap to clone. Names are ordered by their text, so
//! that every process iterates over a map of names in the same order.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            derive_more::Display, derive_more::From,
        )]
        #[serde(transparent)]
        #[from(&str, String)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name!(
    /// Name of a worker machine that runs requests.
    InstanceName
);
name!(
    /// Name of an availability zone.
    ZoneName
);
name!(
    /// Name of a region, which has one or more availability zones.
    RegionName
);
name!(
    /// Name of a rack in an availability zone, whose instances fail together.
    RackName
);
name!(
    /// Name of a pool of instances.
    PoolName
);
name!(
    /// Name of a service that callers request.
    ServiceName
);
name!(
    /// Name of a workspace: a group of callers with a share and a quota. Tables of weights
    /// and limits call it a team.
    WorkspaceName
);
name!(
    /// Name of an entry instance, a process of this system that accepts calls.
    EntryName
);
name!(
    /// A caller's idempotency key.
    RequestKey
);
name!(
    /// An operator's id for one change; a change sent again under the same id gets
    /// its first reply.
    ChangeId
);
name!(
    /// Name of a maintenance wave.
    WaveName
);
