use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::Value;

use crate::maintenance::WaveWeights;
use crate::model::{EntryName, ZoneName};

use super::fields::Fields;
use super::log::LEVELS;
use super::{LogSettings, Member, SettingError, SettingFault, keys};

/// What could be read of the settings, so that a wrong field does not hide what
/// is wrong with the rest.
pub(super) struct Draft {
    /// This entry instance.
    pub own: Own,
    /// Times.
    pub times: Times,
    /// The members that could be read.
    pub members: Vec<Member>,
    /// Whether that is all of them.
    pub all_members: bool,
    /// What a wave's time, moves and buffer cost.
    pub wave_weights: WaveWeights,
    /// How the process logs.
    pub log: LogSettings,
    /// The key file's path and the key.
    pub peer_key: Option<(PathBuf, Vec<u8>)>,
    /// The tokens file's path and the tokens by name.
    pub operator_keys: Option<(PathBuf, BTreeMap<String, String>)>,
}

/// What the settings say of this entry instance alone.
pub(super) struct Own {
    pub entry: Option<EntryName>,
    pub zone: Option<ZoneName>,
    pub callers: Option<SocketAddr>,
    pub upstreams: Option<SocketAddr>,
    pub operators: Option<SocketAddr>,
    pub peers: Option<SocketAddr>,
    pub data_folder: Option<PathBuf>,
}

/// Times, in milliseconds.
pub(super) struct Times {
    pub upstream_lease_ms: u64,
    pub refresh_ms: u64,
    pub heartbeat_ms: u64,
    pub election_timeout_ms: u64,
    pub view_lease_ms: u64,
    pub stop_grace_ms: u64,
}

/// Longest of the settings' times, in milliseconds: ten minutes. A longer one
/// is a slip of digits.
const MAX_TIME_MS: u64 = 600_000;

impl Draft {
    /// Takes the fields out of the file's value.
    pub fn read(value: Value, folder: &Path, errors: &mut Vec<SettingError>) -> Self {
        let mut fields = Fields::new("", value, errors);
        let own = Own::read(&mut fields, folder);
        let times = Times::read(&mut fields);
        let wave_weights = fields.optional("wave_weights");
        let key_path: Option<PathBuf> = fields.required("peer_key_file");
        let tokens_path: Option<PathBuf> = fields.required("operator_keys_file");
        let members = fields.value("members");
        let log = fields.value("log");
        fields.finish();
        let (members, all_members) = read_members(members, errors);
        Self {
            own,
            times,
            members,
            all_members,
            wave_weights: wave_weights.unwrap_or(WaveWeights::ROLLOUT_FIRST),
            log: read_log(log, errors),
            peer_key: key_path.and_then(|path| read_peer_key(folder.join(path), errors)),
            operator_keys: tokens_path
                .and_then(|path| read_operator_keys(folder.join(path), errors)),
        }
    }
}

impl Own {
    fn read(fields: &mut Fields<'_>, folder: &Path) -> Self {
        Self {
            entry: fields.name("entry"),
            zone: fields.name("zone"),
            callers: fields.address("callers"),
            upstreams: fields.address("upstreams"),
            operators: fields.address("operators"),
            peers: fields.address("peers"),
            data_folder: fields
                .optional("data_folder")
                .map(|path: PathBuf| folder.join(path)),
        }
    }

    /// The addresses that could be read, by field.
    pub fn addresses(&self) -> impl Iterator<Item = (&'static str, SocketAddr)> {
        let all = [
            ("callers", self.callers),
            ("upstreams", self.upstreams),
            ("operators", self.operators),
            ("peers", self.peers),
        ];
        all.into_iter()
            .filter_map(|(field, address)| Some((field, address?)))
    }
}

impl Times {
    fn read(fields: &mut Fields<'_>) -> Self {
        let mut time =
            |name, default_ms, least_ms| fields.number(name, default_ms, least_ms, MAX_TIME_MS);
        Self {
            // Two reports may be late or lost before an upstream gets nothing
            // new; a leaving or dead one is still noticed in a few seconds.
            upstream_lease_ms: time("upstream_lease_ms", 3_000, 100),
            refresh_ms: time("refresh_ms", 1_000, 10),
            // Zones are 1 ms apart: 100 ms costs little and shows a loss soon.
            heartbeat_ms: time("heartbeat_ms", 100, 5),
            election_timeout_ms: time("election_timeout_ms", 600, 20),
            view_lease_ms: time("view_lease_ms", 500, 20),
            stop_grace_ms: time("stop_grace_ms", 20_000, 100),
        }
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

fn read_peer_key(path: PathBuf, errors: &mut Vec<SettingError>) -> Option<(PathBuf, Vec<u8>)> {
    match keys::peer_key(&path) {
        Ok(key) => Some((path, key)),
        Err(fault) => {
            errors.push(SettingError::new("peer_key_file", fault));
            None
        }
    }
}

fn read_operator_keys(
    path: PathBuf,
    errors: &mut Vec<SettingError>,
) -> Option<(PathBuf, BTreeMap<String, String>)> {
    match keys::operator_keys(&path) {
        Ok(tokens) => Some((path, tokens)),
        Err(faults) => {
            let named = |fault| SettingError::new("operator_keys_file", fault);
            errors.extend(faults.into_iter().map(named));
            None
        }
    }
}
