//! Simulates loads on the platform's relay in virtual time.
//!
//! Several entries decide with the product's own core, announce their placements to one
//! another with a delay, and send to engines that work in forward passes as measured
//! (`docs/design/platform.md`). The simulation opens no sockets and does not sleep: one
//! minute of a fleet of sixty engines takes about a second. Equal seeds give equal runs.
//!
//! - [`load`]: generates the requests of a load,
//! - [`engine`]: one engine, which knows only the work sent to it,
//! - [`world`]: entries, engines and the peer messages between entries,
//! - [`outcome`]: results as seen by callers,
//! - [`experiment`]: compares two policies under the same loads and seeds.

pub mod engine;
pub mod experiment;
pub mod load;
pub mod outcome;
pub mod world;
