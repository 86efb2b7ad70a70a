//! # Shalelane
//!
//! Shalelane is a serving layer for operators that run language models for many
//! client accounts, with prompts from a thousand to a million tokens on one
//! fleet. It consists of this library and three thin programs:
//!
//! - `shalelane-entry` accepts requests of callers and selects a target for each,
//! - `shalelane-agent` runs beside one target as a sidecar; all requests to the
//!   target pass through it,
//! - `shalelane` is the command line of the operators.
//!
//! # Path of a request
//!
//! A caller sends a completion request to an entry. The entry identifies the
//! client account by its key, parses the body without copying the prompt
//! ([`entry::completion_request`]), and admits the request within the account's limits
//! ([`entry::account`]). It probes the agents of a few targets
//! ([`entry::route`], [`wire::Probe`]) and dispatches the request to the agent
//! that predicts the earliest first token ([`wire::Dispatch`]).
//!
//! The agent knows the exact memory use and queue of its target, since all
//! requests to the target pass through it. It accepts or refuses the request; a
//! refused request has certainly not run. The agent leases memory of the
//! engine's KV cache ([`agent::lease`]), orders the queue ([`agent::queue`]),
//! splits the prefill of long prompts into pieces so that short prompts can run
//! in between, and records the outcome of each attempt ([`agent::ledger`]), so
//! that no attempt runs twice.
//!
//! Each part of an answer carries its offset. After a broken connection, the
//! entry reconnects and resumes the answer at that offset; an answer never
//! continues with the output of another run.
//!
//! # Verdicts and retries
//!
//! Every failure carries a [`Verdict`], which states whether the request may
//! have run. A request that must not be repeated is retried only after
//! [`Verdict::NotRun`].
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
//! [`Config::from_toml`] rejects an invalid document with the line and column
//! of the error.
//!
//! ```
//! let text = "[[services]]\nname = \"engines\"\nkind = \"engin\"\n";
//! let error = shalelane::Config::from_toml(text).unwrap_err();
//! assert_eq!((error.line(), error.column()), (Some(3), Some(8)));
//! ```
//!
//! # Cores and daemons
//!
//! [`entry::EntryCore`] and [`agent::AgentCore`] make all decisions and perform
//! no input or output: each is a plain struct that takes an event and the
//! current time and returns effects. A single-threaded event loop turns socket
//! input and timers into events and applies the effects ([`entry::daemon`],
//! [`agent::daemon`]). The randomized simulations of the workspace member
//! `standins` run the same cores in virtual time. The cores check their own
//! invariants ([`invariant`]).
//!
//! # Other platforms
//!
//! On a platform whose callers, targets and store have protocols of their own, an
//! entry sends requests directly to its targets, without an agent in between
//! ([`relay`]). An adapter defines these protocols ([`relay::proxy::protocol`],
//! [`relay::discovery::source`]); the workspace member `platform` is one. The
//! decisions are made by [`relay::core::RelayCore`], which performs no input or
//! output either.

pub mod account_quota;
pub mod agent;
pub mod claim;
pub mod claim_store;
pub mod cli;
pub mod client;
pub mod clock;
pub mod config;
pub mod config_store;
mod connection;
pub mod entry;
mod error;
mod head_limit;
mod hex;
pub mod host_list;
pub mod hosts;
mod id;
pub mod invariant;
mod link_pool;
pub mod log;
mod memory_budget;
pub mod memory_ledger;
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
