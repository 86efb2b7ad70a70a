//! The direct path from an entry to its targets, without an agent in between.
//!
//! On a platform whose callers, targets and store have protocols of their own, an adapter
//! defines these ([`proxy::protocol`], [`discovery::source`]). Everything else is decided here:
//!
//! - [`decide`]: placement and refusal of requests, and the delays after which refused callers may
//!   retry, without input or output,
//! - [`discovery`]: the configuration and the targets of the platform, and how current they are,
//! - [`peers`]: messages between entries and agents,
//! - [`proxy`]: the path of a request from its caller to a target and back.
//!
//! [`core::RelayCore`] combines the decisions and does no input or output. `shared` holds the
//! state that the tasks of a process share, `caller_connection` follows the connections of callers,
//! and [`server`] starts these tasks. [`settings`] reads
//! the settings files, [`record`] writes the log of [`log_line`]s, `counts` holds the metrics, and [`stop`] plans
//! the phases of a stop.

mod caller_connection;
pub mod core;
mod counts;
pub mod decide;
pub mod discovery;
pub mod log_line;
pub mod peers;
pub mod proxy;
pub mod record;
pub mod server;
pub mod settings;
mod shared;
pub mod stop;
mod stop_state;
