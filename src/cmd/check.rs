//! `check`: checks a settings file.

use std::path::{Path, PathBuf};

use clap::Args as ClapArgs;

use super::Exit;
use crate::config::Settings;
use crate::control::Policy;

/// What `--help` says.
pub const HELP: &str = "\
Check a settings file and the key files that it names, or a policy, without starting
anything. Every wrong setting is printed at once, with its field and a remedy.
`serve` runs the same check before it starts. With --policy check a policy of
`platform control` instead.

Exits with 0 if the settings are right and with 1 if any is wrong. It does not
try whether the addresses are free or the other entry instances can be reached.

Example:

    rosemarygauge check --settings amman-a-1.json
    rosemarygauge check --policy policy.json";

/// Arguments of `check`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// Settings file in JSON.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Policy of a control instance, in JSON.
    #[arg(long, value_name = "FILE", required_unless_present = "settings")]
    policy: Option<PathBuf>,
}

/// Prints what is wrong, or one line for each file in which nothing is.
///
/// # Errors
/// None; what is wrong with a file is printed.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    let settings = args.settings.as_ref().map(|file| {
        let read = Settings::load(file).map(|conf| summary(&conf));
        told(file, read)
    });
    let policy = args.policy.as_ref().map(|file| {
        let read = Policy::load(file).map(|_| "policy is right".to_owned());
        told(file, read)
    });
    let right = settings.unwrap_or(true) && policy.unwrap_or(true);
    Ok(if right { Exit::Done } else { Exit::Faults })
}

/// Prints what is to be said of a file; whether nothing in it is wrong.
fn told<E: std::fmt::Display>(file: &Path, read: Result<String, Vec<E>>) -> bool {
    match read {
        Ok(summary) => {
            println!("{summary}");
            true
        }
        Err(errors) => {
            for err in &errors {
                eprintln!("{err}");
            }
            eprintln!("{}: {}", file.display(), count(errors.len()));
            false
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
