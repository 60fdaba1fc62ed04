use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Read;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use super::SettingFault;

/// Bytes of the peers' key: as many as the MAC's output.
pub const MIN_PEER_KEY_BYTES: usize = 32;

/// Bytes of an operator's token: 16 random bytes cannot be guessed.
pub const MIN_TOKEN_BYTES: usize = 16;

/// Bytes of a settings or key file; a thousand operators fit.
const MAX_FILE_BYTES: u64 = 1024 * 1024;

/// Reads a file whose size is bounded.
pub(super) fn read(path: &Path) -> Result<Vec<u8>, SettingFault> {
    read_from(path, &mut open(path)?)
}

/// The key that all entry instances share, without the line's end.
pub(super) fn peer_key(path: &Path) -> Result<Vec<u8>, SettingFault> {
    let mut bytes = read_private(path)?;
    while bytes.last().is_some_and(u8::is_ascii_whitespace) {
        bytes.pop();
    }
    if bytes.len() < MIN_PEER_KEY_BYTES {
        return Err(SettingFault::ShortKey {
            bytes: bytes.len(),
            least: MIN_PEER_KEY_BYTES,
        });
    }
    Ok(bytes)
}

/// Operators' tokens by name.
pub(super) fn operator_keys(path: &Path) -> Result<BTreeMap<String, String>, Vec<SettingFault>> {
    let bytes = read_private(path).map_err(|e| vec![e])?;
    let keys: BTreeMap<String, String> = serde_json::from_slice(&bytes)
        // The cause may quote a token, and this text goes to the log.
        .map_err(|e| vec![SettingFault::NotJson(format!("line {}", e.line()))])?;
    let mut faults = Vec::new();
    if keys.is_empty() {
        faults.push(SettingFault::NoOperators);
    }
    let mut seen = BTreeSet::new();
    for (name, token) in &keys {
        if name.trim().is_empty() {
            faults.push(SettingFault::BadName(name.clone()));
        }
        if token.len() < MIN_TOKEN_BYTES {
            faults.push(SettingFault::ShortKey {
                bytes: token.len(),
                least: MIN_TOKEN_BYTES,
            });
        } else if !seen.insert(token) {
            // With a shared token the trail would name the wrong operator.
            faults.push(SettingFault::DuplicateToken(name.clone()));
        }
    }
    if faults.is_empty() {
        Ok(keys)
    } else {
        Err(faults)
    }
}

fn read_private(path: &Path) -> Result<Vec<u8>, SettingFault> {
    let mut file = open(path)?;
    let mode = file
        .metadata()
        .map_err(|err| unreadable(path, &err))?
        .permissions()
        .mode();
    if mode & 0o007 != 0 {
        return Err(SettingFault::WorldReadable(path.display().to_string()));
    }
    read_from(path, &mut file)
}

fn open(path: &Path) -> Result<File, SettingFault> {
    File::open(path).map_err(|err| unreadable(path, &err))
}

fn read_from(path: &Path, file: &mut File) -> Result<Vec<u8>, SettingFault> {
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES + 1)
        .read_to_end(&mut bytes)
        .map_err(|err| unreadable(path, &err))?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(SettingFault::TooLarge {
            limit_bytes: MAX_FILE_BYTES,
        });
    }
    Ok(bytes)
}

fn unreadable(path: &Path, err: &std::io::Error) -> SettingFault {
    SettingFault::Unreadable {
        path: path.display().to_string(),
        cause: err.to_string(),
    }
}
