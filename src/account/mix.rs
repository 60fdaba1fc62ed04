use std::str::FromStr;

use crate::model::Class;

/// Mix of requests that an experiment sends.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Services with their shares.
    pub services: Vec<ServiceShare>,
    /// Teams with their shares.
    pub teams: Vec<TeamShare>,
    /// Percentage of requests that may run at most once; these carry a key.
    pub not_idempotent_percent: u32,
    /// Percentage of keyed requests that are sent twice at once, through different
    /// entry instances.
    pub twin_percent: u32,
    /// Percentage of requests that the caller cancels.
    pub cancel_percent: u32,
    /// Time from sending to the cancellation, in milliseconds.
    pub cancel_after_ms: u64,
    /// Size of a body in bytes; a body is larger only if its fixed fields need more.
    pub body_bytes: usize,
}

/// A service in a mix: `NAME:CLASS:WEIGHT`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Name of the service.
    pub name: String,
    /// Class of its requests.
    pub class: Class,
    /// Weight relative to the other services.
    pub weight: u32,
}

/// A team in a mix: `NAME:WEIGHT:CALLERS`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamShare {
    /// Name of the team.
    pub name: String,
    /// Weight relative to the other teams.
    pub weight: u32,
    /// Number of callers that send its requests.
    pub callers: u32,
}

impl FromStr for ServiceShare {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut parts = text.split(':');
        let name = parts.next().unwrap_or_default().to_owned();
        let class = match parts.next() {
            None | Some("urgent") => Class::Urgent,
            Some("patient") => Class::Patient,
            Some(other) => return Err(format!("unknown class {other:?}: use urgent or patient")),
        };
        let weight = parse_weight(parts.next())?;
        Ok(Self {
            name,
            class,
            weight,
        })
    }
}

impl FromStr for TeamShare {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut parts = text.split(':');
        Ok(Self {
            name: parts.next().unwrap_or_default().to_owned(),
            weight: parse_weight(parts.next())?,
            callers: parse_weight(parts.next())?,
        })
    }
}

fn parse_weight(part: Option<&str>) -> Result<u32, String> {
    match part.map_or(Ok(1), str::parse) {
        Ok(0) | Err(_) => {
            Err("weights and numbers of callers must be whole numbers of at least 1".to_owned())
        }
        Ok(weight) => Ok(weight),
    }
}
