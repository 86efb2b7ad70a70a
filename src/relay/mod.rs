//! The straight path: from an entry to a target without an agent between.
//!
//! Where the platform gives callers, targets and a store of its own manner, an
//! adapter says how each is spoken to ([`proxy::dialect`], [`discovery::feed`]),
//! and all that is decided is decided here:
//!
//! - [`decide`]: where requests go, when they are refused, and when callers are
//!   told to come back; pure,
//! - [`discovery`]: what is known of the platform, and how current it is,
//! - [`peers`]: what entries and agents say to one another,
//! - [`proxy`]: a request's way from its caller to a target and back.
//!
//! [`core::RelayCore`] joins the deciding parts and does no input or output.
//! `shared` is the state that the tasks of a process share, and [`server`] starts
//! all of them.

pub mod core;
mod counts;
pub mod decide;
pub mod discovery;
pub mod peers;
pub mod proxy;
pub mod record;
pub mod server;
pub mod settings;
mod shared;
pub mod stop;
