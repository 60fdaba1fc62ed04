//! `table`: the spreadsheet of weights and limits.

use std::fs;
use std::path::{Path, PathBuf};

use clap::{Args as ClapArgs, Subcommand};
use eyre::WrapErr;

use super::Exit;
use super::client::{Conn, change_id, print, show_change};

/// What `--help` says.
pub const HELP: &str = "\
Fetch, check or change the table of weights and limits.

The table is a CSV file with the columns

    kind,name,zone,weight,limit_in_flight,queue_ms,version

A row of kind `service` sets the share and the limits of a service in an
availability zone; a row of kind `team` sets a team's share and quota and leaves
`zone` empty. `version` is the version you saw: leave the column as `table get`
wrote it. Rows that are not in the file stay as they are.

`table put` changes all rows of the file or none. Every wrong cell is printed with
its row, column, value and what to do about it. If another operator changed a row
meanwhile, yours is refused and theirs is shown. When an answer was lost, give the
same --change-id again: the change is done once.

Example:

    rosemarygauge table get  --at 127.0.0.1:7301 --token-file token > table.csv
    rosemarygauge table check table.csv --at 127.0.0.1:7301 --token-file token
    rosemarygauge table put  table.csv --at 127.0.0.1:7301 --token-file token";

/// Arguments of `table`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand, Debug)]
enum Action {
    /// Write the rows in force to standard output.
    Get {
        #[command(flatten)]
        conn: Conn,
    },
    /// Print what is wrong with a file; change nothing.
    Check {
        /// The table, CSV.
        file: PathBuf,
        #[command(flatten)]
        conn: Conn,
    },
    /// Put the rows of a file in force, all or none.
    Put {
        /// The table, CSV.
        file: PathBuf,
        /// Accept values that are five times the old ones, or a fifth.
        #[arg(long)]
        confirm_jump: bool,
        /// Id of this change, to send it again after a lost answer.
        #[arg(long, value_name = "ID")]
        change_id: Option<String>,
        #[command(flatten)]
        conn: Conn,
    },
}

/// Fetches, checks or changes the table.
///
/// # Errors
/// The file cannot be read or no entry instance answered.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    match &args.action {
        Action::Get { conn } => get(conn),
        Action::Check { file, conn } => check(file, conn),
        Action::Put {
            file,
            confirm_jump,
            change_id,
            conn,
        } => put(file, *confirm_jump, change_id.as_deref(), conn),
    }
}

fn get(conn: &Conn) -> eyre::Result<Exit> {
    let answer = conn.get("/table")?;
    print(&answer.text)?;
    Ok(Exit::Done)
}

fn check(file: &Path, conn: &Conn) -> eyre::Result<Exit> {
    let answer = conn.send("/table/check", &[], "check", &read(file)?)?;
    show_change(conn, &answer, "the table can be put in force")
}

fn put(file: &Path, confirm: bool, id: Option<&str>, conn: &Conn) -> eyre::Result<Exit> {
    let confirm = if confirm { "true" } else { "false" };
    let headers = [("rg-confirm-jump", confirm)];
    let answer = conn.send("/table", &headers, &change_id(id), &read(file)?)?;
    show_change(conn, &answer, "accepted")
}

fn read(file: &Path) -> eyre::Result<Vec<u8>> {
    fs::read(file).wrap_err_with(|| format!("{}: cannot be read", file.display()))
}
