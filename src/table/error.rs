use serde::{Deserialize, Serialize};

use super::{Column, Fault};

/// One wrong cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("row {row}, column {column}, value \"{value}\": {fault}. {}", fault.remedy())]
pub struct CellError {
    /// Row of the sheet as a spreadsheet counts it: the header is row 1.
    pub row: u32,
    /// Column.
    pub column: Column,
    /// What stands there, cut to a readable length.
    pub value: String,
    /// What is wrong with it.
    pub fault: Fault,
}
