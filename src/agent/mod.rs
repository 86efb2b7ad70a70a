//! The agent: a proxy through which all requests to one target pass.
//!
//! [`AgentCore`] makes the decisions and does no I/O: it takes an [`Event`]
//! and the time, and returns [`Effect`]s. The daemon around it turns socket
//! input and timers into events, and carries out the effects.
//!
//! The agent knows the exact memory use and queue of its target, because every
//! request passes through it. It holds the leases on the engine's memory, the
//! scheduling order, and the ledger that keeps any attempt from running twice.

mod attempts;
pub mod cache;
mod core;
pub mod daemon;
mod engine;
mod event;
pub mod health;
mod holds;
pub mod lease;
pub mod ledger;
mod metrics;
mod output;
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
