//! Lists the commands and dispatches to them.

use std::process::ExitCode;

use clap::Parser;
use rosemarygauge::cmd;

/// Exit code of a command that could not do its work; 1 means that it did, and
/// found what it looks for.
const FAILED: u8 = 2;

/// Fleet capacity and maintenance manager between callers and upstreams.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Subcommand)]
enum Command {
    Load(Box<cmd::load::Args>),
    Upstream(Box<cmd::upstream::Args>),
}

fn main() -> ExitCode {
    let clean = match Cli::parse().command {
        Command::Load(args) => cmd::load::run(*args).map_err(|e| e.to_string()),
        Command::Upstream(args) => cmd::upstream::run(*args)
            .map(|()| true)
            .map_err(|e| e.to_string()),
    };
    match clean {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("rosemarygauge: {e}");
            ExitCode::from(FAILED)
        }
    }
}
