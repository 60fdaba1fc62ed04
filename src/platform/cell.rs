use std::borrow::Cow;
use std::fmt;

use serde::de::{IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// Any value of a row of a listing, with texts left where they were received.
///
/// A row of other types than expected must not cost the rows beside it, so rows are not
/// read as tuples. A listing has dozens of texts and comes a thousand times a second, so
/// none of them is copied before it is known to be used.
#[derive(Debug, PartialEq)]
pub(super) enum Cell<'a> {
    Text(Cow<'a, str>),
    Whole(u64),
    Real(f64),
    Row(Vec<Cell<'a>>),
    /// Of no use in a row.
    Other,
}

impl Cell<'_> {
    /// The value at a place of a row.
    pub(super) fn get(&self, place: usize) -> Option<&Self> {
        match self {
            Self::Row(cells) => cells.get(place),
            _ => None,
        }
    }

    pub(super) fn as_str(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub(super) fn as_u64(&self) -> Option<u64> {
        match self {
            Self::Whole(number) => Some(*number),
            _ => None,
        }
    }

    pub(super) fn as_f64(&self) -> Option<f64> {
        match self {
            Self::Whole(number) => Some(*number as f64),
            Self::Real(number) => Some(*number),
            _ => None,
        }
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Cell<'a> {
    fn deserialize<D: Deserializer<'de>>(value: D) -> Result<Self, D::Error> {
        value.deserialize_any(CellVisitor)
    }
}

struct CellVisitor;

impl<'de> Visitor<'de> for CellVisitor {
    type Value = Cell<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any value")
    }

    fn visit_borrowed_str<E>(self, text: &'de str) -> Result<Self::Value, E> {
        Ok(Cell::Text(Cow::Borrowed(text)))
    }

    fn visit_str<E>(self, text: &str) -> Result<Self::Value, E> {
        Ok(Cell::Text(Cow::Owned(text.to_owned())))
    }

    fn visit_u64<E>(self, number: u64) -> Result<Self::Value, E> {
        Ok(Cell::Whole(number))
    }

    fn visit_i64<E>(self, number: i64) -> Result<Self::Value, E> {
        Ok(Cell::Real(number as f64))
    }

    fn visit_f64<E>(self, number: f64) -> Result<Self::Value, E> {
        Ok(Cell::Real(number))
    }

    fn visit_bool<E>(self, _: bool) -> Result<Self::Value, E> {
        Ok(Cell::Other)
    }

    fn visit_unit<E>(self) -> Result<Self::Value, E> {
        Ok(Cell::Other)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut row: A) -> Result<Self::Value, A::Error> {
        let mut cells = Vec::with_capacity(ROW_CELLS);
        while let Some(cell) = row.next_element()? {
            cells.push(cell);
        }
        Ok(Cell::Row(cells))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(Cell::Other)
    }
}

/// As many as a row usually has.
const ROW_CELLS: usize = 5;
