//! Claims on request keys: at most once.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosemarygauge::load::RequestId;
use rosemarygauge::model::*;
use rosemarygauge::state::*;

use super::Bench;

pub fn print(body: &str) -> Fingerprint {
    Fingerprint::of(&"booking".into(), &"t".into(), "c", body.as_bytes())
}

pub fn claim(key: &str, request: u64) -> Change {
    Change::Claim {
        key: key.into(),
        fingerprint: print(key),
        request: RequestId(request),
    }
}

fn answer(key: &str, fence: Fence, size: usize) -> Change {
    Change::ClaimAnswer {
        key: key.into(),
        fence,
        status: 200,
        body: vec![7; size],
    }
}

fn lost(entry: &str, incarnation: u64) -> Change {
    Change::EntryLost {
        entry: entry.into(),
        incarnation,
    }
}

fn granted(reply: Reply) -> Option<Fence> {
    match reply {
        Reply::Claim(ClaimReply::Granted { fence }) => Some(fence),
        _ => None,
    }
}

fn reply(bench: &mut Bench, at: u64, key: &str) -> ClaimReply {
    match bench.run("z", at, claim(key, 99)) {
        Reply::Claim(reply) => reply,
        other => panic!("{other:?}"),
    }
}

// The log holds a claim twice, because its proposer asked again after a
// timeout. Between the two the request was refused by the upstream and its key
// released. The second copy must not grant the key to a request that is over:
// the key would stay in flight for ever.
#[test]
fn a_claim_applied_twice_counts_once() {
    let mut bench = Bench::default();
    let first = bench.command("e", 0, claim("k", 1));
    let fence = granted(bench.state.apply(&first)).unwrap();
    let release = Change::ClaimRelease {
        key: "k".into(),
        fence,
    };
    assert_eq!(bench.run("e", 1, release), Reply::Accepted);
    assert_eq!(granted(bench.state.apply(&first)), Some(fence));
    assert_eq!(bench.state.claim(&"k".into()), None);
    for n in 0..PROPOSALS_KEPT {
        bench.run("e", 2, claim(&format!("other{n}"), n));
    }
    assert_eq!(bench.state.apply(&first), Reply::Superseded);
    assert_eq!(bench.state.claim(&"k".into()), None);
}

// A word about an attempt arrives after its key was released and granted again,
// or after the answer. Taken for the present attempt's, a late release would
// free a key that runs, and a late "unknown" would take back an answer.
#[test]
fn a_late_word_about_an_old_attempt_changes_nothing() {
    let mut bench = Bench::default();
    let release = |fence| Change::ClaimRelease {
        key: "k".into(),
        fence,
    };
    let unknown = |fence| Change::ClaimUnknown {
        key: "k".into(),
        fence,
    };
    let first = granted(bench.run("e", 0, claim("k", 1))).unwrap();
    bench.run("e", 1, release(first));
    let second = granted(bench.run("f", 2, claim("k", 2))).unwrap();
    for late in [release(first), unknown(first), answer("k", first, 1)] {
        assert_eq!(bench.run("e", 3, late), Reply::StaleFence);
    }
    assert!(matches!(
        reply(&mut bench, 4, "k"),
        ClaimReply::InFlight { .. }
    ));
    bench.run("f", 5, answer("k", second, 2));
    for late in [release(second), unknown(second)] {
        assert_eq!(bench.run("f", 6, late), Reply::StaleFence);
    }
    assert_eq!(bench.run("f", 6, answer("k", second, 3)), Reply::Accepted);
    let body = vec![7; 2];
    let status = 200;
    assert_eq!(
        reply(&mut bench, 7, "k"),
        ClaimReply::Answered { status, body }
    );
}

// The store of used keys is full. A new key could not be remembered when its
// answer goes, and would run again when it is sent again: it is refused.
#[test]
fn no_key_is_granted_that_could_not_be_remembered() {
    let mut bench = Bench::default();
    let mut at = 0;
    for batch in 0..MAX_TOMBSTONES / MAX_CLAIMS {
        for n in 0..MAX_CLAIMS {
            let key = (batch * MAX_CLAIMS + n).to_string();
            granted(bench.run("e", at, claim(&key, 1))).unwrap();
        }
        assert_eq!(reply(&mut bench, at, "new"), ClaimReply::Full);
        bench.run("z", at, lost("e", 1));
        at += KEY_RETENTION_MS;
        assert_eq!(reply(&mut bench, at, "0"), ClaimReply::Unknown);
    }
    assert_eq!(bench.state.usage().claims, 0);
    assert_eq!(reply(&mut bench, at, "new"), ClaimReply::Full);
}

// Another caller, or the same one by mistake, sends the key with another body.
// It must be told so, and not be given the answer to the first body.
#[test]
fn a_key_for_another_request_is_a_conflict() {
    let mut bench = Bench::default();
    granted(bench.run("e", 0, claim("k", 1))).unwrap();
    let other = Change::Claim {
        key: "k".into(),
        fingerprint: print("other"),
        request: RequestId(2),
    };
    assert_eq!(bench.run("f", 1, other), Reply::Claim(ClaimReply::Conflict));
    let team: TeamName = "t".into();
    assert_ne!(scoped_key(&team, "ab", "c"), scoped_key(&team, "a", "bc"));
}

// An entry instance is cut off while it runs a booking. The leader takes it for
// lost, so the key is unknown and is granted to nobody. When the entry instance
// returns with the one answer, the answer counts; a restart settles it as well.
#[test]
fn a_lost_entry_leaves_unknown_until_its_answer_comes() {
    let mut bench = Bench::default();
    let fence = granted(bench.run("e", 0, claim("k", 1))).unwrap();
    bench.run("e", 0, claim("k2", 2));
    assert_eq!(bench.run("f", 1, lost("e", 1)), Reply::Accepted);
    assert_eq!(reply(&mut bench, 2, "k"), ClaimReply::Unknown);
    assert_eq!(bench.run("e", 3, answer("k", fence, 1)), Reply::Accepted);
    let body = vec![7];
    assert_eq!(
        reply(&mut bench, 4, "k"),
        ClaimReply::Answered { status: 200, body }
    );
    assert_eq!(reply(&mut bench, 4, "k2"), ClaimReply::Unknown);

    let mut restarted = bench.command("z", 5, claim("k3", 3));
    assert!(granted(bench.state.apply(&restarted)).is_some());
    restarted.id.incarnation = 2;
    let again = bench.state.apply(&restarted);
    assert_eq!(again, Reply::Claim(ClaimReply::Unknown));
    assert_eq!(bench.run("z", 6, claim("k4", 4)), Reply::StaleIncarnation);
}

// A key is used again after its answer's time, or after so many bytes of other
// answers that its own went. It ran, so it must never run again: the caller is
// told that the answer is no longer kept. Only after the tombstone's time, and
// only by the clocks of most entry instances, is the key forgotten.
#[test]
fn an_expired_key_is_never_granted() {
    let mut bench = Bench::default();
    let fence = granted(bench.run("e", 0, claim("k", 1))).unwrap();
    bench.run("e", 0, answer("k", fence, 1));
    let f = granted(bench.run("e", 0, claim("u", 2))).unwrap();
    let unknown = Change::ClaimUnknown {
        key: "u".into(),
        fence: f,
    };
    assert_eq!(bench.run("e", 0, unknown), Reply::Accepted);
    for entry in ["z", "f"] {
        bench.run(entry, 0, claim("x", 1));
    }
    // One clock that is a year ahead changes nothing.
    let year = 365 * 24 * 60 * 60 * 1_000;
    bench.run("f", year, claim("y", 1));
    assert!(matches!(
        reply(&mut bench, 1, "k"),
        ClaimReply::Answered { .. }
    ));

    bench.run("e", KEY_RETENTION_MS, claim("y", 1));
    let at = KEY_RETENTION_MS;
    assert_eq!(reply(&mut bench, at, "k"), ClaimReply::Expired);
    assert_eq!(reply(&mut bench, at, "u"), ClaimReply::Unknown);
    assert_eq!(bench.run("e", at, answer("u", f, 1)), Reply::StaleFence);
    let end = KEY_RETENTION_MS + TOMBSTONE_RETENTION_MS + 1;
    bench.run("e", end, claim("y", 1));
    assert!(matches!(
        reply(&mut bench, end, "k"),
        ClaimReply::Granted { .. }
    ));
}

#[test]
fn answers_are_bounded_and_the_oldest_go_first() {
    let mut bench = Bench::default();
    let size = MAX_ONE_ANSWER_BYTES as usize;
    let count = MAX_ANSWER_BYTES / MAX_ONE_ANSWER_BYTES;
    for n in 0..=count {
        let key = format!("k{n}");
        let fence = granted(bench.run("e", n, claim(&key, n))).unwrap();
        bench.run("e", n, answer(&key, fence, size));
        assert!(bench.state.usage().answer_bytes <= MAX_ANSWER_BYTES);
    }
    assert_eq!(reply(&mut bench, count, "k0"), ClaimReply::Expired);
    assert!(matches!(
        reply(&mut bench, count, "k1"),
        ClaimReply::Answered { .. }
    ));
    let fence = granted(bench.run("e", count, claim("huge", 1))).unwrap();
    bench.run("e", count, answer("huge", fence, size + 1));
    assert_eq!(reply(&mut bench, count, "huge"), ClaimReply::Expired);
}

// Entry instances claim the same keys, run what they are granted, lose answers,
// are taken for lost while they still run, restart, and send old words late.
// Whatever the order, the work of a key runs at most once, and an answer that
// a caller gets is the one that the run gave.
#[test]
fn random_schedules_run_each_key_at_most_once() {
    for seed in 0..150 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut bench = Bench::default();
        let mut ran: BTreeMap<String, Vec<Fence>> = BTreeMap::new();
        let mut held: Vec<(String, String, Fence)> = Vec::new();
        let mut old: Vec<Command> = Vec::new();
        let mut told: BTreeMap<String, ClaimReply> = BTreeMap::new();
        for at in 0..200 {
            let key = format!("k{}", rng.random_range(0..6));
            let entry = format!("e{}", rng.random_range(0..4));
            let command = match rng.random_range(0..10) {
                0..4 => bench.command(&entry, at, claim(&key, at)),
                4..7 if !held.is_empty() => {
                    let (entry, key, fence) = held.remove(rng.random_range(0..held.len()));
                    let change = if rng.random_bool(0.3) {
                        Change::ClaimRelease {
                            key: key.as_str().into(),
                            fence,
                        }
                    } else {
                        ran.entry(key.clone()).or_default().push(fence);
                        if rng.random_bool(0.3) {
                            let key = key.as_str().into();
                            Change::ClaimUnknown { key, fence }
                        } else {
                            answer(&key, fence, fence.0 as usize)
                        }
                    };
                    bench.command(&entry, at, change)
                }
                7 => bench.command("leader", at, lost(&entry, 1)),
                _ if !old.is_empty() => {
                    // The same proposal again, or a word about an attempt that
                    // is long over under a new number.
                    let command = old[rng.random_range(0..old.len())].clone();
                    if matches!(command.change, Change::Claim { .. }) || rng.random_bool(0.5) {
                        command
                    } else {
                        bench.command(command.id.entry.as_str(), at, command.change)
                    }
                }
                _ => continue,
            };
            let repeated = old.contains(&command);
            let reply = bench.state.apply(&command);
            old.push(command.clone());
            let Change::Claim { key, .. } = &command.change else {
                continue;
            };
            let key = key.to_string();
            match reply {
                Reply::Claim(ClaimReply::Granted { fence }) if !repeated => {
                    held.push((command.id.entry.to_string(), key, fence));
                }
                Reply::Claim(reply @ ClaimReply::Answered { .. }) => {
                    let ClaimReply::Answered { body, .. } = &reply else {
                        unreachable!()
                    };
                    assert_eq!(body.len() as u64, ran[&key][0].0, "seed {seed}");
                    assert_eq!(told.entry(key).or_insert(reply.clone()), &reply);
                }
                _ => {}
            }
            for (key, fences) in &ran {
                assert_eq!(fences.len(), 1, "seed {seed}: {key} ran under {fences:?}");
            }
        }
        assert!(!ran.is_empty());
    }
}
