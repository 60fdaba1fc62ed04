//! Names of things, one type each so that they cannot be mixed up.
//!
//! A name is cheap to clone (a shared string) and orders by its text, so that
//! decisions which walk a map of names do so in the same order on every process.

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
    /// A worker machine that runs requests.
    InstanceName
);
name!(
    /// An availability zone.
    ZoneName
);
name!(
    /// A rack inside an availability zone: instances that fail together.
    RackName
);
name!(
    /// A pool of instances.
    PoolName
);
name!(
    /// A service that callers ask for.
    ServiceName
);
name!(
    /// A team of callers with a quota.
    TeamName
);
name!(
    /// An entry instance of this system.
    EntryName
);
name!(
    /// A caller's idempotency key.
    RequestKey
);
name!(
    /// An operator's id for one change; a resent change gets its first answer.
    ChangeId
);
name!(
    /// A maintenance wave.
    WaveName
);
