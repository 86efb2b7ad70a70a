//! What the processes of a fleet say to one another.
//!
//! Entries tell one another of the work they give to engines through the agents
//! beside these: [`load_note`] is what is said, [`subscriber_set`] what an agent
//! knows, [`engine_watch`] whether its engine works, [`adviser`] the agent's process,
//! and `load_link` an entry's socket. [`config_copy`] passes configurations on.

pub mod adviser;
pub mod config_copy;
pub mod engine_watch;
pub(crate) mod load_link;
pub mod load_note;
pub mod note_parts;
pub(crate) mod receive;
pub mod subscriber_set;
