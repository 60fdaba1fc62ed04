//! Tests of plans against the lower bounds, the recount and the controller.

use rosemarygauge::cmd::measure_waves::{Deployment, Trouble, fleet, measure, spec};
use rosemarygauge::maintenance::bounds::visits_bound_ms;
use rosemarygauge::maintenance::{Figures, FleetCommand, Selection, Work, plan};
use rosemarygauge::model::{FailureDomain, PoolName};

use super::recount::Recount;

/// Replays a plan's visits step by step: the budget holds at any time, each selected
/// instance is visited once, and no figure is below its lower bound.
#[test]
fn a_plan_holds_the_budget_and_its_bounds() {
    for (instances, pools) in [(50, 5), (300, 7)] {
        for survive in [
            FailureDomain::None,
            FailureDomain::Instance,
            FailureDomain::Rack,
        ] {
            for deployment in [Deployment::Grants, Deployment::Tunnels] {
                let mut fleet = fleet(instances, pools, survive);
                let plan = plan(&fleet, &spec(deployment));
                let Figures {
                    rollout_ms,
                    moves,
                    buffer_instance_ms,
                    buffer_peak,
                } = plan.expected;
                assert!(rollout_ms >= plan.bound.rollout_ms && moves >= plan.bound.moves);
                assert!(buffer_instance_ms >= plan.bound.buffer_instance_ms);
                assert!(buffer_peak >= plan.bound.buffer_peak && plan.stuck.is_empty());
                let visits = plan.steps.iter().filter(|s| s.work == Work::Visit).count();
                assert_eq!(visits, usize::try_from(instances).unwrap());
                if moves > 0 {
                    continue;
                }
                let mut edges = Vec::new();
                for step in &plan.steps {
                    edges.push((step.start_ms, true, &step.instance, &step.pool));
                    edges.push((step.end_ms, false, &step.instance, &step.pool));
                }
                edges.sort();
                for (_, failed, instance, pool) in edges {
                    let instance = instance.clone();
                    fleet
                        .apply(0, &FleetCommand::Health { instance, failed })
                        .unwrap();
                    assert!(Recount::of(&fleet, pool, None).meets_budget());
                }
            }
        }
    }
}

/// A pool without any room would block the wave forever. If another pool has room, it
/// lends an instance, even with weights that avoid moves; otherwise the plan names
/// the pool that cannot be finished and its budget use.
#[test]
fn a_pool_without_room_borrows_or_is_reported() {
    let mut fleet = fleet(50, 5, FailureDomain::Instance);
    let mut wave = spec(Deployment::Tunnels);
    wave.selection = Selection::Pool("pool-00".into());
    let mut pool = fleet.pools()[&PoolName::from("pool-00")].clone();
    pool.budget.min_available = 7;
    fleet.apply(0, &FleetCommand::PutPool { pool }).unwrap();
    let borrowed = plan(&fleet, &wave);
    assert!(borrowed.stuck.is_empty() && borrowed.expected.moves >= 2);
    assert_eq!(borrowed.bound.moves, 2);
    let pools: Vec<PoolName> = fleet.pools().keys().cloned().collect();
    for name in &pools {
        let mut pool = fleet.pools()[name].clone();
        pool.budget.min_available = fleet.budget_use(name).unwrap().serving - 1;
        fleet.apply(0, &FleetCommand::PutPool { pool }).unwrap();
    }
    let stuck = plan(&fleet, &wave);
    assert_eq!(stuck.stuck.len(), 1);
    assert!(
        stuck
            .to_string()
            .contains("cannot finish: 8 instances left, pool pool-00")
    );
}

/// Compares the bound with an exhaustive search over the assignments of a few visits
/// to a few slots: none is shorter.
#[test]
fn no_schedule_beats_the_bound() {
    fn best(takes_ms: &[u64], slots: &mut Vec<u64>) -> u64 {
        let Some((first, rest)) = takes_ms.split_first() else {
            return slots.iter().copied().max().unwrap_or(0);
        };
        let mut least = u64::MAX;
        for i in 0..slots.len() {
            slots[i] += first;
            least = least.min(best(rest, slots));
            slots[i] -= first;
        }
        least
    }
    for seed in 0..200u64 {
        let takes_ms: Vec<u64> = (1..=7).map(|i| (seed * 31 + i * i * 17) % 23 + 1).collect();
        for width in 1..4 {
            let slots = usize::try_from(width).unwrap();
            let bound = visits_bound_ms(takes_ms.clone(), width).unwrap();
            assert!(bound <= best(&takes_ms, &mut vec![0; slots]));
        }
    }
}

/// Runs waves end to end at the sizes of both deployments: they end near their
/// bounds.
#[test]
fn waves_end_near_their_bounds() {
    for deployment in [Deployment::Grants, Deployment::Tunnels] {
        for trouble in [Trouble::None, Trouble::RackLost, Trouble::TimesOff] {
            let run = measure(deployment, trouble, 1);
            assert!(
                run.done && run.rollout_ms >= run.rollout_bound_ms,
                "{run:?}"
            );
            assert!(
                run.rollout_ms * 100 <= run.rollout_bound_ms * 150,
                "{run:?}"
            );
            // Random variation of visit times alone must not cause loans.
            let moves_ok = trouble != Trouble::None || run.moves <= run.moves_bound;
            assert!(moves_ok, "{run:?}");
            assert!(run.rollout_ms * 2 < run.rack_by_rack_ms, "{run:?}");
        }
    }
}
