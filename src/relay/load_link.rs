//! Datagrams between this entry and the agents beside the engines it uses.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::core::RelayCore;
use super::load_note::{LoadNote, MAX_NOTE};
use super::server::RelayShared;
use crate::Result;
use crate::time::Tick;

/// Time between two subscriptions; an agent forgets an entry after a few.
const SUBSCRIBE_STEP: Duration = Duration::from_millis(750);

/// The entry's socket for notes.
#[derive(Debug)]
pub(super) struct LoadLink {
    socket: UdpSocket,
    port: u16,
    subscribed_at: Cell<Option<Tick>>,
}

impl LoadLink {
    /// Listens; agents listen on the same port of their hosts.
    pub(super) async fn bind(address: SocketAddr) -> Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let port = socket.local_addr()?.port();
        Ok(LoadLink { socket, port, subscribed_at: Cell::new(None) })
    }

    /// Sends a note to the agent beside its engine.
    pub(super) fn send(&self, core: &RelayCore, note: &LoadNote) {
        let (LoadNote::Placed { target, .. } | LoadNote::Ended { target, .. }) = note else {
            return;
        };
        if let Some(target) = core.targets.get(target) {
            self.send_to(target.record.address, note);
        }
    }

    fn send_to(&self, target: SocketAddr, note: &LoadNote) {
        let address = SocketAddr::new(target.ip(), self.port);
        // A note that can not be sent now is worth nothing later.
        if let Ok(bytes) = note.to_bytes() {
            drop(self.socket.try_send_to(&bytes, address));
        }
    }

    /// Tells the agents from time to time that this entry uses their engines.
    pub(super) fn subscribe(&self, core: &RelayCore, now: Tick) {
        if self.subscribed_at.get().is_some_and(|at| now.since(at) < SUBSCRIBE_STEP) {
            return;
        }
        self.subscribed_at.set(Some(now));
        let note = LoadNote::Subscribe { entry: core.entry() };
        for target in core.targets.iter().filter(|target| target.model.is_some()) {
            self.send_to(target.record.address, &note);
        }
    }
}

/// Takes what agents send, for as long as the process runs.
pub(super) async fn receive(shared: Rc<RelayShared>) {
    let mut buffer = [0; MAX_NOTE];
    loop {
        // A failed read is the echo of a datagram that nobody took.
        let Ok((length, from)) = shared.link.socket.recv_from(&mut buffer).await else {
            tokio::task::yield_now().await;
            continue;
        };
        let Ok(note) = LoadNote::from_bytes(&buffer[..length]) else {
            continue;
        };
        let now = shared.now();
        let mut core = shared.core.borrow_mut();
        let note = name_target(&core, note, from);
        core.take_note(note, now);
    }
}

/// An agent that has not heard of its target yet leaves its name open: it is
/// the one at the agent's own host.
fn name_target(core: &RelayCore, note: LoadNote, from: SocketAddr) -> LoadNote {
    match note {
        LoadNote::Welcome { target, entries, pace_percent } if target.is_empty() => {
            let beside = core.targets.iter().find(|target| target.record.address.ip() == from.ip());
            let target = beside.map_or(target, |beside| beside.record.incarnation.clone());
            LoadNote::Welcome { target, entries, pace_percent }
        }
        note => note,
    }
}

/// The entries that an agent knows, and what their streams cost its engine.
#[derive(Debug, Default)]
pub struct SubscriberSet {
    subscribers: HashMap<SocketAddr, Subscriber>,
    streams: HashMap<super::pass_model::StreamKey, LoadNote>,
}

#[derive(Debug)]
struct Subscriber {
    entry: u64,
    heard_at: Tick,
}

/// Time without a subscription after which an entry counts as gone.
const SUBSCRIBER_SPAN: Duration = Duration::from_millis(2_500);

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
            LoadNote::Subscribe { entry } => self.on_subscribe(*entry, from, pace_percent, now),
            LoadNote::Placed { key, .. } => {
                self.streams.insert(*key, note.clone());
                self.to_others(from, note)
            }
            LoadNote::Ended { key, .. } => {
                self.streams.remove(key);
                self.to_others(from, note)
            }
            LoadNote::Welcome { .. } | LoadNote::EntryGone { .. } => Vec::new(),
        }
    }

    fn on_subscribe(
        &mut self,
        entry: u64,
        from: SocketAddr,
        pace_percent: u32,
        now: Tick,
    ) -> Vec<NoteOut> {
        let known = self.subscribers.insert(from, Subscriber { entry, heard_at: now });
        let entries = self.subscribers.len() as u32;
        let target = "".into();
        let welcome = LoadNote::Welcome { target, entries, pace_percent };
        let mut out = vec![NoteOut { to: from, note: welcome }];
        let is_new = known.as_ref().is_none_or(|known| known.entry != entry);
        if let Some(known) = known.filter(|known| known.entry != entry) {
            out.extend(self.drop_entry(known.entry));
        }
        if is_new {
            out.extend(self.streams.values().map(|note| NoteOut { to: from, note: note.clone() }));
        }
        out
    }

    fn to_others(&self, from: SocketAddr, note: &LoadNote) -> Vec<NoteOut> {
        let others = self.subscribers.keys().filter(|to| **to != from);
        others.map(|to| NoteOut { to: *to, note: note.clone() }).collect()
    }

    /// Forgets entries that were not heard of, and says what is to be sent.
    pub fn expire(&mut self, now: Tick) -> Vec<NoteOut> {
        let gone: Vec<u64> = self
            .subscribers
            .values()
            .filter(|subscriber| now.since(subscriber.heard_at) > SUBSCRIBER_SPAN)
            .map(|subscriber| subscriber.entry)
            .collect();
        self.subscribers.retain(|_, subscriber| !gone.contains(&subscriber.entry));
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
        let note = LoadNote::EntryGone { target, entry };
        let others = self.subscribers.keys();
        others.map(|to| NoteOut { to: *to, note: note.clone() }).collect()
    }

    /// Returns true where some stream is known.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.streams.is_empty()
    }
}
