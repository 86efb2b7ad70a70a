//! Retries beyond the ratio of each entry: agents grant them against what entries have deposited.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::expiring_credit::ExpiringCredit;
use super::permit_issuer::PermitReply;
use super::retry_budget::{RETRY_COST, RetryBound};
use super::slack_share::MAX_DEPOSIT_TIME;
use crate::time::Tick;

/// Maximum number of services for which an agent counts retries.
const MAX_SERVICES: usize = 256;

/// Time after its last deposit for which an agent remembers an entry.
const DEPOSITOR_TTL: Duration = Duration::from_secs(60);

/// Delay of a deposit beyond the shortest one from its entry, after which it is ignored. An agent
/// that was frozen finds deposits that were meant for a time that is over.
const MAX_DEPOSIT_DELAY: Duration = Duration::from_millis(200);

/// Longest time after which a refused entry may ask again: others may need no more by then.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Fraction by which the clocks of two hosts may run apart.
const CLOCK_DRIFT: f64 = 1e-3;

/// An entry's share of the slack over some time, the same for all services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryDeposit {
    /// Incarnation of the entry.
    #[serde(rename = "e")]
    pub entry: u64,
    /// When it was sent, by the entry's clock.
    #[serde(rename = "t")]
    pub sent_at: Tick,
    /// The time divided by the number of entries, in microseconds.
    #[serde(rename = "s")]
    pub share_us: u32,
}

/// An entry's request for a retry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryGrantRequest {
    /// The service.
    #[serde(rename = "s")]
    pub service: Arc<str>,
    /// Retries of all entries in a window, beyond their ratio.
    #[serde(rename = "n")]
    pub slack: f64,
    /// Length of the window, in milliseconds.
    #[serde(rename = "w")]
    pub window_ms: u32,
    /// What the entry pays itself, in parts of [`RETRY_COST`].
    #[serde(rename = "p", default)]
    pub paid: u64,
}

impl RetryGrantRequest {
    fn bound(&self) -> RetryBound {
        let window = Duration::from_millis(self.window_ms.max(1).into());
        RetryBound { ratio: 0.0, slack: self.slack, window }
    }

    /// Returns the deposits that one retry costs, in microseconds; `None` if none pay for it.
    fn cost_us(&self) -> Option<u64> {
        let bound = self.bound();
        let retries = bound.slack * bound.credit_share();
        let unpaid = RETRY_COST.saturating_sub(self.paid) as f64 / RETRY_COST as f64;
        let cost_us = bound.window.as_micros() as f64 / retries * unpaid;
        (retries > 0.0 && retries.is_finite()).then_some(cost_us.ceil() as u64)
    }
}

#[derive(Debug)]
struct RetryBucket {
    credit: ExpiringCredit,
    used_at: Tick,
    /// When the next entry that is refused may ask again; each is given another time.
    retry_at: Tick,
}

/// The last deposit of an entry that was not late, and how its clock compares.
#[derive(Debug)]
struct DepositorState {
    sent_at: Tick,
    received_at: Tick,
    /// Smallest difference between the two times, in microseconds.
    clock_offset: i64,
}

impl DepositorState {
    fn new(sent_at: Tick, received_at: Tick) -> Self {
        let clock_offset = received_at.0 as i64 - sent_at.0 as i64;
        DepositorState { sent_at, received_at, clock_offset }
    }

    /// Returns `true` if a deposit is neither a duplicate nor late, and records it.
    fn accept(&mut self, sent_at: Tick, now: Tick) -> bool {
        let drift = now.since(self.received_at).mul_f64(CLOCK_DRIFT);
        let known_offset = self.clock_offset + drift.as_micros() as i64;
        let next = DepositorState::new(sent_at, now);
        let is_late = next.clock_offset > known_offset + MAX_DEPOSIT_DELAY.as_micros() as i64;
        if sent_at <= self.sent_at || is_late {
            return false;
        }
        *self = DepositorState { clock_offset: known_offset.min(next.clock_offset), ..next };
        true
    }
}

/// The deposits with an agent, and what each service has left of them.
#[derive(Debug, Default)]
pub struct SharedRetryBudget {
    /// All deposits, as if none were spent.
    deposits: ExpiringCredit,
    buckets: HashMap<Arc<str>, RetryBucket>,
    depositors: HashMap<u64, DepositorState>,
    /// Whether a service was dropped, so that an unknown service may have spent its deposits.
    has_dropped_service: bool,
}

impl SharedRetryBudget {
    /// Adds a deposit to all services, unless it is late or a duplicate.
    pub fn on_deposit(&mut self, deposit: &RetryDeposit, now: Tick) {
        let is_accepted = match self.depositors.entry(deposit.entry) {
            Entry::Occupied(mut depositor) => depositor.get_mut().accept(deposit.sent_at, now),
            Entry::Vacant(place) => {
                place.insert(DepositorState::new(deposit.sent_at, now));
                true
            }
        };
        if !is_accepted {
            return;
        }
        let share_us = u64::from(deposit.share_us).min(MAX_DEPOSIT_TIME.as_micros() as u64);
        let buckets = self.buckets.values_mut().map(|bucket| &mut bucket.credit);
        for credit in buckets.chain([&mut self.deposits]) {
            credit.add(share_us, now);
        }
    }

    /// Answers the request of an entry.
    pub fn on_request(&mut self, request: &RetryGrantRequest, now: Tick) -> PermitReply {
        let lifetime = request.bound().credit_lifetime();
        let Some(cost_us) = request.cost_us() else {
            return PermitReply::Refused { wait_ms: MAX_REFUSAL_TIME.as_millis() as u32 };
        };
        let income_us = self.deposits.balance(lifetime, now);
        let bucket = self.bucket(&request.service, now);
        if bucket.credit.take(cost_us, lifetime, now) {
            return PermitReply::Granted { after_ms: 0 };
        }
        let time_for = |amount_us: u64| {
            let time = lifetime.as_secs_f64() * amount_us as f64 / income_us.max(1) as f64;
            Duration::from_secs_f64(time.min(MAX_REFUSAL_TIME.as_secs_f64()))
        };
        let missing_us = cost_us.saturating_sub(bucket.credit.balance(lifetime, now));
        let retry_at = bucket.retry_at.max(now + time_for(missing_us));
        let retry_at = retry_at.min(now + MAX_REFUSAL_TIME);
        bucket.retry_at = retry_at + time_for(cost_us);
        PermitReply::Refused { wait_ms: retry_at.since(now).as_micros().div_ceil(1_000) as u32 }
    }

    /// Forgets entries that have made no deposit for a long time.
    pub fn expire(&mut self, now: Tick) {
        self.depositors.retain(|_, depositor| now.since(depositor.received_at) < DEPOSITOR_TTL);
        self.deposits.balance(DEPOSITOR_TTL, now);
        for bucket in self.buckets.values_mut() {
            bucket.credit.balance(DEPOSITOR_TTL, now);
        }
    }

    fn bucket(&mut self, service: &Arc<str>, now: Tick) -> &mut RetryBucket {
        if self.buckets.len() >= MAX_SERVICES && !self.buckets.contains_key(service) {
            let idle = self.buckets.iter().min_by_key(|(_, bucket)| bucket.used_at);
            if let Some(idle) = idle.map(|(service, _)| service.clone()) {
                self.buckets.remove(&idle);
                self.has_dropped_service = true;
            }
        }
        let bucket = self.buckets.entry(service.clone()).or_insert_with(|| {
            let is_unspent = !self.has_dropped_service;
            let credit = if is_unspent { self.deposits.clone() } else { ExpiringCredit::default() };
            RetryBucket { credit, used_at: now, retry_at: now }
        });
        bucket.used_at = now;
        bucket
    }
}
