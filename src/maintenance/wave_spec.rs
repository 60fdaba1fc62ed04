use serde::{Deserialize, Serialize};

use crate::model::{Instance, InstanceName, PoolName, RackName, WaveName, ZoneName};

use super::WaveWeights;

/// Settings of a maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaveSpec {
    /// Its unique name.
    pub name: WaveName,
    /// What is done to each instance.
    pub kind: WaveKind,
    /// The instances it visits.
    pub selection: Selection,
    /// Declared duration of a drain, in milliseconds.
    pub drain_ms: u64,
    /// Declared time from the stop of an instance until it serves again, in
    /// milliseconds.
    pub absence_ms: u64,
    /// Expected deviation of single times from the declared ones, in percent.
    pub spread_percent: u32,
    /// Weights of roll-out time, moves and buffer.
    pub weights: WaveWeights,
}

/// What a wave does to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum WaveKind {
    /// It restarts.
    #[display("reboot")]
    Reboot,
    /// Another machine takes over its name.
    #[display("replace")]
    Replace,
}

/// Which instances a wave visits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Selection {
    /// Every instance.
    #[display("all")]
    All,
    /// A pool.
    #[display("pool {_0}")]
    Pool(PoolName),
    /// A rack.
    #[display("rack {_0}")]
    Rack(RackName),
    /// An availability zone.
    #[display("zone {_0}")]
    Zone(ZoneName),
    /// Listed instances.
    #[display("{} instances", _0.len())]
    Instances(Vec<InstanceName>),
}

impl Selection {
    /// Whether the selection contains the instance.
    pub fn holds(&self, instance: &Instance) -> bool {
        match self {
            Self::All => true,
            Self::Pool(pool) => instance.pool == *pool,
            Self::Rack(rack) => instance.rack == *rack,
            Self::Zone(zone) => instance.zone == *zone,
            Self::Instances(names) => names.contains(&instance.name),
        }
    }
}

impl WaveSpec {
    /// Declared time out of service of one instance, in milliseconds.
    pub fn visit_ms(&self) -> u64 {
        self.drain_ms + self.absence_ms
    }
}
