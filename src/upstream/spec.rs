use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use crate::model::{Capacity, InstanceName, PoolName, RackName, ZoneName};

use super::Error;

/// One stand-in instance as it was set up.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Its name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// The pool it asks to join.
    pub pool: PoolName,
    /// Processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mib: u32,
    /// Accelerator devices.
    #[serde(default)]
    pub accelerators: u32,
    /// Requests at once.
    pub slots: u32,
    /// Connections at once.
    pub connections: u32,
    /// Address to listen on in every incarnation; a new port each if none.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// Address to announce, where a proxy stands in front of it.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
}

impl Spec {
    /// Reads instances from CSV with a header line of the field names.
    ///
    /// # Errors
    /// The file cannot be read, or a line is wrong.
    pub fn read_all(path: &Path) -> Result<Vec<Self>, Error> {
        let mut rdr = csv::ReaderBuilder::new()
            .trim(csv::Trim::All)
            .from_path(path)?;
        Ok(rdr.deserialize().collect::<Result<_, _>>()?)
    }

    /// What it announces that it can carry.
    pub fn capacity(&self) -> Capacity {
        Capacity {
            cores: self.cores,
            memory_mib: self.memory_mib,
            accelerators: self.accelerators,
            slots: self.slots,
            connections: self.connections,
        }
    }
}
