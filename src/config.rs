//! Settings of an entry instance, read from JSON.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use eyre::WrapErr;
use serde::Deserialize;

use crate::entry::NodeSettings;
use crate::http::OperatorKeys;
use crate::link::PeerKey;
use crate::model::{EntryName, ZoneName};

/// Settings as they stand in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This entry instance.
    pub entry: EntryName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers come in.
    pub callers: String,
    /// Where upstreams announce themselves.
    pub upstreams: String,
    /// Where operators come in.
    pub operators: String,
    /// Where peers connect.
    pub peers: String,
    /// All entry instances.
    pub members: Vec<Member>,
    /// File with the shared key.
    pub peer_key_file: PathBuf,
    /// File with operators' tokens.
    pub operator_keys_file: PathBuf,
    /// How long an upstream's report counts.
    #[serde(default = "default_lease")]
    pub upstream_lease_ms: u64,
    /// How often an upstream reports.
    #[serde(default = "default_refresh")]
    pub refresh_ms: u64,
    /// How logs are written.
    #[serde(default)]
    pub log: crate::logs::LogSettings,
    #[serde(skip)]
    folder: PathBuf,
}

/// One entry instance of the system.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its name.
    pub entry: EntryName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it takes links.
    pub peers: String,
    /// Whether it votes.
    pub voter: bool,
}

fn default_lease() -> u64 {
    3_000
}

fn default_refresh() -> u64 {
    1_000
}

impl Settings {
    /// Reads settings.
    ///
    /// # Errors
    /// The file cannot be read or is not as it should be.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("{}: cannot be read", path.display()))?;
        let mut conf: Self = serde_json::from_str(&text)
            .wrap_err_with(|| format!("{}: not valid settings", path.display()))?;
        conf.folder = path.parent().unwrap_or(Path::new("")).to_owned();
        Ok(conf)
    }

    /// What the node needs.
    ///
    /// # Errors
    /// The clock stands before 1970.
    pub fn node(&self) -> eyre::Result<NodeSettings> {
        let incarnation = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
        Ok(NodeSettings {
            me: self.entry.clone(),
            incarnation: u64::try_from(incarnation)?,
            zone: self.zone.clone(),
            members: self
                .members
                .iter()
                .map(|m| (m.entry.clone(), m.zone.clone()))
                .collect(),
            upstream_lease_ms: self.upstream_lease_ms,
            refresh_ms: self.refresh_ms,
            gossip_ms: 200,
            peer_gone_ms: 2_000,
            voters: self.members.iter().filter(|m| m.voter).map(|m| m.entry.clone()).collect(),
            heartbeat_ms: 100,
            election_timeout_ms: 600,
            view_lease_ms: 2_000,
            snapshot_every: 4_096,
            stop_notice_ms: 500,
            stop_grace_ms: 20_000,
            seed: rand::random(),
        })
    }

    /// Where the other entry instances take links.
    ///
    /// # Errors
    /// An address is not `IP:port`.
    pub fn peer_addresses(&self) -> eyre::Result<BTreeMap<EntryName, SocketAddr>> {
        self.members
            .iter()
            .filter(|member| member.entry != self.entry)
            .map(|member| Ok((member.entry.clone(), member.peers.parse()?)))
            .collect()
    }

    /// The shared key.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn peer_key(&self) -> eyre::Result<PeerKey> {
        let path = self.folder.join(&self.peer_key_file);
        let bytes =
            std::fs::read(&path).wrap_err_with(|| format!("{}: cannot be read", path.display()))?;
        Ok(PeerKey::from(bytes))
    }

    /// Operators' tokens.
    ///
    /// # Errors
    /// The file cannot be read or is not a JSON object of strings.
    pub fn operator_keys(&self) -> eyre::Result<OperatorKeys> {
        let path = self.folder.join(&self.operator_keys_file);
        let text = std::fs::read_to_string(&path)
            .wrap_err_with(|| format!("{}: cannot be read", path.display()))?;
        let keys: BTreeMap<String, String> = serde_json::from_str(&text)
            .wrap_err_with(|| format!("{}: not an object of strings", path.display()))?;
        Ok(OperatorKeys::from(keys))
    }
}
