//! How large the replicated state is and what a command costs, by size.
//!
//! `cargo run --release --example state_size` prints one line for each number
//! of keys. All sizes come from one run, so that their ratios hold on a busy
//! machine.

use std::time::Instant;

use rosemarygauge::load::RequestId;
use rosemarygauge::state::{Change, ClaimReply, Command, CommandId, Fingerprint, Reply, State};

/// Keys claimed and answered; the last is the limit of claims.
const SIZES: [u64; 4] = [1_000, 10_000, 100_000, 200_000];

/// Bytes of each answer; ten times a booking's confirmation number.
const ANSWER_BYTES: usize = 100;

fn main() {
    println!("keys    apply us/command  snapshot bytes/key  encode ms  decode ms");
    for keys in SIZES {
        println!("{}", line(keys));
    }
}

fn line(keys: u64) -> String {
    let started = Instant::now();
    let state = fill(keys);
    let apply_us = started.elapsed().as_secs_f64() * 1e6 / (keys * 2) as f64;
    let started = Instant::now();
    let bytes = state.encode().expect("an applied state has an encoding");
    let encode_ms = started.elapsed().as_secs_f64() * 1e3;
    let started = Instant::now();
    let again = State::decode(&bytes).expect("it was encoded just now");
    let decode_ms = started.elapsed().as_secs_f64() * 1e3;
    assert!(again == state, "a snapshot gives the same state");
    let per_key = bytes.len() as f64 / keys as f64;
    format!("{keys:<8}{apply_us:<18.2}{per_key:<20.0}{encode_ms:<11.1}{decode_ms:.1}")
}

/// A state with this many answered keys.
fn fill(keys: u64) -> State {
    let mut state = State::default();
    for n in 0..keys {
        let key = format!("booking-{n}");
        let claim = Change::Claim {
            key: key.as_str().into(),
            fingerprint: Fingerprint::of(&"booking".into(), &"t".into(), "c", key.as_bytes()),
            request: RequestId(n),
        };
        let Reply::Claim(ClaimReply::Granted { fence }) = state.apply(&command(2 * n, claim))
        else {
            panic!("a new key below the limit is granted");
        };
        let answer = Change::ClaimAnswer {
            key: key.as_str().into(),
            fence,
            status: 200,
            body: vec![7; ANSWER_BYTES],
        };
        state.apply(&command(2 * n + 1, answer));
    }
    state
}

fn command(sequence: u64, change: Change) -> Command {
    let id = CommandId {
        entry: "amman-a-1".into(),
        incarnation: 1,
        sequence,
    };
    Command {
        id,
        at_unix_ms: 0,
        change,
    }
}
