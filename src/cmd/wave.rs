//! `wave`: maintenance waves.

use std::fs;
use std::path::{Path, PathBuf};

use clap::{Args as ClapArgs, Subcommand};
use eyre::WrapErr;

use super::Exit;
use super::client::{Conn, print, show};
use super::pool::send_fleet;
use crate::maintenance::{FleetCommand, WaveSpec};
use crate::model::WaveName;

/// What `--help` says.
pub const HELP: &str = "\
Plan, start, stop or look at a maintenance wave: a set of instances that are
rebooted or replaced, each once, within the budgets of all pools.

A wave is described by a JSON file: name, kind (reboot, replace), selection (all,
or a pool, rack, zone, or listed instances), the declared times of a drain and an
absence, and what the deployment pays for (roll-out time, moves, buffer). `plan`
prints the steps and what they are expected to cost beside the lower bounds, and
changes nothing. A started wave runs by itself: it pauses when a failure breaks a
budget, says why, and goes on when the pool is whole. `stop` lets what drains serve
again.

Example:

    rosemarygauge wave plan  march.json --at 127.0.0.1:7301 --token-file token
    rosemarygauge wave start march.json --at 127.0.0.1:7301 --token-file token
    rosemarygauge wave status --at 127.0.0.1:7301 --token-file token";

/// Arguments of `wave`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand, Debug)]
enum Action {
    /// Print the plan; change nothing.
    Plan {
        /// The wave, JSON.
        file: PathBuf,
        #[command(flatten)]
        conn: Conn,
    },
    /// Start a wave.
    Start {
        /// The wave, JSON.
        file: PathBuf,
        /// Id of this change, to send it again after a lost answer.
        #[arg(long, value_name = "ID")]
        change_id: Option<String>,
        #[command(flatten)]
        conn: Conn,
    },
    /// End a wave.
    Stop {
        /// Its name.
        wave: String,
        #[command(flatten)]
        conn: Conn,
    },
    /// Print the waves and how far they are.
    Status {
        #[command(flatten)]
        conn: Conn,
    },
}

/// Plans, starts, stops or shows waves.
///
/// # Errors
/// The file cannot be read or no entry instance answered.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    match &args.action {
        Action::Plan { file, conn } => plan(file, conn),
        Action::Start {
            file,
            change_id,
            conn,
        } => start(file, change_id.as_deref(), conn),
        Action::Stop { wave, conn } => {
            let name = WaveName::from(wave.as_str());
            let command = FleetCommand::StopWave { wave: name };
            send_fleet(conn, None, &command, &format!("wave {wave} is stopped"))
        }
        Action::Status { conn } => status(conn),
    }
}

fn plan(file: &Path, conn: &Conn) -> eyre::Result<Exit> {
    let body = serde_json::to_vec(&read(file)?)?;
    let answer = conn.send("/waves/plan", &[], "plan", &body)?;
    match answer.value()?["plan"].as_str() {
        Some(text) if !conn.json() => print(text)?,
        _ => show(conn, &answer)?,
    }
    Ok(if answer.accepted {
        Exit::Done
    } else {
        Exit::Refused
    })
}

fn start(file: &Path, change: Option<&str>, conn: &Conn) -> eyre::Result<Exit> {
    let spec = read(file)?;
    let done = format!("wave {} has started", spec.name);
    send_fleet(conn, change, &FleetCommand::StartWave { spec }, &done)
}

fn status(conn: &Conn) -> eyre::Result<Exit> {
    let answer = conn.get("/waves")?;
    show(conn, &answer)?;
    Ok(Exit::Done)
}

fn read(file: &Path) -> eyre::Result<WaveSpec> {
    let text = fs::read(file).wrap_err_with(|| format!("{}: cannot be read", file.display()))?;
    serde_json::from_slice(&text).wrap_err_with(|| format!("{}: not a wave", file.display()))
}
