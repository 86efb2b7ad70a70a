//! The agent's table of the entries that use its engine. Each entry receives messages about the
//! load that the others place on the engine.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::peer_message::PeerMessage;
use crate::relay::decide::part_board::PartBoard;
use crate::relay::decide::permit_issuer::PermitIssuer;
use crate::relay::decide::quarantine::{QuarantineLedger, SuspectReport};
use crate::relay::decide::rate_table::AnnouncedRates;
use crate::relay::decide::shared_retry_budget::SharedRetryBudget;
use crate::relay::decide::stream_load::StreamKey;
use crate::relay::discovery::store_revision::StoreRevision;
use crate::time::Tick;

/// Time without a subscription after which an entry counts as gone.
const SUBSCRIBER_TTL: Duration = Duration::from_millis(2_500);

/// Time without a subscription after which an entry no longer counts as a watcher of the target
/// list: others have to start watching well within the bound for leaving targets. One subscription
/// may be late.
const WATCHER_TTL: Duration = Duration::from_millis(1_200);

/// Time for which an agent reports the largest number of entries that it has known. An entry that
/// restarts while others are disconnected must not take itself for the only one.
const PEAK_TTL: Duration = Duration::from_secs(60);

/// Time for which an agent reports the newest version that entries had in force. An entry that starts
/// after the store was restored from a backup must not take a lost version's predecessor for current.
const VERSION_TTL: Duration = Duration::from_secs(60);

/// The entries that an agent knows, and what their streams cost its engine.
#[derive(Debug, Default)]
pub struct SubscriberSet {
    // Ordered, so that a run of a model with a seed repeats.
    subscribers: BTreeMap<SocketAddr, Subscriber>,
    peak: SubscriberPeak,
    newest_version: NewestVersion,
    streams: BTreeMap<StreamKey, PeerMessage>,
    /// What entries reported about requests that crash targets.
    suspects: QuarantineLedger,
    /// What entries reported about parts of prompts that crash engines.
    part_board: PartBoard,
    /// Accepted rates of targets, and permits to send to them.
    permits: PermitIssuer,
    /// Retries that it grants.
    retry_budget: SharedRetryBudget,
    /// Name of the engine beside this agent, as entries call it.
    beside: Option<Arc<str>>,
    /// Rates that were sent to each subscriber.
    sent_rates: BTreeMap<SocketAddr, AnnouncedRates>,
}

#[derive(Debug)]
struct Subscriber {
    entry: u64,
    received_at: Tick,
    /// When it proved its configuration current.
    proven_at: Option<Tick>,
    /// Revision up to which it announced changes of the target list, if it watches the list.
    watched_revision: Option<StoreRevision>,
    /// Revision of its configuration.
    confirmed_revision: Option<StoreRevision>,
}

/// Largest number of entries that an agent knew within [`PEAK_TTL`].
#[derive(Debug, Default)]
struct SubscriberPeak {
    count: usize,
    seen_at: Tick,
}

impl SubscriberPeak {
    fn record(&mut self, count: usize, now: Tick) -> usize {
        if count >= self.count || now.since(self.seen_at) >= PEAK_TTL {
            *self = SubscriberPeak { count, seen_at: now };
        }
        self.count
    }
}

/// Newest version that entries had in force within [`VERSION_TTL`].
#[derive(Debug, Default)]
struct NewestVersion {
    version: Option<u64>,
    seen_at: Tick,
}

impl NewestVersion {
    /// Records the version in force at an entry, and returns the newest one.
    fn record(&mut self, version: Option<u64>, now: Tick) -> Option<u64> {
        let is_expired = now.since(self.seen_at) >= VERSION_TTL;
        if version.is_some() && (version >= self.version || is_expired) {
            *self = NewestVersion { version, seen_at: now };
        }
        self.version
    }
}

/// A datagram to be sent.
#[derive(Debug, PartialEq)]
pub struct OutboundMessage {
    /// Its destination.
    pub to: SocketAddr,
    /// Its content.
    pub message: PeerMessage,
}

impl SubscriberSet {
    /// Handles a message of an entry and returns the messages to be sent.
    pub fn on_message(
        &mut self,
        message: &PeerMessage,
        from: SocketAddr,
        pace_percent: u32,
        now: Tick,
    ) -> Vec<OutboundMessage> {
        if let Some(message) = message.to_part_message() {
            let relayed = self.part_board.on_message(message, now).map(PeerMessage::from);
            return relayed.map_or_else(Vec::new, |message| self.to_others(from, &message));
        }
        match message {
            PeerMessage::Subscribe {
                entry,
                proof_age_ms,
                watched_revision,
                confirmed_revision,
                version_in_force,
            } => {
                let proof_age = proof_age_ms.map(|age| Duration::from_millis(age.into()));
                let proven_at = proof_age.map(|age| now - age);
                let (entry, watched_revision, confirmed_revision) =
                    (*entry, *watched_revision, *confirmed_revision);
                let received_at = now;
                self.newest_version.record(*version_in_force, now);
                let subscriber = Subscriber {
                    entry,
                    received_at,
                    proven_at,
                    watched_revision,
                    confirmed_revision,
                };
                self.handle_subscription(subscriber, from, pace_percent)
            }
            PeerMessage::StreamPlaced { key, target, .. } => {
                self.beside = Some(target.clone());
                self.streams.insert(*key, message.clone());
                self.to_others(from, message)
            }
            PeerMessage::StreamEnded { key, .. } => {
                self.streams.remove(key);
                self.to_others(from, message)
            }
            PeerMessage::TargetListChanged(_)
            | PeerMessage::ConfigChanged(_)
            | PeerMessage::HostSilent(_)
            | PeerMessage::Fragment(_) => self.to_others(from, message),
            PeerMessage::RequestSuspected(report) => self.merge_suspect(report, now),
            PeerMessage::RequestCleared(digest) => {
                let was_reported = self.suspects.shareable_report(*digest).is_some();
                self.suspects.record_served(digest);
                if was_reported { self.to_others(from, message) } else { Vec::new() }
            }
            PeerMessage::Rates(updates) => {
                self.permits.apply_updates(updates, now);
                Vec::new()
            }
            PeerMessage::RequestPermit { nonce, request } => {
                let reply = self.permits.on_request(request, now);
                vec![OutboundMessage {
                    to: from,
                    message: PeerMessage::AnswerPermit { nonce: *nonce, reply },
                }]
            }
            PeerMessage::RetryDeposit(deposit) => {
                self.retry_budget.on_deposit(deposit, now);
                Vec::new()
            }
            PeerMessage::RequestRetryGrant { nonce, request } => {
                let reply = self.retry_budget.on_request(request, now);
                vec![OutboundMessage {
                    to: from,
                    message: PeerMessage::AnswerPermit { nonce: *nonce, reply },
                }]
            }
            PeerMessage::SentWithoutPermit(instance) => {
                self.permits.record_unpermitted(instance, now);
                Vec::new()
            }
            PeerMessage::PartCrashed(_)
            | PeerMessage::PartServed(_)
            | PeerMessage::PartCleared(_)
            | PeerMessage::PartsQuarantined(_)
            | PeerMessage::AnswerPermit { .. }
            | PeerMessage::EngineExited { .. }
            | PeerMessage::SuspectEngine
            | PeerMessage::EngineDown
            | PeerMessage::SubscriptionAck { .. }
            | PeerMessage::EntryGone { .. }
            | PeerMessage::QueryProof { .. }
            | PeerMessage::AnswerProof { .. } => Vec::new(),
        }
    }

    fn handle_subscription(
        &mut self,
        subscriber: Subscriber,
        from: SocketAddr,
        pace_percent: u32,
    ) -> Vec<OutboundMessage> {
        let Subscriber { entry, received_at: now, .. } = subscriber;
        let known = self.subscribers.insert(from, subscriber);
        let newest = self.newest_proof(from);
        let proof_age = newest.map(|(_, at)| now.since(at));
        let proof_age_ms = proof_age.and_then(|age| u32::try_from(age.as_millis()).ok());
        let proof_from = newest.map(|(address, _)| address);
        let entries = self.peak.record(self.subscribers.len(), now) as u32;
        let others = self.subscribers.iter().filter(|(other, _)| **other != from);
        let confirmed_revision = others.filter_map(|(_, other)| other.confirmed_revision).max();
        let revisions: Vec<StoreRevision> = self.watcher_revisions(from, now).collect();
        let acknowledgement = PeerMessage::SubscriptionAck {
            target: "".into(),
            entries,
            pace_percent,
            proof_age_ms,
            proof_from,
            watchers: revisions.len() as u32,
            watched_revision: revisions.iter().max().copied(),
            confirmed_revision,
            newest_version: self.newest_version.record(None, now),
        };
        let mut out = vec![OutboundMessage { to: from, message: acknowledgement }];
        let is_new = known.as_ref().is_none_or(|known| known.entry != entry);
        if is_new {
            self.sent_rates.remove(&from);
        }
        if let Some(known) = known.filter(|known| known.entry != entry) {
            out.extend(self.drop_entry(known.entry));
        }
        let sent = self.sent_rates.entry(from).or_default();
        let rates = self.permits.to_updates(sent, now);
        if !rates.is_empty() {
            out.push(OutboundMessage { to: from, message: PeerMessage::Rates(rates) });
        }
        if is_new {
            out.extend(
                self.streams
                    .values()
                    .map(|message| OutboundMessage { to: from, message: message.clone() }),
            );
            let suspects =
                self.suspects.to_reports().into_iter().map(PeerMessage::RequestSuspected);
            out.extend(suspects.map(|message| OutboundMessage { to: from, message }));
            let parts = self.part_board.to_messages(now).into_iter().map(PeerMessage::from);
            out.extend(parts.map(|message| OutboundMessage { to: from, message }));
        }
        out
    }

    /// Returns the newest proof of entries other than the one at `to`, and the address of its
    /// holder.
    fn newest_proof(&self, to: SocketAddr) -> Option<(SocketAddr, Tick)> {
        let others = self.subscribers.iter().filter(|(from, _)| **from != to);
        let proofs = others.filter_map(|(from, other)| other.proven_at.map(|at| (*from, at)));
        proofs.max_by_key(|(_, at)| *at)
    }

    /// Returns the revisions that watchers of the target list announced, except the entry at `to`.
    fn watcher_revisions(&self, to: SocketAddr, now: Tick) -> impl Iterator<Item = StoreRevision> {
        let others = self.subscribers.iter().filter(move |(from, _)| **from != to);
        let recent = others.filter(move |(_, other)| now.since(other.received_at) <= WATCHER_TTL);
        recent.filter_map(|(_, other)| other.watched_revision)
    }

    fn to_others(&self, from: SocketAddr, message: &PeerMessage) -> Vec<OutboundMessage> {
        let others = self.subscribers.keys().filter(|to| **to != from);
        others.map(|to| OutboundMessage { to: *to, message: message.clone() }).collect()
    }

    /// Drops entries whose subscription has expired, and returns the messages to be sent.
    pub fn expire(&mut self, now: Tick) -> Vec<OutboundMessage> {
        self.permits.expire(now);
        self.retry_budget.expire(now);
        let expired: Vec<u64> = self
            .subscribers
            .values()
            .filter(|subscriber| now.since(subscriber.received_at) > SUBSCRIBER_TTL)
            .map(|subscriber| subscriber.entry)
            .collect();
        self.subscribers.retain(|_, subscriber| !expired.contains(&subscriber.entry));
        self.sent_rates.retain(|from, _| self.subscribers.contains_key(from));
        expired.into_iter().flat_map(|entry| self.drop_entry(entry)).collect()
    }

    /// Drops the streams of an entry: they ended with their connections.
    fn drop_entry(&mut self, entry: u64) -> Vec<OutboundMessage> {
        let target = self.streams.iter().find(|(key, _)| key.entry == entry);
        let target = target.and_then(|(_, message)| match message {
            PeerMessage::StreamPlaced { target, .. } => Some(target.clone()),
            _ => None,
        });
        self.streams.retain(|key, _| key.entry != entry);
        let Some(target) = target else { return Vec::new() };
        self.to_all(&PeerMessage::EntryGone { target, entry })
    }

    /// Merges an entry's report about a request with the reports of others. All entries are
    /// informed of a request that was present at several crashes: of 16 requests on an engine that
    /// crashes, one is the cause.
    fn merge_suspect(&mut self, report: &SuspectReport, now: Tick) -> Vec<OutboundMessage> {
        self.suspects.apply_report(report, now);
        let merged = self.suspects.shareable_report(report.digest);
        merged.map_or_else(Vec::new, |merged| self.to_all(&PeerMessage::RequestSuspected(merged)))
    }

    /// Returns the messages to be sent after the engine has exited.
    #[must_use]
    pub fn to_exited(&self, next_ms: Option<u64>) -> Vec<OutboundMessage> {
        self.to_all(&PeerMessage::EngineExited { next_ms })
    }

    fn to_all(&self, message: &PeerMessage) -> Vec<OutboundMessage> {
        let all = self.subscribers.keys();
        all.map(|to| OutboundMessage { to: *to, message: message.clone() }).collect()
    }

    /// Returns the messages to be sent while the engine is down. They inform every entry that uses
    /// it; otherwise each of them would find out by a failed request.
    #[must_use]
    pub fn to_down(&self) -> Vec<OutboundMessage> {
        self.to_all(&PeerMessage::EngineDown)
    }

    /// Returns `true` if the engine beside this agent is rate-limited.
    #[must_use]
    pub fn is_rate_limited(&self) -> bool {
        self.beside.as_deref().is_some_and(|name| self.permits.is_rate_limited(name))
    }

    /// Returns `true` if any stream on the engine is known.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.streams.is_empty()
    }
}
