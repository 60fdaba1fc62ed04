use std::borrow::Cow;
use std::fmt;

use serde::de::{IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// A JSON value in a row of a listing, with strings borrowed from the input.
///
/// Rows are not decoded as tuples, because a row with unexpected types must not invalidate the
/// other rows. Strings are copied only when they are used: a listing holds dozens of them, and
/// a thousand listings arrive per second.
#[derive(Debug, PartialEq)]
pub(super) enum Cell<'a> {
    Text(Cow<'a, str>),
    Whole(u64),
    Real(f64),
    Row(Vec<Cell<'a>>),
    /// A value that no row uses, such as a boolean, null or an object.
    Other,
}

impl Cell<'_> {
    /// Returns the value at an index of a row.
    pub(super) fn get(&self, index: usize) -> Option<&Self> {
        match self {
            Self::Row(cells) => cells.get(index),
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
        let mut cells = Vec::with_capacity(TYPICAL_ROW_CELLS);
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

/// Usual number of cells in a row.
const TYPICAL_ROW_CELLS: usize = 5;
