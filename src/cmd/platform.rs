//! `platform`: runs an instance on the users' machines.

use std::path::PathBuf;

use clap::{Args as ClapArgs, ValueEnum};

use super::Exit;
use crate::control::Policy;
use crate::logs;
use crate::platform::{self, CaughtSignals, Settings};

/// What `--help` says.
pub const HELP: &str = "\
Run an instance on machines whose platform writes the settings file and names it in
the environment. An entry instance takes callers' jobs and hands them on; a control
instance keeps the durable state in its data folder, takes workers' reports and
operators' changes, and decides, while it leads, where every task runs.

A control instance weighs its decisions by a policy: all weights and thresholds of
scheduling and capacity. Without a file it takes the defaults; a file of JSON names
what is to differ, by the part and the field, and `check --policy` checks one.

The process runs until SIGTERM. It logs JSON lines on standard output.

Examples:

    rosemarygauge platform control
    rosemarygauge platform control --policy policy.json";

/// Arguments of `platform`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// What the instance does.
    #[arg(value_enum)]
    role: Role,
    /// Policy of a control instance, in JSON.
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
}

/// What an instance does.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Role {
    /// Takes callers' jobs.
    Entry,
    /// Decides and keeps the state.
    Control,
}

/// Runs until a planned stop.
///
/// # Errors
/// Wrong settings, or something that cannot be set up or used any more.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    logs::start_lines();
    let ended = serve(args);
    logs::finish();
    ended
}

fn serve(args: &Args) -> eyre::Result<Exit> {
    let caught = CaughtSignals::catch()?;
    let settings = Settings::load().map_err(platform::ServeError::Settings)?;
    let policy = match &args.policy {
        Some(file) => Policy::load(file).map_err(platform::ServeError::Policy)?,
        None => Policy::default(),
    };
    tracing::info!(role = ?args.role, node = settings.node, version = env!("CARGO_PKG_VERSION"), "serve: starts");
    match args.role {
        Role::Entry => platform::serve_entry(settings, caught)?,
        Role::Control => platform::serve_control(settings, policy, caught)?,
    }
    Ok(Exit::Done)
}
