//! The agent's daemon: sockets and timers around the core.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{Logger, debug, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, LocalSet, spawn_local};

use super::core::AgentCore;
use super::engine::EngineClient;
use super::event::{AgentTuning, ConnId, Effect, EngineFacts, Event, RunEvent, StartRun};
use super::health::{PollOutcome, TargetHealth};
use super::metrics::{self, AgentMetrics};
use super::plain::PlainClient;
use crate::clock::{ProcessClock, new_incarnation, sleep_until, wall_micros};
use crate::config::ServiceKind;
use crate::error::Result;
use crate::id::{AttemptId, ProcessId};
use crate::log::new_logger;
use crate::memory_budget::{MemoryBudget, connection_bytes};
use crate::metrics::IterationMeter;
use crate::peer::{
    LinkSender, LinkSide, OpenAttempts, PeerIdentity, Socket, accept, link_queue, run_link,
};
use crate::program::on_reload_signal;
use crate::settings::AgentSettings;
use crate::time::Tick;
use crate::timeline::EventTimeline;
use crate::web::{accept_next, bind_listener};
use crate::wire::{Framed, ToAgent};

/// Maximum number of events kept in the timeline.
const TIMELINE_CAPACITY: usize = 4_096;

/// Maximum number of peers that have not proven yet that they belong to the fleet. Beyond it the
/// oldest is disconnected.
const MAX_HANDSHAKES: usize = 128;

/// Interval between polls of the engine's load report.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Polls of the load report between two checks of the engine's runs and reservations.
const POLLS_PER_HOLDINGS_CHECK: u32 = 8;

/// Maximum number of tries of a call that changes the state of a run or a reservation.
const MAX_CALL_TRIES: u32 = 12;

/// Delay before the retry of such a call.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Size of what waits to be written to entries from which on no more of an answer is read, in bytes.
const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;

/// Timeout for sending the last queued messages at shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(3);

/// State shared by the agent's tasks, which all run on one thread.
pub(super) struct AgentShared {
    pub(super) settings: AgentSettings,
    pub(super) identity: PeerIdentity,
    pub(super) events: mpsc::UnboundedSender<Event>,
    pub(super) links: RefCell<HashMap<ConnId, LinkSender>>,
    pub(super) next_conn: Cell<u64>,
    pub(super) open_links: Cell<usize>,
    pub(super) engine: EngineClient,
    pub(super) plain: PlainClient,
    pub(super) clock: ProcessClock,
    /// Memory that connections may make this process hold.
    pub(super) memory: MemoryBudget,
    pub(super) health: RefCell<TargetHealth>,
    pub(super) timeline: RefCell<EventTimeline>,
    pub(super) log: Logger,
    pub(super) metrics: AgentMetrics,
}

impl AgentShared {
    /// Returns the size of what waits to be written to entries, in bytes.
    fn queued_bytes(&self) -> usize {
        self.links.borrow().values().map(LinkSender::queued_bytes).sum()
    }

    fn send(&self, event: Event) {
        // The event loop outlives every task that sends to it.
        let _ = self.events.send(event);
    }
}

/// An agent whose sockets are open.
pub struct AgentDaemon {
    settings: AgentSettings,
    listener: TcpListener,
    metrics: TcpListener,
}

impl AgentDaemon {
    /// Binds the listening sockets.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub fn bind(settings: AgentSettings) -> Result<Self> {
        let listener = bind_listener(settings.listen)?;
        let metrics = bind_listener(settings.metrics_listen)?;
        Ok(AgentDaemon { settings, listener, metrics })
    }

    /// Returns the address for entries and the address for metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not report an address.
    pub fn addresses(&self) -> Result<(SocketAddr, SocketAddr)> {
        Ok((self.listener.local_addr()?, self.metrics.local_addr()?))
    }

    /// Serves until `stop` completes, then drains. Returns the duration of the
    /// longest iteration of the event loop.
    ///
    /// # Errors
    ///
    /// Never returns an error at present: failures of entries and of the target do not stop
    /// the agent.
    pub async fn run(self, stop: impl Future<Output = ()>) -> Result<Duration> {
        LocalSet::new().run_until(self.run_local(stop)).await
    }

    async fn run_local(self, stop: impl Future<Output = ()>) -> Result<Duration> {
        let settings = self.settings;
        let process = ProcessId { name: settings.name.clone(), incarnation: new_incarnation() };
        let log = new_logger(settings.log_format, &settings.name);
        info!(log, "agent started"; "incarnation" => process.incarnation.to_string());
        let (events, received) = mpsc::unbounded_channel();
        let clock = ProcessClock::new();
        let shared = Rc::new(AgentShared {
            identity: PeerIdentity { process: process.clone(), key: settings.peer_key.clone() },
            events,
            links: RefCell::default(),
            next_conn: Cell::new(0),
            open_links: Cell::new(0),
            engine: EngineClient::new(settings.target.clone()),
            plain: PlainClient::new(settings.target.clone()),
            clock,
            memory: MemoryBudget::new(connection_bytes(Some(settings.memory_mb)), clock),
            health: RefCell::new(TargetHealth::new(Tick::default())),
            timeline: RefCell::new(EventTimeline::new(process.clone(), TIMELINE_CAPACITY)),
            metrics: AgentMetrics::new(),
            log,
            settings,
        });
        let acceptor = spawn_local(accept_all(shared.clone(), self.listener));
        let metrics_server = spawn_local(metrics::serve(shared.clone(), self.metrics));
        let reload_log = shared.log.clone();
        let reload = spawn_local(on_reload_signal(move || {
            info!(reload_log, "settings not reloaded: all are fixed");
        }));
        let mut agent_loop = AgentLoop::new(shared.clone(), process);
        agent_loop.run(received, stop).await;
        acceptor.abort();
        reload.abort();
        metrics_server.abort();
        flush_links(&shared).await;
        info!(shared.log, "agent stopped");
        Ok(agent_loop.meter.longest())
    }
}

/// A call to the target that has not completed.
struct TargetCall {
    task: AbortHandle,
    /// Whether the engine has received the run, or cannot receive it any more.
    has_arrived: Rc<Cell<bool>>,
}

struct AgentLoop {
    shared: Rc<AgentShared>,
    core: AgentCore,
    clock: ProcessClock,
    meter: IterationMeter,
    calls: Rc<RefCell<HashMap<AttemptId, TargetCall>>>,
    stopped: bool,
}

impl AgentLoop {
    fn new(shared: Rc<AgentShared>, process: ProcessId) -> Self {
        let tuning = AgentTuning {
            piece_tokens: shared.settings.piece_tokens,
            prefill_tokens: shared.settings.prefill_tokens,
            ..AgentTuning::default()
        };
        AgentLoop {
            core: AgentCore::new(process, tuning),
            shared,
            clock: ProcessClock::new(),
            meter: IterationMeter::default(),
            calls: Rc::default(),
            stopped: false,
        }
    }

    async fn run(
        &mut self,
        mut events: mpsc::UnboundedReceiver<Event>,
        stop: impl Future<Output = ()>,
    ) {
        let mut stop = std::pin::pin!(stop);
        let mut drain_deadline = Tick::NEVER;
        self.run_iteration(Event::Wake);
        while !self.stopped && self.clock.now() < drain_deadline {
            let wake_at = self.core.next_wake().unwrap_or(Tick::NEVER).min(drain_deadline);
            let sleep = sleep_until(&self.clock, wake_at);
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.run_iteration(event),
                    None => return,
                },
                () = sleep => self.run_iteration(Event::Wake),
                () = &mut stop, if drain_deadline == Tick::NEVER => {
                    info!(self.shared.log, "drain started");
                    drain_deadline = self.clock.now() + self.shared.settings.drain_timeout;
                    self.run_iteration(Event::Drain);
                }
            }
        }
        if !self.stopped {
            let open = self.core.open_runs();
            warn!(self.shared.log, "drain timed out; open runs fail"; "runs" => open);
            self.run_iteration(Event::DrainTimedOut);
        }
    }

    fn run_iteration(&mut self, event: Event) {
        let start = std::time::Instant::now();
        let effects = self.core.on_event(self.clock.now(), event);
        for effect in effects {
            self.apply_effect(effect);
        }
        self.meter.record(start.elapsed());
        self.shared.metrics.update(&self.core, self.meter.longest());
    }

    fn apply_effect(&mut self, effect: Effect) {
        let shared = self.shared.clone();
        match effect {
            Effect::Send(conn, message) => {
                let mut links = shared.links.borrow_mut();
                let is_sent =
                    links.get(&conn).is_none_or(|link| link.send(message.to_frame(), false));
                if !is_sent {
                    // Dropping the sender ends the link's task, which reports `PeerGone`.
                    links.remove(&conn);
                }
            }
            Effect::Reset => {
                spawn_local(watch_target(shared));
            }
            Effect::Start(start) => self.start(*start),
            Effect::Resume(id, limit) => {
                spawn_local(resume(shared, id, limit));
            }
            Effect::Cancel(id) => self.cancel(id),
            Effect::CancelOrphan(id) => {
                warn!(shared.log, "cancelling an orphaned run at the engine"; "run" => &id);
                spawn_local(async move {
                    // If this fails, the next check of the engine's holdings finds it again.
                    let _ = shared.engine.cancel_holding(&id).await;
                });
            }
            Effect::Reserve(id, tokens) => {
                spawn_local(async move {
                    let is_held = shared.engine.reserve(&id, tokens).await.is_ok();
                    shared.send(Event::Reserved(id, is_held));
                });
            }
            Effect::Unreserve(id) => {
                spawn_local(unreserve(shared, id));
            }
            Effect::Record { request, kind, detail } => {
                shared.timeline.borrow_mut().push(wall_micros(), request, kind, detail);
            }
            Effect::Stopped => self.stopped = true,
        }
    }

    fn start(&mut self, start: StartRun) {
        let shared = self.shared.clone();
        let id = start.id.clone();
        let report: Rc<dyn Fn(RunEvent)> = {
            let (shared, id) = (shared.clone(), id.clone());
            Rc::new(move |event| {
                if event.is_progress() {
                    shared.health.borrow_mut().record_progress(shared.clock.now());
                }
                shared.send(Event::Run(id.clone(), event));
            })
        };
        let (calls, attempt) = (self.calls.clone(), id.clone());
        let has_arrived = Rc::new(Cell::new(false));
        let arrived = has_arrived.clone();
        let task = spawn_local(async move {
            match shared.settings.kind {
                ServiceKind::Engine => shared.engine.run(start, &arrived, report).await,
                ServiceKind::Plain => {
                    let has_room = || shared.queued_bytes() < MAX_QUEUED_BYTES;
                    shared.plain.run(start, has_room, report).await;
                }
            }
            calls.borrow_mut().remove(&attempt);
        });
        let call = TargetCall { task: task.abort_handle(), has_arrived };
        self.calls.borrow_mut().insert(id, call);
    }

    fn cancel(&mut self, id: AttemptId) {
        let call = self.calls.borrow_mut().remove(&id);
        let shared = self.shared.clone();
        spawn_local(async move {
            if shared.settings.kind == ServiceKind::Engine {
                cancel_run(&shared, &id, call.as_ref()).await;
            }
            if let Some(call) = call {
                call.task.abort();
            }
            shared.send(Event::Run(id, RunEvent::Cancelled));
        });
    }
}

/// Cancels a run at the engine. A cancel can overtake the call that starts the
/// run: it is therefore repeated until the engine has received the run or
/// cannot receive it any more.
async fn cancel_run(shared: &AgentShared, id: &AttemptId, call: Option<&TargetCall>) {
    let name = id.to_string();
    // A target that is lost in the meantime is reset before it is used again.
    for _ in 0..MAX_CALL_TRIES {
        let has_arrived = call.is_none_or(|call| call.has_arrived.get());
        match shared.engine.cancel(&name).await {
            Ok(true) => return,
            Ok(false) if has_arrived => return,
            _ => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

async fn resume(shared: Rc<AgentShared>, id: AttemptId, limit: Option<u64>) {
    for _ in 0..MAX_CALL_TRIES {
        match shared.engine.resume(&id, limit).await {
            Ok(()) => return,
            Err(error) if !error.is_unreachable() => break,
            Err(error) => {
                warn!(shared.log, "failed to resume a run; retrying"; "run" => id.to_string(), "error" => %error);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
    let failed = RunEvent::Failed(
        crate::verdict::Verdict::MayHaveRun,
        "the engine did not go on with it".into(),
    );
    shared.send(Event::Run(id, failed));
}

async fn unreserve(shared: Rc<AgentShared>, id: AttemptId) {
    let mut tries = 0;
    while shared.engine.unreserve(&id).await.is_err() && tries < MAX_CALL_TRIES {
        tries += 1;
        tokio::time::sleep(RETRY_DELAY).await;
    }
    shared.send(Event::Unreserved(id));
}

/// Resets the target, then polls it until it is lost.
async fn watch_target(shared: Rc<AgentShared>) {
    if shared.settings.kind == ServiceKind::Plain {
        shared.send(Event::TargetReady(EngineFacts::default()));
        return;
    }
    let boot = loop {
        if let Ok((facts, boot)) = shared.engine.reset().await {
            info!(shared.log, "engine ready"; "capacity" => facts.capacity);
            shared.send(Event::TargetReady(facts));
            break boot;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    };
    *shared.health.borrow_mut() = TargetHealth::new(shared.clock.now());
    let mut polls = 0;
    let mut cache_sequence = 0;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let outcome = match shared.engine.poll_load().await {
            Ok(load) if load.boot == boot => PollOutcome::Reported,
            Ok(_) => break,
            Err(outcome) => outcome,
        };
        if shared.health.borrow_mut().record_poll(outcome, shared.clock.now()) {
            break;
        }
        if let Ok(events) = shared.engine.get_cache_events(cache_sequence).await {
            for event in events {
                cache_sequence = event.sequence;
                shared.send(Event::Cache(event));
            }
        }
        polls += 1;
        if polls % POLLS_PER_HOLDINGS_CHECK == 0
            && let Ok(holdings) = shared.engine.get_holdings().await
        {
            shared.send(Event::EngineHoldings(holdings));
        }
    }
    warn!(shared.log, "engine lost");
    shared.send(Event::TargetLost);
}

async fn accept_all(shared: Rc<AgentShared>, listener: TcpListener) {
    let mut handshakes = VecDeque::new();
    let mut is_full = false;
    loop {
        let stream = accept_next(&listener).await;
        let handshake = spawn_local(accept_link(shared.clone(), stream));
        handshakes.push_back(handshake.abort_handle());
        handshakes.retain(|handshake: &AbortHandle| !handshake.is_finished());
        let oldest = if handshakes.len() > MAX_HANDSHAKES { handshakes.pop_front() } else { None };
        if oldest.is_some() && !is_full {
            warn!(shared.log, "handshakes of peers ended: too many are open";
                "open" => handshakes.len());
        }
        is_full = oldest.is_some();
        if let Some(oldest) = oldest {
            oldest.abort();
            // Its connection is closed in another turn of the event loop.
            tokio::task::yield_now().await;
        }
    }
}

/// Performs the handshake of a peer and serves its link. A stranger holds memory only until then.
async fn accept_link(shared: Rc<AgentShared>, stream: TcpStream) {
    match accept(stream, &shared.identity).await {
        Ok((socket, peer)) => {
            spawn_local(serve_link(shared, socket, peer));
        }
        Err(error) => debug!(shared.log, "handshake failed"; "error" => %error),
    }
}

async fn serve_link(shared: Rc<AgentShared>, socket: Socket, peer: ProcessId) {
    shared.next_conn.set(shared.next_conn.get() + 1);
    let conn = ConnId(shared.next_conn.get());
    let (sender, queue) = link_queue();
    shared.links.borrow_mut().insert(conn, sender);
    shared.open_links.set(shared.open_links.get() + 1);
    shared.send(Event::PeerUp(conn, peer));
    let attempts = RefCell::new(OpenAttempts::default());
    let on_message = |message: ToAgent| shared.send(Event::Peer(conn, message));
    run_link(socket, queue, LinkSide::Accepting, &attempts, on_message).await;
    shared.links.borrow_mut().remove(&conn);
    shared.open_links.set(shared.open_links.get() - 1);
    shared.send(Event::PeerGone(conn));
}

/// Closes all links after their queued messages have been sent.
async fn flush_links(shared: &AgentShared) {
    shared.links.borrow_mut().clear();
    let all_closed = async {
        while shared.open_links.get() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let _ = tokio::time::timeout(FLUSH_TIMEOUT, all_closed).await;
}
