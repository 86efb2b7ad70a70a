//! The relay process of one entry: sockets, timers and signals around the core.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::LocalSet;
use tokio::task::coop::unconstrained;

use super::caller_connection::{CallerAnswer, CallerConnection, CallerStream, GateClosing};
use super::core::{RelayCore, draw_entry_number};
use super::decide::connection_gate::{ConnectionGate, LATE_DELAY};
use super::decide::reservation::ReservationNames;
use super::decide::start_wait::StartPhase;
use super::discovery::follow_config::follow_config;
use super::discovery::follow_quarantine::follow_quarantine;
use super::discovery::follow_targets::{follow_targets, update_watching};
use super::discovery::proof_sync::PeerVerdict;
use super::discovery::source::DiscoverySource;
use super::log_line::ConnectionEnd;
use super::peers::config_copy::serve_copy;
use super::peers::peer_link::PeerLink;
use super::proxy::chunk_queue::SharedRoom;
use super::proxy::exchange::serve;
use super::proxy::protocol::{CallerProtocol, TargetProtocol};
use super::record::{DecisionLog, StdoutLog};
use super::settings::{RelaySettings, SettingsFile};
use super::shared::RelayShared;
use super::stop::StopPhase;
use super::stop_state::StopState;
use crate::Result;
use crate::client::HttpClient;
use crate::clock::{ProcessClock, SuspensionWatch, wall_micros};
use crate::connection::{ConnectionGroup, serve_requests};
use crate::head_limit::HeadLimit;
use crate::memory_budget::{MemoryBudget, connection_bytes};
use crate::program::on_reload_signal;
use crate::time::Tick;
use crate::web::{accept_next, bind_listener};

const MICROS_PER_MS: u64 = 1_000;

/// Interval at which kept connections and missing targets are checked for expiry.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which the delay of the event loop is checked.
const DELAY_INTERVAL: Duration = Duration::from_millis(50);

/// Turns of the event loop that a request takes, waits for its target aside.
const REQUEST_TURNS: u32 = 4;

/// Largest share of the descriptors that the connections of one listener beside that for callers
/// may use.
const PATH_SHARE_DIVISOR: usize = 25;

/// Interval at which the settings file is read again.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);

/// Interval at which a stopping process checks whether it may exit.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Protocols that the platform defines for callers, targets and its store.
pub struct RelayAdapter {
    /// Protocol of the callers.
    pub caller_protocol: CallerProtocol,
    /// Protocol of the targets.
    pub target_protocol: TargetProtocol,
    /// Source of the configuration and the target list: the platform's store.
    pub source: DiscoverySource,
}

/// Runs the relay until `stop` completes, and then until its open requests have ended.
///
/// # Errors
///
/// Returns an error if the settings file is invalid or an address cannot be bound.
pub async fn run_relay(
    file: SettingsFile,
    adapter: impl FnOnce(&RelaySettings) -> RelayAdapter,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let settings = file.read()?;
    let adapter = adapter(&settings);
    let local = LocalSet::new();
    local.run_until(run_local(file, settings, adapter, stop)).await
}

async fn run_local(
    file: SettingsFile,
    settings: RelaySettings,
    adapter: RelayAdapter,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let log = StdoutLog::new(&settings.name);
    let callers = bind_listener(settings.listen)?;
    let readiness = bind_listener(settings.readiness_listen)?;
    let metrics = bind_listener(settings.metrics_listen)?;
    let link = PeerLink::bind(settings.load_listen).await?;
    let config_copies = bind_listener(link.address())?;
    let limits = settings.to_limits();
    let clock = ProcessClock::new();
    let memory = MemoryBudget::new(connection_bytes(settings.memory_mb), clock);
    let entry = draw_entry_number();
    slog::info!(log.logger, "start"; "listen" => %settings.listen, "entry" => format!("{entry:016x}"),
        "version" => env!("CARGO_PKG_VERSION"));
    let shared = Rc::new(RelayShared {
        core: RefCell::new(RelayCore::new(limits, entry)),
        pool: RefCell::default(),
        caller_protocol: adapter.caller_protocol,
        target_protocol: adapter.target_protocol,
        log: DecisionLog::new(log),
        counts: RefCell::default(),
        stop: StopState::new(settings.stop_limit()),
        store_failed_at: Cell::new(None),
        start_phase: watch::Sender::new(StartPhase::Loading),
        store_recoveries: watch::Sender::new(0),
        peer_contact: RefCell::default(),
        cut_ends: watch::Sender::new(0),
        config_changed: Notify::new(),
        config_update: RefCell::default(),
        list_due: Notify::new(),
        peer_verdict: Cell::new(PeerVerdict::Useless),
        proof_received: Notify::new(),
        crash_checks: RefCell::default(),
        resumptions: watch::Sender::new(0),
        quarantine_write_due: Notify::new(),
        link,
        http_client: HttpClient::new(1),
        reservation_names: RefCell::new(ReservationNames::new(entry)),
        pending_permits: RefCell::default(),
        shared_room: SharedRoom::new(memory.clone()),
        memory,
        clock,
        connections: ConnectionGroup::new(),
        gate: RefCell::new(ConnectionGate::new(settings.max_descriptors)),
        max_descriptors: Cell::new(settings.max_descriptors),
        target_connections: Rc::default(),
        open_connections: Cell::new(0),
        gate_closing: GateClosing::default(),
        connections_taken: Notify::new(),
        delay_due: Cell::new(Tick::NEVER),
        loop_delay: Cell::default(),
        config_changed_at: Cell::default(),
    });
    shared.core.borrow_mut().set_unix_origin(wall_micros() / MICROS_PER_MS);
    let source = Rc::new(adapter.source);
    tokio::task::spawn_local(follow_config(shared.clone(), source.clone()));
    tokio::task::spawn_local(follow_quarantine(shared.clone(), source.clone()));
    tokio::task::spawn_local(follow_targets(shared.clone(), source));
    tokio::task::spawn_local(accept_until_stop(shared.clone(), callers));
    tokio::task::spawn_local(serve_paths(shared.clone(), readiness, answer_status));
    tokio::task::spawn_local(serve_paths(shared.clone(), metrics, answer_status));
    tokio::task::spawn_local(serve_paths(shared.clone(), config_copies, serve_copy));
    tokio::task::spawn_local(sweep(shared.clone()));
    tokio::task::spawn_local(record_loop_delay(shared.clone()));
    tokio::task::spawn_local(settle_connections(shared.clone()));
    tokio::task::spawn_local(super::peers::receive::receive(shared.clone()));
    tokio::task::spawn_local(reload_settings(shared.clone(), file, settings));
    stop.await;
    drain(&shared).await;
    Ok(())
}

/// Reads the settings file again on each reload signal and at an interval, since the file may
/// also change without a signal. Settings that cannot change while the process runs keep their
/// values, and the log line names those that were applied.
async fn reload_settings(shared: Rc<RelayShared>, file: SettingsFile, settings: RelaySettings) {
    let current = RefCell::new(settings);
    let reload = |is_signal: bool| match file.read() {
        Ok(settings) if settings != *current.borrow() => {
            shared.core.borrow_mut().set_limits(settings.to_limits());
            shared.stop.set_limit(settings.stop_limit());
            shared.gate.borrow_mut().set_max_descriptors(settings.max_descriptors);
            shared.max_descriptors.set(settings.max_descriptors);
            shared.memory.set_limit(connection_bytes(settings.memory_mb));
            slog::info!(shared.log.logger(), "settings reloaded";
                "applied" => "stop_s, max_descriptors, memory_mb, regions, revoke_ms, evacuate_ms, warmup_overrun, warmup_slack, fail_closed, drain_ms, store_history_s, retry_ratio, retry_slack, retry_window_s");
            *current.borrow_mut() = settings;
        }
        Ok(_) if is_signal => slog::info!(shared.log.logger(), "settings reloaded, none changed"),
        Ok(_) => {}
        Err(error) => slog::warn!(shared.log.logger(), "settings not reloaded, old ones kept";
            "error" => %error),
    };
    let timed = async {
        loop {
            tokio::time::sleep(SETTINGS_INTERVAL).await;
            reload(false);
        }
    };
    tokio::join!(on_reload_signal(|| reload(true)), timed);
}

/// Carries out a planned stop: callers are directed to other entries, and each request that has
/// begun to arrive is answered.
async fn drain(shared: &RelayShared) {
    let connections = &shared.connections;
    shared.stop.begin(shared.now());
    slog::info!(shared.log.logger(), "stop begun"; "open" => connections.busy());
    // From its end on, requests that still arrive are refused until their connections are closed,
    // and those that are open fail.
    while shared.stop.advance(connections.busy(), shared.now()) < StopPhase::Ended {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
    connections.close();
    loop {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        if shared.open_connections.get() == 0 || shared.stop.must_exit(shared.now()) {
            break;
        }
    }
    slog::info!(shared.log.logger(), "stop"; "open" => connections.busy());
    tokio::time::sleep(STOP_CHECK_INTERVAL).await;
}

/// Accepts connections of callers until all connections are closed. Those that wait by then are
/// taken first, since the system resets them with the listener.
async fn accept_until_stop(shared: Rc<RelayShared>, listener: TcpListener) {
    tokio::select! {
        biased;
        () = accept_callers(shared.clone(), listener) => {}
        () = shared.connections.closing() => {}
    }
}

async fn accept_callers(shared: Rc<RelayShared>, listener: TcpListener) {
    loop {
        // All waiting connections are taken, as the event loop's delay does not show those that
        // remain in the queue of the listener.
        let stream = unconstrained(accept_next(&listener)).await;
        // A delay concerns the connections that were taken before it.
        if shared.now().since(shared.delay_due.get()) >= LATE_DELAY {
            measure_delay(&shared);
        }
        let is_full = || shared.gate.borrow().is_full(shared.open_connections.get());
        if shared.memory.make_place(is_full).await {
            shared.record_crowding();
        }
        if shared.gate.borrow_mut().admit(shared.open_connections.get()) {
            let connection = Rc::new(CallerConnection::new(&shared));
            tokio::task::spawn_local(serve_caller(shared.clone(), stream, connection));
            shared.connections_taken.notify_one();
        } else {
            close_unread(&shared, stream);
            shared.counts.borrow().record_connection_end(ConnectionEnd::UnreadQuota);
            record_gate_closing(&shared);
        }
    }
}

/// Closes a connection, so that its caller tries another entry at once.
fn close_unread(shared: &RelayShared, stream: TcpStream) {
    drop(stream);
    shared.counts.borrow_mut().closed_unread += 1;
}

/// Logs that the gate has begun to close connections.
fn record_gate_closing(shared: &RelayShared) {
    if shared.gate_closing.record(shared.now()) {
        let quota = shared.gate.borrow().quota();
        let open = shared.open_connections.get();
        shared.log.gate_closing(quota, open, shared.loop_delay.get());
    }
}

/// Serves one connection of a caller.
async fn serve_caller(
    shared: Rc<RelayShared>,
    stream: TcpStream,
    connection: Rc<CallerConnection>,
) {
    if !ConnectionGate::is_timely(shared.now().since(connection.taken_at)) {
        close_unread(&shared, stream);
        connection.end(ConnectionEnd::UnreadLate, "");
        return;
    }
    if let Err(error) = stream.set_nodelay(true) {
        slog::debug!(shared.log.logger(), "TCP_NODELAY not set"; "error" => %error);
    }
    let stream = CallerStream { stream, connection: connection.clone() };
    // The limits of hyper are fixed for a connection, and those of the configuration change.
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(None);
    let group = shared.connections.clone();
    let head_limit = HeadLimit {
        wait_until_overdue: async || connection.wait_for_overdue_head().await,
        is_overdue: || connection.is_head_overdue(),
        max_bytes: || shared.core.borrow().rules().limits().max_head,
    };
    let handle = |request| async {
        connection.begin_request();
        let answer = serve(shared.clone(), request, &connection).await;
        connection.begin_answer();
        answer.map(|body| CallerAnswer { body, connection: connection.clone() })
    };
    let memory = connection.memory();
    match serve_requests(stream, builder, group, memory, head_limit, handle).await {
        Some(end) => connection.end_served(&end),
        None => connection.end_overdue(),
    }
}

/// Answers a request for a path.
type PathHandler = fn(&RelayShared, &str) -> Response<Full<Bytes>>;

/// Accepts connections of the balancer, of metrics scrapers or of other entries.
async fn serve_paths(shared: Rc<RelayShared>, listener: TcpListener, handler: PathHandler) {
    let open = Rc::new(());
    loop {
        let stream = accept_next(&listener).await;
        let max_open = shared.max_descriptors.get().map(|max| max / PATH_SHARE_DIVISOR);
        // One reference is the loop's own.
        if max_open.is_some_and(|max| Rc::strong_count(&open) > max.max(1)) {
            close_unread(&shared, stream);
            shared.record_crowding();
            continue;
        }
        let (shared, place) = (shared.clone(), open.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
                let answer = handler(&shared, request.uri().path());
                async move { Ok::<_, Infallible>(answer) }
            });
            // The peer notices a failure of its connection itself.
            drop(
                http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(Duration::from_secs(15))
                    .serve_connection(TokioIo::new(stream), service)
                    .await,
            );
            drop(place);
        });
    }
}

fn answer_status(shared: &RelayShared, path: &str) -> Response<Full<Bytes>> {
    let now = shared.now();
    let (status, body) = if path == shared.caller_protocol.readiness_path {
        let is_ready = !shared.stop.is_begun() && shared.core.borrow().is_ready(now);
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        (status, Vec::new())
    } else if path == "/metrics" {
        let core = shared.core.borrow();
        let (memory, lost_lines) = (shared.memory.figures(), shared.log.lost_lines());
        (StatusCode::OK, shared.counts.borrow().to_text(&core, &memory, lost_lines, now))
    } else {
        (StatusCode::NOT_FOUND, Vec::new())
    };
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Records by how much the event loop is late.
async fn record_loop_delay(shared: Rc<RelayShared>) {
    shared.delay_due.set(shared.now() + DELAY_INTERVAL);
    loop {
        let left = shared.delay_due.get().since(shared.now());
        if left.is_zero() {
            measure_delay(&shared);
        } else {
            tokio::time::sleep(left).await;
        }
    }
}

/// Records when the event loop has gone through the connections that were taken.
async fn settle_connections(shared: Rc<RelayShared>) {
    loop {
        shared.connections_taken.notified().await;
        while shared.gate.borrow().unsettled() > 0 {
            let taken = shared.gate.borrow().unsettled();
            let started_at = shared.now();
            for _ in 0..REQUEST_TURNS {
                tokio::task::yield_now().await;
            }
            let duration = shared.now().since(started_at);
            shared.gate.borrow_mut().record_settled(taken, duration);
        }
    }
}

fn measure_delay(shared: &RelayShared) {
    let now = shared.now();
    let delay = now.since(shared.delay_due.get());
    shared.delay_due.set(now + DELAY_INTERVAL);
    shared.loop_delay.set(delay);
    shared.gate.borrow_mut().record_delay(delay);
    if delay >= LATE_DELAY {
        shared.log.loop_late(delay, shared.open_connections.get(), now);
    }
    if let Some(closed) = shared.gate_closing.take_ended(now) {
        shared.log.gate_opened(closed, shared.gate.borrow().quota(), delay);
    }
}

/// Closes connections that were idle for too long, and removes targets that did not come back.
async fn sweep(shared: Rc<RelayShared>) {
    let mut was_held = false;
    let mut suspensions = SuspensionWatch::new();
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        if let Some(duration) = suspensions.take_suspension() {
            shared.handle_resumption(duration);
        }
        let now = shared.now();
        shared.pool.borrow_mut().expire(now);
        let change = shared.core.borrow_mut().expire_targets(now);
        shared.log.targets_changed(&change);
        shared.report_suspects();
        shared.core.borrow_mut().choose_engines(now);
        shared.core.borrow_mut().choose_part_holders();
        update_watching(&shared, now);
        shared.core.borrow_mut().expire_rates(now);
        shared.link.subscribe(&mut shared.core.borrow_mut(), now);
        if shared.peer_contact.borrow().is_cut_off(now) {
            shared.link.query_agents(&shared.core.borrow(), now);
        }
        shared.link.deposit(&mut shared.core.borrow_mut(), now);
        was_held = log_proof(&shared, was_held, now);
    }
}

/// Logs when the proof of the configuration lapses or is renewed. Returns whether it is held.
fn log_proof(shared: &RelayShared, was_held: bool, now: Tick) -> bool {
    let core = shared.core.borrow();
    let is_held = core.lease().is_held(now);
    if is_held != was_held {
        shared.log.proof_changed(is_held, core.lease().age(now), core.limits().stale_policy);
    }
    is_held
}
