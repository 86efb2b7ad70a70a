//! Loads played in virtual time through the decisions of the platform's relay.
//!
//! Several entries decide with the product's own core, tell one another of what
//! they place with a delay, and send to engines that work in passes as measured
//! (`docs/design/platform.md`). Nothing is opened and nobody waits: a minute of a
//! fleet of sixty engines takes about a second. The same seed gives the same run.
//!
//! - [`load`]: which requests come when,
//! - [`engine`]: one engine, told only what was sent to it,
//! - [`world`]: entries, engines and the notes between them,
//! - [`outcome`]: what callers got,
//! - [`experiment`]: two settings under the same loads and seeds.

pub mod engine;
pub mod experiment;
pub mod load;
pub mod outcome;
pub mod world;
