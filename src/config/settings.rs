use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::Value;

use crate::maintenance::WaveWeights;
use crate::model::{EntryName, ZoneName};

use super::fields::Fields;
use super::log::LEVELS;
use super::whole::Draft;
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

/// Longest of the settings' times, in milliseconds: ten minutes. A longer one
/// is a slip of digits.
const MAX_TIME_MS: u64 = 600_000;

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
        Self::read(value, folder)
    }

    fn read(value: Value, folder: &Path) -> Result<Self, Vec<SettingError>> {
        let mut errors = Vec::new();
        let mut fields = Fields::new("", value, &mut errors);
        let entry = fields.name("entry");
        let zone = fields.name("zone");
        let callers = fields.address("callers");
        let upstreams = fields.address("upstreams");
        let operators = fields.address("operators");
        let peers = fields.address("peers");
        let data_folder: Option<PathBuf> = fields.optional("data_folder");
        let peer_key_file: Option<PathBuf> = fields.required("peer_key_file");
        let operator_keys_file: Option<PathBuf> = fields.required("operator_keys_file");
        // A report may be lost or late once before the upstream gets nothing
        // new; a leaving or dead one is still noticed in "a few seconds".
        let upstream_lease_ms = fields.number("upstream_lease_ms", 3_000, 100, MAX_TIME_MS);
        let refresh_ms = fields.number("refresh_ms", 1_000, 10, MAX_TIME_MS);
        // Zones are 1 ms apart: 100 ms costs little and shows a loss soon.
        let heartbeat_ms = fields.number("heartbeat_ms", 100, 5, MAX_TIME_MS);
        let election_timeout_ms = fields.number("election_timeout_ms", 600, 20, MAX_TIME_MS);
        let view_lease_ms = fields.number("view_lease_ms", 2_000, 20, MAX_TIME_MS);
        let stop_grace_ms = fields.number("stop_grace_ms", 20_000, 100, MAX_TIME_MS);
        let wave_weights = fields
            .optional("wave_weights")
            .unwrap_or(WaveWeights::ROLLOUT_FIRST);
        let members = fields.value("members");
        let log = fields.value("log");
        fields.finish();
        let (members, all_members) = read_members(members, &mut errors);
        let log = read_log(log, &mut errors);
        let (peer_key_file, peer_key) = read_peer_key(folder, peer_key_file, &mut errors).unzip();
        let (operator_keys_file, operator_keys) =
            read_operator_keys(folder, operator_keys_file, &mut errors).unzip();
        let draft = Draft {
            entry: entry.as_ref(),
            zone: zone.as_ref(),
            addresses: [
                ("callers", callers),
                ("upstreams", upstreams),
                ("operators", operators),
                ("peers", peers),
            ],
            has_folder: data_folder.is_some(),
            members: &members,
            all_members,
            times: [
                // One lost report must not take an upstream out.
                (
                    ("upstream_lease_ms", upstream_lease_ms),
                    2,
                    ("refresh_ms", refresh_ms),
                ),
                // Two late heartbeats must not depose a healthy leader.
                (
                    ("election_timeout_ms", election_timeout_ms),
                    3,
                    ("heartbeat_ms", heartbeat_ms),
                ),
                // An entry instance whose view ends between two heartbeats
                // would be cut off again and again without any fault.
                (
                    ("view_lease_ms", view_lease_ms),
                    2,
                    ("heartbeat_ms", heartbeat_ms),
                ),
            ],
        };
        whole::check(&draft, &mut errors);
        if !errors.is_empty() {
            return Err(errors);
        }
        let built = (|| {
            Some(Self {
                entry: entry?,
                zone: zone?,
                callers: callers?,
                upstreams: upstreams?,
                operators: operators?,
                peers: peers?,
                data_folder: data_folder.map(|path| folder.join(path)),
                members,
                peer_key_file: peer_key_file?,
                operator_keys_file: operator_keys_file?,
                upstream_lease_ms,
                refresh_ms,
                heartbeat_ms,
                election_timeout_ms,
                view_lease_ms,
                stop_grace_ms,
                wave_weights,
                log,
                peer_key: Secret::new(peer_key??),
                operator_keys: Secret::new(operator_keys??),
            })
        })();
        // Every field that is not there has left an error above.
        built.ok_or(errors)
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

/// The members that can be read, and whether that is all of them.
fn read_members(value: Option<Value>, errors: &mut Vec<SettingError>) -> (Vec<Member>, bool) {
    let list = match value {
        Some(Value::Array(list)) => list,
        Some(_) => {
            let fault = SettingFault::BadValue("expected a list".into());
            errors.push(SettingError::new("members", fault));
            return (Vec::new(), false);
        }
        None => {
            errors.push(SettingError::new("members", SettingFault::Missing));
            return (Vec::new(), false);
        }
    };
    let count = list.len();
    let members: Vec<Member> = list
        .into_iter()
        .enumerate()
        .filter_map(|(n, value)| {
            let mut fields = Fields::new(&format!("members[{n}]."), value, errors);
            let entry = fields.name("entry");
            let zone = fields.name("zone");
            let peers = fields.address("peers");
            let voter = fields.required("voter");
            fields.finish();
            Some(Member {
                entry: entry?,
                zone: zone?,
                peers: peers?,
                voter: voter?,
            })
        })
        .collect();
    let all = members.len() == count;
    (members, all)
}

fn read_log(value: Option<Value>, errors: &mut Vec<SettingError>) -> LogSettings {
    let value = value.unwrap_or_else(|| Value::Object(serde_json::Map::new()));
    let mut fields = Fields::new("log.", value, errors);
    let format = fields.optional("format").unwrap_or_default();
    let level: String = fields.optional("level").unwrap_or_else(|| "info".into());
    if !LEVELS.contains(&level.as_str()) {
        let fault = SettingFault::BadValue(format!("\"{level}\", expected one of {LEVELS:?}"));
        fields.wrong("level", fault);
    }
    fields.finish();
    LogSettings { format, level }
}

/// The key file's path and the key, none where it cannot be used.
fn read_peer_key(
    folder: &Path,
    file: Option<PathBuf>,
    errors: &mut Vec<SettingError>,
) -> Option<(PathBuf, Option<Vec<u8>>)> {
    let path = folder.join(file?);
    let key = keys::peer_key(&path)
        .map_err(|fault| errors.push(SettingError::new("peer_key_file", fault)))
        .ok();
    Some((path, key))
}

/// The tokens file's path and the tokens, none where they cannot be used.
fn read_operator_keys(
    folder: &Path,
    file: Option<PathBuf>,
    errors: &mut Vec<SettingError>,
) -> Option<(PathBuf, Option<BTreeMap<String, String>>)> {
    let path = folder.join(file?);
    let tokens = match keys::operator_keys(&path) {
        Ok(tokens) => Some(tokens),
        Err(faults) => {
            let named = |fault| SettingError::new("operator_keys_file", fault);
            errors.extend(faults.into_iter().map(named));
            None
        }
    };
    Some((path, tokens))
}
