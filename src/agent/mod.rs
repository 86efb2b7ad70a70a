//! The agent: the only way to one target.
//!
//! [`AgentCore`] decides and does no input or output: it takes an
//! [`Event`] and the time, and returns [`Effect`]s. The daemon round it turns
//! sockets and timers into events, and effects into sockets.
//!
//! The agent knows the true memory and queue of its target, because every
//! request comes through it. It holds the leases on the engine's memory, the
//! order of work, and the ledger by which no attempt runs twice.

mod attempts;
pub mod cache;
mod core;
pub mod daemon;
mod engine;
mod event;
mod holds;
pub mod lease;
pub mod ledger;
mod page;
mod plain;
pub mod predict;
pub mod queue;
mod run;
mod schedule;
mod target;

pub use self::core::AgentCore;
pub use self::event::{
    AgentTuning, ConnId, Effect, EngineFacts, EngineHolding, Event, RunEvent, RunUsage, StartRun,
};
