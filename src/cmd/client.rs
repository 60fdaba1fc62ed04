//! What the operators' commands share: where the entry instances are, the
//! operator's token, and how an answer is asked for and shown.

use std::io::{ErrorKind, Write};
use std::path::PathBuf;
use std::time::Duration;

use clap::Args as ClapArgs;
use eyre::{WrapErr, bail};
use serde_json::Value;
use ureq::Agent;

use super::Exit;
use super::status::tree;

/// Longest wait for an answer: the entry instance itself gives a change up
/// after five seconds.
const TIMEOUT: Duration = Duration::from_secs(8);

/// Where and as whom an operator's command works.
#[derive(ClapArgs, Clone, Debug)]
pub struct Conn {
    /// Operators' address of an entry instance, IP:port. Given several times,
    /// the next is asked when one cannot be reached.
    #[arg(
        long = "at",
        value_name = "ADDR",
        env = "ROSEMARYGAUGE_AT",
        value_delimiter = ',',
        required = true
    )]
    at: Vec<String>,
    /// File that holds the operator's token.
    #[arg(long, value_name = "FILE", env = "ROSEMARYGAUGE_TOKEN_FILE")]
    token_file: PathBuf,
    /// Print JSON for programs.
    #[arg(long)]
    json: bool,
}

/// An entry instance's answer.
#[derive(Debug)]
pub struct Answer {
    /// Whether it did what was asked.
    pub accepted: bool,
    /// The answer's text.
    pub text: String,
}

impl Answer {
    /// The answer as JSON.
    ///
    /// # Errors
    /// The answer is not JSON.
    pub fn value(&self) -> eyre::Result<Value> {
        serde_json::from_str(&self.text).wrap_err("the entry instance's answer is not JSON")
    }
}

impl Conn {
    /// A connection to known addresses, for commands that start the entry
    /// instances themselves.
    pub fn new(at: Vec<String>, token_file: PathBuf) -> Self {
        Self {
            at,
            token_file,
            json: false,
        }
    }

    /// Whether programs read the output.
    pub fn json(&self) -> bool {
        self.json
    }

    /// Asks for something that changes nothing.
    ///
    /// # Errors
    /// No entry instance answered, or the token is wrong.
    pub fn get(&self, path: &str) -> eyre::Result<Answer> {
        self.ask(|agent, at, token| {
            agent
                .get(format!("http://{at}{path}"))
                .header("authorization", token)
                .call()
        })
    }

    /// Sends a body under a change id. An answer that was lost is asked for
    /// again at the next entry instance: the same id is never done twice.
    ///
    /// # Errors
    /// No entry instance answered, or the token is wrong.
    pub fn send(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        change: &str,
        body: &[u8],
    ) -> eyre::Result<Answer> {
        self.ask(|agent, at, token| {
            let mut request = agent
                .post(format!("http://{at}{path}"))
                .header("authorization", token)
                .header("rg-change-id", change);
            for (name, value) in headers {
                request = request.header(*name, *value);
            }
            request.send(body)
        })
    }

    fn ask(
        &self,
        call: impl Fn(&Agent, &str, &str) -> Result<http::Response<ureq::Body>, ureq::Error>,
    ) -> eyre::Result<Answer> {
        let token = self.token()?;
        let agent: Agent = Agent::config_builder()
            .max_redirects(0)
            .http_status_as_error(false)
            .proxy(None)
            .timeout_connect(Some(Duration::from_secs(1)))
            .timeout_global(Some(TIMEOUT))
            .build()
            .into();
        let mut last = String::from("no address given");
        for at in &self.at {
            match call(&agent, at, &token) {
                Ok(response) if response.status() == 504 || response.status() == 503 => {
                    last = format!("{at}: {}", body_of(response)?.trim_end());
                }
                Ok(response) => return answer_of(response),
                Err(err) => last = format!("{at}: {err}"),
            }
        }
        bail!("no entry instance gave an answer; the last said: {last}")
    }

    fn token(&self) -> eyre::Result<String> {
        let path = &self.token_file;
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("--token-file {}: cannot be read", path.display()))?;
        Ok(format!("Bearer {}", text.trim()))
    }
}

fn answer_of(response: http::Response<ureq::Body>) -> eyre::Result<Answer> {
    let status = response.status().as_u16();
    let text = body_of(response)?;
    match status {
        200 => Ok(Answer {
            accepted: true,
            text,
        }),
        409 => Ok(Answer {
            accepted: false,
            text,
        }),
        _ => bail!("{}", text.trim_end()),
    }
}

fn body_of(mut response: http::Response<ureq::Body>) -> eyre::Result<String> {
    response
        .body_mut()
        .read_to_string()
        .wrap_err("the answer was cut short")
}

/// Prints an answer: as it came for programs, as a tree for people.
///
/// # Errors
/// The answer is not JSON, or the output cannot be written.
pub fn show(conn: &Conn, answer: &Answer) -> eyre::Result<()> {
    if conn.json() {
        print(&answer.text)
    } else {
        print(&tree(&answer.value()?))
    }
}

/// Writes to standard output. A reader that has seen enough, as `head` has, is no
/// fault.
///
/// # Errors
/// The output cannot be written.
pub fn print(text: &str) -> eyre::Result<()> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(err) if err.kind() != ErrorKind::BrokenPipe => Err(err.into()),
        _ => Ok(()),
    }
}

/// A change id for a command that was given none: unlike any other.
pub fn change_id(given: Option<&str>) -> String {
    match given {
        Some(id) => id.to_owned(),
        None => format!("cli-{:032x}", rand::random::<u128>()),
    }
}

/// Prints the answer to a change and turns it into an exit code.
///
/// # Errors
/// The answer is not JSON.
pub fn show_change(conn: &Conn, answer: &Answer, done: &str) -> eyre::Result<Exit> {
    let value = answer.value()?;
    if conn.json() {
        println!("{value}");
    } else if answer.accepted {
        println!("{done}");
        show_force(&value);
    } else {
        show_refusal(&value);
    }
    Ok(if answer.accepted {
        Exit::Done
    } else {
        Exit::Refused
    })
}

fn show_force(value: &Value) {
    let names = |field: &str| -> Vec<&str> {
        value[field]
            .as_array()
            .map(|list| list.iter().filter_map(Value::as_str).collect())
            .unwrap_or_default()
    };
    let (in_force, behind) = (names("in_force"), names("behind"));
    if !in_force.is_empty() {
        println!("in force on {} entry instances", in_force.len());
    }
    if !behind.is_empty() {
        println!(
            "not yet heard from: {} (they follow as soon as they can be reached)",
            behind.join(", ")
        );
    }
}

fn show_refusal(value: &Value) {
    let Some(errors) = value["errors"].as_array() else {
        let line = value["refused"].as_str().map(str::to_owned);
        eprintln!("refused: {}", line.unwrap_or_else(|| value.to_string()));
        return;
    };
    eprintln!("refused, nothing was changed:");
    for error in errors {
        eprintln!("  {}", error.as_str().unwrap_or("unreadable"));
    }
}
