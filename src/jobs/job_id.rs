use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A job's id, chosen by its caller: 16 hexadecimal digits in lower case.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::From,
)]
#[display("{_0:016x}")]
pub struct JobId(u64);

/// The error for text that is not a job id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("a job's name has 16 hexadecimal digits in lower case")]
pub struct JobIdFault;

impl FromStr for JobId {
    type Err = JobIdFault;

    fn from_str(text: &str) -> Result<Self, JobIdFault> {
        let is_lower_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != 16 || !text.bytes().all(is_lower_hex) {
            return Err(JobIdFault);
        }
        let number = u64::from_str_radix(text, 16).map_err(|_| JobIdFault)?;
        Ok(Self(number))
    }
}
