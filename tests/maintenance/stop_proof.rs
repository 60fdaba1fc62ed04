//! Tests of the proof that no entry instance dispatches to a draining instance any
//! more.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rosemarygauge::maintenance::{
    ControllerSettings, EntryAck, InstanceSeen, Observed, StopProof, Verdict,
};
use rosemarygauge::model::{Capacity, InstanceName, UpstreamReport, UpstreamState};

const EPOCH: u64 = 7;
const DRAIN_INDEX: u64 = 100;

fn seen(heard_ms: u64, standing: UpstreamState, running: u32, usage_age_ms: u64) -> InstanceSeen {
    InstanceSeen {
        report: UpstreamReport {
            instance: "worker".into(),
            incarnation: 1,
            sequence: heard_ms,
            address: String::new(),
            zone: "zone".into(),
            rack: "rack".into(),
            pool: "old".into(),
            capacity: Capacity {
                cores: 1,
                memory_mib: 1,
                accelerators: 0,
                slots: 1,
                connections: 1,
            },
            pool_epoch: EPOCH,
            standing,
            running,
            usage_age_ms,
        },
        heard_ms,
        sick: false,
    }
}

fn observed(seen: InstanceSeen, acks: &[(&str, u64, u32)]) -> Observed {
    let worker: InstanceName = "worker".into();
    let mut observed = Observed::default();
    for (entry, applied_index, count) in acks {
        let in_flight = [(worker.clone(), *count)].into();
        let ack = EntryAck {
            applied_index: *applied_index,
            in_flight,
        };
        observed.entries.insert((*entry).into(), ack);
    }
    observed.instances.insert(worker, seen);
    observed
}

fn verdict(proof: &mut StopProof, now_ms: u64, observed: &Observed) -> Verdict {
    let worker: InstanceName = "worker".into();
    proof.record_report(&observed.instances[&worker]);
    proof.verdict(now_ms, &ControllerSettings::default(), &worker, observed)
}

#[test]
fn acknowledgements_of_all_entries_are_a_proof() {
    let mut proof = StopProof::new(EPOCH, DRAIN_INDEX);
    let serving = || seen(1_000, UpstreamState::Serving, 0, 0);
    let mut check =
        |acks: &[(&str, u64, u32)], seen| verdict(&mut proof, 1_500, &observed(seen, acks));
    let behind = check(&[("a", 100, 0), ("b", 99, 0)], serving());
    assert_eq!(behind, Verdict::Unacknowledged(vec!["b".into()]));
    let busy = check(&[("a", 100, 0), ("b", 120, 2)], serving());
    assert!(matches!(busy, Verdict::InFlight { count: 2, .. }));
    // An entry that restarted has nothing in flight, but the upstream still runs a
    // request.
    let restarted = check(
        &[("a", 100, 0), ("b", 120, 0)],
        seen(1_000, UpstreamState::Draining, 1, 0),
    );
    assert_eq!(restarted, Verdict::Running(1));
    let all = check(&[("a", 100, 0), ("b", 120, 0)], serving());
    assert_eq!(all, Verdict::Acknowledged);
    // The instance may have failed right after its last report.
    let silent = observed(serving(), &[("a", 100, 0)]);
    assert_eq!(
        verdict(&mut StopProof::new(EPOCH, DRAIN_INDEX), 6_000, &silent),
        Verdict::NoRecentReport
    );
    // Without entry instances there is no acknowledgement.
    assert_eq!(check(&[], serving()), Verdict::Unacknowledged(vec![]));
}

/// Guards against an instance that serves two pools at the same time. An entry
/// instance is partitioned from the log but receives the upstream's reports, and
/// dispatches for up to a lease after the last `Serving` report. The proof by lease
/// must not succeed while that lease may be valid, even if reports are lost or late
/// and the upstream restarts.
#[test]
fn no_proof_while_a_partitioned_entry_may_dispatch() {
    let settings = ControllerSettings::default();
    let mut proofs = 0;
    for seed in 0..400 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut proof = StopProof::new(EPOCH, DRAIN_INDEX);
        let drains_at_ms = rng.random_range(0..20_000_u64);
        let ends_at_ms = drains_at_ms + rng.random_range(0..10_000);
        // The last request starts just before the drain.
        let starts_at_ms = drains_at_ms.saturating_sub(500);
        let mut permitted_until_ms = 0;
        let mut heard = seen(0, UpstreamState::Serving, 1, 0);
        let mut incarnation = 1;
        for now_ms in (1_000..60_000_u64).step_by(1_000) {
            let serves = now_ms < drains_at_ms;
            let age_ms = rng.random_range(0..15_000);
            let counted_ms = now_ms.saturating_sub(age_ms);
            let running = u32::from((starts_at_ms..ends_at_ms).contains(&counted_ms));
            let standing = if serves {
                UpstreamState::Serving
            } else {
                UpstreamState::Draining
            };
            let mut report = seen(now_ms, standing, running, age_ms);
            if rng.random_ratio(1, 30) {
                // After a restart the upstream knows neither epoch nor drain, or got
                // the epoch from an entry whose view is still valid.
                incarnation += 1;
                report.report.standing = UpstreamState::Serving;
                report.report.pool_epoch = if rng.random() { EPOCH } else { 0 };
            }
            report.report.incarnation = incarnation;
            let same_epoch = report.report.pool_epoch == EPOCH;
            if same_epoch && report.report.standing == UpstreamState::Serving {
                permitted_until_ms = now_ms + settings.dispatch_lease_ms;
            }
            if rng.random_ratio(7, 10) {
                heard = report;
            }
            let result = verdict(
                &mut proof,
                now_ms,
                &observed(heard.clone(), &[("cut-off", 3, 0)]),
            );
            if result.is_stopped() {
                assert_eq!(result, Verdict::LeaseExpired);
                assert!(now_ms >= ends_at_ms, "seed {seed} at {now_ms}");
                assert!(now_ms >= permitted_until_ms, "seed {seed} at {now_ms}");
                proofs += 1;
                break;
            }
        }
    }
    assert!(proofs > 200, "{proofs} proofs");
}

/// An instance is drained, serves again, and is drained again. A report of the first
/// drain arrives during the second one. It has the first epoch, so it must not prove
/// the second stop.
#[test]
fn a_late_report_of_an_earlier_drain_proves_nothing() {
    let mut proof = StopProof::new(EPOCH, DRAIN_INDEX);
    for now_ms in (1_000..30_000).step_by(1_000) {
        let mut late = seen(now_ms, UpstreamState::Draining, 0, 0);
        late.report.pool_epoch = EPOCH - 1;
        let result = verdict(&mut proof, now_ms, &observed(late, &[("cut-off", 3, 0)]));
        assert_eq!(result, Verdict::Unacknowledged(vec!["cut-off".into()]));
    }
}
