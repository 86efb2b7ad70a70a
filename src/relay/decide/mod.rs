//! Decisions about requests, without sockets, clocks or tasks.
//!
//! - [`targets`]: the known targets, [`target_state`]: their health, and [`target_notice`]:
//!   what their answers announce about them.
//! - [`rate_limit`]: the rate of requests that a target accepts from all entries together,
//!   [`rate_table`]: the known rates, and [`permit_issuer`]: permits to send to a rate-limited
//!   target.
//! - [`peer_contact`]: whether this process is cut off from its peers.
//! - [`connection_gate`]: whether an overloaded entry takes new connections.
//! - [`urgency`]: the ranks of requests, and what each is worth beside the others.
//! - [`warmup`]: the rate limit of a target that has just come into use.
//! - [`evacuation`]: failure domains that are out of service, and [`service_scope`]: the
//!   failure domains in which a request may run.
//! - [`engine_subset`]: the engines of a large fleet that an entry uses.
//! - [`engine_rates`], [`stream_load`], `pending_prefill`, [`pass_model`], [`engine_snapshot`]:
//!   the cost of a prompt for an engine and for the requests there.
//! - [`loss`]: what requests lose by coming late.
//! - [`policy`]: weights and switches of the decisions.
//! - [`group_search`]: the engines that prefill a prompt, and the one that decodes its answer.
//! - [`placement`]: the target of a request, and whether it is sent, delayed or refused.
//! - [`reservation`]: the calls that reserve, renew and release engine memory for an attempt.
//! - [`retry_delay`]: the delay after which refused callers may retry.
//! - [`start_wait`]: how long callers wait for a process that has just started.
//! - [`run_targets`]: the targets that may run a request.
//! - [`send_count`], [`retry_budget`], [`slack_share`], [`shared_retry_budget`],
//!   [`expiring_credit`]: limits of retries.
//! - [`request_digest`]: recognizes repeated sends of one request, [`prompt_part`]: parts that
//!   prompts share.
//! - [`quarantine`]: requests that crash the targets that run them, [`crash_tracker`]: crashes of
//!   targets, [`crash_wait`]: how long a request waits for their reports, and
//!   [`quarantine_list`]: for how long something is quarantined.
//! - [`part_evidence`]: which parts of prompts crash engines, [`part_ledger`]: their
//!   quarantine, [`part_probe`]: its end, and [`part_board`]: what agents relay about them.

pub mod connection_gate;
pub mod crash_tracker;
pub mod crash_wait;
pub mod engine_rates;
pub mod engine_snapshot;
pub mod engine_subset;
pub mod evacuation;
pub mod expiring_credit;
pub mod group_search;
pub mod host_contact;
pub mod loss;
pub mod part_board;
pub mod part_evidence;
pub mod part_ledger;
pub mod part_message;
pub mod part_probe;
pub mod pass_model;
pub mod peer_contact;
mod pending_prefill;
pub mod permit_issuer;
pub mod placement;
pub mod policy;
pub mod prompt_part;
pub mod quarantine;
pub mod quarantine_list;
pub mod rate_limit;
pub mod rate_table;
pub mod request_digest;
pub mod reservation;
pub mod retry_budget;
pub mod retry_delay;
pub mod run_targets;
pub mod send_count;
pub mod service_scope;
pub mod shared_retry_budget;
pub mod slack_share;
pub mod start_wait;
pub mod stream_load;
pub mod target_notice;
pub mod target_state;
pub mod targets;
pub mod urgency;
pub mod warmup;
