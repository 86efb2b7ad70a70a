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
use super::peers::config_copy::serve_copy;
use super::peers::peer_link::PeerLink;
use super::proxy::exchange::serve;
use super::proxy::protocol::{CallerProtocol, TargetProtocol};
use super::record::{ConnectionEnd, DecisionLog, StdoutLog};
use super::settings::{RelaySettings, SettingsFile};
use super::shared::RelayShared;
use super::stop::{StopPhase, StopPlan};
use crate::Result;
use crate::client::HttpClient;
use crate::clock::{ProcessClock, SuspensionWatch, wall_micros};
use crate::connection::serve_requests;
use crate::program::on_reload_signal;
use crate::time::Tick;
use crate::web::{accept_next, bind_listener};

const MICROS_PER_MS: u64 = 1_000;

/// Interval at which kept connections and missing targets are checked for expiry.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which the delay of the event loop is checked.
const DELAY_INTERVAL: Duration = Duration::from_millis(50);

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
        is_stopping: Cell::new(false),
        is_closed_to_new: Cell::new(false),
        store_failed_at: Cell::new(None),
        start_phase: watch::Sender::new(StartPhase::Loading),
        store_recoveries: watch::Sender::new(0),
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
        clock: ProcessClock::new(),
        open_requests: Cell::new(0),
        gate: RefCell::new(ConnectionGate::new(settings.max_descriptors)),
        open_connections: Cell::new(0),
        gate_closing: GateClosing::default(),
        loop_delay: Cell::default(),
        config_changed_at: Cell::default(),
    });
    shared.core.borrow_mut().set_unix_origin(wall_micros() / MICROS_PER_MS);
    let source = Rc::new(adapter.source);
    let (close, closing) = watch::channel(false);
    tokio::task::spawn_local(follow_config(shared.clone(), source.clone()));
    tokio::task::spawn_local(follow_quarantine(shared.clone(), source.clone()));
    tokio::task::spawn_local(follow_targets(shared.clone(), source));
    tokio::task::spawn_local(accept_callers(shared.clone(), callers, closing));
    tokio::task::spawn_local(serve_paths(shared.clone(), readiness, answer_status));
    tokio::task::spawn_local(serve_paths(shared.clone(), metrics, answer_status));
    tokio::task::spawn_local(serve_paths(shared.clone(), config_copies, serve_copy));
    tokio::task::spawn_local(sweep(shared.clone()));
    tokio::task::spawn_local(record_loop_delay(shared.clone()));
    tokio::task::spawn_local(super::peers::receive::receive(shared.clone()));
    let stop_limit = settings.stop_limit();
    tokio::task::spawn_local(reload_settings(shared.clone(), file, settings));
    stop.await;
    drain(&shared, stop_limit, &close).await;
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
            slog::info!(shared.log.logger(), "settings reloaded";
                "applied" => "regions, revoke_ms, evacuate_ms, warmup_overrun, warmup_slack, fail_closed, drain_ms, store_history_s, retry_ratio, retry_slack, retry_window_s");
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

/// Carries out a planned stop: callers are directed to other entries, open requests continue.
async fn drain(shared: &RelayShared, limit: Duration, close: &watch::Sender<bool>) {
    let started_at = shared.now();
    shared.is_stopping.set(true);
    slog::info!(shared.log.logger(), "stop begun"; "open" => shared.open_requests.get());
    let plan = StopPlan::new(limit);
    loop {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        match plan.phase(shared.now().since(started_at), shared.open_requests.get()) {
            StopPhase::Serving => {}
            StopPhase::Finishing => shared.is_closed_to_new.set(true),
            StopPhase::Ended => break,
        }
    }
    shared.is_closed_to_new.set(true);
    // No new request is served from here on, so closing the connections disturbs no caller.
    close.send_replace(true);
    tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    slog::info!(shared.log.logger(), "stop"; "open" => shared.open_requests.get());
    tokio::time::sleep(STOP_CHECK_INTERVAL).await;
}

async fn accept_callers(
    shared: Rc<RelayShared>,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
) {
    loop {
        // All waiting connections are taken, as the event loop's delay does not show those that
        // remain in the queue of the listener.
        let stream = unconstrained(accept_next(&listener)).await;
        if shared.gate.borrow_mut().admit(shared.open_connections.get()) {
            let connection = Rc::new(CallerConnection::new(&shared));
            let served = serve_caller(shared.clone(), stream, connection, closing.clone());
            tokio::task::spawn_local(served);
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
    mut closing: watch::Receiver<bool>,
) {
    if !ConnectionGate::is_timely(shared.now().since(connection.taken_at)) {
        close_unread(&shared, stream);
        connection.end(ConnectionEnd::UnreadLate, "");
        return;
    }
    if let Err(error) = stream.set_nodelay(true) {
        slog::debug!(shared.log.logger(), "TCP_NODELAY not set"; "error" => %error);
    }
    let limits = shared.core.borrow().rules().limits();
    let stream = CallerStream { stream, connection: connection.clone() };
    // The timeout for a head includes the idle time between two requests, which callers may
    // use in full.
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_limit)
        .max_buf_size(limits.max_head.max(MIN_BUFFER_SIZE));
    let is_closing = Cell::new(false);
    let closing = async {
        // The sender outlives the connections.
        drop(closing.changed().await);
        is_closing.set(true);
    };
    let handle = |request| async {
        connection.begin_request();
        let answer = serve(shared.clone(), request, &connection).await;
        connection.begin_answer();
        answer.map(|body| CallerAnswer { body, connection: connection.clone() })
    };
    let end = serve_requests(stream, &builder, closing, handle).await;
    connection.end_served(&end, is_closing.get());
}

/// Smallest read buffer of a connection, in bytes.
const MIN_BUFFER_SIZE: usize = 8 * 1024;

/// Answers a request for a path.
type PathHandler = fn(&RelayShared, &str) -> Response<Full<Bytes>>;

/// Accepts connections of the balancer, of metrics scrapers or of other entries.
async fn serve_paths(shared: Rc<RelayShared>, listener: TcpListener, handler: PathHandler) {
    loop {
        let stream = accept_next(&listener).await;
        let shared = shared.clone();
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
        });
    }
}

fn answer_status(shared: &RelayShared, path: &str) -> Response<Full<Bytes>> {
    let now = shared.now();
    let (status, body) = if path == shared.caller_protocol.readiness_path {
        let is_ready = !shared.is_stopping.get() && shared.core.borrow().is_ready(now);
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        (status, Vec::new())
    } else if path == "/metrics" {
        let core = shared.core.borrow();
        (StatusCode::OK, shared.counts.borrow().to_text(&core, shared.log.lost_lines(), now))
    } else {
        (StatusCode::NOT_FOUND, Vec::new())
    };
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Records by how much the event loop is late.
async fn record_loop_delay(shared: Rc<RelayShared>) {
    loop {
        let due = shared.now() + DELAY_INTERVAL;
        tokio::time::sleep(DELAY_INTERVAL).await;
        let now = shared.now();
        let delay = now.since(due);
        shared.loop_delay.set(delay);
        shared.gate.borrow_mut().record_delay(delay);
        if delay >= LATE_DELAY {
            shared.log.loop_late(delay, shared.open_connections.get(), now);
        }
        if let Some(closed) = shared.gate_closing.take_ended(now) {
            shared.log.gate_opened(closed, shared.gate.borrow().quota(), delay);
        }
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
