//! An entry's links to agents: made on use, closed when idle.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::id::Incarnation;
use crate::peer::{
    LinkQueue, LinkSender, LinkSide, OpenWork, PeerIdentity, connect, link_queue, run_link,
};
use crate::wire::{Framed, ToAgent, ToEntry};

/// What a pool tells of its links.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// A link to this target stands, with this life of its agent.
    Up(Arc<str>, Incarnation),
    /// It ended, or could not be made.
    Down(Arc<str>),
    /// A message came.
    Message(Arc<str>, ToEntry),
}

struct Link {
    sender: LinkSender,
    work: Rc<RefCell<OpenWork>>,
    number: u64,
}

struct PoolState {
    identity: PeerIdentity,
    addresses: HashMap<Arc<str>, Arc<str>>,
    links: HashMap<Arc<str>, Link>,
    next_number: u64,
    events: mpsc::UnboundedSender<LinkEvent>,
}

/// Links by target. Clones share one pool.
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
            next_number: 0,
            events,
        };
        LinkPool { state: Rc::new(RefCell::new(state)) }
    }

    /// Notes where a target's agent listens.
    pub(crate) fn set_address(&self, target: Arc<str>, address: Arc<str>) {
        self.state.borrow_mut().addresses.insert(target, address);
    }

    /// Sends a message, over a new link where there is none.
    pub(crate) fn send(&self, target: &Arc<str>, message: &ToAgent) {
        let mut state = self.state.borrow_mut();
        let is_body = matches!(message, ToAgent::Body(..));
        // A body without its link has lost its beginning.
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
        link.work.borrow_mut().note(message);
        if !link.sender.send(message.to_frame(), is_body) {
            // Dropping the sender ends the link's task, which tells of it.
            state.links.remove(target);
        }
    }

    fn open(&self, state: &mut PoolState, target: &Arc<str>, address: Arc<str>) {
        let (sender, queue) = link_queue();
        let work = Rc::new(RefCell::new(OpenWork::default()));
        state.next_number += 1;
        let number = state.next_number;
        state.links.insert(target.clone(), Link { sender, work: work.clone(), number });
        let task = LinkTask {
            pool: self.clone(),
            target: target.clone(),
            address,
            number,
            work,
            identity: state.identity.clone(),
            events: state.events.clone(),
        };
        spawn_local(task.run(queue));
    }

    fn forget(&self, target: &Arc<str>, number: u64) {
        let mut state = self.state.borrow_mut();
        if state.links.get(target).is_some_and(|link| link.number == number) {
            state.links.remove(target);
        }
    }
}

struct LinkTask {
    pool: LinkPool,
    target: Arc<str>,
    address: Arc<str>,
    number: u64,
    work: Rc<RefCell<OpenWork>>,
    identity: PeerIdentity,
    events: mpsc::UnboundedSender<LinkEvent>,
}

impl LinkTask {
    async fn run(self, queue: LinkQueue) {
        // An error is the same to the core as a link that ended at once.
        if let Ok((socket, peer)) = connect(&self.address, &self.identity).await {
            self.tell(LinkEvent::Up(self.target.clone(), peer.incarnation));
            let on_message = |message: ToEntry| {
                self.tell(LinkEvent::Message(self.target.clone(), message));
            };
            run_link(socket, queue, LinkSide::Connecting, &self.work, on_message).await;
        }
        self.pool.forget(&self.target, self.number);
        self.tell(LinkEvent::Down(self.target.clone()));
    }

    fn tell(&self, event: LinkEvent) {
        let _ = self.events.send(event);
    }
}
