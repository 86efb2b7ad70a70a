//! # Shalelane
//!
//! Shalelane is a serving layer for operators who run language models for many
//! client accounts, with prompts from a thousand to a million tokens on one
//! fleet. It ships as this library and three thin programs:
//!
//! - `shalelane-entry` takes callers' requests and finds each a target,
//! - `shalelane-agent` stands beside one target and is the only way to it,
//! - `shalelane` is the operators' command line.
//!
//! # How a request goes
//!
//! A caller sends an ordinary completion request to an entry. The entry finds
//! the client account by its key, reads the body without copying the prompt
//! ([`entry::ask`]), and lets it in within the account's limits
//! ([`entry::account`]). It asks a few targets' agents what they would do with
//! the request ([`entry::route`], [`wire::Probe`]) and gives it to the one that
//! promises the first token soonest ([`wire::Dispatch`]).
//!
//! The agent knows the true memory and queue of its target, since nothing
//! reaches the target but through it. It takes the request or refuses it, and a
//! refusal is a sure "not run". It leases memory ([`agent::lease`]), orders the
//! work ([`agent::queue`]), feeds long prompts to the engine piece by piece so
//! that short ones get between, and keeps what became of each attempt
//! ([`agent::ledger`]), so that none runs twice.
//!
//! The answer's parts carry their offset. A link that breaks is made again and
//! the answer joined at the exact place; an answer is never continued from
//! another run.
//!
//! # What may have run
//!
//! Every failure carries a [`Verdict`]. A request that may not be repeated is
//! tried again only after [`Verdict::NotRun`].
//!
//! ```
//! use shalelane::Verdict;
//!
//! assert!(Verdict::NotRun.may_retry(false));
//! assert!(!Verdict::MayHaveRun.may_retry(false));
//! assert!(Verdict::MayHaveRun.may_retry(true));
//! ```
//!
//! # Declared configuration
//!
//! Operators declare services, models, templates and client accounts in TOML.
//! [`Config::from_toml`] refuses what is not right, with its place.
//!
//! ```
//! let text = "[[services]]\nname = \"engines\"\nkind = \"engin\"\n";
//! let error = shalelane::Config::from_toml(text).unwrap_err();
//! assert_eq!((error.line(), error.column()), (Some(3), Some(8)));
//! ```
//!
//! # Cores and daemons
//!
//! [`entry::EntryCore`] and [`agent::AgentCore`] decide everything and do no
//! input or output: each is a plain struct that takes an event and the time and
//! returns effects. One loop on one thread turns sockets and timers into events
//! ([`entry::daemon`], [`agent::daemon`]). The same cores run in virtual time in
//! the randomised runs of the workspace member `standins`. They check their
//! invariants themselves ([`invariant`]).

pub mod account_gate;
pub mod agent;
pub mod claim;
pub mod claim_store;
pub mod cli;
pub mod client;
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
pub mod relay;
pub mod retry_after;
pub mod settings;
pub mod silence;
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
