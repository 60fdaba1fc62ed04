use std::str::FromStr;

/// Seeds of plays, the last included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seeds {
    /// The first.
    pub first: u64,
    /// The last.
    pub last: u64,
}

/// The most seeds of a comparison: days of processor time.
const SEEDS_MAX: u64 = 100_000;

impl Seeds {
    /// All of them.
    pub fn all(&self) -> Vec<u64> {
        (self.first..=self.last).collect()
    }
}

impl FromStr for Seeds {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let wrong = || {
            format!(
                "{text:?} are no seeds: give the first and the last as 1..30, two to {SEEDS_MAX} of them"
            )
        };
        let (first, last) = text.split_once("..").ok_or_else(wrong)?;
        let first: u64 = first.parse().map_err(|_| wrong())?;
        let last: u64 = last.parse().map_err(|_| wrong())?;
        if last <= first || last - first >= SEEDS_MAX {
            return Err(wrong());
        }
        Ok(Self { first, last })
    }
}
