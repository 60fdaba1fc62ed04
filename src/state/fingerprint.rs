use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::model::{RequestKey, ServiceName, WorkspaceName};

/// Digest of a request's content and its sender.
///
/// The same key with another fingerprint is another request. If the fingerprint
/// left the caller out, two callers that both number their requests from 1 could
/// receive each other's answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; 32]);

impl Fingerprint {
    /// Returns the fingerprint of a request's service, team, caller and body.
    pub fn of(service: &ServiceName, team: &WorkspaceName, caller: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [
            service.as_str().as_bytes(),
            team.as_str().as_bytes(),
            caller.as_bytes(),
            body,
        ] {
            // The length prefix keeps "ab" + "c" apart from "a" + "bc".
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(hash.finalize().into())
    }

    /// Returns the fingerprint of encoded bytes.
    pub(super) fn of_bytes(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

/// Returns the key under which a caller's own key is claimed: prefixed with the
/// team and the caller.
///
/// Callers choose their keys independently; the prefix keeps one caller's `1`
/// apart from another's.
pub fn scoped_key(team: &WorkspaceName, caller: &str, key: &str) -> RequestKey {
    let team = team.as_str();
    RequestKey::from(format!(
        "{}:{team}{}:{caller}{key}",
        team.len(),
        caller.len()
    ))
}
