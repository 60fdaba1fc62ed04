use serde::{Deserialize, Serialize};

use crate::control::Configuration;

/// Largest part of a configuration in one change: half of what a command may carry, so that
/// other changes fit beside it.
const MAX_PART_BYTES: usize = 128 << 10;

/// A part of an encoded configuration.
#[derive(Clone, PartialEq, Serialize, Deserialize, derive_more::Debug)]
pub struct ConfigurationPart {
    /// Whether this is the first part; an incomplete configuration before it is dropped.
    first: bool,
    /// Whether this is the last part.
    last: bool,
    #[debug("{} bytes", bytes.len())]
    bytes: Vec<u8>,
}

impl ConfigurationPart {
    /// Splits a configuration into its parts, in order.
    pub fn split(configuration: &Configuration) -> Vec<Self> {
        let bytes = configuration.encode();
        let count = bytes.len().div_ceil(MAX_PART_BYTES);
        let parts = bytes.chunks(MAX_PART_BYTES).enumerate();
        parts
            .map(|(index, part)| Self {
                first: index == 0,
                last: index + 1 == count,
                bytes: part.to_vec(),
            })
            .collect()
    }

    /// Returns whether a configuration is replicated in parts: it does not fit into one
    /// change, or it has workspaces, for which the undivided change has no place.
    pub fn is_needed(configuration: &Configuration) -> bool {
        configuration.access.is_some() || configuration.size_bytes() > MAX_PART_BYTES
    }

    /// Returns whether this is the last part.
    pub fn is_last(&self) -> bool {
        self.last
    }

    /// Returns the size of the part in bytes.
    pub fn size_bytes(&self) -> usize {
        self.bytes.len()
    }
}

/// Reassembles a configuration from its parts.
///
/// One buffer is enough: a leader proposes all parts of a configuration before those of the
/// next, and the log has all commands of a leader before those of a later one. A
/// configuration that a lost leader left incomplete is dropped at the next first part; its
/// operator sends it again.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize, derive_more::Debug)]
pub struct ConfigurationParts {
    #[debug("{} bytes", bytes.len())]
    bytes: Vec<u8>,
}

impl ConfigurationParts {
    /// Adds the next part; returns the configuration once it is complete.
    pub fn take(&mut self, part: &ConfigurationPart) -> Option<Configuration> {
        if part.first {
            self.bytes.clear();
        }
        self.bytes.extend_from_slice(&part.bytes);
        if !part.last {
            return None;
        }
        let bytes = std::mem::take(&mut self.bytes);
        Configuration::decode(&bytes)
            .map_err(|err| {
                // A leader was lost between the parts. No operator was told that this
                // configuration was accepted.
                tracing::warn!(%err, size_bytes = bytes.len(), "configuration: parts are missing");
            })
            .ok()
    }
}
