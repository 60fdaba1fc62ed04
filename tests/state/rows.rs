//! Rows of weights and limits: concurrent changes, repeated changes, versions.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosemarygauge::model::*;
use rosemarygauge::state::*;
use rosemarygauge::table::{CellError, Column, Fault};

use super::{Harness, put, service_row};

fn version_fault(reply: &Reply) -> Option<(u64, Option<Row>)> {
    let Reply::Rows(errors) = reply else {
        return None;
    };
    errors.iter().find_map(|e| match &e.fault {
        Fault::Version { version, row } => Some((*version, row.as_ref().map(|r| r.row))),
        _ => None,
    })
}

// Two operators read the table at version 1 and both change the same row. The
// change that is first in the log wins. The other operator is refused and gets
// the row in force, instead of overwriting it unseen.
#[test]
fn of_two_racing_changes_exactly_one_wins() {
    let mut harness = Harness::with_pool();
    assert_eq!(
        harness.apply("e", 1, put("c0", vec![service_row("a", 0, 10, 8)])),
        Reply::Accepted
    );
    let mine = harness.apply("e", 2, put("c1", vec![service_row("a", 1, 12, 8)]));
    let theirs = harness.apply("f", 2, put("c2", vec![service_row("a", 1, 14, 8)]));
    assert_eq!(mine, Reply::Accepted);
    let won = service_row("a", 1, 12, 8).row;
    assert_eq!(version_fault(&theirs), Some((2, won)));
    assert_eq!(
        harness.state.rows().values().next().map(|r| r.version),
        Some(2)
    );
}

// The reply to a change is lost and the operator sends it again through another
// entry instance. It was accepted, so it must not be refused for its outdated
// versions; and the same id with other rows must be refused.
#[test]
fn a_resent_change_gets_its_first_reply() {
    let mut harness = Harness::with_pool();
    let rows = vec![service_row("a", 0, 10, 8)];
    assert_eq!(
        harness.apply("e", 1, put("c1", rows.clone())),
        Reply::Accepted
    );
    let before = harness.state.rows().clone();
    assert_eq!(harness.apply("f", 2, put("c1", rows)), Reply::Accepted);
    let other = harness.apply("f", 3, put("c1", vec![service_row("a", 1, 11, 8)]));
    assert_eq!(other, Reply::ChangeReused);
    assert_eq!(harness.state.rows(), &before);

    let wrong = vec![service_row("a", 1, 11, 8), service_row("b", 7, 10, 8)];
    let refused = harness.apply("e", 4, put("c2", wrong.clone()));
    assert!(version_fault(&refused).is_some());
    assert_eq!(harness.apply("f", 5, put("c2", wrong)), refused);
    assert_eq!(harness.state.rows(), &before, "all or nothing");
}

// After thousands of other changes an operator's old change is sent again. Its
// first reply is no longer kept, but its row versions are outdated: it must not
// restore an old row.
#[test]
fn a_forgotten_change_is_stopped_by_its_versions() {
    let mut harness = Harness::with_pool();
    let old = put("old", vec![service_row("a", 0, 10, 8)]);
    assert_eq!(harness.apply("e", 1, old.clone()), Reply::Accepted);
    for n in 0..MAX_CHANGE_REPLIES {
        harness.apply("e", 2, put(&n.to_string(), Vec::new()));
    }
    assert!(version_fault(&harness.apply("e", 3, old)).is_some());
}

// Instances report less capacity than when the table was put in force. An
// operator sends the whole table back with one other row changed. Unchanged rows
// must not be refused, or no row could be changed before all of them are.
#[test]
fn rows_that_stay_are_not_checked_again() {
    let mut harness = Harness::with_pool();
    let rows = vec![service_row("a", 0, 10, 16), service_row("b", 0, 10, 16)];
    assert_eq!(harness.apply("e", 1, put("c1", rows)), Reply::Accepted);
    let small = |instance: &str| Change::Capacity {
        instance: instance.into(),
        capacity: Capacity {
            cores: 2,
            memory_mib: 65_536,
            accelerators: 0,
            slots: 2,
            connections: 64,
        },
    };
    for instance in ["a1", "a2"] {
        assert_eq!(harness.apply("e", 2, small(instance)), Reply::Accepted);
    }
    assert_eq!(
        harness.apply("e", 2, small("stranger")),
        Reply::UnknownInstance
    );
    let rows = vec![service_row("a", 1, 10, 16), service_row("b", 1, 12, 16)];
    assert_eq!(harness.apply("e", 3, put("c2", rows)), Reply::Accepted);
    let mut many = vec![service_row("a", 1, 10, 16); 2_001];
    many[0].expected_version = 9;
    assert!(
        matches!(harness.apply("e", 4, put("c3", many)), Reply::Rows(e)
        if matches!(e[..], [CellError { fault: Fault::TooLarge { .. }, .. }]))
    );
}

// A row is removed and added again. If its version started at 1 again, an entry
// instance that still holds the old row would take the new one for older, and
// an operator with an old table would overwrite it.
#[test]
fn versions_go_on_across_removal() {
    let mut harness = Harness::with_pool();
    harness.apply("e", 1, put("c1", vec![service_row("a", 0, 10, 8)]));
    let removal = RowChange {
        row: None,
        ..service_row("a", 1, 0, 0)
    };
    let unconfirmed = harness.apply("e", 2, put("c2", vec![removal.clone()]));
    assert!(matches!(&unconfirmed, Reply::Rows(e) if e[0].fault == Fault::Removal));
    let confirmed = Change::PutRows {
        change: "c3".into(),
        operator: "samira".into(),
        rows: vec![removal],
        confirm_jump: true,
    };
    assert_eq!(harness.apply("e", 3, confirmed), Reply::Accepted);
    let added_again = harness.apply("e", 4, put("c4", vec![service_row("a", 0, 10, 8)]));
    assert_eq!(version_fault(&added_again), Some((2, None)));
    harness.apply("e", 5, put("c5", vec![service_row("a", 2, 10, 8)]));
    let key = service_row("a", 0, 0, 0).key;
    assert_eq!(harness.state.rows()[&key].version, 3);
    let versions: Vec<u64> = harness.state.row_trail(&key).map(|s| s.version).collect();
    assert_eq!(versions, [1, 2, 3]);
}

// Teams are removed until the version of the first one is evicted. If its row is
// added again, it must still get a higher version than it ever had.
#[test]
fn versions_go_on_after_a_removed_row_is_forgotten() {
    let mut harness = Harness::with_pool();
    let team = |n: usize, expected_version, row| RowChange {
        key: RowKey::Team {
            team: format!("t{n}").as_str().into(),
        },
        expected_version,
        row,
    };
    let row = service_row("a", 0, 1, 1).row;
    let mut n = 0;
    let mut change = |rows: Vec<RowChange>| {
        n += 1;
        let change = Change::PutRows {
            change: format!("c{n}").as_str().into(),
            operator: "samira".into(),
            rows,
            confirm_jump: true,
        };
        assert_eq!(harness.apply("e", 1, change), Reply::Accepted);
    };
    let teams = 0..MAX_REMOVED_ROWS + 1;
    change(teams.clone().map(|n| team(n, 0, row)).collect());
    change(teams.clone().map(|n| team(n, 1, None)).collect());
    change(vec![team(0, 0, row)]);
    let key = team(0, 0, None).key;
    assert_eq!(harness.state.row_version(&key), 3);
    assert_eq!(harness.state.row_trail(&key).count(), 1);
}

// A seasonal operator types 80 or 0 instead of 8, or closes the last zone that
// takes a service. If this were accepted, it would take effect on every process
// within seconds: no effective limit, or no answer to any caller.
#[test]
fn typing_slips_are_refused_with_their_cell() {
    let mut harness = Harness::with_pool();
    let good = vec![service_row("a", 0, 10, 3), service_row("b", 0, 10, 3)];
    assert_eq!(harness.apply("e", 1, put("c1", good)), Reply::Accepted);
    let slips = [
        (service_row("a", 1, 10, 80), Column::Limit, "carry"),
        (service_row("a", 1, 10, 0), Column::Limit, "refuses every"),
        (service_row("a", 1, 10, 15), Column::Limit, "becomes"),
        (service_row("a", 1, 80, 3), Column::Weight, "becomes"),
        (service_row("a", 1, 0, 3), Column::Weight, "becomes"),
        (service_row("a", 1, 101, 3), Column::Weight, "at most"),
        // 3 + 1 is what the budget needs; 1 + 1 is not.
        (service_row("a", 1, 10, 1), Column::Limit, ""),
    ];
    for (n, (row, column, text)) in slips.into_iter().enumerate() {
        let reply = harness.apply("e", 2, put(&format!("s{n}"), vec![row.clone()]));
        if text.is_empty() {
            assert_eq!(reply, Reply::Accepted);
            continue;
        }
        let Reply::Rows(errors) = reply else {
            panic!("{row:?} was accepted")
        };
        let hit = |e: &&rosemarygauge::table::CellError| {
            e.column == column && e.to_string().contains(text) && e.row == 2
        };
        assert!(errors.iter().any(|e| hit(&e)), "{row:?}: {errors:?}");
    }
    let low = harness.apply("e", 3, put("low", vec![service_row("b", 1, 10, 1)]));
    assert!(matches!(low, Reply::Rows(e) if e[0].fault
        == Fault::LimitBelowBudget { total: 2, min_available: 4 }));
    let close = |zone: &str, version| Change::PutRows {
        change: zone.into(),
        operator: "samira".into(),
        rows: vec![service_row(zone, version, 0, 3)],
        confirm_jump: true,
    };
    assert_eq!(harness.apply("e", 4, close("a", 2)), Reply::Accepted);
    let last = harness.apply("e", 5, close("b", 1));
    assert!(matches!(last, Reply::Rows(e) if e[0].fault == Fault::LastOpenZone));
}

// Random changes, some of them repeated, must give the same rows, versions and
// replies as a naive model that keeps every version of every row.
#[test]
fn random_changes_match_the_naive_model() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = Harness::with_pool();
        let mut history: BTreeMap<RowKey, Vec<Option<Row>>> = BTreeMap::new();
        let mut first: BTreeMap<String, Reply> = BTreeMap::new();
        let mut sent: Vec<Change> = Vec::new();
        for n in 0..80 {
            if !sent.is_empty() && rng.random_bool(0.2) {
                let change = sent[rng.random_range(0..sent.len())].clone();
                let Change::PutRows { change: id, .. } = &change else {
                    unreachable!()
                };
                let expected = first[id.as_str()].clone();
                assert_eq!(harness.apply("f", n, change), expected, "seed {seed}");
                continue;
            }
            let mut rows: Vec<RowChange> = Vec::new();
            for zone in ["a", "b"] {
                if rng.random_bool(0.4) {
                    continue;
                }
                let key = service_row(zone, 0, 0, 0).key;
                let current_version = history.get(&key).map_or(0, Vec::len) as u64;
                let version = current_version.saturating_sub(u64::from(rng.random_bool(0.2)));
                let mut row = service_row(zone, version, rng.random_range(1..4), 4);
                if rng.random_bool(0.1) {
                    row.row = None;
                }
                rows.push(row);
            }
            let id = format!("c{n}");
            let change = Change::PutRows {
                change: id.as_str().into(),
                operator: "samira".into(),
                rows: rows.clone(),
                confirm_jump: true,
            };
            sent.push(change.clone());
            let reply = harness.apply("e", n, change);
            let last = |h: &BTreeMap<RowKey, Vec<Option<Row>>>, key: &RowKey| {
                h.get(key).and_then(|v| *v.last()?)
            };
            let good = rows.iter().all(|r| {
                r.expected_version == history.get(&r.key).map_or(0, Vec::len) as u64
                    && (r.row.is_some() || last(&history, &r.key).is_some())
            });
            assert_eq!(reply == Reply::Accepted, good, "seed {seed}: {reply:?}");
            if good {
                for r in &rows {
                    if last(&history, &r.key) != r.row {
                        history.entry(r.key.clone()).or_default().push(r.row);
                    }
                }
            }
            first.insert(id, reply);
            for (key, versions) in &history {
                assert_eq!(harness.state.row_version(key), versions.len() as u64);
                let live = harness.state.rows().get(key).map(|r| r.row);
                assert_eq!(live, last(&history, key));
            }
        }
    }
}
