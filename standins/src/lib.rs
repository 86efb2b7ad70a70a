//! Small stand-ins for the systems round shalelane, and its load tool.
//!
//! The product never depends on this crate. Each stand-in serves its
//! published protocol on loopback, from a thread of its own, and has a handle
//! by which a test makes it fail.

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
