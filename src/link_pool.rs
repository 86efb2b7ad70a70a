//! An entry's links to agents, which are opened on first use and closed when idle.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::id::Incarnation;
use crate::peer::{
    LinkQueue, LinkSender, LinkSide, OpenAttempts, PeerIdentity, connect, link_queue, run_link,
};
use crate::wire::{Framed, ToAgent, ToEntry};

/// Events of the links of a pool.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// A link to this target's agent is established; the agent has this incarnation.
    Up(Arc<str>, Incarnation),
    /// The link was closed or could not be established.
    Down(Arc<str>),
    /// A message was received.
    Message(Arc<str>, ToEntry),
}

struct Link {
    sender: LinkSender,
    open_attempts: Rc<RefCell<OpenAttempts>>,
    generation: u64,
}

struct PoolState {
    identity: PeerIdentity,
    addresses: HashMap<Arc<str>, Arc<str>>,
    links: HashMap<Arc<str>, Link>,
    next_generation: u64,
    events: mpsc::UnboundedSender<LinkEvent>,
}

/// Links, keyed by target. Clones share one pool.
#[derive(Clone)]
pub(crate) struct LinkPool {
    state: Rc<RefCell<PoolState>>,
}

impl LinkPool {
    pub(crate) fn new(identity: PeerIdentity, events: mpsc::UnboundedSender<LinkEvent>) -> Self {
        let state = PoolState {
            identity,
            addresses: HashMap::new(),
            links: HashMap::new(),
            next_generation: 0,
            events,
        };
        LinkPool { state: Rc::new(RefCell::new(state)) }
    }

    /// Sets the address at which a target's agent listens.
    pub(crate) fn set_address(&self, target: Arc<str>, address: Arc<str>) {
        self.state.borrow_mut().addresses.insert(target, address);
    }

    /// Sends a message, and opens a link if there is none.
    pub(crate) fn send(&self, target: &Arc<str>, message: &ToAgent) {
        let mut state = self.state.borrow_mut();
        let is_body = matches!(message, ToAgent::Body(..));
        // A part of a body is useless if the link that carried the earlier parts is gone.
        if is_body && !state.links.contains_key(target) {
            return;
        }
        if !state.links.contains_key(target) {
            let Some(address) = state.addresses.get(target).cloned() else {
                let _ = state.events.send(LinkEvent::Down(target.clone()));
                return;
            };
            self.open(&mut state, target, address);
        }
        let Some(link) = state.links.get(target) else {
            return;
        };
        link.open_attempts.borrow_mut().record(message);
        if !link.sender.send(message.to_frame(), is_body) {
            // Dropping the sender ends the task of the link, which then emits `LinkEvent::Down`.
            state.links.remove(target);
        }
    }

    fn open(&self, state: &mut PoolState, target: &Arc<str>, address: Arc<str>) {
        let (sender, queue) = link_queue();
        let open_attempts = Rc::new(RefCell::new(OpenAttempts::default()));
        state.next_generation += 1;
        let generation = state.next_generation;
        state.links.insert(
            target.clone(),
            Link { sender, open_attempts: open_attempts.clone(), generation },
        );
        let task = LinkTask {
            pool: self.clone(),
            target: target.clone(),
            address,
            generation,
            open_attempts,
            identity: state.identity.clone(),
            events: state.events.clone(),
        };
        spawn_local(task.run(queue));
    }

    fn remove_link(&self, target: &Arc<str>, generation: u64) {
        let mut state = self.state.borrow_mut();
        if state.links.get(target).is_some_and(|link| link.generation == generation) {
            state.links.remove(target);
        }
    }
}

struct LinkTask {
    pool: LinkPool,
    target: Arc<str>,
    address: Arc<str>,
    generation: u64,
    open_attempts: Rc<RefCell<OpenAttempts>>,
    identity: PeerIdentity,
    events: mpsc::UnboundedSender<LinkEvent>,
}

impl LinkTask {
    async fn run(self, queue: LinkQueue) {
        // The core handles a failed connection like a link that closed at once.
        if let Ok((socket, peer)) = connect(&self.address, &self.identity).await {
            self.emit(LinkEvent::Up(self.target.clone(), peer.incarnation));
            let on_message = |message: ToEntry| {
                self.emit(LinkEvent::Message(self.target.clone(), message));
            };
            run_link(socket, queue, LinkSide::Connecting, &self.open_attempts, on_message).await;
        }
        self.pool.remove_link(&self.target, self.generation);
        self.emit(LinkEvent::Down(self.target.clone()));
    }

    fn emit(&self, event: LinkEvent) {
        let _ = self.events.send(event);
    }
}
