//! The table of weights and limits as operators know it: a CSV sheet.
//!
//! Columns `kind,name,zone,weight,limit_in_flight,queue_ms,version`. A row of
//! kind `service` names a service and an availability zone; one of kind `team`
//! names a team and leaves the zone empty. `version` is the version the
//! operator saw, 0 or empty for a new row. Weight, limit and queue all empty
//! remove the row.
//!
//! [`review`] is what `table check` prints; [`check`] is the part of it that
//! needs the state, and the state itself runs it before it accepts a row. Every
//! wrong cell is reported at once, with row, column, value and remedy.

mod check;
mod column;
mod error;
mod fault;
mod sheet;
mod sites;

pub use check::{JUMP_FACTOR, MAX_ROWS, MAX_URGENT_WAIT_MS, MAX_WAIT_MS, MAX_WEIGHT, check};
pub use column::Column;
pub use error::CellError;
pub use fault::Fault;
pub use sheet::{MAX_ERRORS, MAX_NAME_BYTES, MAX_SHEET_BYTES, read, review, write};
