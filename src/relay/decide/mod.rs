//! What is decided about a request, without sockets, clocks or tasks.
//!
//! - [`targets`]: which targets there are, [`target_state`]: which of them work, and
//!   [`target_notice`]: what their answers say of them,
//! - [`rate_limit`]: how many requests a second a target takes from all entries together,
//!   [`rate_book`]: what is known of that, and [`permit_desk`]: who may send there,
//! - [`warmup`]: what a target takes that has just come into use,
//! - [`evacuation`]: failure domains that are out of service, and [`service_scope`]: those in
//!   which a request may run,
//! - [`engine_subset`]: which engines of a large fleet are used,
//! - [`engine_rates`], [`stream_load`], [`pass_model`], [`pass_outlook`]: what a prompt
//!   costs an engine and those who wait there,
//! - [`loss`]: what requests lose by coming late,
//! - [`policy`]: what is weighed, and how much,
//! - [`group_search`]: which engines read a prompt, and which of them writes,
//! - [`placement`]: where a request goes, and whether it waits or is refused,
//! - [`return_time`]: when callers that are refused are told to come back,
//! - [`start_wait`]: whether callers wait for a process that has just started,
//! - [`send_count`], [`retry_budget`], [`slack_gate`]: how often it may be tried again,
//! - [`request_digest`]: which sendings are the same request,
//! - [`quarantine`]: which requests end the targets that run them, by [`end_tracker`]:
//!   which targets have ended, and [`hold_list`]: for how long a request is held back.

pub mod end_tracker;
pub mod engine_rates;
pub mod engine_subset;
pub mod evacuation;
pub mod group_search;
pub mod hold_list;
pub mod loss;
pub mod pass_model;
pub mod pass_outlook;
mod pending_read;
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
