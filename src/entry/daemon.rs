//! The entry's daemon: sockets and timers around the core.

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
use crate::connection::ConnectionGroup;
use crate::error::Result;
use crate::host_list::{HostListClient, HostListRead};
use crate::hosts::{HostDelta, HostRole};
use crate::id::ProcessId;
use crate::link_pool::{LinkEvent, LinkPool};
use crate::log::new_logger;
use crate::memory_budget::{MemoryBudget, connection_bytes};
use crate::metrics::IterationMeter;
use crate::peer::PeerIdentity;
use crate::program::on_reload_signal;
use crate::settings::EntrySettings;
use crate::store::StoreClient;
use crate::time::Tick;
use crate::timeline::EventTimeline;
use crate::web::bind_listener;

/// Maximum number of events in the timeline.
const TIMELINE_CAPACITY: usize = 8_192;

/// Interval between two polls of the host list.
const HOSTS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum duration of one watch call on the configuration.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Delay after a failed call to the store.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval between two log lines about callers that hold too much.
const CROWDING_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time for sending the rest of the answers to callers after all requests have ended.
const MIN_FLUSH_TIME: Duration = Duration::from_secs(5);

/// A query of the core's state, run between two iterations of the event loop.
pub(super) type CoreQuery = Box<dyn FnOnce(&EntryCore)>;

pub(super) enum Input {
    Event(Event),
    Query(CoreQuery),
}

/// State that the entry's tasks share. All of them run on one thread.
pub(super) struct EntryShared {
    pub(super) settings: EntrySettings,
    pub(super) process: ProcessId,
    pub(super) accounts: RefCell<Rc<AccountTable>>,
    pub(super) replies: RefCell<HashMap<u64, mpsc::UnboundedSender<Reply>>>,
    pub(super) timeline: RefCell<EventTimeline>,
    pub(super) meter: IterationMeter,
    pub(super) metrics: super::metrics::EntryMetrics,
    pub(super) draining: Cell<bool>,
    pub(super) connections: Cell<usize>,
    pub(super) group: Rc<ConnectionGroup>,
    /// Memory that callers may make this process hold.
    pub(super) memory: MemoryBudget,
    /// When a line about it was last logged.
    crowding_logged_at: Cell<Option<Tick>>,
    clock: ProcessClock,
    pub(super) claims: SharedClaims,
    pub(super) config_store: tokio::sync::Mutex<ConfigStore>,
    pull_requested: Notify,
    inputs: mpsc::UnboundedSender<Input>,
    next_number: Cell<u64>,
    pub(super) log: Logger,
}

impl EntryShared {
    pub(super) fn send(&self, event: Event) {
        // The event loop outlives every task that sends to it.
        let _ = self.inputs.send(Input::Event(event));
    }

    /// Runs a query on the core; returns `None` if the process is ending.
    pub(super) async fn query_core<T: 'static>(
        &self,
        query: impl FnOnce(&EntryCore) -> T + 'static,
    ) -> Option<T> {
        let (answer_sender, answer) = oneshot::channel();
        let query = Box::new(move |core: &EntryCore| {
            let _ = answer_sender.send(query(core));
        });
        let _ = self.inputs.send(Input::Query(query));
        answer.await.ok()
    }

    pub(super) fn new_number(&self) -> u64 {
        self.next_number.set(self.next_number.get() + 1);
        self.next_number.get()
    }

    /// Returns `true` if callers can be served: a configuration is in force and the entry is not
    /// draining.
    pub(super) fn is_ready(&self) -> bool {
        !self.draining.get() && !self.accounts.borrow().config().client_accounts.is_empty()
    }

    /// Logs that callers make this process hold too much, at most once in an interval.
    pub(super) fn record_crowding(&self) {
        let now = self.clock.now();
        let last = self.crowding_logged_at.get();
        if last.is_none_or(|last| now.since(last) >= CROWDING_LOG_INTERVAL) {
            self.crowding_logged_at.set(Some(now));
            let figures = self.memory.figures();
            warn!(self.log, "callers hold too much";
                "held_bytes" => figures.held, "limit_bytes" => figures.limit,
                "refused" => figures.refused, "closed" => figures.closed);
        }
    }

    /// Wakes the task that reads the configuration from the store.
    pub(super) fn pull_config(&self) {
        self.pull_requested.notify_one();
    }
}

/// An entry with bound sockets.
pub struct EntryDaemon {
    settings: EntrySettings,
    tuning: EntryTuning,
    callers: TcpListener,
    admin: TcpListener,
}

impl EntryDaemon {
    /// Binds the sockets.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub fn bind(settings: EntrySettings) -> Result<Self> {
        let callers = bind_listener(settings.listen)?;
        let admin = bind_listener(settings.admin_listen)?;
        let tuning = EntryTuning::default();
        Ok(EntryDaemon { settings, tuning, callers, admin })
    }

    /// Replaces the default limits and timeouts.
    #[must_use]
    pub fn with_tuning(self, tuning: EntryTuning) -> Self {
        EntryDaemon { tuning, ..self }
    }

    /// The addresses for callers and for operators.
    ///
    /// # Errors
    ///
    /// The operating system does not report the address of a socket.
    pub fn addresses(&self) -> Result<(SocketAddr, SocketAddr)> {
        Ok((self.callers.local_addr()?, self.admin.local_addr()?))
    }

    /// Serves until `stop` completes, then drains. Returns the duration of the longest iteration
    /// of the event loop.
    ///
    /// # Errors
    ///
    /// None at present: faults of callers, agents and the platform are tolerated.
    pub async fn run(self, stop: impl Future<Output = ()>) -> Result<Duration> {
        LocalSet::new().run_until(self.run_local(stop)).await
    }

    async fn run_local(self, stop: impl Future<Output = ()>) -> Result<Duration> {
        let settings = self.settings;
        let process = ProcessId { name: settings.name.clone(), incarnation: new_incarnation() };
        let log = new_logger(settings.log_format, &settings.name);
        info!(log, "entry started"; "incarnation" => process.incarnation.to_string());
        let (inputs, received) = mpsc::unbounded_channel();
        let clock = ProcessClock::new();
        let store = StoreClient::new(settings.store.clone());
        let shared = Rc::new(EntryShared {
            process: process.clone(),
            accounts: RefCell::default(),
            replies: RefCell::default(),
            timeline: RefCell::new(EventTimeline::new(process.clone(), TIMELINE_CAPACITY)),
            meter: IterationMeter::default(),
            metrics: super::metrics::EntryMetrics::new(),
            draining: Cell::new(false),
            connections: Cell::new(0),
            group: ConnectionGroup::new(),
            memory: MemoryBudget::new(connection_bytes(Some(settings.memory_mb)), clock),
            crowding_logged_at: Cell::default(),
            clock,
            claims: Rc::new(ClaimStore::new(store.clone())),
            config_store: tokio::sync::Mutex::new(ConfigStore::new(store.clone())),
            pull_requested: Notify::new(),
            inputs,
            next_number: Cell::new(0),
            log: log.new(o!()),
            settings,
        });
        let identity = PeerIdentity { process, key: shared.settings.peer_key.clone() };
        let (pool_events, link_events) = mpsc::unbounded_channel();
        let pool = LinkPool::new(identity, pool_events, log.clone());
        let reload_log = log.clone();
        let reload = on_reload_signal(move || {
            info!(reload_log, "settings not reloaded: all are fixed");
        });
        let tasks = [
            spawn_local(reload),
            spawn_local(http::serve(shared.clone(), self.callers)),
            spawn_local(admin::serve(shared.clone(), self.admin)),
            spawn_local(forward_links(shared.clone(), link_events)),
            spawn_local(watch_config(shared.clone(), ConfigStore::new(store))),
            spawn_local(poll_hosts(shared.clone(), pool.clone())),
        ];
        let mut entry_loop = EntryLoop::new(shared.clone(), pool, self.tuning);
        entry_loop.run(received, stop).await;
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
        self.run_until(&mut inputs, stop).await;
        info!(self.shared.log, "drain started");
        let drain_timeout = self.shared.settings.drain_timeout;
        let drain_deadline = self.clock.now() + drain_timeout;
        self.shared.draining.set(true);
        self.run_iteration(Event::Drain(drain_timeout));
        self.run_until(&mut inputs, tokio::time::sleep(drain_timeout)).await;
        if !self.stopped {
            let open = self.core.open_requests();
            warn!(self.shared.log, "drain timed out; open requests fail"; "requests" => open);
            self.run_iteration(Event::DrainTimedOut);
        }
        // The core still answers requests whose bodies are being read.
        let flush_timeout = drain_deadline.since(self.clock.now()).max(MIN_FLUSH_TIME);
        let flush = flush_replies(self.shared.clone(), flush_timeout);
        self.stopped = false;
        self.run_until(&mut inputs, flush).await;
    }

    /// Handles inputs until `end` completes or the core has drained.
    async fn run_until(
        &mut self,
        inputs: &mut mpsc::UnboundedReceiver<Input>,
        end: impl Future<Output = ()>,
    ) {
        let mut end = std::pin::pin!(end);
        while !self.stopped {
            let wake_at = self.core.next_wake().unwrap_or(Tick::NEVER);
            let sleep = sleep_until(&self.clock, wake_at);
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(Input::Event(event)) => self.run_iteration(event),
                    Some(Input::Query(query)) => query(&self.core),
                    None => return,
                },
                () = sleep => self.run_iteration(Event::Wake),
                () = &mut end => return,
            }
        }
    }

    fn run_iteration(&mut self, event: Event) {
        let shared = self.shared.clone();
        shared.meter.measure(|| {
            let effects = self.core.on_event(self.clock.now(), event);
            for effect in effects {
                self.apply_effect(effect);
            }
        });
        let config = self.core.config();
        if config.is_some_and(|config| config.version > shared.accounts.borrow().config().version) {
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

    fn apply_effect(&mut self, effect: Effect) {
        let shared = &self.shared;
        match effect {
            Effect::Reply(number, reply) => {
                let is_last = matches!(reply, Reply::Done(_) | Reply::Failed(_));
                let mut replies = shared.replies.borrow_mut();
                if let Some(caller) = replies.get(&number) {
                    // If the caller has disconnected, its own task reports that to the core.
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

/// Closes the connections of callers once their answers have been sent, and waits for that.
async fn flush_replies(shared: Rc<EntryShared>, timeout: Duration) {
    shared.group.close();
    let all_closed = async {
        while shared.connections.get() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    if tokio::time::timeout(timeout, all_closed).await.is_err() {
        let open = shared.connections.get();
        warn!(shared.log, "callers have not read their answers in time"; "connections" => open);
    }
}

async fn forward_links(shared: Rc<EntryShared>, mut events: mpsc::UnboundedReceiver<LinkEvent>) {
    while let Some(event) = events.recv().await {
        shared.send(match event {
            LinkEvent::Up(target, incarnation) => Event::AgentUp(target, incarnation),
            LinkEvent::Down(target) => Event::AgentDown(target),
            LinkEvent::Message(target, message) => Event::AgentMessage(target, message),
        });
    }
}

/// Keeps the configuration up to date with the store.
async fn watch_config(shared: Rc<EntryShared>, mut store: ConfigStore) {
    let mut version = ConfigVersion::default();
    let mut is_unreachable = false;
    loop {
        let read = tokio::select! {
            read = read_or_watch(&mut store, version, is_unreachable) => read,
            () = shared.pull_requested.notified() => store.pull(version).await,
        };
        match read {
            Ok(Some(config)) => {
                version = config.version;
                shared.send(Event::Config(Arc::new(config)));
            }
            Ok(None) => {}
            Err(error) => {
                if !is_unreachable {
                    warn!(shared.log, "failed to read the configuration; retrying"; "error" => %error);
                }
                tokio::time::sleep(STORE_RETRY_DELAY).await;
                is_unreachable = true;
                continue;
            }
        }
        if std::mem::take(&mut is_unreachable) {
            info!(shared.log, "configuration can be read again");
        }
    }
}

/// Waits for a newer configuration.
///
/// A store that was unreachable is read first: it may have been restored from a backup, and a
/// watch might not return for a long time.
async fn read_or_watch(
    store: &mut ConfigStore,
    version: ConfigVersion,
    was_unreachable: bool,
) -> Result<Option<Config>> {
    if was_unreachable {
        return store.pull(version).await;
    }
    store.watch(version, WATCH_TIMEOUT).await
}

/// Keeps the list of hosts up to date.
async fn poll_hosts(shared: Rc<EntryShared>, pool: LinkPool) {
    let client = HostListClient::new(shared.settings.hosts.clone());
    let mut revision = 0;
    let mut is_lost = false;
    loop {
        match client.get_changes(revision).await {
            Ok(HostListRead { delta, unreadable }) => {
                if std::mem::take(&mut is_lost) {
                    info!(shared.log, "the list of hosts can be read again");
                }
                for reason in unreadable {
                    warn!(shared.log, "entry of the list of hosts is no host"; "why" => reason);
                }
                revision = delta.revision;
                update_addresses(&pool, &delta);
                if !delta.hosts.is_empty() {
                    shared.send(Event::Hosts(delta));
                }
            }
            Err(error) if !is_lost => {
                is_lost = true;
                warn!(shared.log, "failed to read the list of hosts; retrying"; "error" => %error);
            }
            Err(_) => {}
        }
        tokio::time::sleep(HOSTS_POLL_INTERVAL).await;
    }
}

fn update_addresses(pool: &LinkPool, delta: &HostDelta) {
    for host in &delta.hosts {
        if matches!(host.role, HostRole::Target { .. }) {
            pool.set_address(host.name.clone(), host.address.clone());
        }
    }
}

/// The configuration by which callers are served.
pub(super) fn current_config(shared: &EntryShared) -> Arc<Config> {
    shared.accounts.borrow().config().clone()
}
