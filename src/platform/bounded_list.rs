use std::fmt;
use std::marker::PhantomData;

use serde::de::{Deserialize, Deserializer, Error, SeqAccess, Visitor};

/// A list of at most `N` items. Decoding stops at the first item beyond, because items may take
/// far more memory than their encoded form.
#[derive(Debug)]
pub(super) struct BoundedList<T, const N: usize>(pub(super) Vec<T>);

impl<T, const N: usize> Default for BoundedList<T, N> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<'de, T: Deserialize<'de>, const N: usize> Deserialize<'de> for BoundedList<T, N> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(BoundedVisitor(PhantomData))
    }
}

struct BoundedVisitor<T, const N: usize>(PhantomData<T>);

impl<'de, T: Deserialize<'de>, const N: usize> Visitor<'de> for BoundedVisitor<T, N> {
    type Value = BoundedList<T, N>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of at most {N} items")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Self::Value, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element()? {
            if list.len() == N {
                return Err(Error::custom(format_args!(
                    "a list has more than {N} items"
                )));
            }
            list.push(item);
        }
        Ok(BoundedList(list))
    }
}
