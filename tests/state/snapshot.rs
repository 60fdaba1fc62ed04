//! A snapshot gives the same state, and damaged bytes give an error.

use rosemarygauge::state::*;

use super::{Bench, put, service_row};

fn full() -> State {
    let mut bench = Bench::furnished();
    bench.run("e", 1, put("c1", vec![service_row("a", 0, 10, 8)]));
    bench.run("e", 2, put("c2", vec![service_row("a", 0, 10, 8)]));
    bench.run("f", 3, super::claims::claim("k", 1));
    bench.run("f", 4, super::jobs::accept("j", true));
    bench.state
}

#[test]
fn a_snapshot_gives_the_same_state() {
    let state = full();
    let bytes = state.encode().unwrap();
    let again = State::decode(&bytes).unwrap();
    assert_eq!(again, state);
    assert_eq!(again.encode().unwrap(), bytes);
    assert_eq!(again.hash().unwrap(), full().hash().unwrap());
}

// A snapshot file is cut or a bit in it flips, and the process starts from it.
// It must start with the whole state or stop with an error, never panic, and
// never ask for the terabytes that a damaged length promises.
#[test]
fn damaged_snapshots_are_errors() {
    let bytes = full().encode().unwrap();
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
