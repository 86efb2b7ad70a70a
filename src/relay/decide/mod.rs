//! Decisions about requests, without sockets, clocks or tasks.
//!
//! - [`targets`]: the known targets, [`target_state`]: their health, and [`target_notice`]:
//!   what their answers announce about them.
//! - [`rate_limit`]: the rate of requests that a target accepts from all entries together,
//!   [`rate_book`]: the known rates, and [`permit_desk`]: permits to send to a rate-limited
//!   target.
//! - [`warmup`]: the rate limit of a target that has just come into use.
//! - [`evacuation`]: failure domains that are out of service, and [`service_scope`]: the
//!   failure domains in which a request may run.
//! - [`engine_subset`]: the engines of a large fleet that an entry uses.
//! - [`engine_rates`], [`stream_load`], [`pass_model`], [`engine_snapshot`]: the cost of a
//!   prompt for an engine and for the requests there.
//! - [`loss`]: what requests lose by coming late.
//! - [`policy`]: weights and switches of the decisions.
//! - [`group_search`]: the engines that prefill a prompt, and the one that decodes its answer.
//! - [`placement`]: the target of a request, and whether it is sent, delayed or refused.
//! - [`return_time`]: the delay after which refused callers may retry.
//! - [`start_wait`]: how long callers wait for a process that has just started.
//! - [`send_count`], [`retry_budget`], [`slack_gate`]: limits of retries.
//! - [`request_digest`]: recognizes repeated sends of one request.
//! - [`quarantine`]: requests that crash the targets that run them, [`end_tracker`]: crashes of
//!   targets, and [`hold_list`]: for how long a request is quarantined.

pub mod end_tracker;
pub mod engine_rates;
pub mod engine_snapshot;
pub mod engine_subset;
pub mod evacuation;
pub mod group_search;
pub mod hold_list;
pub mod loss;
pub mod pass_model;
mod pending_prefill;
pub mod permit_desk;
pub mod placement;
pub mod policy;
pub mod quarantine;
pub mod rate_book;
pub mod rate_limit;
pub mod request_digest;
pub mod retry_budget;
pub mod return_time;
pub mod send_count;
pub mod service_scope;
pub mod slack_gate;
pub mod start_wait;
pub mod stream_load;
pub mod target_notice;
pub mod target_state;
pub mod targets;
pub mod warmup;
