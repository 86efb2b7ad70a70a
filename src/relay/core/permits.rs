//! What the core knows of rates that targets take, and when it may send there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::RelayCore;
use crate::relay::decide::permit_desk::{PermitAsk, PermitReply, WarmupNews};
use crate::relay::decide::placement::Placement;
use crate::relay::decide::rate_book::RateNews;
use crate::relay::decide::rate_limit::{RateLimit, RateWord};
use crate::relay::decide::retry_budget::RetryBound;
use crate::relay::decide::return_time::until_turn;
use crate::relay::decide::service_scope::ServiceScope;
use crate::relay::decide::slack_gate::SlackAsk;
use crate::relay::decide::target_state::{TargetLife, TargetState};
use crate::time::Tick;

/// Time after its turn within which a request is sent: one that is held up by a slow
/// connection or a frozen host would join those of later turns.
pub(super) const TURN_SPAN: Duration = Duration::from_millis(300);

/// Time for which an agent that did not answer is passed over for the second one.
const PASSED_OVER_SPAN: Duration = Duration::from_secs(2);

/// Time for which a target is left alone where no agent answers for it.
const UNHEARD_SPAN: Duration = Duration::from_millis(500);

/// Most agents that are told of the targets for which they give permits, at each occasion.
const MOST_GIVERS: usize = 64;

/// A question for a permit, and who is asked.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitQuery {
    /// What is asked.
    pub ask: PermitAsk,
    /// When.
    pub asked_at: Tick,
    /// A target on the host of the agent that is asked; none where there is none.
    pub beside: Option<SocketAddr>,
}

/// A question for a second attempt, and who is asked.
#[derive(Clone, Debug, PartialEq)]
pub struct SlackQuery {
    /// What is asked.
    pub ask: SlackAsk,
    /// A target on the host of the agent that is asked.
    pub beside: SocketAddr,
}

/// What became of the question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitVerdict {
    /// The request may be sent within these times.
    Turn {
        /// Not before.
        from: Tick,
        /// Not after.
        until: Tick,
    },
    /// It is to be placed anew.
    Elsewhere,
}

impl RelayCore {
    /// Takes what an answer says of the rate of the target that gave it, to a request that
    /// was sent at `sent_at`; none where what it leaves out says nothing.
    pub fn take_rate(
        &mut self,
        life: &TargetLife,
        word: RateWord,
        sent_at: Option<Tick>,
        now: Tick,
    ) {
        let is_changed = match word {
            RateWord::Silent => sent_at.is_some_and(|at| self.rates.note_silent(life, at)),
            RateWord::Unreadable => false,
            RateWord::Named(rate) => self.rates.note_named(life, rate, now),
        };
        if is_changed {
            self.mark_rates(now);
        }
    }

    /// Takes what an agent knows of rates.
    pub fn take_rates(&mut self, news: &[RateNews], now: Tick) {
        let mut is_changed = false;
        for news in news {
            is_changed |= self.rates.take(news, now);
        }
        if is_changed {
            self.mark_rates(now);
        }
    }

    /// What agents are told of rates.
    pub fn to_rates(&mut self, now: Tick) -> Vec<RateNews> {
        self.rates.to_news(&mut self.rates_told, now)
    }

    /// What the agent that gives permits for a target is told of it, with the address of a
    /// target on its host: it may have started anew.
    #[must_use]
    pub fn to_giver_rates(&self, now: Tick) -> Vec<(SocketAddr, RateNews)> {
        let scarce = self.targets.iter().filter(|target| target.rate.is_some());
        let told = scarce.filter_map(|target| {
            let news = self.rates.to_news_of(&target.record.to_life(), now)?;
            Some((self.permit_giver(target, false)?, news))
        });
        told.take(MOST_GIVERS).collect()
    }

    /// Forgets rates of which nothing was heard for long.
    pub fn expire_rates(&mut self, now: Tick) {
        if self.rates.expire(self.spread(), now) {
            self.mark_rates(now);
        }
    }

    /// Gives each target the rate that binds it, by what is known of it or while it is cold.
    pub(super) fn mark_rates(&mut self, now: Tick) {
        for target in self.targets.iter_mut() {
            let is_known = !self.rates.is_empty();
            let named = is_known.then(|| self.rates.rate_of(&target.record.to_life())).flatten();
            target.rate = RateLimit::lower(named, target.warmup(now).map(|(rate, _)| rate));
        }
    }

    /// What has to be asked before a request is sent as it was placed, none where its target
    /// takes any number. It would wait for its turn for `most_wait`.
    #[must_use]
    pub fn permit_query(
        &self,
        placement: &Placement,
        most_wait: Duration,
        now: Tick,
    ) -> Option<PermitQuery> {
        let target = self.targets.get(&placement.target)?;
        target.rate?;
        let life = target.record.to_life();
        let warmup = target.warmup(now).map(|(rate, left)| WarmupNews {
            rate,
            left_ms: left.as_millis().try_into().unwrap_or(u32::MAX),
        });
        let news = match self.rates.to_news_of(&life, now) {
            Some(news) => news,
            None if warmup.is_none() => return None,
            // That no rate is known of it is no news.
            None => RateNews { life, rate: None, age_ms: u32::MAX },
        };
        let is_second = target.unheard_at.is_some_and(|at| now.since(at) < PASSED_OVER_SPAN);
        let ask = PermitAsk {
            news,
            warmup,
            most_wait_ms: most_wait.as_millis().try_into().unwrap_or(u32::MAX),
            is_second,
        };
        Some(PermitQuery { ask, asked_at: now, beside: self.permit_giver(target, is_second) })
    }

    /// Time until there may be a turn at a target of a service that takes few requests and
    /// would take one now, none where there is no such target.
    #[must_use]
    pub fn time_to_turn<'a>(
        &self,
        service: impl Into<ServiceScope<'a>>,
        now: Tick,
    ) -> Option<Duration> {
        until_turn(&self.targets, service, now)
    }

    /// The agents that are to be asked for a second attempt beside the own share, one after
    /// the other; none where they would not give one.
    pub fn slack_queries(&mut self, service: &Arc<str>, now: Tick) -> Option<Vec<SlackQuery>> {
        const ASKED: usize = 2;
        if !self.budget(service).may_ask(now) {
            return None;
        }
        let RetryBound { slack, window, .. } = self.budget(service).bound();
        let window_ms = window.as_millis().try_into().unwrap_or(u32::MAX);
        let seed = xxhash_rust::xxh3::xxh3_64(service.as_bytes());
        let hosts =
            self.ranked_hosts(|host| xxhash_rust::xxh3::xxh3_64_with_seed(host.as_bytes(), seed));
        let asked = [false, true].into_iter().zip(hosts.into_iter().take(ASKED));
        let to_query = |(is_second, beside)| SlackQuery {
            ask: SlackAsk { service: service.clone(), slack, window_ms, is_second },
            beside,
        };
        Some(asked.map(to_query).collect())
    }

    /// Takes the last answer to these questions, none where none came. Returns true where a
    /// second attempt may be made.
    pub fn take_slack(
        &mut self,
        service: &Arc<str>,
        reply: Option<PermitReply>,
        now: Tick,
    ) -> bool {
        let budget = self.budget(service);
        match reply {
            Some(PermitReply::Granted { .. } | PermitReply::Open) => true,
            Some(PermitReply::Refused { wait_ms }) => {
                budget.note_refused(now + Duration::from_millis(wait_ms.into()));
                false
            }
            None => {
                budget.note_refused(now + UNHEARD_SPAN);
                budget.take_alone(now)
            }
        }
    }

    /// A target on the host whose agent gives permits for a target: all entries ask the same
    /// one, whichever targets they use.
    fn permit_giver(&self, target: &TargetState, is_second: bool) -> Option<SocketAddr> {
        let beside = target.model.is_some().then_some(target.record.address);
        if !is_second && beside.is_some() {
            return beside;
        }
        let life = target.record.to_life();
        let hosts = self.ranked_hosts(|host| {
            xxhash_rust::xxh3::xxh3_64_with_seed(host.as_bytes(), life.seed())
        });
        let others =
            hosts.into_iter().filter(|host| beside.is_none_or(|own| own.ip() != host.ip()));
        beside.into_iter().chain(others).nth(usize::from(is_second))
    }

    /// Takes the answer to a question, none where none came.
    pub fn take_permit(
        &mut self,
        query: &PermitQuery,
        reply: Option<PermitReply>,
        now: Tick,
    ) -> PermitVerdict {
        let life = &query.ask.news.life;
        if reply == Some(PermitReply::Open) {
            // An answer may have named a rate since.
            let age_ms = now.since(query.asked_at).as_millis().try_into().unwrap_or(u32::MAX);
            let news = RateNews { rate: None, age_ms, ..query.ask.news.clone() };
            self.take_rates(&[news], now);
            return PermitVerdict::Turn { from: now, until: Tick::NEVER };
        }
        let target = self.targets.get_mut(&life.incarnation);
        let Some(target) = target.filter(|target| target.record.to_life() == *life) else {
            return PermitVerdict::Elsewhere;
        };
        match reply {
            Some(PermitReply::Granted { after_ms }) => {
                let from = now + Duration::from_millis(after_ms.into());
                return PermitVerdict::Turn { from, until: from + TURN_SPAN };
            }
            Some(PermitReply::Refused { wait_ms }) => {
                target.close(now + Duration::from_millis(wait_ms.into()), now);
            }
            _ if query.ask.is_second || query.beside.is_none() => {
                target.close(now + UNHEARD_SPAN, now);
            }
            _ => target.unheard_at = Some(now),
        }
        PermitVerdict::Elsewhere
    }
}
