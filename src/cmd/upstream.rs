//! `upstream`: stand-in workers for trials and tests.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::Notify;

use super::Exit;
use crate::unix_time::unix_ms;
use crate::upstream::{CutShort, Error, Faults, Host, HostSettings, RunTimes, Spec};

/// What `--help` says.
pub const HELP: &str = "\
Runs one or more stand-in instances in this process. Each listens on a port of
its own, announces itself to the entry instances of its zone, enforces its slots
and answers every request after its run time with a JSON proof: the SHA-256 of
the body, the request key, the instance and the number of the run.

One line of JSON with the control address and the instances' addresses goes to
standard output once all ports are bound. At the control address:

  GET  /instances   what each instance does now
  GET  /runs        every run since the start, one JSON line each
  POST /faults      {\"instances\":[\"w1\"],\"faults\":{\"silent\":true}}; what the
                    body leaves out is healthy; no instances means all
  POST /leave       {\"instances\":[\"w1\"]}

Every run is kept in memory until the process exits (about 500 bytes each), so
this is no worker for real load. SIGTERM makes all instances leave: they refuse
new work, finish what runs, and the process exits 0.

Example: ten instances in two zones, where archiving takes 400 ms:

  rosemarygauge upstream --file instances.csv --run-ms archiving=400 \\
      --entries amman-1=127.0.0.1:7102 --entries amman-2=127.0.0.1:7202";

/// Arguments of `upstream`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// CSV with the columns name, zone, rack, pool, cores, memory_mib,
    /// accelerators, slots and connections.
    #[arg(long, value_name = "FILE", conflicts_with_all = ["count", "name"])]
    file: Option<PathBuf>,
    /// Number of equal instances when there is no file.
    #[arg(long, default_value_t = 1)]
    count: u32,
    /// Name of the instance; with a count above 1, the start of the names.
    #[arg(long, default_value = "w")]
    name: String,
    /// Availability zone when there is no file.
    #[arg(long, default_value = "z1")]
    zone: String,
    /// Rack when there is no file.
    #[arg(long, default_value = "r1")]
    rack: String,
    /// Pool when there is no file.
    #[arg(long, default_value = "p")]
    pool: String,
    /// Requests at once when there is no file.
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// Connections at once when there is no file.
    #[arg(long, default_value_t = 64)]
    connections: u32,
    /// Address to listen on, for a single instance; by default any free port.
    #[arg(long, value_name = "ADDR")]
    listen: Option<SocketAddr>,
    /// Address to announce, for a single instance behind a proxy.
    #[arg(long, value_name = "ADDR")]
    advertise: Option<SocketAddr>,
    /// Upstream addresses of a zone's entry instances.
    #[arg(long, value_name = "ZONE=ADDR,ADDR", value_parser = pair)]
    entries: Vec<(String, String)>,
    /// Mean run time of a service in milliseconds.
    #[arg(long, value_name = "SERVICE=MS", value_parser = pair)]
    run_ms: Vec<(String, String)>,
    /// Mean run time of all other services in milliseconds.
    #[arg(long, default_value_t = 20)]
    default_run_ms: u64,
    /// Run times are drawn from the mean plus or minus this share.
    #[arg(long, default_value_t = 0, value_name = "PERCENT")]
    spread: u32,
    /// Seed of the run times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Incarnation of the instances; by default the time of the start, which is
    /// above that of any earlier process.
    #[arg(long)]
    incarnation: Option<u64>,
    /// How long a reboot takes in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    reboot_ms: u64,
    /// Padding in each answer in bytes.
    #[arg(long, default_value_t = 0)]
    pad_bytes: usize,
    /// Answer 500 to everything at once.
    #[arg(long)]
    fail_everything: bool,
    /// Run times in percent of the real ones.
    #[arg(long, default_value_t = 100, value_name = "PERCENT")]
    slow: u32,
    /// Start requests and never answer.
    #[arg(long)]
    silent: bool,
    /// End answers half way.
    #[arg(long)]
    cut_short: bool,
    /// Age of the usage in announcements, in milliseconds.
    #[arg(long, default_value_t = 0)]
    usage_lag_ms: u64,
}

/// Runs the stand-ins until they have left.
///
/// # Errors
/// An argument is wrong, or a port, thread or file could not be had.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    let settings = settings(args)?;
    let leave = Arc::new(Notify::new());
    leave_on_signal(Arc::clone(&leave))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(Host::run(settings, leave, |host, control| {
        let addresses: BTreeMap<_, _> = host.addresses().into_iter().collect();
        let line = serde_json::json!({ "control": control.to_string(), "instances": addresses });
        let mut out = io::stdout().lock();
        // Whoever started this reads the line; if nobody does, it runs on.
        let _ = writeln!(out, "{line}").and_then(|()| out.flush());
    }))?;
    Ok(Exit::Done)
}

fn settings(args: &Args) -> Result<HostSettings, Error> {
    let specs = match &args.file {
        Some(path) => Spec::read_all(path)?,
        None => (1..=args.count).map(|n| spec(args, n)).collect(),
    };
    if let Some((zone, _)) = args
        .entries
        .iter()
        .find(|(zone, _)| !specs.iter().any(|spec| spec.zone.as_str() == zone))
    {
        let reason = format!("--entries {zone}: no instance is in that zone; name one that is");
        return Err(Error::Argument(reason));
    }
    let instances = specs.into_iter().map(|spec| {
        let entries = entries(args, spec.zone.as_str());
        (spec, entries)
    });
    Ok(HostSettings {
        instances: instances.collect(),
        run_times: run_times(args)?,
        faults: faults(args),
        incarnation: args.incarnation.unwrap_or_else(unix_ms),
        reboot_ms: args.reboot_ms,
        pad_bytes: args.pad_bytes,
    })
}

fn spec(args: &Args, number: u32) -> Spec {
    let name = if args.count == 1 {
        args.name.clone()
    } else {
        format!("{}{number}", args.name)
    };
    Spec {
        name: name.into(),
        zone: args.zone.as_str().into(),
        rack: args.rack.as_str().into(),
        pool: args.pool.as_str().into(),
        cores: 16,
        memory_mib: 64 * 1024,
        accelerators: 0,
        slots: args.slots,
        connections: args.connections,
        listen: args.listen.filter(|_| args.count == 1),
        advertise: args.advertise.filter(|_| args.count == 1),
    }
}

fn entries(args: &Args, zone: &str) -> Vec<String> {
    args.entries
        .iter()
        .filter(|(name, _)| name == zone)
        .flat_map(|(_, addresses)| addresses.split(','))
        .map(str::to_owned)
        .collect()
}

fn run_times(args: &Args) -> Result<RunTimes, Error> {
    let mut mean_ms = BTreeMap::new();
    for (service, text) in &args.run_ms {
        let ms = text.parse().map_err(|_| {
            let reason = format!("--run-ms {service}={text}: give whole milliseconds");
            Error::Argument(reason)
        })?;
        mean_ms.insert(service.clone(), ms);
    }
    Ok(RunTimes::new(
        mean_ms,
        args.default_run_ms,
        args.spread,
        args.seed,
    ))
}

fn faults(args: &Args) -> Faults {
    Faults {
        fail_everything: args.fail_everything,
        slow_percent: args.slow,
        silent: args.silent,
        cut_short: if args.cut_short {
            CutShort::Length
        } else {
            CutShort::Never
        },
        usage_lag_ms: args.usage_lag_ms,
        ..Faults::default()
    }
}

fn pair(text: &str) -> Result<(String, String), String> {
    let (name, value) = text.split_once('=').ok_or("give NAME=VALUE")?;
    Ok((name.to_owned(), value.to_owned()))
}

fn leave_on_signal(leave: Arc<Notify>) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            if signals.forever().next().is_some() {
                leave.notify_one();
            }
        })?;
    Ok(())
}
