//! Messages between the processes of a fleet.
//!
//! Entries inform one another of the load that they place on engines, through the agents beside
//! these: [`peer_message`] defines the messages, [`subscriber_set`] holds the state of an agent,
//! [`engine_health`] tracks whether its engine works, [`coordinator`] is the agent's event loop, and
//! `peer_link` an entry's socket. [`config_copy`] transfers configurations.

pub mod config_copy;
pub mod coordinator;
pub mod engine_health;
pub mod message_fragments;
pub(crate) mod peer_link;
pub mod peer_message;
pub(crate) mod receive;
pub mod subscriber_set;
