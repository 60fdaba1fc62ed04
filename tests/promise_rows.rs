//! An accepted row is in force everywhere within seconds and never reverts.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use std::thread;
use std::time::Instant;

use rosemarygauge::proxy::LinkFaults;
use support::{System, Upstreams, throughout, until};

const HEAD: &str = "kind,name,zone,weight,limit_in_flight,queue_ms,version";

/// A sheet with the one row of service `check` in zone z1.
fn sheet(limit: u32, version: u64) -> String {
    format!("{HEAD}\nservice,check,z1,100,{limit},2000,{version}\n")
}

/// Limit and version of that row as an entry instance shows it.
fn row(system: &System, i: usize) -> Option<(u32, u64)> {
    let table = system.table(i);
    let line = table
        .lines()
        .find(|line| line.starts_with("service,check,z1,"))?;
    let cells: Vec<_> = line.split(',').collect();
    Some((cells[4].parse().ok()?, cells[6].parse().ok()?))
}

fn start(per_zone: usize) -> (System, Upstreams) {
    let system = System::start(per_zone);
    system.put_pool(1);
    let up = Upstreams::start(&["--count", "4", "--entries", &system.announce_to("z1")]);
    system.await_upstreams(4);
    (system, up)
}

#[track_caller]
fn in_force(system: &System, entries: &[usize], wanted: (u32, u64)) {
    until(2_000, "the row is in force", || {
        entries.iter().all(|i| row(system, *i) == Some(wanted))
    });
}

// Three operators change the same row from three entry instances at the same
// moment, each having seen version 1. Exactly one must be accepted; the others
// must see that they were overtaken. The winner, whose answer may be lost, sends
// its change again and gets its first answer, not a second version.
#[test]
fn of_operators_racing_under_one_version_one_wins() {
    let (system, _up) = start(3);
    assert_eq!(system.put_table(0, "first", &sheet(10, 0)).unwrap().0, 200);
    let all: Vec<usize> = (0..9).collect();
    in_force(&system, &all, (10, 1));
    for round in 1..6 {
        let put = |i: usize| {
            let change = format!("change-{round}-{i}");
            // No two alike: a row that changes nothing is accepted as it is.
            let limit = 10 + 3 * round as u32 + i as u32 / 3;
            let (status, text) = system.put_table(i, &change, &sheet(limit, round)).unwrap();
            (limit, change, status, text)
        };
        let answers = thread::scope(|scope| {
            let racing = [0, 3, 6].map(|i| scope.spawn(move || put(i)));
            racing.map(|racer| racer.join().unwrap())
        });
        let won: Vec<_> = answers.iter().filter(|answer| answer.2 == 200).collect();
        assert_eq!(won.len(), 1, "{answers:?}");
        assert!(
            answers.iter().all(|answer| [200, 409].contains(&answer.2)),
            "{answers:?}"
        );
        let (limit, change, ..) = won[0];
        in_force(&system, &all, (*limit, round + 1));
        let resent = system.put_table(5, change, &sheet(*limit, round)).unwrap();
        assert_eq!(resent.0, 200, "{resent:?}");
        in_force(&system, &all, (*limit, round + 1));
    }
}

// An operator's change goes to the leader, which is killed at that moment. The
// operator lost the answer and sends the change again, under the same id, to
// another entry instance until it is told: it must be in force once.
#[test]
fn a_change_is_sent_again_when_the_leader_is_killed() {
    let (mut system, _up) = start(1);
    assert_eq!(system.put_table(0, "first", &sheet(10, 0)).unwrap().0, 200);
    for round in 1..4 {
        let leader = system.await_leader();
        let other = (leader + 1) % 3;
        let sheet = sheet(10 + round as u32, round);
        let change = format!("change-{round}");
        let url_of = &system;
        thread::scope(|scope| {
            scope.spawn(|| url_of.put_table(leader, &change, &sheet));
        });
        system.kill(leader);
        let mut told = None;
        until(15_000, "the operator is told", || {
            told = system.put_table(other, &change, &sheet);
            told.as_ref().is_some_and(|(status, _)| *status == 200)
        });
        system.restart(leader);
        in_force(&system, &[0, 1, 2], (10 + round as u32, round + 1));
    }
}

// One entry instance is cut off from all others while the row changes, and its
// process is frozen for a while too. It must never show an older row than it did,
// the change must not wait for it, and when it is back it must have the new row.
#[test]
fn an_isolated_entry_catches_up_and_nothing_goes_back() {
    let (system, _up) = start(1);
    assert_eq!(system.put_table(0, "first", &sheet(10, 0)).unwrap().0, 200);
    in_force(&system, &[0, 1, 2], (10, 1));
    system.cut_off(&[2], &LinkFaults::cut());
    let start = Instant::now();
    let mut accepted = 0;
    for version in 1..4 {
        let change = format!("cut-{version}");
        let sheet = sheet(10 + version as u32, version);
        until(10_000, "the rest accepts the change", || {
            let told = system.put_table(0, &change, &sheet);
            told.is_some_and(|(status, _)| status == 200)
        });
        accepted = version;
    }
    assert!(start.elapsed().as_secs() < 25);
    throughout(500, "the isolated one shows what it had", || {
        row(&system, 2) == Some((10, 1))
    });
    system.entries[2].process.as_ref().unwrap().freeze();
    system.entries[2].process.as_ref().unwrap().thaw();
    system.cut_off(&[2], &LinkFaults::default());
    in_force(&system, &[0, 1, 2], (10 + accepted as u32, accepted + 1));
}

// Three hundred accepted changes, then every process is killed and started again:
// the last row must be in force, under its version.
#[test]
fn rows_outlive_a_restart_after_hundreds_of_changes() {
    let (mut system, _up) = start(1);
    for version in 0..300 {
        let change = format!("many-{version}");
        let told = system.put_table(
            (version % 3) as usize,
            &change,
            &sheet(10 + version as u32 % 7, version),
        );
        assert_eq!(told.unwrap().0, 200, "change {version}");
    }
    for i in 0..3 {
        system.kill(i);
    }
    for i in 0..3 {
        system.restart(i);
    }
    system.await_leader();
    in_force(&system, &[0, 1, 2], (10 + 299 % 7, 300));
}

// A sheet with a wrong row next to a right one is refused, with the cell named,
// and changes nothing.
#[test]
fn a_wrong_row_is_refused_with_the_whole_sheet() {
    let (system, _up) = start(1);
    assert_eq!(system.put_table(0, "first", &sheet(10, 0)).unwrap().0, 200);
    for (change, wrong, named) in [
        ("no-number", "service,archive,z1,many,5,100,0", "many"),
        ("no-zone", "service,archive,z9,1,5,100,0", "z9"),
    ] {
        let wrong = format!("{}{wrong}\n", sheet(20, 1));
        let (status, text) = system.put_table(1, change, &wrong).unwrap();
        assert!((400..500).contains(&status), "{status} {text}");
        assert!(text.contains(named), "{text}");
    }
    throughout(500, "nothing changed", || row(&system, 0) == Some((10, 1)));
}
