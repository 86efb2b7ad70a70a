//! Messages between the processes of a fleet.
//!
//! Entries inform one another of the load that they place on engines, through the agents beside
//! these engines:
//!
//! - [`peer_message`]: the messages, and [`message_fragments`]: messages longer than a datagram,
//! - [`coordinator`]: the event loop of an agent, [`subscriber_set`]: the entries that it knows,
//!   and [`engine_health`]: whether its engine works,
//! - `peer_link`: the socket of an entry, and `receive`: the messages that it receives,
//! - [`config_copy`]: transfer of configurations between entries.

pub mod config_copy;
pub mod coordinator;
pub mod engine_health;
pub mod message_fragments;
pub(crate) mod peer_link;
pub mod peer_message;
pub(crate) mod receive;
pub mod subscriber_set;
