//! `status`: how the system is.

use clap::Args as ClapArgs;
use serde_json::Value;

use super::Exit;
use super::client::{Conn, show};

/// What `--help` says.
pub const HELP: &str = "\
Print how the system is, as one entry instance sees it: the leader and whether its
news are fresh, the peers and how far they follow, the pools' budgets, what waits
and what is in flight.

Example:

    rosemarygauge status --at 127.0.0.1:7301 --token-file token";

/// Arguments of `status`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    #[command(flatten)]
    conn: Conn,
}

/// Prints the status.
///
/// # Errors
/// No entry instance answered.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    let answer = args.conn.get("/status")?;
    show(&args.conn, &answer)?;
    Ok(Exit::Done)
}

/// A value as indented lines, a name and a value each.
pub fn tree(value: &Value) -> String {
    let mut text = String::new();
    branch(value, 0, &mut text);
    text
}

fn branch(value: &Value, depth: usize, text: &mut String) {
    let indent = "  ".repeat(depth);
    let Value::Object(fields) = value else {
        *text += &format!("{indent}{}\n", plain(value));
        return;
    };
    for (name, value) in fields {
        match value {
            Value::Object(inner) if !inner.is_empty() => {
                *text += &format!("{indent}{name}:\n");
                branch(value, depth + 1, text);
            }
            Value::Array(list) if list.iter().any(Value::is_object) => {
                *text += &format!("{indent}{name}:\n");
                for item in list {
                    branch(item, depth + 1, text);
                    text.push('\n');
                }
            }
            _ => *text += &format!("{indent}{name}: {}\n", plain(value)),
        }
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::Null => "none".into(),
        Value::String(text) => text.clone(),
        Value::Array(list) => list.iter().map(plain).collect::<Vec<_>>().join(", "),
        other => other.to_string(),
    }
}
