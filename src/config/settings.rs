use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::Value;

use crate::maintenance::WaveWeights;
use crate::model::{EntryName, ZoneName};

use super::draft::Draft;
use super::{LogSettings, Member, Secret, SettingError, SettingFault, keys, whole};

/// Settings of an entry instance, checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// This entry instance.
    pub entry: EntryName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers come in.
    pub callers: SocketAddr,
    /// Where upstreams announce themselves.
    pub upstreams: SocketAddr,
    /// Where operators come in.
    pub operators: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
    /// Folder of the replicated log; none on an entry instance without a vote.
    pub data_folder: Option<PathBuf>,
    /// All entry instances, this one included.
    pub members: Vec<Member>,
    /// File with the key that all entry instances share.
    pub peer_key_file: PathBuf,
    /// File with operators' names and tokens.
    pub operator_keys_file: PathBuf,
    /// How long an upstream's report counts.
    pub upstream_lease_ms: u64,
    /// How often an upstream reports.
    pub refresh_ms: u64,
    /// How often the leader sends to each peer.
    pub heartbeat_ms: u64,
    /// Silence of the leader after which a voter stands for election.
    pub election_timeout_ms: u64,
    /// How long an entry instance may act on the state it last heard.
    pub view_lease_ms: u64,
    /// How long a planned stop waits for what is in flight.
    pub stop_grace_ms: u64,
    /// What a wave's time, moves and buffer cost.
    pub wave_weights: WaveWeights,
    /// How the process logs.
    pub log: LogSettings,
    peer_key: Secret<Vec<u8>>,
    operator_keys: Secret<BTreeMap<String, String>>,
}

impl Settings {
    /// Reads and checks a settings file and the key files that it names.
    ///
    /// # Errors
    /// Everything that is wrong, each with its field and a remedy.
    pub fn load(path: &Path) -> Result<Self, Vec<SettingError>> {
        let file = |fault| vec![SettingError::new("(file)", fault)];
        let bytes = keys::read(path).map_err(file)?;
        let value: Value = serde_json::from_slice(&bytes)
            .map_err(|err| file(SettingFault::NotJson(err.to_string())))?;
        let folder = path.parent().unwrap_or(Path::new(""));
        let mut errors = Vec::new();
        let draft = Draft::read(value, folder, &mut errors);
        whole::check(&draft, &mut errors);
        if !errors.is_empty() {
            return Err(errors);
        }
        // Every field that is not there has left an error above.
        Self::build(draft).ok_or(errors)
    }

    fn build(draft: Draft) -> Option<Self> {
        let Draft { own, times, .. } = draft;
        let (peer_key_file, peer_key) = draft.peer_key?;
        let (operator_keys_file, operator_keys) = draft.operator_keys?;
        Some(Self {
            entry: own.entry?,
            zone: own.zone?,
            callers: own.callers?,
            upstreams: own.upstreams?,
            operators: own.operators?,
            peers: own.peers?,
            data_folder: own.data_folder,
            members: draft.members,
            peer_key_file,
            operator_keys_file,
            upstream_lease_ms: times.upstream_lease_ms,
            refresh_ms: times.refresh_ms,
            heartbeat_ms: times.heartbeat_ms,
            election_timeout_ms: times.election_timeout_ms,
            view_lease_ms: times.view_lease_ms,
            stop_grace_ms: times.stop_grace_ms,
            wave_weights: draft.wave_weights,
            log: draft.log,
            peer_key: Secret::new(peer_key),
            operator_keys: Secret::new(operator_keys),
        })
    }

    /// The key that all entry instances share.
    pub fn peer_key(&self) -> &Secret<Vec<u8>> {
        &self.peer_key
    }

    /// Operators' tokens by name.
    pub fn operator_keys(&self) -> &Secret<BTreeMap<String, String>> {
        &self.operator_keys
    }

    /// Where the other entry instances take links.
    pub fn peer_addresses(&self) -> BTreeMap<EntryName, SocketAddr> {
        self.members
            .iter()
            .filter(|member| member.entry != self.entry)
            .map(|member| (member.entry.clone(), member.peers))
            .collect()
    }

    /// The entry instances that vote.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.voter)
    }
}
