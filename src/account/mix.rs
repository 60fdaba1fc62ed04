use std::str::FromStr;

use crate::model::Class;

/// What kinds of requests an experiment sends.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Services with their shares.
    pub services: Vec<ServiceShare>,
    /// Teams with their shares.
    pub teams: Vec<TeamShare>,
    /// Share of requests that may run at most once; they carry a key.
    pub not_idempotent_percent: u32,
    /// Share of keyed requests sent a second time at once, elsewhere.
    pub twin_percent: u32,
    /// Share of requests whose caller goes away.
    pub cancel_percent: u32,
    /// When such a caller goes away, in milliseconds after sending.
    pub cancel_after_ms: u64,
    /// Size of a body in bytes, where its number leaves room.
    pub body_bytes: usize,
}

/// A service in a mix: `NAME:CLASS:WEIGHT`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// The service.
    pub name: String,
    /// The class of its requests.
    pub class: Class,
    /// Its share, relative to the other services.
    pub weight: u32,
}

/// A team in a mix: `NAME:WEIGHT:CALLERS`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamShare {
    /// The team.
    pub name: String,
    /// Its share, relative to the other teams.
    pub weight: u32,
    /// Number of callers its requests come from.
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
            Some(other) => return Err(format!("class {other}: use urgent or patient")),
        };
        let weight = weight(parts.next())?;
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
            weight: weight(parts.next())?,
            callers: weight(parts.next())?,
        })
    }
}

fn weight(part: Option<&str>) -> Result<u32, String> {
    match part.map_or(Ok(1), str::parse) {
        Ok(0) | Err(_) => Err("weights and numbers of callers are whole numbers from 1".to_owned()),
        Ok(weight) => Ok(weight),
    }
}
