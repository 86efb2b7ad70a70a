//! Handling of a request in an entry, from the caller to a target and back.
//!
//! `exchange` accepts the request as a `job`; `call` or `stream` serves it. `series` decides whether
//! another attempt is made, `permit` requests a permit if the target is rate-limited, and `forward`
//! sends one attempt. A `running_attempt` yields what its target sends, `silence_watch` notices when
//! that is nothing for too long, and an `attempt_race` replaces it once another one yields more.
//! `crash_check` probes whether a plain target has crashed, `crash_hold` waits for reports of
//! crashes, and `answer` builds the caller's response. `chunk_queue` keeps what a slow caller has not read. `connections` pools the connections to
//! targets, `target_stream` carries their bytes, `memory_hold` reserves memory at helpers, [`event_stream`] splits streams into events, and `ledger` logs the request at its
//! end. [`protocol`] defines the adapters for the protocols of callers and targets.

pub(crate) mod answer;
pub(crate) mod attempt_race;
pub(crate) mod call;
pub(crate) mod chunk_queue;
pub(crate) mod connections;
pub(crate) mod crash_check;
pub(crate) mod crash_hold;
pub mod event_stream;
pub(crate) mod exchange;
pub(crate) mod forward;
pub(crate) mod job;
pub(crate) mod ledger;
pub(crate) mod memory_hold;
pub(crate) mod permit;
pub mod protocol;
pub(crate) mod running_attempt;
pub(crate) mod series;
pub(crate) mod silence_watch;
pub(crate) mod stream;
mod target_stream;
