//! An entry's links to agents, which are opened on first use and closed when idle.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::id::{AttemptKey, Incarnation};
use crate::peer::{
    LinkEnd, LinkQueue, LinkSender, LinkSide, OpenAttempts, PeerIdentity, connect, link_queue,
    run_link,
};
use crate::wire::{Framed, Refusal, ToAgent, ToEntry};

/// Retry delay of an attempt whose body its link could not hold.
const FULL_QUEUE_RETRY_DELAY: Duration = Duration::from_millis(200);

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
    /// The last attempt whose body did not fit into the queue; the rest of it is not sent.
    refused: Option<AttemptKey>,
}

struct PoolState {
    log: Logger,
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
    pub(crate) fn new(
        identity: PeerIdentity,
        events: mpsc::UnboundedSender<LinkEvent>,
        log: Logger,
    ) -> Self {
        let state = PoolState {
            log,
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
        let is_queued = match message {
            ToAgent::Body(key, _) => state.send_body(target, *key, message),
            _ => state.send_control(target, message),
        };
        if !is_queued {
            state.drop_link(target);
        }
    }

    fn open(&self, state: &mut PoolState, target: &Arc<str>, address: Arc<str>) {
        let (sender, queue) = link_queue();
        let open_attempts = Rc::new(RefCell::new(OpenAttempts::default()));
        state.next_generation += 1;
        let generation = state.next_generation;
        state.links.insert(
            target.clone(),
            Link { sender, open_attempts: open_attempts.clone(), generation, refused: None },
        );
        let task = LinkTask {
            pool: self.clone(),
            target: target.clone(),
            address,
            generation,
            open_attempts,
            identity: state.identity.clone(),
            events: state.events.clone(),
            log: state.log.clone(),
        };
        spawn_local(task.run(queue));
    }

    /// Returns `true` if a link has not been replaced or dropped.
    fn is_current(&self, target: &Arc<str>, generation: u64) -> bool {
        let state = self.state.borrow();
        state.links.get(target).is_some_and(|link| link.generation == generation)
    }
}

impl PoolState {
    /// Queues a control message. Returns `false` if the link has ended or is too slow.
    fn send_control(&mut self, target: &Arc<str>, message: &ToAgent) -> bool {
        let Some(link) = self.links.get(target) else {
            return true;
        };
        link.open_attempts.borrow_mut().record(message);
        link.sender.send(message.to_frame(), false)
    }

    /// Queues a part of a body. If it does not fit, its attempt is refused: without its whole body
    /// it can not run. Returns `false` if the link has ended.
    fn send_body(&mut self, target: &Arc<str>, key: AttemptKey, message: &ToAgent) -> bool {
        let Some(link) = self.links.get_mut(target) else {
            return true;
        };
        if link.refused == Some(key) || link.sender.send(message.to_frame(), true) {
            return true;
        }
        link.refused = Some(key);
        warn!(self.log, "attempt refused: its link holds no further bodies";
            "target" => &**target, "attempt" => key.to_string());
        let retry_us = FULL_QUEUE_RETRY_DELAY.as_micros() as u64;
        let refused = ToEntry::Refused { attempt: key, refusal: Refusal::QueueFull, retry_us };
        let _ = self.events.send(LinkEvent::Message(target.clone(), refused));
        self.send_control(target, &ToAgent::Cancel(key))
    }

    /// Drops a link that has ended or is too slow. Its task ends with its sender.
    fn drop_link(&mut self, target: &Arc<str>) {
        if self.links.remove(target).is_some() {
            warn!(self.log, "link dropped: it has ended or is too slow"; "target" => &**target);
            let _ = self.events.send(LinkEvent::Down(target.clone()));
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
    log: Logger,
}

impl LinkTask {
    async fn run(self, queue: LinkQueue) {
        match connect(&self.address, &self.identity).await {
            Ok((socket, peer)) if self.is_current() => {
                self.emit(LinkEvent::Up(self.target.clone(), peer.incarnation));
                let on_message = |message: ToEntry| {
                    self.emit(LinkEvent::Message(self.target.clone(), message));
                };
                let attempts = &self.open_attempts;
                let end = run_link(socket, queue, LinkSide::Connecting, attempts, on_message).await;
                self.log_end(end);
            }
            Ok(_) => {}
            Err(error) => {
                let target = &*self.target;
                info!(self.log, "failed to connect to an agent"; "target" => target, "error" => %error);
            }
        }
        // The core handles a failed connection like a link that closed at once.
        if self.is_current() {
            self.pool.state.borrow_mut().links.remove(&self.target);
            let _ = self.events.send(LinkEvent::Down(self.target.clone()));
        }
    }

    fn is_current(&self) -> bool {
        self.pool.is_current(&self.target, self.generation)
    }

    /// Emits an event, unless another link has taken the place of this one.
    fn emit(&self, event: LinkEvent) {
        if self.is_current() {
            let _ = self.events.send(event);
        }
    }

    fn log_end(&self, end: LinkEnd) {
        if !matches!(end, LinkEnd::Idle | LinkEnd::Dropped) {
            info!(self.log, "link to an agent ended"; "target" => &*self.target, "end" => ?end);
        }
    }
}
