//! `platform`: runs an instance on the users' machines.

use clap::{Args as ClapArgs, ValueEnum};

use super::Exit;
use crate::logs;
use crate::platform::{self, Settings};

/// What `--help` says.
pub const HELP: &str = "\
Run an instance on machines whose platform writes the settings file and names it in
the environment. An entry instance takes callers' jobs and hands them on; a control
instance keeps the durable state in its data folder, takes workers' reports and
operators' changes, and decides, while it leads, where every task runs.

The process runs until SIGTERM. It logs JSON lines on standard output.

Example:

    rosemarygauge platform control";

/// Arguments of `platform`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// What the instance does.
    #[arg(value_enum)]
    role: Role,
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
    let settings = Settings::load().map_err(platform::ServeError::Settings)?;
    tracing::info!(role = ?args.role, node = settings.node, version = env!("CARGO_PKG_VERSION"), "serve: starts");
    match args.role {
        Role::Entry => platform::serve_entry(settings)?,
        Role::Control => platform::serve_control(settings)?,
    }
    Ok(Exit::Done)
}
