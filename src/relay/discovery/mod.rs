//! What a process knows of its platform, and how current that is.
//!
//! - [`feed`]: how the platform's store is read, and [`store_revision`]: up to where,
//! - `follow_config`, `follow_targets`: when and what for,
//! - `follow_quarantine`: what entries put there,
//! - [`watch_pace`]: how long its watches wait,
//! - [`rules`]: what a configuration allows, and to whom,
//! - [`freshness`]: whether that is known to be current,
//! - [`proof_share`], [`list_share`], [`config_share`], [`config_delta`]: how entries learn from one another.

pub mod config_delta;
pub mod config_share;
pub mod feed;
pub(crate) mod follow_config;
pub(crate) mod follow_quarantine;
pub(crate) mod follow_targets;
pub mod freshness;
pub mod list_share;
pub mod proof_share;
pub mod rules;
pub mod store_revision;
pub mod watch_pace;
