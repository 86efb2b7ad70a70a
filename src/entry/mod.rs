//! The entry: accepts callers' requests and routes them to targets through their agents.
//!
//! [`EntryCore`] makes all decisions and does no input or output: which targets are probed
//! for a request, which one gets it, when it waits, whether it may be retried, and what the
//! caller is answered. The daemon around it speaks HTTP with callers and the project's own
//! protocol ([`crate::wire`]) with agents.

pub mod account;
pub mod admin;
mod admission;
mod answers;
mod attempts;
mod caller;
pub mod completion_request;
mod core;
pub mod daemon;
pub mod decision_log;
mod direct;
mod event;
mod group;
mod http;
mod links;
mod metrics;
mod probing;
mod quarantine;
mod request;
mod retry;
pub mod route;

pub use self::core::{EntryCore, EntryCounts};
pub use self::event::{
    Arrival, Effect, EntryTuning, Event, Failure, FailureCode, Reply, RoutePolicy, TargetPick,
};
