//! `lab`: policies compared on emulated fleets.

use std::io::Write;
use std::path::{Path, PathBuf};

use clap::{Args as ClapArgs, Subcommand};

use super::Exit;
use crate::control::Policy;
use crate::lab::{Comparison, Row, Seeds, Workload};

/// What `--help` says.
pub const HELP: &str = "\
Play policies of `platform control` on an emulated fleet, in simulated time.

`compare` plays a workload under two policies on the same seeds, and prints for each
measure both means, the mean difference seed by seed (the second policy less the first)
and its 95 % confidence interval. The same seeds always give the same figures. With one
--policy it is compared with the default.

A play has one control instance whose decisions take no time, so it says nothing of what
a leader costs (`measure lead` does), of networks, or of leases that run out. A minute of
50 machines takes seconds of a core and some 50 MB for each of --jobs.

Exits with 0 if it is done, and with 1 if the workload or a policy is wrong or a play broke
a promise; the seed of that play is named.

Example:

    rosemarygauge lab compare --workload examples/lab/turns.json \\
        --policy examples/lab/no-moves.json --seeds 1..30";

/// Arguments of `lab`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand, Debug)]
enum What {
    /// Compare two policies on the same seeds.
    Compare(Compare),
}

#[derive(ClapArgs, Debug)]
struct Compare {
    /// Workload in JSON.
    #[arg(long, value_name = "FILE")]
    workload: PathBuf,
    /// Policy in JSON, once or twice.
    #[arg(long, value_name = "FILE", required = true)]
    policy: Vec<PathBuf>,
    /// The first and the last seed.
    #[arg(long, value_name = "FIRST..LAST", default_value = "1..30")]
    seeds: Seeds,
    /// Plays at a time.
    #[arg(long, value_name = "N", default_value_t = 2)]
    jobs: usize,
    /// Print JSON instead of a table.
    #[arg(long)]
    json: bool,
}

/// Compares policies.
///
/// # Errors
/// If there are more than two, or the figures cannot be printed.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    let What::Compare(args) = &args.what;
    eyre::ensure!(
        args.policy.len() <= 2,
        "there are {} policies: give --policy once or twice",
        args.policy.len()
    );
    let workload = said(&args.workload, Workload::load(&args.workload));
    let (Some(workload), Some(policies)) = (workload, policies(&args.policy)) else {
        return Ok(Exit::Faults);
    };
    let seeds = args.seeds.all();
    match Comparison::play(&workload, &policies, &seeds, args.jobs) {
        Ok(comparison) => print(&comparison, args)?,
        Err((seed, broken)) => {
            eprintln!("seed {seed}: {broken}");
            return Ok(Exit::Faults);
        }
    }
    Ok(Exit::Done)
}

/// Both policies; the first is the default one if only one is named.
fn policies(files: &[PathBuf]) -> Option<[Policy; 2]> {
    let read: Vec<_> = files
        .iter()
        .map(|file| said(file, Policy::load(file)))
        .collect();
    let mut read: Vec<Policy> = read.into_iter().collect::<Option<_>>()?;
    if read.len() < 2 {
        read.insert(0, Policy::default());
    }
    read.try_into().ok()
}

/// Prints what is wrong with a file.
fn said<T, E: std::fmt::Display>(file: &Path, read: Result<T, Vec<E>>) -> Option<T> {
    read.map_err(|errors| {
        for err in &errors {
            eprintln!("{}: {err}", file.display());
        }
    })
    .ok()
}

fn print(comparison: &Comparison, args: &Compare) -> eyre::Result<()> {
    let mut wtr = std::io::stdout().lock();
    if args.json {
        serde_json::to_writer_pretty(&mut wtr, comparison)?;
        writeln!(wtr)?;
        return Ok(());
    }
    let (a, b) = match args.policy.as_slice() {
        [only] => ("default".to_owned(), only.display().to_string()),
        [a, b, ..] => (a.display().to_string(), b.display().to_string()),
        [] => ("default".to_owned(), "default".to_owned()),
    };
    let seeds = comparison.seeds.len();
    writeln!(wtr, "A: {a}\nB: {b}\n{seeds} seeds\n")?;
    writeln!(
        wtr,
        "{:40} {:>12} {:>12} {:>12}  95 % interval",
        "measure", "mean of A", "mean of B", "B less A"
    )?;
    for row in &comparison.rows {
        writeln!(wtr, "{}", line(row))?;
    }
    Ok(())
}

fn line(row: &Row) -> String {
    let difference = &row.difference;
    format!(
        "{:40} {:12.3} {:12.3} {:12.3}  {:.3} to {:.3}",
        row.measure, row.mean_a, row.mean_b, difference.mean, difference.from, difference.to
    )
}
