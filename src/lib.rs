//! Fleet capacity and maintenance manager between callers and upstreams.
//!
//! Three rings: the edges (`http`, `link`, disk and clocks), the decisions
//! (`load`, `maintenance`, `state`, `consensus`: plain objects that take the
//! present time and a typed input and return typed actions), and the driver
//! (`entry`) that feeds one to the other.

pub mod cmd;
pub mod consensus;
pub mod load;
pub mod maintenance;
pub mod model;
pub mod state;
pub mod storage;
