//! Fleet capacity and maintenance manager between callers and upstreams.
//!
//! Three rings: the edges (`http`, `link`, disk and clocks), the decisions
//! (`load`, `maintenance`, `state`, `consensus`: plain objects that take the
//! present time and a typed input and return typed actions), and the driver
//! (`entry`) that feeds one to the other.

pub mod account;
pub mod cmd;
pub mod codec;
pub mod config;
pub mod consensus;
pub mod control;
pub mod entry;
pub mod http;
pub mod intake;
pub mod jobs;
pub mod lab;
pub mod link;
pub mod load;
pub mod logs;
pub mod maintenance;
pub mod model;
pub mod places;
pub mod platform;
pub mod proxy;
pub mod state;
pub mod storage;
pub mod table;
pub mod unix_time;
pub mod upstream;
pub mod upstream_api;
