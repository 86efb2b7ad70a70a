//! A request's way through an entry.
//!
//! `exchange` takes it, `call` or `stream` serves it, `series` decides
//! whether there is another attempt, `permit` asks where its target takes few, `forward`
//! sends one, `end_check` looks whether its target has ended, and `answer` is what the caller
//! gets. How callers and targets are spoken to is in [`dialect`].

pub(crate) mod answer;
pub(crate) mod call;
pub(crate) mod connections;
pub mod dialect;
pub(crate) mod end_check;
pub mod event_stream;
pub(crate) mod exchange;
pub(crate) mod forward;
pub(crate) mod ledger;
pub(crate) mod memory_hold;
pub(crate) mod permit;
pub(crate) mod series;
pub(crate) mod stream;
