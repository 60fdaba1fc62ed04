//! Random commands in random order, as from several operators and from old and new
//! leaders at the same time: the fleet must accept and refuse them as a recount from
//! scratch does.

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rosemarygauge::cmd::measure_waves::fleet;
use rosemarygauge::maintenance::{
    Fleet, FleetCommand, FleetRefusal, Selection, WaveKind, WaveSpec, WaveWeights,
};
use rosemarygauge::model::{DesiredState, FailureDomain, InstanceName, PoolName, WaveName};

use super::recount::{Recount, check};

const SURVIVALS: [FailureDomain; 3] = [
    FailureDomain::None,
    FailureDomain::Instance,
    FailureDomain::Rack,
];

fn random_command(fleet: &Fleet, rng: &mut ChaCha8Rng) -> FleetCommand {
    let names: Vec<&InstanceName> = fleet.instances().keys().collect();
    let instance: InstanceName = (*names.choose(rng).unwrap()).clone();
    let pools: Vec<&PoolName> = fleet.pools().keys().collect();
    let to: PoolName = (*pools.choose(rng).unwrap()).clone();
    let epoch = fleet.instances()[&instance].epoch - u64::from(rng.random_ratio(1, 10));
    let waves: Vec<&WaveName> = fleet.waves().keys().collect();
    let wave: WaveName = waves
        .choose(rng)
        .map_or("none".into(), |name| (*name).clone());
    let incarnation = rng.random_range(0..4);
    let reason = "drawn".to_owned();
    match rng.random_range(0..24) {
        0..4 => FleetCommand::Health {
            instance,
            failed: rng.random(),
        },
        4 => FleetCommand::Drain { instance },
        5 | 6 => FleetCommand::Undrain { instance },
        7 => FleetCommand::StartMove { instance, to },
        8 => FleetCommand::Lend {
            instance,
            to,
            reason,
        },
        9 | 10 => FleetCommand::FinishMove { instance, epoch },
        11 => FleetCommand::AbortMove { instance, reason },
        12 => FleetCommand::StartWave {
            spec: random_spec(rng, instance, to),
        },
        13 if rng.random_ratio(1, 8) => FleetCommand::StopWave { wave },
        13..16 => FleetCommand::BeginAbsence { wave, instance },
        16 => FleetCommand::PutOff { instance, reason },
        17 | 18 => FleetCommand::MarkAway {
            instance,
            epoch,
            incarnation,
        },
        19 => FleetCommand::RepairStart {
            instance,
            incarnation,
        },
        20 | 21 => FleetCommand::Return {
            instance,
            incarnation,
        },
        22 => FleetCommand::Restore { instance },
        _ if rng.random_ratio(1, 4) => FleetCommand::SetAside { instance, reason },
        _ => FleetCommand::Restore { instance },
    }
}

fn random_spec(rng: &mut ChaCha8Rng, instance: InstanceName, pool: PoolName) -> WaveSpec {
    WaveSpec {
        name: format!("wave-{}", rng.random_range(0..20)).into(),
        kind: if rng.random() {
            WaveKind::Reboot
        } else {
            WaveKind::Replace
        },
        selection: match rng.random_range(0..3) {
            0 => Selection::All,
            1 => Selection::Pool(pool),
            _ => Selection::Instances(vec![instance]),
        },
        drain_ms: 1,
        absence_ms: 1,
        spread_percent: 0,
        weights: WaveWeights::MOVES_FIRST,
    }
}

/// The serving instance that a voluntary absence would take out of service, if any.
fn instance_taken_out<'a>(fleet: &Fleet, command: &'a FleetCommand) -> Option<&'a InstanceName> {
    let name = match command {
        FleetCommand::Drain { instance }
        | FleetCommand::StartMove { instance, .. }
        | FleetCommand::Lend { instance, .. }
        | FleetCommand::BeginAbsence { instance, .. }
        | FleetCommand::SetAside { instance, .. } => instance,
        _ => return None,
    };
    let serves = fleet.instances()[name].duty == DesiredState::Serving && !fleet.is_failed(name);
    serves.then_some(name)
}

#[test]
fn random_commands_match_a_recount() {
    let mut refused_by_budget = 0;
    let mut moved = 0;
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = fleet(24, 3, *SURVIVALS.choose(&mut rng).unwrap());
        for at in 0..600 {
            let command = random_command(&fleet, &mut rng);
            let before = fleet.clone();
            let result = fleet.apply(at, &command);
            check(&fleet);
            moved +=
                u32::from(result.is_ok() && matches!(command, FleetCommand::FinishMove { .. }));
            if result.is_err() {
                assert_eq!(fleet, before, "a refused {command:?} changed the fleet");
            }
            let Some(name) = instance_taken_out(&before, &command) else {
                assert!(
                    !matches!(result, Err(FleetRefusal::Budget { .. })),
                    "{command:?}"
                );
                continue;
            };
            let pool = &before.instances()[name].pool;
            let whole = Recount::of(&before, pool, Some(name)).meets_budget();
            match result {
                Ok(()) => assert!(whole, "{command:?} broke {pool} (seed {seed})"),
                Err(FleetRefusal::Budget { after }) => {
                    assert!(!whole, "{command:?} was refused by {after}");
                    refused_by_budget += 1;
                }
                Err(_) => {}
            }
        }
        let json = serde_json::to_string(&fleet).unwrap();
        assert_eq!(fleet, serde_json::from_str(&json).unwrap());
    }
    // The random commands must reach the cases under test.
    assert!(refused_by_budget > 500, "{refused_by_budget} refusals");
    assert!(moved > 50, "{moved} moves");
}

/// An operator types a budget of 80 instead of 8, or drains one instance more than a
/// pool can spare. Both commands are refused without effect, and the refusal shows
/// the budget calculation.
#[test]
fn refusals_show_the_budget_calculation() {
    let mut fleet = fleet(50, 5, FailureDomain::Instance);
    let mut pool = fleet.pools()[&PoolName::from("pool-00")].clone();
    pool.budget.min_available = 80;
    let refusal = fleet.apply(0, &FleetCommand::PutPool { pool }).unwrap_err();
    assert_eq!(
        refusal.to_string(),
        "pool pool-00: 8 of 8 serving, less 1 for the worst instance still to come = 7, \
         breaks its need of 80"
    );
    let members: Vec<_> = fleet
        .tally(&"pool-00".into())
        .unwrap()
        .members()
        .iter()
        .cloned()
        .collect();
    let (failed, instance) = (true, members[0].clone());
    fleet
        .apply(1, &FleetCommand::Health { instance, failed })
        .unwrap();
    let instance = members[1].clone();
    fleet.apply(2, &FleetCommand::Drain { instance }).unwrap();
    let instance = members[2].clone();
    let refusal = fleet
        .apply(3, &FleetCommand::Drain { instance })
        .unwrap_err();
    assert_eq!(
        refusal.to_string(),
        "pool pool-00: 5 of 8 serving (1 failed, 1 drained), less 1 for the worst instance \
         still to come = 4, breaks its need of 5"
    );
}
