//! Rate limits of targets, and permits to send to rate-limited targets.

use std::net::SocketAddr;
use std::time::Duration;

use super::RelayCore;
use crate::relay::decide::permit_issuer::{PermitReply, PermitRequest, WarmupUpdate};
use crate::relay::decide::placement::Placement;
use crate::relay::decide::rate_limit::{RateLimit, RateNotice};
use crate::relay::decide::rate_table::RateUpdate;
use crate::relay::decide::retry_delay::until_permit;
use crate::relay::decide::service_scope::ServiceScope;
use crate::relay::decide::target_state::{TargetInstance, TargetState};
use crate::time::Tick;

/// Time after its permitted moment within which a request may be sent. A request that a slow
/// connection or a frozen host delays for longer would add to those of later permits.
pub(super) const SEND_WINDOW: Duration = Duration::from_millis(300);

/// Time for which the second agent is asked in place of a first one that did not answer.
const FALLBACK_DURATION: Duration = Duration::from_secs(2);

/// Time without requests to a target if no agent answers for it.
const NO_ANSWER_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of agents that are sent the rates of targets for which they issue permits, at
/// each occasion.
const MAX_ISSUERS: usize = 64;

/// A request for a permit, and the agent to send it to.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitQuery {
    /// The request.
    pub request: PermitRequest,
    /// When it is sent.
    pub requested_at: Tick,
    /// A target on the host of the agent to send it to, `None` if there is no agent.
    pub agent_host: Option<SocketAddr>,
}

/// Outcome of a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitVerdict {
    /// The request may be sent within these times.
    SendWithin {
        /// Earliest time.
        from: Tick,
        /// Latest time.
        until: Tick,
    },
    /// The request has to be placed again.
    PlaceAgain,
}

impl RelayCore {
    /// Applies what an answer states about the rate of the target that gave it, to a request sent
    /// at `sent_at`. With `None` for `sent_at`, an answer without a rate states nothing.
    pub fn apply_rate(
        &mut self,
        instance: &TargetInstance,
        stated: RateNotice,
        sent_at: Option<Tick>,
        now: Tick,
    ) {
        let is_changed = match stated {
            RateNotice::Absent => {
                sent_at.is_some_and(|at| self.rates.record_no_limit(instance, at))
            }
            RateNotice::Unreadable => false,
            RateNotice::Limit(rate) => self.rates.record_limit(instance, rate, now),
        };
        if is_changed {
            self.update_rate_limits(now);
        }
    }

    /// Applies an agent's rate updates.
    pub fn apply_rates(&mut self, updates: &[RateUpdate], now: Tick) {
        let mut is_changed = false;
        for update in updates {
            is_changed |= self.rates.apply_update(update, now);
        }
        if is_changed {
            self.update_rate_limits(now);
        }
    }

    /// Returns the rate updates that are due to be sent to agents.
    pub fn to_rate_updates(&mut self, now: Tick) -> Vec<RateUpdate> {
        self.rates.to_updates(&mut self.announced_rates, now)
    }

    /// Returns updates for the agents that issue permits, each with the address of a target on the
    /// agent's host. Such an agent may have restarted and know no rate.
    #[must_use]
    pub fn to_issuer_rates(&self, now: Tick) -> Vec<(SocketAddr, RateUpdate)> {
        let limited = self.targets.iter().filter(|target| target.rate.is_some());
        let updates = limited.filter_map(|target| {
            let update = self.rates.to_update(&target.record.to_instance(), now)?;
            Some((self.issuer_of(target, false)?, update))
        });
        updates.take(MAX_ISSUERS).collect()
    }

    /// Removes rates that have not been confirmed for a long time.
    pub fn expire_rates(&mut self, now: Tick) {
        if self.rates.expire(self.jitter(), now) {
            self.update_rate_limits(now);
        }
    }

    /// Sets the effective rate limit of each target, from its announced rate and its warm-up.
    pub(super) fn update_rate_limits(&mut self, now: Tick) {
        for target in self.targets.iter_mut() {
            let is_known = !self.rates.is_empty();
            let announced =
                is_known.then(|| self.rates.rate_of(&target.record.to_instance())).flatten();
            target.rate = RateLimit::lower(announced, target.warmup(now).map(|(rate, _)| rate));
        }
    }

    /// Returns the request for a permit that has to be made before a request is sent as it was
    /// placed, `None` if its target is not rate-limited. The request would wait up to `max_wait`.
    #[must_use]
    pub fn permit_query(
        &self,
        placement: &Placement,
        max_wait: Duration,
        now: Tick,
    ) -> Option<PermitQuery> {
        let target = self.targets.get(&placement.target)?;
        target.rate?;
        let instance = target.record.to_instance();
        let warmup = target.warmup(now).map(|(rate, left)| WarmupUpdate {
            rate,
            left_ms: left.as_millis().try_into().unwrap_or(u32::MAX),
        });
        let update = match self.rates.to_update(&instance, now) {
            Some(update) => update,
            None if warmup.is_none() => return None,
            // No rate is known: the maximum age keeps this from counting as an update.
            None => RateUpdate { instance, rate: None, age_ms: u32::MAX },
        };
        let is_second =
            target.permit_unanswered_at.is_some_and(|at| now.since(at) < FALLBACK_DURATION);
        let request = PermitRequest {
            rate: update,
            warmup,
            max_wait_ms: max_wait.as_millis().try_into().unwrap_or(u32::MAX),
            is_second,
        };
        Some(PermitQuery {
            request,
            requested_at: now,
            agent_host: self.issuer_of(target, is_second),
        })
    }

    /// Returns the time until a permit may be granted at a rate-limited target of a service that
    /// is otherwise usable, `None` if there is no such target.
    #[must_use]
    pub fn time_to_permit<'a>(
        &self,
        service: impl Into<ServiceScope<'a>>,
        now: Tick,
    ) -> Option<Duration> {
        until_permit(&self.targets, service, now)
    }

    /// Returns a target on the host of the agent that issues permits for a target. All entries
    /// ask the same agent, whichever targets they use.
    fn issuer_of(&self, target: &TargetState, is_second: bool) -> Option<SocketAddr> {
        let own_host = target.model.is_some().then_some(target.record.address);
        if !is_second && own_host.is_some() {
            return own_host;
        }
        let instance = target.record.to_instance();
        let hosts = self.ranked_hosts(|host| {
            xxhash_rust::xxh3::xxh3_64_with_seed(host.as_bytes(), instance.seed())
        });
        let others =
            hosts.into_iter().filter(|host| own_host.is_none_or(|other| other.ip() != host.ip()));
        own_host.into_iter().chain(others).nth(usize::from(is_second))
    }

    /// Applies the answer to a request for a permit, `None` if no answer came.
    pub fn apply_permit(
        &mut self,
        query: &PermitQuery,
        reply: Option<PermitReply>,
        now: Tick,
    ) -> PermitVerdict {
        let instance = &query.request.rate.instance;
        if reply == Some(PermitReply::Open) {
            // An answer may have stated a rate since the permit was requested.
            let age_ms = now.since(query.requested_at).as_millis().try_into().unwrap_or(u32::MAX);
            let update = RateUpdate { rate: None, age_ms, ..query.request.rate.clone() };
            self.apply_rates(&[update], now);
            return PermitVerdict::SendWithin { from: now, until: Tick::NEVER };
        }
        let target = self.targets.get_mut(&instance.incarnation);
        let Some(target) = target.filter(|target| target.record.to_instance() == *instance) else {
            return PermitVerdict::PlaceAgain;
        };
        match reply {
            Some(PermitReply::Granted { after_ms }) => {
                let from = now + Duration::from_millis(after_ms.into());
                return PermitVerdict::SendWithin { from, until: from + SEND_WINDOW };
            }
            Some(PermitReply::Refused { wait_ms }) => {
                target.close_until(now + Duration::from_millis(wait_ms.into()), now);
            }
            _ if query.request.is_second || query.agent_host.is_none() => {
                target.close_until(now + NO_ANSWER_DELAY, now);
            }
            _ => target.permit_unanswered_at = Some(now),
        }
        PermitVerdict::PlaceAgain
    }
}
