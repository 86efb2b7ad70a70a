//! The straight path: from an entry to a target without an agent between.
//!
//! Where the platform gives callers, targets and a store of its own manner, an
//! adapter says how each is spoken to ([`dialect`], [`feed`]), and all that is
//! decided is decided here:
//!
//! - [`rules`]: what a configuration allows, and to whom,
//! - [`freshness`]: whether that is known to be current,
//! - [`targets`]: which targets there are, and which of them work,
//! - [`engine_rates`], [`pass_model`], [`pass_outlook`]: what a prompt costs an
//!   engine and those who wait there,
//! - [`loss`]: what requests lose by coming late,
//! - [`policy`]: what is weighed, and how much,
//! - [`placement`]: where a request goes, and who helps to read its prompt,
//! - [`return_time`]: when callers that are refused are told to come back,
//! - [`retry_budget`]: how often it may be tried again,
//! - [`event_stream`]: which events of a stream are whole.
//!
//! [`core::RelayCore`] joins them and does no input or output. The sockets are
//! in [`server`]. Entries tell one another of the work they give to engines
//! through the agents beside these ([`load_note`], [`adviser`]).

pub mod adviser;
mod answer;
mod call;
mod connections;
pub mod core;
mod counts;
pub mod dialect;
pub mod engine_rates;
pub mod event_stream;
mod exchange;
pub mod feed;
mod forward;
pub mod freshness;
mod ledger;
mod load_link;
pub mod load_note;
pub mod loss;
mod memory_hold;
pub mod pass_model;
pub mod pass_outlook;
mod pending_read;
pub mod placement;
pub mod policy;
pub mod record;
pub mod retry_budget;
pub mod return_time;
pub mod rules;
mod series;
pub mod server;
pub mod settings;
pub mod stop;
mod stream;
pub mod subscriber_set;
pub mod targets;
