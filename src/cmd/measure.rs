//! `measure`: the decisions and the log in figures.

use std::path::PathBuf;

use clap::{Args as ClapArgs, Subcommand};

use super::{
    Exit, measure_capacity, measure_entry, measure_lead, measure_load, measure_log, measure_waves,
};

/// What `--help` says.
pub const HELP: &str = "\
Run one of the project's measurements and print its table. Each runs all its sides
in one go, so that their ratios hold on any machine; times by the clock do not.

  load   decisions under load beside the naive dispatcher, in simulated time
  waves  maintenance waves beside naive plans and lower bounds, in simulated time
  log    the replicated log on this machine's disk, and its elections in
         simulated time
  entry  what an entry instance adds to a call, and how long a row takes to be in
         force on nine of them, over loopback
  capacity  traffic, processor time, memory and state of entry instances by the
         size of the fleet, in one process
  lead   processor time of a leader's decisions by the size of the fleet, in
         simulated time

Example:

    rosemarygauge measure waves --seed 1";

/// Arguments of `measure`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand, Debug)]
enum What {
    /// Decisions under load.
    Load {
        /// Seed of the random choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Maintenance waves.
    Waves {
        /// Seed of the random choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// The replicated log.
    Log {
        /// Folder on the disk to be measured; by default a temporary one.
        #[arg(long)]
        folder: Option<PathBuf>,
    },
    /// What entry instances add to a call, and a row's time to force.
    Entry,
    /// Entry instances by the size of the fleet.
    Capacity,
    /// A leader's decisions by the size of the fleet.
    Lead {
        /// Only this size.
        #[arg(long)]
        workers: Option<u16>,
        /// How many times the usual work is asked for; above 2 a backlog grows.
        #[arg(long, default_value_t = 1.0)]
        load: f64,
    },
}

/// Runs a measurement.
///
/// # Errors
/// Those of the measurement.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    match &args.what {
        What::Load { seed } => measure_load::run(*seed)?,
        What::Waves { seed } => measure_waves::run(*seed)?,
        What::Entry => measure_entry::run()?,
        What::Capacity => measure_capacity::run()?,
        What::Lead { workers, load } => measure_lead::run(*workers, *load)?,
        What::Log { folder: None } => measure_log::run(tempfile::tempdir()?.path())?,
        What::Log {
            folder: Some(folder),
        } => measure_log::run(folder)?,
    }
    Ok(Exit::Done)
}
