//! # Shalelane
//!
//! Work in progress: the guided tour follows.

pub mod agent;
pub mod cli;
mod client;
pub mod clock;
pub mod config;
pub mod config_store;
pub mod entry;
mod error;
mod hex;
pub mod host_list;
pub mod hosts;
mod id;
pub mod invariant;
mod link_pool;
pub mod log;
pub mod metrics;
pub mod mutant;
mod peer;
pub mod prefix;
pub mod program;
pub mod settings;
pub mod store;
pub mod time;
pub mod timeline;
pub mod tokens;
mod verdict;
mod web;
pub mod wire;

pub use crate::config::{Config, ConfigVersion};
pub use crate::error::{Category, Error, Result};
pub use crate::id::{AttemptId, AttemptKey, Incarnation, ParseIdError, ProcessId, RequestId};
pub use crate::verdict::Verdict;
