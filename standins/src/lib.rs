//! Stand-ins for the systems around shalelane, load generators and measurements.
//!
//! The product never depends on this crate. Each stand-in serves its published protocol on loopback
//! from a dedicated thread, and has a handle through which tests inject faults.

pub mod caller;
pub mod chaos;
pub mod compare;
pub mod control;
pub mod demo;
pub mod engine_model;
pub mod engine_server;
pub mod fleet;
pub mod host_server;
pub mod lanes;
pub mod load;
pub mod overload;
pub mod plain_server;
pub mod prompt;
pub mod proxy;
pub mod replay;
pub mod report;
pub mod serve;
pub mod slopes;
pub mod store_server;
