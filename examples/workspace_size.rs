//! Measures workspaces by their number: the look-up of a key, the size of their encoded form and
//! the time to read it. Run it with `cargo run --release --example workspace_size`.
#![allow(missing_docs, clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use rosemarygauge::control::{Access, Configuration, Credentials, KeyDigest, Quota, Workspace};
use secrecy::SecretString;

const KEYS_EACH: usize = 10;
const LOOKUPS: usize = 1_000_000;

fn digest(workspace: usize, key: usize) -> KeyDigest {
    KeyDigest::of(&SecretString::from(format!("key-{workspace}-{key}")))
}

fn configuration(workspaces: usize) -> Configuration {
    let workspaces = (0..workspaces).map(|index| Workspace {
        name: format!("workspace-{index}").into(),
        keys: (0..KEYS_EACH).map(|key| digest(index, key)).collect(),
        priority: 0,
        weight: 100.0,
        quota: Quota {
            cpu_milli: Some(1_000_000),
            ..Quota::default()
        },
    });
    Configuration {
        version: 1,
        queues: Vec::new(),
        pools: BTreeMap::new(),
        document: Default::default(),
        access: Some(Access::new(workspaces.collect(), BTreeSet::new())),
    }
}

fn main() {
    println!("workspaces  keys  look-up ns  digest ns  encoded bytes  read ms");
    for workspaces in [10, 210, 2_000] {
        let configuration = configuration(workspaces);
        let access = configuration.access.as_ref().unwrap();
        let keys: Vec<Credentials> = (0..workspaces * KEYS_EACH)
            .map(|index| Credentials::Key(digest(index / KEYS_EACH, index % KEYS_EACH)))
            .collect();
        let began = Instant::now();
        let found = (0..LOOKUPS)
            .filter(|index| access.identify(&keys[index % keys.len()]).is_ok())
            .count();
        let lookup_ns = began.elapsed().as_nanos() as usize / LOOKUPS;
        assert_eq!(found, LOOKUPS);
        let key = SecretString::from("x6pwawxdmdejk7f92bqu");
        let began = Instant::now();
        let digests: BTreeSet<KeyDigest> = (0..LOOKUPS / 10).map(|_| KeyDigest::of(&key)).collect();
        let digest_ns = began.elapsed().as_nanos() as usize / (LOOKUPS / 10);
        assert_eq!(digests.len(), 1);
        let bytes = configuration.encode();
        let began = Instant::now();
        let read = Configuration::decode(&bytes).unwrap();
        let read_ms = began.elapsed().as_secs_f64() * 1_000.0;
        assert!(read == configuration);
        println!(
            "{workspaces:>10}  {:>4}  {lookup_ns:>10}  {digest_ns:>9}  {:>13}  {read_ms:>7.2}",
            keys.len(),
            bytes.len(),
        );
    }
}
