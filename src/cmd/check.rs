//! `check`: checks a settings file.

use std::path::PathBuf;

use clap::Args as ClapArgs;

use super::Exit;
use crate::config::Settings;

/// What `--help` says.
pub const HELP: &str = "\
Check a settings file and the key files that it names, without starting
anything. Every wrong setting is printed at once, with its field and a remedy.
`serve` runs the same check before it starts.

Exits with 0 if the settings are right and with 1 if any is wrong. It does not
try whether the addresses are free or the other entry instances can be reached.

Example:

    rosemarygauge check --settings amman-a-1.json";

/// Arguments of `check`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// Settings file in JSON.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

/// Prints what is wrong, or one line if nothing is.
///
/// # Errors
/// Some setting is wrong.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    match Settings::load(&args.settings) {
        Ok(conf) => {
            println!("{}", summary(&conf));
            Ok(Exit::Done)
        }
        Err(errors) => {
            for err in &errors {
                eprintln!("{err}");
            }
            eprintln!("{}: {}", args.settings.display(), count(errors.len()));
            Ok(Exit::Faults)
        }
    }
}

fn summary(conf: &Settings) -> String {
    format!(
        "settings are right: {} in {}, one of {} entry instances, {} of which vote",
        conf.entry,
        conf.zone,
        conf.members.len(),
        conf.voters().count()
    )
}

fn count(errors: usize) -> String {
    match errors {
        1 => "1 setting is wrong".into(),
        n => format!("{n} settings are wrong"),
    }
}
