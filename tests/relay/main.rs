//! The deciding parts of the relay, without sockets.

mod budget;
mod config_news;
mod crashes;
mod evacuations;
mod events;
mod fixture;
mod homes;
mod list_news;
mod lives;
mod note_parts;
mod notes;
mod notices;
mod passes;
mod places;
mod proofs;
mod quarantine;
mod rates;
mod restored_store;
mod return_time;
mod rules;
mod start_wait;
mod stop;
mod subset;
mod targets;
mod warmups;
mod watch_pace;
