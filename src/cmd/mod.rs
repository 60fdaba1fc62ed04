//! The commands, one file each.

pub mod check;
pub mod client;
pub mod demo;
pub mod drain;
mod exit;
pub mod explain;
pub mod lab;
pub mod load;
pub mod measure;
pub mod measure_capacity;
pub mod measure_entry;
pub mod measure_lead;
pub mod measure_load;
pub mod measure_log;
pub mod measure_waves;
pub mod move_instance;
pub mod platform;
pub mod pool;
pub mod proxy;
pub mod serve;
pub mod status;
pub mod table;
pub mod trial;
pub mod upstream;
pub mod wave;

pub use exit::Exit;
