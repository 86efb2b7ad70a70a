//! The agent's list of the entries that use its engine: each is told what the
//! others give to it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::load_note::LoadNote;
use crate::relay::decide::permit_desk::PermitDesk;
use crate::relay::decide::quarantine::{QuarantineLedger, SuspectNews};
use crate::relay::decide::rate_book::RateTold;
use crate::relay::decide::slack_gate::SlackGate;
use crate::relay::decide::stream_load::StreamKey;
use crate::relay::discovery::store_revision::StoreRevision;
use crate::time::Tick;

/// Time without a subscription after which an entry counts as gone.
const SUBSCRIBER_SPAN: Duration = Duration::from_millis(2_500);

/// Time without a subscription after which an entry no longer counts as one that
/// watches the list: others have to step in well within the bound for targets that
/// leave. One subscription may be late.
const WATCHER_SPAN: Duration = Duration::from_millis(1_200);

/// The entries that an agent knows, and what their streams cost its engine.
#[derive(Debug, Default)]
pub struct SubscriberSet {
    subscribers: HashMap<SocketAddr, Subscriber>,
    streams: HashMap<StreamKey, LoadNote>,
    /// What entries told of requests that end targets.
    suspects: QuarantineLedger,
    /// Rates that targets take, and who may send there.
    permits: PermitDesk,
    /// Second attempts that it gives.
    slack: SlackGate,
    /// Name of the engine beside this agent, as entries call it.
    beside: Option<Arc<str>>,
    /// What each subscriber was told of rates.
    rates_told: HashMap<SocketAddr, RateTold>,
}

#[derive(Debug)]
struct Subscriber {
    entry: u64,
    heard_at: Tick,
    /// When it proved its configuration current.
    proven_at: Option<Tick>,
    /// Up to where it knows the list of targets, where it watches that.
    list_mark: Option<StoreRevision>,
    /// Revision of its configuration.
    config_mark: Option<StoreRevision>,
}

/// A datagram to be sent.
#[derive(Debug, PartialEq)]
pub struct NoteOut {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub note: LoadNote,
}

impl SubscriberSet {
    /// Takes a note of an entry and says what is to be sent.
    pub fn on_note(
        &mut self,
        note: &LoadNote,
        from: SocketAddr,
        pace_percent: u32,
        now: Tick,
    ) -> Vec<NoteOut> {
        match note {
            LoadNote::Subscribe { entry, proof_age_ms, list_mark, config_mark } => {
                let proof_age = proof_age_ms.map(|age| Duration::from_millis(age.into()));
                let proven_at = proof_age.map(|age| now - age);
                let (entry, list_mark, config_mark) = (*entry, *list_mark, *config_mark);
                let heard_at = now;
                let subscriber = Subscriber { entry, heard_at, proven_at, list_mark, config_mark };
                self.on_subscribe(subscriber, from, pace_percent)
            }
            LoadNote::Placed { key, target, .. } => {
                self.beside = Some(target.clone());
                self.streams.insert(*key, note.clone());
                self.to_others(from, note)
            }
            LoadNote::Ended { key, .. } => {
                self.streams.remove(key);
                self.to_others(from, note)
            }
            LoadNote::ListChanged(_) | LoadNote::ConfigChanged(_) | LoadNote::Part(_) => {
                self.to_others(from, note)
            }
            LoadNote::Suspected(news) => self.join_suspect(news, now),
            LoadNote::Cleared(digest) => {
                let was_told = self.suspects.told_of(*digest).is_some();
                self.suspects.note_served(digest);
                if was_told { self.to_others(from, note) } else { Vec::new() }
            }
            LoadNote::Rates(news) => {
                self.permits.take_news(news, now);
                Vec::new()
            }
            LoadNote::AskPermit { nonce, ask } => {
                let reply = self.permits.on_ask(ask, now);
                vec![NoteOut { to: from, note: LoadNote::TellPermit { nonce: *nonce, reply } }]
            }
            LoadNote::AskSlack { nonce, ask } => {
                let reply = self.slack.on_ask(ask, now);
                vec![NoteOut { to: from, note: LoadNote::TellPermit { nonce: *nonce, reply } }]
            }
            LoadNote::Spent(life) => {
                self.permits.note_spent(life, now);
                Vec::new()
            }
            LoadNote::TellPermit { .. }
            | LoadNote::Exited { .. }
            | LoadNote::Suspect
            | LoadNote::Down
            | LoadNote::Welcome { .. }
            | LoadNote::EntryGone { .. }
            | LoadNote::AskProof { .. }
            | LoadNote::TellProof { .. } => Vec::new(),
        }
    }

    fn on_subscribe(
        &mut self,
        subscriber: Subscriber,
        from: SocketAddr,
        pace_percent: u32,
    ) -> Vec<NoteOut> {
        let Subscriber { entry, heard_at: now, .. } = subscriber;
        let known = self.subscribers.insert(from, subscriber);
        let newest = self.newest_proof(from);
        let proof_age = newest.map(|(_, at)| now.since(at));
        let proof_age_ms = proof_age.and_then(|age| u32::try_from(age.as_millis()).ok());
        let proof_from = newest.map(|(address, _)| address);
        let entries = self.subscribers.len() as u32;
        let others = self.subscribers.iter().filter(|(other, _)| **other != from);
        let config_mark = others.filter_map(|(_, other)| other.config_mark).max();
        let marks: Vec<StoreRevision> = self.watcher_marks(from, now).collect();
        let welcome = LoadNote::Welcome {
            target: "".into(),
            entries,
            pace_percent,
            proof_age_ms,
            proof_from,
            watchers: marks.len() as u32,
            list_mark: marks.iter().max().copied(),
            config_mark,
        };
        let mut out = vec![NoteOut { to: from, note: welcome }];
        let is_new = known.as_ref().is_none_or(|known| known.entry != entry);
        if is_new {
            self.rates_told.remove(&from);
        }
        if let Some(known) = known.filter(|known| known.entry != entry) {
            out.extend(self.drop_entry(known.entry));
        }
        let told = self.rates_told.entry(from).or_default();
        let rates = self.permits.to_news(told, now);
        if !rates.is_empty() {
            out.push(NoteOut { to: from, note: LoadNote::Rates(rates) });
        }
        if is_new {
            out.extend(self.streams.values().map(|note| NoteOut { to: from, note: note.clone() }));
            let suspects = self.suspects.to_news().into_iter().map(LoadNote::Suspected);
            out.extend(suspects.map(|note| NoteOut { to: from, note }));
        }
        out
    }

    /// The newest proof that others than the entry at `to` have, and who has it.
    fn newest_proof(&self, to: SocketAddr) -> Option<(SocketAddr, Tick)> {
        let others = self.subscribers.iter().filter(|(from, _)| **from != to);
        let proofs = others.filter_map(|(from, other)| other.proven_at.map(|at| (*from, at)));
        proofs.max_by_key(|(_, at)| *at)
    }

    /// Marks of the entries that watch the list, but for the one at `to`.
    fn watcher_marks(&self, to: SocketAddr, now: Tick) -> impl Iterator<Item = StoreRevision> {
        let others = self.subscribers.iter().filter(move |(from, _)| **from != to);
        let heard = others.filter(move |(_, other)| now.since(other.heard_at) <= WATCHER_SPAN);
        heard.filter_map(|(_, other)| other.list_mark)
    }

    fn to_others(&self, from: SocketAddr, note: &LoadNote) -> Vec<NoteOut> {
        let others = self.subscribers.keys().filter(|to| **to != from);
        others.map(|to| NoteOut { to: *to, note: note.clone() }).collect()
    }

    /// Forgets entries that were not heard of, and says what is to be sent.
    pub fn expire(&mut self, now: Tick) -> Vec<NoteOut> {
        self.permits.expire(now);
        let gone: Vec<u64> = self
            .subscribers
            .values()
            .filter(|subscriber| now.since(subscriber.heard_at) > SUBSCRIBER_SPAN)
            .map(|subscriber| subscriber.entry)
            .collect();
        self.subscribers.retain(|_, subscriber| !gone.contains(&subscriber.entry));
        self.rates_told.retain(|from, _| self.subscribers.contains_key(from));
        gone.into_iter().flat_map(|entry| self.drop_entry(entry)).collect()
    }

    /// Forgets the streams of an entry: they ended with their connections.
    fn drop_entry(&mut self, entry: u64) -> Vec<NoteOut> {
        let target = self.streams.iter().find(|(key, _)| key.entry == entry);
        let target = target.and_then(|(_, note)| match note {
            LoadNote::Placed { target, .. } => Some(target.clone()),
            _ => None,
        });
        self.streams.retain(|key, _| key.entry != entry);
        let Some(target) = target else { return Vec::new() };
        self.to_all(&LoadNote::EntryGone { target, entry })
    }

    /// Joins what an entry tells of a request with what others told. All are told of one
    /// that was at several ends: of 16 requests at an engine that ends, one is the cause.
    fn join_suspect(&mut self, news: &SuspectNews, now: Tick) -> Vec<NoteOut> {
        self.suspects.take_news(news, now);
        let joined = self.suspects.told_of(news.digest);
        joined.map_or_else(Vec::new, |joined| self.to_all(&LoadNote::Suspected(joined)))
    }

    /// What is sent when the engine has ended.
    #[must_use]
    pub fn to_exited(&self, next_ms: Option<u64>) -> Vec<NoteOut> {
        self.to_all(&LoadNote::Exited { next_ms })
    }

    fn to_all(&self, note: &LoadNote) -> Vec<NoteOut> {
        let all = self.subscribers.keys();
        all.map(|to| NoteOut { to: *to, note: note.clone() }).collect()
    }

    /// What is sent while the engine is down: every entry that uses it is told,
    /// so that not each of them has to find out by a request.
    #[must_use]
    pub fn to_down(&self) -> Vec<NoteOut> {
        self.to_all(&LoadNote::Down)
    }

    /// Returns true where the engine beside this agent takes few requests.
    #[must_use]
    pub fn is_scarce(&self) -> bool {
        self.beside.as_deref().is_some_and(|name| self.permits.is_scarce(name))
    }

    /// Returns true where some stream is known.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.streams.is_empty()
    }
}
