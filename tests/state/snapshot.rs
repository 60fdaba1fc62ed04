//! A snapshot decodes to the same state, and damaged bytes give an error.

use rosemarygauge::state::*;

use super::{Harness, put, service_row};

fn filled_state() -> State {
    let mut harness = Harness::with_pool();
    harness.apply("e", 1, put("c1", vec![service_row("a", 0, 10, 8)]));
    harness.apply("e", 2, put("c2", vec![service_row("a", 0, 10, 8)]));
    harness.apply("f", 3, super::claims::claim("k", 1));
    harness.apply("f", 4, super::jobs::accept("j", true));
    harness.state
}

#[test]
fn a_snapshot_gives_the_same_state() {
    let state = filled_state();
    let bytes = state.encode().unwrap();
    let decoded = State::decode(&bytes).unwrap();
    assert_eq!(decoded, state);
    assert_eq!(decoded.encode().unwrap(), bytes);
    assert_eq!(decoded.hash().unwrap(), filled_state().hash().unwrap());
}

// A process starts from a snapshot file that is truncated or has a flipped bit.
// It must start with the whole state or stop with an error; it must not panic or
// allocate the terabytes that a damaged length field asks for.
#[test]
fn damaged_snapshots_are_errors() {
    let bytes = filled_state().encode().unwrap();
    for cut in 0..bytes.len() {
        assert!(State::decode(&bytes[..cut]).is_err(), "cut at {cut}");
    }
    for bit in 0..bytes.len() * 8 {
        let mut bytes = bytes.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        let _ = State::decode(&bytes);
    }
    let mut longer = bytes;
    longer.push(0);
    assert!(matches!(
        State::decode(&longer),
        Err(SnapshotError::Trailing { bytes: 1 })
    ));
}
