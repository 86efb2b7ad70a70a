//! The relay of one entry: its sockets, timers and signals round the core.

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

use super::core::RelayCore;
use super::decide::start_wait::StartPhase;
use super::discovery::feed::PlatformFeed;
use super::discovery::follow_config::follow_config;
use super::discovery::follow_quarantine::follow_quarantine;
use super::discovery::follow_targets::{follow_list_share, follow_targets};
use super::discovery::proof_share::PeerVerdict;
use super::peers::config_copy::answer_copy;
use super::peers::load_link::LoadLink;
use super::proxy::dialect::{CallerDialect, TargetDialect};
use super::proxy::exchange::serve;
use super::record::{DecisionLog, StdoutLog};
use super::settings::{RelaySettings, SettingsFile};
use super::shared::RelayShared;
use super::stop::{StopPhase, StopPlan};
use crate::Result;
use crate::client::HttpClient;
use crate::clock::{ProcessClock, SuspensionWatch, new_incarnation, wall_micros};
use crate::program::on_reload_signal;
use crate::time::Tick;
use crate::web::accept_next;

const MICROS_PER_MS: u64 = 1_000;

/// How often kept connections and missing targets are looked through.
const SWEEP_STEP: Duration = Duration::from_millis(250);

/// How often the settings file is looked at.
const SETTINGS_STEP: Duration = Duration::from_secs(5);

/// How often a stopping process looks whether it may end.
const STOP_STEP: Duration = Duration::from_millis(50);

/// How callers, targets and the platform's store are spoken to.
pub struct RelayAdapter {
    /// Callers.
    pub callers: CallerDialect,
    /// Targets.
    pub targets: TargetDialect,
    /// The store.
    pub feed: PlatformFeed,
}

/// Runs the relay until `stop` ends, and then until its requests have ended.
///
/// # Errors
///
/// The settings file is not right, or an address can not be listened on.
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
    let callers = TcpListener::bind(settings.listen).await?;
    let readiness = TcpListener::bind(settings.readiness_listen).await?;
    let metrics = TcpListener::bind(settings.metrics_listen).await?;
    let link = LoadLink::bind(settings.load_listen).await?;
    let copies = TcpListener::bind(link.address()).await?;
    let limits = settings.to_limits();
    slog::info!(log.logger, "start"; "listen" => %settings.listen, "version" => env!("CARGO_PKG_VERSION"));
    let shared = Rc::new(RelayShared {
        core: RefCell::new(RelayCore::new(limits, new_incarnation().0)),
        pool: RefCell::default(),
        callers: adapter.callers,
        targets: adapter.targets,
        log: DecisionLog::new(log),
        counts: RefCell::default(),
        is_stopping: Cell::new(false),
        is_closed_to_new: Cell::new(false),
        away_at: Cell::new(None),
        start: watch::Sender::new(StartPhase::Reading),
        outages: watch::Sender::new(0),
        config_changed: Notify::new(),
        config_news: RefCell::default(),
        list_due: Notify::new(),
        peer_verdict: Cell::new(PeerVerdict::Useless),
        proof_told: Notify::new(),
        end_checks: RefCell::default(),
        resumes: watch::Sender::new(0),
        quarantine_due: Notify::new(),
        link,
        orders: HttpClient::new(1),
        order_number: Cell::new(0),
        permit_asks: RefCell::default(),
        clock: ProcessClock::new(),
        open: Cell::new(0),
    });
    shared.core.borrow_mut().set_epoch(wall_micros() / MICROS_PER_MS);
    let feed = Rc::new(adapter.feed);
    let (close, closing) = watch::channel(false);
    tokio::task::spawn_local(follow_config(shared.clone(), feed.clone()));
    tokio::task::spawn_local(follow_quarantine(shared.clone(), feed.clone()));
    tokio::task::spawn_local(follow_targets(shared.clone(), feed));
    tokio::task::spawn_local(accept_callers(shared.clone(), callers, closing));
    tokio::task::spawn_local(accept_paths(shared.clone(), readiness, answer_status));
    tokio::task::spawn_local(accept_paths(shared.clone(), metrics, answer_status));
    tokio::task::spawn_local(accept_paths(shared.clone(), copies, answer_copy));
    tokio::task::spawn_local(sweep(shared.clone()));
    tokio::task::spawn_local(super::peers::receive::receive(shared.clone()));
    let stop_limit = settings.stop_limit();
    tokio::task::spawn_local(follow_settings(shared.clone(), file, settings));
    stop.await;
    drain(&shared, stop_limit, &close).await;
    Ok(())
}

/// Reads the settings file again when the process is told to, and from time to
/// time: it may also change without a word. What can not change while the
/// process runs is left as it was, and said so.
async fn follow_settings(shared: Rc<RelayShared>, file: SettingsFile, settings: RelaySettings) {
    let current = RefCell::new(settings);
    let reload = |is_told: bool| match file.read() {
        Ok(settings) if settings != *current.borrow() => {
            shared.core.borrow_mut().set_limits(settings.to_limits());
            slog::info!(shared.log.logger(), "settings reloaded";
                "applied" => "regions, revoke_ms, evacuate_ms, warmup_overrun, warmup_slack, fail_closed, drain_ms, store_history_s, retry_ratio, retry_slack, retry_window_s");
            *current.borrow_mut() = settings;
        }
        Ok(_) if is_told => slog::info!(shared.log.logger(), "settings reloaded, none changed"),
        Ok(_) => {}
        Err(error) => slog::warn!(shared.log.logger(), "settings not reloaded, the old ones hold";
            "error" => %error),
    };
    let timed = async {
        loop {
            tokio::time::sleep(SETTINGS_STEP).await;
            reload(false);
        }
    };
    tokio::join!(on_reload_signal(|| reload(true)), timed);
}

/// A planned stop: callers are sent elsewhere, what is open goes on.
async fn drain(shared: &RelayShared, limit: Duration, close: &watch::Sender<bool>) {
    let begin = shared.now();
    shared.is_stopping.set(true);
    slog::info!(shared.log.logger(), "stop begun"; "open" => shared.open.get());
    let plan = StopPlan::new(limit);
    loop {
        tokio::time::sleep(STOP_STEP).await;
        match plan.phase(shared.now().since(begin), shared.open.get()) {
            StopPhase::Serving => {}
            StopPhase::Finishing => shared.is_closed_to_new.set(true),
            StopPhase::Ended => break,
        }
    }
    shared.is_closed_to_new.set(true);
    // Nobody is left who would not want to be told.
    close.send_replace(true);
    tokio::time::sleep(STOP_STEP).await;
    slog::info!(shared.log.logger(), "stop"; "open" => shared.open.get());
    tokio::time::sleep(STOP_STEP).await;
}

async fn accept_callers(
    shared: Rc<RelayShared>,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
) {
    loop {
        let stream = accept_next(&listener).await;
        tokio::task::spawn_local(serve_caller(shared.clone(), stream, closing.clone()));
    }
}

/// Serves one connection of a caller.
async fn serve_caller(
    shared: Rc<RelayShared>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        slog::debug!(shared.log.logger(), "no delay not set"; "error" => %error);
    }
    let limits = shared.core.borrow().rules().limits();
    let service_shared = shared.clone();
    let service = service_fn(move |request| {
        let shared = service_shared.clone();
        async move { Ok::<_, Infallible>(serve(shared, request).await) }
    });
    // The time for a head includes the rest between two requests, which
    // callers may use up.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_limit)
        .max_buf_size(limits.max_head.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    loop {
        tokio::select! {
            // How a connection ends is the caller's affair: its requests have
            // answers of their own.
            _ = connection.as_mut() => return,
            _ = closing.changed() => connection.as_mut().graceful_shutdown(),
        }
    }
}

/// Smallest buffer of a connection.
const MIN_BUFFER: usize = 8 * 1024;

/// What is answered to a request for a path.
type PathAnswer = fn(&RelayShared, &str) -> Response<Full<Bytes>>;

/// Answers the balancer, whoever reads metrics, and other entries.
async fn accept_paths(shared: Rc<RelayShared>, listener: TcpListener, answer: PathAnswer) {
    loop {
        let stream = accept_next(&listener).await;
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
                let answer = answer(&shared, request.uri().path());
                async move { Ok::<_, Infallible>(answer) }
            });
            // The one who asked sees how it ended.
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
    let (status, body) = if path == shared.callers.readiness_path {
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

/// Closes what rested too long, and forgets what did not come back.
async fn sweep(shared: Rc<RelayShared>) {
    let mut was_held = false;
    let mut watch = SuspensionWatch::new();
    loop {
        tokio::time::sleep(SWEEP_STEP).await;
        if let Some(span) = watch.look() {
            shared.note_resumed(span);
        }
        let now = shared.now();
        shared.pool.borrow_mut().expire(now);
        let change = shared.core.borrow_mut().expire_targets(now);
        shared.log.targets_changed(&change);
        shared.tell_suspects();
        shared.core.borrow_mut().choose_engines(now);
        follow_list_share(&shared, now);
        shared.core.borrow_mut().expire_rates(now);
        shared.link.subscribe(&mut shared.core.borrow_mut(), now);
        was_held = log_proof(&shared, was_held, now);
    }
}

/// Says where the proof of the configuration lapsed or is back. Returns whether
/// it is held.
fn log_proof(shared: &RelayShared, was_held: bool, now: Tick) -> bool {
    let core = shared.core.borrow();
    let is_held = core.lease().is_held(now);
    if is_held != was_held {
        shared.log.proof_changed(is_held, core.lease().age(now), core.limits().stale_policy);
    }
    is_held
}
