//! The deciding parts of the relay, without sockets.

mod budget;
mod events;
mod fixture;
mod notes;
mod passes;
mod places;
mod return_time;
mod rules;
mod stop;
mod targets;
