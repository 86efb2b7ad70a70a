//! Discovery: what a process learns from the platform's store, and how current that is.
//!
//! - [`source`]: the operations on the platform's store, and [`store_revision`]: its revisions,
//! - `follow_config`, `follow_targets`: the tasks that read and watch the store,
//! - `follow_quarantine`: the task that writes the quarantine to the store,
//! - [`watch_timing`]: how long watches wait and how often they are repeated,
//! - [`rules`]: what a configuration permits, and for which callers,
//! - [`freshness`]: whether the configuration is proven current,
//! - [`proof_sync`], [`target_list_sync`], [`config_sync`], [`config_delta`]: how entries exchange
//!   these facts.

pub mod config_delta;
pub mod config_sync;
pub(crate) mod follow_config;
pub(crate) mod follow_quarantine;
pub(crate) mod follow_targets;
pub mod freshness;
pub mod proof_sync;
pub mod rules;
pub mod source;
pub mod store_revision;
pub mod target_list_sync;
pub mod watch_timing;
