//! The entry: between callers and agents.
//!
//! [`EntryCore`] decides and does no input or output: which targets are asked
//! about a request, which one gets it, when it waits, whether it may run
//! again, and what the caller is told. The daemon round it speaks HTTP with
//! callers and the project's own protocol with agents.

pub mod account;
pub mod admin;
mod admission;
mod answers;
pub mod ask;
mod asking;
mod attempts;
mod caller;
mod core;
pub mod daemon;
mod direct;
mod event;
mod group;
mod http;
mod links;
mod metrics;
mod quarantine;
mod request;
mod retry;
pub mod route;
pub mod why;

pub use self::core::{EntryCore, EntryCounts};
pub use self::event::{
    Arrival, Effect, EntryTuning, Event, Failure, FailureCode, Reply, RoutePolicy, TargetPick,
};
