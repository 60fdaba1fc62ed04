//! Settings: everything that is wrong is reported at once, with its field.
#![allow(missing_docs, clippy::unwrap_used)]

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use rosemarygauge::config::{SettingError, Settings};
use serde_json::{Value, json};
use tempfile::TempDir;

fn write(path: &Path, text: &str, mode: u32) {
    fs::create_dir_all(path.parent().unwrap()).unwrap();
    fs::write(path, text).unwrap();
    fs::set_permissions(path, fs::Permissions::from_mode(mode)).unwrap();
}

fn keys(folder: &Path) {
    write(&folder.join("keys/peer.key"), &"k".repeat(32), 0o600);
    let tokens = json!({ "samira": "a token of enough bytes" }).to_string();
    write(&folder.join("keys/operators.json"), &tokens, 0o600);
}

fn good() -> Value {
    json!({
        "entry": "e1", "zone": "a", "data_folder": "data",
        "callers": "127.0.0.1:0", "upstreams": "127.0.0.1:0",
        "operators": "127.0.0.1:7003", "peers": "127.0.0.1:7001",
        "members": [
            {"entry": "e1", "zone": "a", "peers": "127.0.0.1:7001", "voter": true},
            {"entry": "e2", "zone": "b", "peers": "127.0.0.1:7011", "voter": true},
            {"entry": "e3", "zone": "c", "peers": "127.0.0.1:7021", "voter": true},
        ],
        "peer_key_file": "keys/peer.key",
        "operator_keys_file": "keys/operators.json",
    })
}

fn load(conf: &Value) -> (TempDir, Result<Settings, Vec<SettingError>>) {
    let folder = tempfile::tempdir().unwrap();
    keys(folder.path());
    let path = folder.path().join("e1.json");
    write(&path, &conf.to_string(), 0o644);
    let loaded = Settings::load(&path);
    (folder, loaded)
}

/// The fields and texts of the errors that a change of the good settings gives.
fn errors(change: impl FnOnce(&mut Value)) -> Vec<String> {
    let mut conf = good();
    change(&mut conf);
    let errors = load(&conf).1.unwrap_err();
    errors.iter().map(ToString::to_string).collect()
}

#[test]
fn good_settings_get_their_defaults_and_paths() {
    let (folder, conf) = load(&good());
    let conf = conf.unwrap();
    assert_eq!(conf.data_folder, Some(folder.path().join("data")));
    assert_eq!(conf.peer_key().expose(), &vec![b'k'; 32]);
    assert_eq!(conf.upstream_lease_ms, 3_000);
    assert_eq!(conf.log.level, "info");
    assert_eq!(conf.peer_addresses().len(), 2);
    let shown = format!("{conf:?}");
    assert!(!shown.contains("token of enough"), "no secret in a log");
}

#[test]
fn each_wrong_setting_names_its_field() {
    type Change = fn(&mut Value);
    let cases: [(&str, &str, Change); 22] = [
        ("colour", "no such field", |c| c["colour"] = json!("red")),
        ("members[1].vote", "no such", |c| {
            c["members"][1]["vote"] = json!(1)
        }),
        ("zone", "missing", |c| {
            drop(c.as_object_mut().unwrap().remove("zone"))
        }),
        ("callers", "not an address", |c| {
            c["callers"] = json!("localhost:1")
        }),
        ("entry", "not a name", |c| c["entry"] = json!("e 1")),
        ("heartbeat_ms", "wrong value", |c| {
            c["heartbeat_ms"] = json!("fast")
        }),
        ("heartbeat_ms", "out of range", |c| {
            c["heartbeat_ms"] = json!(0)
        }),
        ("members[2].entry", "used twice", |c| {
            c["members"][2]["entry"] = json!("e2")
        }),
        ("peers", "used by operators", |c| {
            c["operators"] = json!("127.0.0.1:7001")
        }),
        ("members, e2, peers", "used by peers", |c| {
            c["members"][1]["peers"] = json!("127.0.0.1:7001");
        }),
        ("entry", "not among", |c| c["entry"] = json!("e9")),
        ("peers", "says", |c| c["peers"] = json!("127.0.0.1:7009")),
        ("zone", "no entry instance", |c| c["zone"] = json!("d")),
        ("data_folder", "no data folder", |c| {
            c.as_object_mut().unwrap().remove("data_folder");
        }),
        ("data_folder", "no vote", |c| {
            c["members"][0]["voter"] = json!(false)
        }),
        ("members", "2 of 3", |c| {
            c["members"][1]["voter"] = json!(false)
        }),
        ("members", "majority", |c| {
            c["members"][1]["zone"] = json!("a");
            let extra =
                json!({"entry": "e4", "zone": "b", "peers": "127.0.0.1:7031", "voter": false});
            c["members"].as_array_mut().unwrap().push(extra);
        }),
        ("upstream_lease_ms", "2 times refresh_ms", |c| {
            c["upstream_lease_ms"] = json!(1_500)
        }),
        ("election_timeout_ms", "3 times", |c| {
            c["election_timeout_ms"] = json!(200)
        }),
        ("view_lease_ms", "2 times heartbeat_ms", |c| {
            c["view_lease_ms"] = json!(150)
        }),
        ("peer_key_file", "cannot be read", |c| {
            c["peer_key_file"] = json!("none")
        }),
        ("log.level", "expected one of", |c| {
            c["log"] = json!({ "level": "loud" })
        }),
    ];
    for (field, text, change) in cases {
        let errors = errors(change);
        let hit = |e: &&String| e.starts_with(&format!("{field}: ")) && e.contains(text);
        assert!(errors.iter().any(|e| hit(&e)), "{field}: {errors:#?}");
    }
}

// A file with faults of every kind is mended in one round: a wrong type in one
// field must not hide a voter without a disk in another.
#[test]
fn all_errors_come_at_once() {
    let errors = errors(|c| {
        c["colour"] = json!("red");
        c["callers"] = json!("nowhere");
        c["refresh_ms"] = json!(2_000);
        c["members"][2]["entry"] = json!("e2");
        c["log"] = json!({ "format": "yaml" });
        c["operator_keys_file"] = json!("none");
        c.as_object_mut().unwrap().remove("data_folder");
    });
    assert_eq!(errors.len(), 7, "{errors:#?}");
}

// The shared key can be read by everyone on the machine, is empty, or is too
// short to prove anything; or two operators share a token, so that the trail
// would name the wrong one. The process must not start.
#[test]
fn weak_keys_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("e1.json");
    write(&path, &good().to_string(), 0o644);
    let peer = folder.path().join("keys/peer.key");
    let tokens = folder.path().join("keys/operators.json");
    let same = r#"{"a": "one token for both", "b": "one token for both"}"#;
    let cases = [
        (&peer, "", 0o600, "0 bytes"),
        (&peer, "short\n", 0o600, "5 bytes"),
        (&peer, &*"k".repeat(32), 0o644, "chmod o-rwx"),
        (&tokens, "{}", 0o600, "no operator"),
        (&tokens, r#"{"a": "x"}"#, 0o600, "1 bytes"),
        (&tokens, same, 0o600, "same token"),
        (&tokens, "[]", 0o600, "not JSON"),
    ];
    for (file, text, mode, expected) in cases {
        keys(folder.path());
        write(file, text, mode);
        let errors = Settings::load(&path).unwrap_err();
        let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
        assert_eq!(errors.len(), 1, "{errors:?}");
        assert!(errors[0].contains(expected), "{errors:?}");
    }
}

#[test]
fn damaged_files_are_errors() {
    let text = good().to_string();
    let folder = tempfile::tempdir().unwrap();
    keys(folder.path());
    let path = folder.path().join("e1.json");
    for cut in 0..text.len() {
        write(&path, &text[..cut], 0o644);
        assert!(Settings::load(&path).is_err());
    }
    for value in [json!(null), json!([]), json!({ "members": {} })] {
        write(&path, &value.to_string(), 0o644);
        assert!(Settings::load(&path).is_err());
    }
    assert!(Settings::load(&folder.path().join("none.json")).is_err());
}

#[test]
fn the_examples_settings_are_right() {
    let examples = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("examples");
    for (name, entries, voters) in [("grants", 9, 5), ("wind-tunnel", 6, 3)] {
        let folder = tempfile::tempdir().unwrap();
        keys(folder.path());
        let mut members = Vec::new();
        let mut seen = 0;
        for file in fs::read_dir(examples.join(name)).unwrap() {
            let file = file.unwrap().path();
            let file_name = file.file_name().unwrap().to_str().unwrap().to_owned();
            if !file_name.ends_with(".json") || file_name == "pools.json" {
                continue;
            }
            let copy = folder.path().join(&file_name);
            fs::copy(&file, &copy).unwrap();
            let conf = Settings::load(&copy).unwrap();
            assert_eq!(file_name, format!("{}.json", conf.entry));
            assert_eq!(conf.voters().count(), voters);
            members.push(conf.members);
            seen += 1;
        }
        assert_eq!(seen, entries);
        assert!(members.windows(2).all(|two| two[0] == two[1]));
    }
}
