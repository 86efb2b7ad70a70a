//! The entry's daemon: sockets and timers round the core.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, o, warn};
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};

use super::account::AccountTable;
use super::core::EntryCore;
use super::event::{Effect, EntryTuning, Event, Reply};
use super::{admin, http};
use crate::claim_store::{ClaimStore, SharedClaims};
use crate::clock::{ProcessClock, new_incarnation, sleep_until, wall_micros};
use crate::config::{Config, ConfigVersion};
use crate::config_store::ConfigStore;
use crate::error::Result;
use crate::host_list::HostListClient;
use crate::hosts::{HostDelta, HostRole};
use crate::id::ProcessId;
use crate::link_pool::{LinkEvent, LinkPool};
use crate::log::new_logger;
use crate::metrics::TurnMeter;
use crate::peer::PeerIdentity;
use crate::settings::EntrySettings;
use crate::store::StoreClient;
use crate::time::Tick;
use crate::timeline::TimeLine;

/// Events kept for the time line.
const TIMELINE_CAPACITY: usize = 8_192;

/// Time from one reading of the host list to the next.
const HOSTS_STEP: Duration = Duration::from_secs(1);

/// Longest wait of a watch on the configuration.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Wait after a failed call to the store.
const STORE_STEP: Duration = Duration::from_millis(500);

/// How long answers may still flow to callers once all requests have ended.
const FLUSH_LIMIT: Duration = Duration::from_secs(5);

/// A question to the core, asked between two of its turns.
pub(super) type Question = Box<dyn FnOnce(&EntryCore)>;

pub(super) enum Input {
    Event(Event),
    Ask(Question),
}

/// What the entry's tasks share. All of them run on one thread.
pub(super) struct EntryShared {
    pub(super) settings: EntrySettings,
    pub(super) process: ProcessId,
    pub(super) accounts: RefCell<Rc<AccountTable>>,
    pub(super) replies: RefCell<HashMap<u64, mpsc::UnboundedSender<Reply>>>,
    pub(super) timeline: RefCell<TimeLine>,
    pub(super) meter: TurnMeter,
    pub(super) page: super::metrics::EntryPage,
    pub(super) draining: Cell<bool>,
    pub(super) connections: Cell<usize>,
    pub(super) claims: SharedClaims,
    pub(super) config_store: tokio::sync::Mutex<ConfigStore>,
    pull: Notify,
    inputs: mpsc::UnboundedSender<Input>,
    next_number: Cell<u64>,
    pub(super) log: Logger,
}

impl EntryShared {
    pub(super) fn send(&self, event: Event) {
        // The loop outlives every task that sends to it.
        let _ = self.inputs.send(Input::Event(event));
    }

    /// Asks the core something, none where the process is ending.
    pub(super) async fn ask<T: 'static>(
        &self,
        question: impl FnOnce(&EntryCore) -> T + 'static,
    ) -> Option<T> {
        let (answer_in, answer) = oneshot::channel();
        let question = Box::new(move |core: &EntryCore| {
            let _ = answer_in.send(question(core));
        });
        let _ = self.inputs.send(Input::Ask(question));
        answer.await.ok()
    }

    pub(super) fn new_number(&self) -> u64 {
        self.next_number.set(self.next_number.get() + 1);
        self.next_number.get()
    }

    /// Whether callers can be served: a configuration is in force and no stop
    /// has begun.
    pub(super) fn is_ready(&self) -> bool {
        !self.draining.get() && !self.accounts.borrow().config().client_accounts.is_empty()
    }

    /// Wakes the task that reads the configuration.
    pub(super) fn pull_config(&self) {
        self.pull.notify_one();
    }
}

/// An entry whose sockets are open.
pub struct EntryDaemon {
    settings: EntrySettings,
    tuning: EntryTuning,
    callers: TcpListener,
    admin: TcpListener,
}

impl EntryDaemon {
    /// Opens the sockets.
    ///
    /// # Errors
    ///
    /// An address that can not be listened on.
    pub async fn bind(settings: EntrySettings) -> Result<Self> {
        let callers = TcpListener::bind(settings.listen).await?;
        let admin = TcpListener::bind(settings.admin_listen).await?;
        let tuning = EntryTuning::default();
        Ok(EntryDaemon { settings, tuning, callers, admin })
    }

    /// Changes the bounds by which the entry works.
    #[must_use]
    pub fn with_tuning(self, tuning: EntryTuning) -> Self {
        EntryDaemon { tuning, ..self }
    }

    /// The callers' and the operators' address.
    ///
    /// # Errors
    ///
    /// The operating system does not tell.
    pub fn addresses(&self) -> Result<(SocketAddr, SocketAddr)> {
        Ok((self.callers.local_addr()?, self.admin.local_addr()?))
    }

    /// Serves until `stop`, then stops as planned. Returns the longest turn
    /// of the loop.
    ///
    /// # Errors
    ///
    /// None at present: faults of callers, agents and the platform are lived with.
    pub async fn run(self, stop: impl Future<Output = ()>) -> Result<Duration> {
        LocalSet::new().run_until(self.run_local(stop)).await
    }

    async fn run_local(self, stop: impl Future<Output = ()>) -> Result<Duration> {
        let settings = self.settings;
        let process = ProcessId { name: settings.name.clone(), incarnation: new_incarnation() };
        let log = new_logger(settings.log_format, &settings.name);
        info!(log, "entry started"; "incarnation" => process.incarnation.to_string());
        let (inputs, received) = mpsc::unbounded_channel();
        let store = StoreClient::new(settings.store.clone());
        let shared = Rc::new(EntryShared {
            process: process.clone(),
            accounts: RefCell::default(),
            replies: RefCell::default(),
            timeline: RefCell::new(TimeLine::new(process.clone(), TIMELINE_CAPACITY)),
            meter: TurnMeter::default(),
            page: super::metrics::EntryPage::new(),
            draining: Cell::new(false),
            connections: Cell::new(0),
            claims: Rc::new(ClaimStore::new(store.clone())),
            config_store: tokio::sync::Mutex::new(ConfigStore::new(store.clone())),
            pull: Notify::new(),
            inputs,
            next_number: Cell::new(0),
            log: log.new(o!()),
            settings,
        });
        let identity = PeerIdentity { process, key: shared.settings.peer_key.clone() };
        let (pool_events, link_events) = mpsc::unbounded_channel();
        let pool = LinkPool::new(identity, pool_events);
        let tasks = [
            spawn_local(http::serve(shared.clone(), self.callers)),
            spawn_local(admin::serve(shared.clone(), self.admin)),
            spawn_local(forward_links(shared.clone(), link_events)),
            spawn_local(follow_config(shared.clone(), ConfigStore::new(store))),
            spawn_local(follow_hosts(shared.clone(), pool.clone())),
        ];
        let mut entry_loop = EntryLoop::new(shared.clone(), pool, self.tuning);
        entry_loop.run(received, stop).await;
        flush_replies(&shared).await;
        for task in tasks {
            task.abort();
        }
        info!(log, "entry stopped");
        Ok(shared.meter.longest())
    }
}

struct EntryLoop {
    shared: Rc<EntryShared>,
    core: EntryCore,
    pool: LinkPool,
    clock: ProcessClock,
    stopped: bool,
}

impl EntryLoop {
    fn new(shared: Rc<EntryShared>, pool: LinkPool, tuning: EntryTuning) -> Self {
        let settings = &shared.settings;
        let seed = shared.process.incarnation.0;
        let domain = settings.failure_domain.clone();
        let core = EntryCore::new(shared.process.clone(), domain, tuning, seed);
        EntryLoop { shared, core, pool, clock: ProcessClock::new(), stopped: false }
    }

    async fn run(
        &mut self,
        mut inputs: mpsc::UnboundedReceiver<Input>,
        stop: impl Future<Output = ()>,
    ) {
        let mut stop = std::pin::pin!(stop);
        let mut force = Tick::NEVER;
        while !self.stopped && self.clock.now() < force {
            let wake = self.core.next_wake().unwrap_or(Tick::NEVER).min(force);
            let sleep = sleep_until(&self.clock, wake);
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(Input::Event(event)) => self.turn(event),
                    Some(Input::Ask(question)) => question(&self.core),
                    None => return,
                },
                () = sleep => self.turn(Event::Wake),
                () = &mut stop, if !self.shared.draining.get() => {
                    info!(self.shared.log, "planned stop begins");
                    self.shared.draining.set(true);
                    force = self.clock.now() + self.shared.settings.drain_limit;
                    self.turn(Event::Drain);
                }
            }
        }
    }

    fn turn(&mut self, event: Event) {
        let shared = self.shared.clone();
        shared.meter.measure(|| {
            let effects = self.core.on_event(self.clock.now(), event);
            for effect in effects {
                self.apply(effect);
            }
        });
        let config = self.core.config();
        if config.is_some_and(|one| one.version > shared.accounts.borrow().config().version) {
            self.on_new_config();
        }
    }

    fn on_new_config(&mut self) {
        let Some(config) = self.core.config() else {
            return;
        };
        info!(self.shared.log, "configuration in force"; "version" => config.version.0);
        *self.shared.accounts.borrow_mut() = Rc::new(AccountTable::from_config(config));
    }

    fn apply(&mut self, effect: Effect) {
        let shared = &self.shared;
        match effect {
            Effect::Reply(number, reply) => {
                let is_last = matches!(reply, Reply::Done(_) | Reply::Failed(_));
                let mut replies = shared.replies.borrow_mut();
                if let Some(caller) = replies.get(&number) {
                    // A caller that went away is told of by its own task.
                    let _ = caller.send(reply);
                }
                if is_last {
                    replies.remove(&number);
                }
            }
            Effect::Send(target, message) => self.pool.send(&target, &message),
            Effect::Record { number, kind, detail } => {
                let request = match number {
                    0 => String::new(),
                    number => format!("{}.{number}", shared.process),
                };
                shared.timeline.borrow_mut().push(wall_micros(), request, kind, detail);
            }
            Effect::PullConfig => shared.pull_config(),
            Effect::Stopped => self.stopped = true,
        }
    }
}

/// Lets the last parts of answers reach their callers.
async fn flush_replies(shared: &EntryShared) {
    let work = async {
        while shared.connections.get() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let _ = tokio::time::timeout(FLUSH_LIMIT, work).await;
}

async fn forward_links(shared: Rc<EntryShared>, mut events: mpsc::UnboundedReceiver<LinkEvent>) {
    while let Some(event) = events.recv().await {
        shared.send(match event {
            LinkEvent::Up(target, incarnation) => Event::AgentUp(target, incarnation),
            LinkEvent::Down(target) => Event::AgentDown(target),
            LinkEvent::Message(target, message) => Event::Agent(target, message),
        });
    }
}

/// Keeps the configuration in force up to date with the store.
async fn follow_config(shared: Rc<EntryShared>, mut store: ConfigStore) {
    let mut version = ConfigVersion::default();
    let mut is_away = false;
    loop {
        let read = tokio::select! {
            read = read_or_watch(&mut store, version, is_away) => read,
            () = shared.pull.notified() => store.pull(version).await,
        };
        match read {
            Ok(Some(config)) => {
                version = config.version;
                shared.send(Event::Config(Arc::new(config)));
            }
            Ok(None) => {}
            Err(error) => {
                if !is_away {
                    warn!(shared.log, "configuration can not be read"; "error" => %error);
                }
                tokio::time::sleep(STORE_STEP).await;
                is_away = true;
                continue;
            }
        }
        if std::mem::take(&mut is_away) {
            info!(shared.log, "configuration can be read again");
        }
    }
}

/// Waits for a later configuration. A store that comes back, maybe from a copy, is read first:
/// it may have nothing to tell a watch for long.
async fn read_or_watch(
    store: &mut ConfigStore,
    version: ConfigVersion,
    was_away: bool,
) -> Result<Option<Config>> {
    if was_away {
        return store.pull(version).await;
    }
    store.watch(version, WATCH_WAIT).await
}

/// Keeps the list of hosts up to date.
async fn follow_hosts(shared: Rc<EntryShared>, pool: LinkPool) {
    let client = HostListClient::new(shared.settings.hosts.clone());
    let mut revision = 0;
    loop {
        if let Ok(delta) = client.get_changes(revision).await {
            revision = delta.revision;
            note_addresses(&pool, &delta);
            if !delta.hosts.is_empty() {
                shared.send(Event::Hosts(delta));
            }
        }
        tokio::time::sleep(HOSTS_STEP).await;
    }
}

fn note_addresses(pool: &LinkPool, delta: &HostDelta) {
    for host in &delta.hosts {
        if matches!(host.role, HostRole::Target { .. }) {
            pool.set_address(host.name.clone(), host.address.clone());
        }
    }
}

/// The configuration that callers are served by.
pub(super) fn current_config(shared: &EntryShared) -> Arc<Config> {
    shared.accounts.borrow().config().clone()
}
