//! Messages between the processes of a fleet.
//!
//! Entries inform one another of the load that they place on engines, through the agents beside
//! these: [`load_note`] defines the messages, [`subscriber_set`] holds the state of an agent,
//! [`engine_watch`] tracks whether its engine works, [`adviser`] is the agent's event loop, and
//! `load_link` an entry's socket. [`config_copy`] transfers configurations.

pub mod adviser;
pub mod config_copy;
pub mod engine_watch;
pub(crate) mod load_link;
pub mod load_note;
pub mod note_parts;
pub(crate) mod receive;
pub mod subscriber_set;
