//! `measure capacity`: what entry instances cost by the size of the fleet.
//!
//! All entry instances of a cluster run in one process, without network and disk.
//! Bytes, messages and sizes are the same on every machine; times and memory are
//! not, and the machine may be busy: compare figures of one run only. A time is
//! that of the median second, so that a second in which the process was held up
//! does not count.

use std::time::Instant;

use eyre::{ensure, eyre};

use crate::entry::{OperatorAnswer, OperatorRequest};
use crate::load::{Dispatcher, Input, LoadSettings};
use crate::maintenance::FleetCommand;
use crate::model::{ChangeId, EntryName, InstanceName, UpstreamReport};
use crate::state::Reply;
use crate::upstream_api::{AnnounceReply, Order};

mod cluster;
mod fleet;

use cluster::{Cluster, Spent, Traffic, Work};
use fleet::{Builder, report, zone};

/// Simulated time until a cluster has a leader and has heard all workers.
const SETTLE_MS: u64 = 4_000;
/// Simulated seconds measured.
const SECONDS: usize = 10;
/// The same at the largest size, whose seconds take long.
const LARGE_SECONDS: usize = 3;
/// Changes over which the cost of one is averaged.
const CHANGES: usize = 10;
/// Longest simulated time until a loss is known: over twice the silence after
/// which an instance counts as failed.
const LOSS_SECONDS: u64 = 20;
/// Rounds of a change of the fleet; odd, so that one is the median.
const ROUNDS: usize = 21;

/// Entry instances, availability zones, workers and pools of a measured cluster.
#[derive(Clone, Copy, Debug)]
struct Size {
    entries: usize,
    zones: usize,
    workers: usize,
    pools: usize,
}

/// The largest size: that of `docs/CAPACITY.md`.
const TARGET: Size = Size {
    entries: 18,
    zones: 9,
    workers: 21_000,
    pools: 70,
};

/// Runs all measurements and prints their tables.
///
/// # Errors
/// A cluster finds no leader or refuses a change; the state has no encoding.
pub fn run() -> eyre::Result<()> {
    memory()?;
    announcement()?;
    state_bytes()?;
    println!("\none change of the fleet, us: workers  apply  view  dispatcher");
    for workers in [50, 2_000, 21_000] {
        fleet_change(workers);
    }
    println!(
        "\nidle, a second: entries zones workers | bytes sent an entry: all reports gossip log \
         | ms an entry: leader (tick announced peer codec) others (the same)"
    );
    for size in sizes() {
        idle(size, SECONDS)?;
    }
    idle(TARGET, LARGE_SECONDS)?;
    println!(
        "\nlost at once: workers lost | ms until known | longest event ms: before, after \
         | busiest second of an entry ms"
    );
    for workers in [800, 2_000, 6_000] {
        loss(workers, |worker| worker.rack.as_str() == "rack-0000")?;
        loss(workers, |worker| worker.zone == zone(0))?;
    }
    println!("\none changed row: entries | messages of the log, bytes in all, bytes sent an entry");
    for entries in [3, 6, 9, 18] {
        changed_row(entries)?;
    }
    Ok(())
}

fn sizes() -> Vec<Size> {
    let size = |entries, workers| Size {
        entries,
        zones: 3,
        workers,
        pools: 5,
    };
    let mut sizes = Vec::new();
    for entries in [3, 6, 9, 18] {
        sizes.extend([50, 200, 800].map(|workers| size(entries, workers)));
    }
    sizes.extend([2_000, 6_000, 21_000].map(|workers| size(3, workers)));
    sizes
}

/// Resident memory by the size of the fleet. Comes first, and keeps what it made
/// until its end, so that no size is given memory that an earlier one freed.
fn memory() -> eyre::Result<()> {
    println!("memory, 3 entries: workers | KiB an entry");
    let mut kept = Vec::new();
    for workers in [50, 2_000, 6_000, 21_000] {
        let Some(before_kib) = resident_kib() else {
            println!("the system does not tell");
            return Ok(());
        };
        let mut cluster = Cluster::start(3, 3, workers, 70)?;
        cluster.run_ms(SETTLE_MS);
        let grown_kib = resident_kib().unwrap_or(before_kib) - before_kib;
        println!("{workers} | {}", grown_kib / 3);
        kept.push(cluster);
    }
    println!();
    Ok(())
}

/// One announcement over HTTP, without TCP's own headers.
fn announcement() -> eyre::Result<()> {
    let report = serde_json::to_string(&report(12_345, 70, 9))?;
    let reply = serde_json::to_string(&AnnounceReply {
        lease_ms: 3_000,
        refresh_ms: 1_000,
        pool: Some("pool-01".into()),
        pool_epoch: 1,
        order: Order::Serve,
    })?;
    let asked = format!(
        "POST /announce HTTP/1.1\r\nhost: 10.0.0.1:7000\r\naccept: */*\r\n\
         user-agent: ureq/3.0.0\r\ncontent-type: application/json; charset=utf-8\r\n\
         content-length: {}\r\n\r\n{report}",
        report.len()
    );
    let answered = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         date: Wed, 02 Dec 2026 22:47:46 GMT\r\n\r\n{reply}",
        reply.len()
    );
    println!(
        "announcement, bytes: report {} asked {} answered {}",
        report.len(),
        asked.len(),
        answered.len()
    );
    let bytes = crate::codec::encode(&fleet::report(12_345, 70, 9)).len();
    println!("the same report in gossip, bytes: {bytes}");
    Ok(())
}

/// Bytes of an encoded state by what is in it.
fn state_bytes() -> eyre::Result<()> {
    println!("\nstate, bytes each: what | counts | bytes each at these counts");
    let body = [b'x'; 200];
    sizes_of("worker", [50, 2_000, 21_000], |b, i| b.worker(i, 5, 3))?;
    sizes_of("pool with 3 services", [10, 70, 90], |b, i| b.pool(i + 5))?;
    sizes_of("team row", [10, 70, 210], |b, i| {
        b.team_row(i);
    })?;
    sizes_of("claim in flight", [100, 1_000, 10_000], |b, i| {
        b.claim(i, None);
    })?;
    sizes_of("claim with answer of 200", [100, 1_000, 10_000], |b, i| {
        b.claim(i, Some(&body));
    })?;
    sizes_of("job with body of 200", [100, 1_000, 10_000], |b, i| {
        b.job(i, &body);
    })
}

fn sizes_of(what: &str, counts: [usize; 3], add: impl Fn(&mut Builder, usize)) -> eyre::Result<()> {
    let mut each = Vec::new();
    for count in counts {
        let mut builder = Builder::fleet(50, 5, 3);
        let before = builder.state.encode()?.len();
        for i in 0..count {
            add(&mut builder, i + 50);
        }
        let bytes = builder.state.encode()?.len() - before;
        each.push(format!("{:.1}", bytes as f64 / count as f64));
    }
    println!("{what} | {counts:?} | {}", each.join(" "));
    Ok(())
}

/// Median times of one applied change of the fleet: the state's own step, the
/// clone of the view, and what the dispatcher makes of it.
fn fleet_change(workers: usize) {
    let mut built = Builder::fleet(workers, 70, 9);
    let settings = LoadSettings {
        home: zone(0),
        me: EntryName::from("entry-00"),
        seed: 1,
    };
    let mut dispatcher = Dispatcher::new(settings, 0);
    dispatcher.handle(0, Input::View(built.view()));
    for i in 0..workers {
        let report = &report(i, 70, 9);
        let lease_until_ms = 1_000_000;
        dispatcher.handle(
            0,
            Input::Report {
                report,
                lease_until_ms,
            },
        );
    }
    let mut times: [Vec<f64>; 3] = Default::default();
    for round in 0..ROUNDS {
        let instance = InstanceName::from(format!("worker-{:05}", round / 2));
        let command = if round % 2 == 0 {
            FleetCommand::Drain { instance }
        } else {
            FleetCommand::Undrain { instance }
        };
        let begun = Instant::now();
        let reply = built.change_fleet(command);
        times[0].push(micros(begun));
        debug_assert_eq!(reply, Reply::Accepted);
        let begun = Instant::now();
        let view = built.view();
        times[1].push(micros(begun));
        let begun = Instant::now();
        dispatcher.handle(1, Input::View(view));
        times[2].push(micros(begun));
    }
    let [apply, view, dispatch] = times.map(median);
    println!("{workers}  {apply:.0}  {view:.0}  {dispatch:.0}");
}

fn idle(size: Size, seconds: usize) -> eyre::Result<()> {
    let Size {
        entries,
        zones,
        workers,
        pools,
    } = size;
    let mut cluster = Cluster::start(entries, zones, workers, pools)?;
    cluster.run_ms(SETTLE_MS);
    let leader = cluster.leader().ok_or_else(|| eyre!("no leader"))?;
    for place in 0..entries {
        let heard = cluster.upstreams(place);
        ensure!(heard == workers, "{heard} of {workers} workers heard");
    }
    cluster.traffic = Traffic::default();
    cluster.take_spent();
    let mut spent: Vec<Vec<Spent>> = Vec::new();
    for _ in 0..seconds {
        cluster.run_ms(1_000);
        spent.push(cluster.take_spent());
    }
    let sent = cluster.traffic;
    let each = |bytes: u64| bytes / (entries * seconds) as u64;
    let lead = spent_ms(&spent, |place| place == leader);
    let follow = spent_ms(&spent, |place| place != leader);
    println!(
        "{entries} {zones} {workers} | {} {} {} {} | {lead} {follow}",
        each(sent.bytes),
        each(sent.reports),
        each(sent.gossip),
        each(sent.log),
    );
    Ok(())
}

/// The median second of each kind of work, averaged over entry instances.
fn spent_ms(spent: &[Vec<Spent>], wanted: impl Fn(usize) -> bool) -> String {
    let places: Vec<usize> = (0..spent[0].len()).filter(|p| wanted(*p)).collect();
    let of = |work: Work| {
        let second = |place: usize| median(spent.iter().map(|s| s[place][work as usize] as f64));
        places.iter().map(|p| second(*p)).sum::<f64>() / 1e6 / places.len() as f64
    };
    let parts = [Work::Tick, Work::Announced, Work::Peer, Work::Codec].map(of);
    let [tick, announced, peer, codec] = parts;
    let all: f64 = parts.iter().sum();
    format!("{all:.2} ({tick:.2} {announced:.2} {peer:.2} {codec:.2})")
}

/// What the loss of workers that fall silent together costs until the state of
/// all entry instances has it.
fn loss(workers: usize, lost: impl Fn(&UpstreamReport) -> bool) -> eyre::Result<()> {
    let mut cluster = Cluster::start(3, 3, workers, 70)?;
    cluster.run_ms(SETTLE_MS);
    cluster.take_longest_ns();
    cluster.run_ms(2_000);
    let before_ns = cluster.take_longest_ns();
    cluster.take_spent();
    let lost = cluster.lose(lost);
    let mut busiest_ns = 0;
    let mut known_ms = None;
    for second in 1..=LOSS_SECONDS {
        cluster.run_ms(1_000);
        let spent = cluster.take_spent().into_iter();
        let most = spent.map(|s| s.iter().sum::<u64>()).max();
        busiest_ns = busiest_ns.max(most.unwrap_or_default());
        if (0..3).all(|place| cluster.serving(place) + lost <= workers) {
            known_ms = Some(second * 1_000);
            break;
        }
    }
    let known = known_ms.map_or("never".to_owned(), |ms: u64| ms.to_string());
    println!(
        "{workers} {lost} | {known} | {:.1} {:.1} | {:.0}",
        before_ns as f64 / 1e6,
        cluster.take_longest_ns() as f64 / 1e6,
        busiest_ns as f64 / 1e6,
    );
    Ok(())
}

/// What a changed row of a team adds to the traffic of an idle cluster.
fn changed_row(entries: usize) -> eyre::Result<()> {
    let mut cluster = Cluster::start(entries, 3, 50, 5)?;
    cluster.run_ms(SETTLE_MS);
    let window_ms = 200;
    cluster.traffic = Traffic::default();
    cluster.run_ms(window_ms * CHANGES as u64);
    let idle = cluster.traffic;
    cluster.traffic = Traffic::default();
    for i in 0..CHANGES {
        let sheet = format!(
            "kind,name,zone,weight,limit_in_flight,queue_ms,version\n\
             team,team-{i:03},,10,10,1000,0\n"
        );
        let request = OperatorRequest::PutTable {
            change: ChangeId::from(format!("change-{i:06}")),
            operator: "operator".to_owned(),
            sheet: sheet.into_bytes(),
            confirm_jump: true,
        };
        cluster.operate(entries - 1, request);
        cluster.run_ms(window_ms);
    }
    let busy = cluster.traffic;
    let answers = cluster.answers();
    ensure!(answers.len() == CHANGES, "{} answers", answers.len());
    for answer in answers {
        ensure!(matches!(answer, OperatorAnswer::Ok(_)), "{answer:?}");
    }
    let each = |with: u64, without: u64| (with as f64 - without as f64) / CHANGES as f64;
    println!(
        "{entries} | {:.1} {:.0} {:.0}",
        each(busy.log_messages, idle.log_messages),
        each(busy.bytes, idle.bytes),
        each(busy.bytes, idle.bytes) / entries as f64,
    );
    Ok(())
}

fn micros(begun: Instant) -> f64 {
    begun.elapsed().as_secs_f64() * 1e6
}

fn median(values: impl IntoIterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.into_iter().collect();
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

/// Resident memory of this process, where the system tells it.
fn resident_kib() -> Option<i64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
