//! `pool`: pools, their budgets and their instances.

use std::fs;
use std::path::PathBuf;

use clap::{Args as ClapArgs, Subcommand};
use eyre::WrapErr;

use super::Exit;
use super::client::{Conn, change_id, print, show_change};
use crate::maintenance::FleetCommand;
use crate::model::Pool;

/// What `--help` says.
pub const HELP: &str = "\
List the pools with the arithmetic of their budgets, or create and change pools.

`pool put` reads a JSON file with a list of pools: name, budget (`min_available`
instances that must serve at any moment, and the failure domain whose loss they
must survive: none, instance or rack) and the services they carry. A service is
carried by one pool only. A stricter budget than the pool can meet now is refused.

Example:

    rosemarygauge pool put pools.json --at 127.0.0.1:7301 --token-file token
    rosemarygauge pool list --at 127.0.0.1:7301 --token-file token";

/// Arguments of `pool`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand, Debug)]
enum Action {
    /// List pools, instances and budgets.
    List {
        #[command(flatten)]
        conn: Conn,
    },
    /// Create or change pools.
    Put {
        /// List of pools, JSON.
        file: PathBuf,
        #[command(flatten)]
        conn: Conn,
    },
}

/// Lists or changes pools.
///
/// # Errors
/// The file cannot be read or no entry instance answered.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    match &args.action {
        Action::List { conn } => list(conn),
        Action::Put { file, conn } => {
            let text =
                fs::read(file).wrap_err_with(|| format!("{}: cannot be read", file.display()))?;
            let pools: Vec<Pool> = serde_json::from_slice(&text)
                .wrap_err_with(|| format!("{}: not a list of pools", file.display()))?;
            put(pools, conn)
        }
    }
}

fn list(conn: &Conn) -> eyre::Result<Exit> {
    let answer = conn.get("/pools")?;
    if conn.json() {
        print(&answer.text)?;
        return Ok(Exit::Done);
    }
    let value = answer.value()?;
    let mut lines = String::new();
    for pool in value["pools"].as_array().into_iter().flatten() {
        let text = |field: &str| pool[field].as_str().unwrap_or("?").to_owned();
        lines += &format!("{}: {}\n", text("name"), text("budget_use"));
    }
    print(&lines)?;
    Ok(Exit::Done)
}

fn put(pools: Vec<Pool>, conn: &Conn) -> eyre::Result<Exit> {
    for pool in pools {
        let name = pool.name.clone();
        let exit = send_fleet(
            conn,
            None,
            &FleetCommand::PutPool { pool },
            &format!("pool {name} is in place"),
        )?;
        if exit != Exit::Done {
            return Ok(exit);
        }
    }
    Ok(Exit::Done)
}

/// Sends a change of the fleet and shows its answer.
///
/// # Errors
/// No entry instance answered.
pub fn send_fleet(
    conn: &Conn,
    change: Option<&str>,
    command: &FleetCommand,
    done: &str,
) -> eyre::Result<Exit> {
    let body = serde_json::to_vec(command)?;
    let answer = conn.send("/fleet", &[], &change_id(change), &body)?;
    show_change(conn, &answer, done)
}
