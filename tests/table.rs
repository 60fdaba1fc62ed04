//! The operators' sheet: reading, writing and checking.
#![allow(missing_docs, clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::path::PathBuf;

use quickcheck::{Arbitrary, Gen};
use rosemarygauge::maintenance::FleetCommand;
use rosemarygauge::model::*;
use rosemarygauge::state::*;
use rosemarygauge::table::{self, CellError, Column, Fault};

const HEADER: &str = "kind,name,zone,weight,limit_in_flight,queue_ms,version\n";

fn example(deployment: &str, file: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(deployment)
        .join(file);
    std::fs::read_to_string(path).unwrap()
}

fn apply(state: &mut State, sequence: &mut u64, change: Change) -> Reply {
    *sequence += 1;
    let id = CommandId {
        entry: "e".into(),
        incarnation: 1,
        sequence: *sequence,
    };
    state.apply(&Command {
        id,
        at_unix_ms: 0,
        change,
    })
}

fn fleet(command: FleetCommand) -> Change {
    Change::Fleet {
        change: None,
        by: "test".into(),
        command,
    }
}

fn put(id: &str, rows: Vec<RowChange>) -> Change {
    Change::PutRows {
        change: id.into(),
        operator: "samira".into(),
        rows,
        confirm_jump: false,
    }
}

/// The state of an example deployment, its table put.
fn deployment(name: &str) -> (State, u64) {
    let mut state = State::default();
    let mut n = 0;
    let pools: Vec<Pool> = serde_json::from_str(&example(name, "pools.json")).unwrap();
    for pool in pools {
        let put = fleet(FleetCommand::PutPool { pool });
        assert_eq!(apply(&mut state, &mut n, put), Reply::Accepted);
    }
    let mut racks: BTreeSet<(String, usize)> = BTreeSet::new();
    let sheet = example(name, "instances.csv");
    let mut rdr = csv::Reader::from_reader(sheet.as_bytes());
    for record in rdr.records() {
        let record = record.unwrap();
        let of_rack = racks.iter().filter(|(rack, _)| *rack == record[2]).count();
        racks.insert((record[2].to_owned(), of_rack));
        let join = FleetCommand::Join {
            instance: record[0].into(),
            zone: record[1].into(),
            rack: record[2].into(),
            pool: record[3].into(),
        };
        assert_eq!(apply(&mut state, &mut n, fleet(join)), Reply::Accepted);
        let capacity = Change::Capacity {
            instance: record[0].into(),
            capacity: Capacity {
                cores: record[4].parse().unwrap(),
                memory_mib: record[5].parse().unwrap(),
                accelerators: 0,
                slots: record[6].parse().unwrap(),
                connections: record[7].parse().unwrap(),
            },
        };
        assert_eq!(apply(&mut state, &mut n, capacity), Reply::Accepted);
    }
    assert!(racks.iter().all(|(_, of_rack)| *of_rack < 4));
    let rows = table::review(example(name, "table.csv").as_bytes(), false, &state).unwrap();
    assert_eq!(
        apply(&mut state, &mut n, put("first", rows)),
        Reply::Accepted
    );
    (state, n)
}

#[test]
fn the_examples_have_the_sizes_of_today() {
    for name in ["grants", "wind-tunnel"] {
        let (state, _) = deployment(name);
        let fleet = state.fleet();
        assert_eq!(fleet.instances().len(), 50);
        assert_eq!(fleet.pools().len(), 5);
        assert_eq!(state.zones().len(), 3);
        for pool in fleet.pools().values() {
            let size = fleet.instances().values().filter(|i| i.pool == pool.name);
            assert!((8..=12).contains(&size.count()));
            let used = fleet.budget_use(&pool.name).unwrap();
            assert!(used.is_whole(), "{name}, {}: {used:?}", pool.name);
        }
    }
}

#[test]
fn what_is_written_is_read_again_and_changes_nothing() {
    let (mut state, mut n) = deployment("grants");
    let mut sheet = Vec::new();
    table::write(&mut sheet, state.rows()).unwrap();
    let mut with_mark = b"\xef\xbb\xbf".to_vec();
    with_mark.extend(
        String::from_utf8(sheet)
            .unwrap()
            .replace('\n', "\r\n")
            .bytes(),
    );
    let rows = table::review(&with_mark[..], false, &state).unwrap();
    let before = state.rows().clone();
    assert_eq!(
        apply(&mut state, &mut n, put("again", rows)),
        Reply::Accepted
    );
    assert_eq!(state.rows(), &before);
}

fn columns_of(errors: &[CellError]) -> Vec<(u32, Column)> {
    errors.iter().map(|e| (e.row, e.column)).collect()
}

// An operator sends a sheet in which nearly every row is wrong in another way.
// All of it comes back in one list, each with row, column, value and remedy,
// and the state refuses the same rows when they arrive without `table check`.
#[test]
fn every_wrong_cell_is_reported_at_once() {
    use Column::*;
    let (mut state, mut n) = deployment("grants");
    let lines = [
        ("group,portal,,1,1,1,0", vec![Kind]),             // 2
        ("service,,amman-a,1,1,1,0", vec![Name]),          // 3
        ("service,scorign,amman-a,1,1,1,0", vec![Name]),   // 4
        ("service,scoring,amman-d,1,1,1,0", vec![Zone]),   // 5
        ("service,scoring,,1,1,1,1", vec![Zone]),          // 6
        ("team,portal,amman-a,50,200,2000,1", vec![Zone]), // 7
        (
            "team,new-team,,x,-1,1.5,?",
            vec![Weight, Limit, Queue, Version],
        ), // 8
        (
            "service,audit,amman-a,101,0,86400000,1",
            vec![Weight, Limit],
        ), // 9
        (
            "service,audit,amman-b,33,120,86400000,1",
            vec![Limit, Limit],
        ), // 10
        ("service,scoring,amman-a,33,24,99999,1", vec![Queue, Queue]), // 11
        ("service,scoring,amman-b,33,24,3000,0", vec![Version]), // 12
        ("service,scoring,amman-b,33,24,3000,1", vec![Name]), // 13
        ("service,booking review,amman-b,33,24,3000,1", vec![Name]), // 14
        ("service,scoring,amman-c,34,32,3000", vec![Whole]), // 15
        ("", vec![Whole]),                                 // 16
        ("service,\"scoring,amman-c,34,32,3000,1", vec![Whole]), // 17
        ("service,audit,amman-c,,,,1", vec![Whole]),       // 18
        ("team,-1,,1,1,1,0", vec![Name]),                  // 19
    ];
    let mut sheet = HEADER.to_owned().into_bytes();
    let mut expected = Vec::new();
    for (row, (line, columns)) in (2..).zip(&lines) {
        sheet.extend(line.as_bytes());
        sheet.push(b'\n');
        expected.extend(columns.iter().map(|c| (row, *c)));
    }
    sheet.extend(b"team,\xff\xfe,,1,1,1,0\n");
    expected.push((20, Whole));
    let errors = table::review(&sheet[..], false, &state).unwrap_err();
    assert_eq!(columns_of(&errors), expected, "{errors:#?}");
    let kinds: BTreeSet<String> = errors
        .iter()
        .map(|e| format!("{:?}", std::mem::discriminant(&e.fault)))
        .collect();
    assert!(kinds.len() >= 18, "{}", kinds.len());
    assert!(errors.iter().all(|e| e.to_string().ends_with('.')));
    let shown = errors[0].to_string();
    assert!(
        shown.contains("row 2, column kind, value \"group\""),
        "{shown}"
    );

    // The part that the state knows about is refused by it as well.
    let before = state.clone();
    let typed: String = lines[7..12]
        .iter()
        .map(|(line, _)| format!("{line}\n"))
        .collect();
    let rows = table::read(format!("{HEADER}{typed}").as_bytes()).unwrap();
    let Reply::Rows(refused) = apply(&mut state, &mut n, put("slips", rows)) else {
        panic!("accepted")
    };
    let same = |errors: &[CellError], from: u32| -> Vec<(u32, Column, String)> {
        let rows = errors.iter().filter(|e| (from..from + 5).contains(&e.row));
        rows.map(|e| (e.row - from, e.column, e.value.clone()))
            .collect()
    };
    assert_eq!(same(&refused, 2), same(&errors, 9));
    assert_eq!(state.rows(), before.rows());
}

#[test]
fn headers_are_checked_and_may_change_places() {
    let errors = table::read("kind,name,zone,weight,limit,queue_ms\n".as_bytes()).unwrap_err();
    let faults: Vec<&Fault> = errors.iter().map(|e| &e.fault).collect();
    assert_eq!(
        faults,
        [
            &Fault::ExtraColumn,
            &Fault::MissingColumn,
            &Fault::MissingColumn
        ]
    );
    assert_eq!(table::read("".as_bytes()).unwrap_err().len(), 7);
    let moved = "version,kind,name,zone,queue_ms,weight,limit_in_flight\n3,team,portal,,10,5,7\n";
    let rows = table::read(moved.as_bytes()).unwrap();
    let row = Row {
        weight: 5,
        limit_in_flight: 7,
        queue_ms: 10,
    };
    assert_eq!((rows[0].expected_version, rows[0].row), (3, Some(row)));
}

// Anything can arrive where a sheet is expected: a spreadsheet's own format, a
// picture, a sheet of a million lines. It is an error, never a panic, and the
// answer stays small.
#[test]
fn any_bytes_are_rows_or_a_bounded_list_of_errors() {
    fn holds(bytes: Vec<u8>) -> bool {
        let with_header = [HEADER.as_bytes(), &bytes].concat();
        [bytes, with_header].iter().all(|sheet| {
            match table::review(&sheet[..], false, &State::default()) {
                Ok(rows) => rows.len() <= sheet.len(),
                Err(errors) => !errors.is_empty() && errors.len() <= table::MAX_ERRORS,
            }
        })
    }
    for seed in 0..2_000 {
        let mut source = Gen::from_size_and_seed(300, seed);
        let bytes = Vec::<u8>::arbitrary(&mut source);
        let text = String::arbitrary(&mut source);
        assert!(holds(bytes) && holds(text.into_bytes()), "seed {seed}");
    }
    let long = format!("{HEADER}{}", ",\n".repeat(500_000));
    assert_eq!(table::read(long.as_bytes()).unwrap_err().len(), 1);
    let huge = vec![b'a'; table::MAX_SHEET_BYTES as usize + 1];
    assert!(matches!(
        &table::read(&huge[..]).unwrap_err()[..],
        [CellError {
            fault: Fault::TooLarge { .. },
            ..
        }]
    ));
}
