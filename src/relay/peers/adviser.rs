//! The agent's part of the relay: it tells entries what others give to the
//! engine beside it, and how fast that engine is.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{Fuse, FusedFuture, LocalBoxFuture};
use http_body_util::BodyExt;
use hyper::Request;
use tokio::net::UdpSocket;

use super::engine_watch::{EngineLook, EngineWatch, ReportEnd};
use super::load_note::{LoadNote, MAX_NOTE};
use super::subscriber_set::{NoteOut, SubscriberSet};
use crate::Result;
use crate::client::{CallFault, HttpClient, full};
use crate::clock::ProcessClock;
use crate::program::on_reload_signal;
use crate::relay::proxy::dialect::TargetDialect;
use crate::relay::settings::AdviserSettings;

/// How often the agent looks whether there is something to do, beside what comes in.
const TICK_STEP: Duration = Duration::from_millis(400);

/// Longest time for a report: the engine is on the same host.
const REPORT_LIMIT: Duration = Duration::from_millis(300);

/// Runs an agent until `stop` ends.
///
/// # Errors
///
/// Its address can not be listened on.
pub async fn run_adviser(
    settings: AdviserSettings,
    dialect: TargetDialect,
    logger: slog::Logger,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let socket = UdpSocket::bind(settings.load_listen).await?;
    slog::info!(logger, "start"; "listen" => %settings.load_listen, "target" => %settings.target);
    let clock = ProcessClock::new();
    let client = HttpClient::new(1);
    let mut set = SubscriberSet::default();
    let mut watch = EngineWatch::default();
    let mut looking: Fuse<LocalBoxFuture<'_, EngineLook>> = Fuse::terminated();
    let mut buffer = [0; MAX_NOTE];
    let mut ticks = tokio::time::interval(TICK_STEP);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    // Nothing of an agent's settings can change while it runs, and a signal
    // that says so must not end it.
    let hangups =
        on_reload_signal(|| slog::info!(logger, "settings not reloaded: none can change"));
    tokio::pin!(stop);
    tokio::pin!(hangups);
    loop {
        tokio::select! {
            () = &mut stop => break,
            () = &mut hangups => break,
            _ = ticks.tick() => {
                send_all(&socket, set.expire(clock.now()));
            }
            look = &mut looking, if !looking.is_terminated() => {
                let was_down = watch.is_down();
                if let Some(born_ms) = look.born_ms {
                    watch.note_born(born_ms);
                }
                if watch.note_report(look.end) {
                    send_all(&socket, set.to_down());
                }
                if let Some(exit) = watch.take_exit() {
                    send_all(&socket, set.to_exited(exit.next_ms));
                }
                if watch.is_down() != was_down {
                    slog::warn!(logger, "target"; "is_down" => watch.is_down());
                }
            }
            received = socket.recv_from(&mut buffer) => {
                // A failed read is the echo of a datagram that nobody took.
                let Ok((length, from)) = received else { continue };
                match LoadNote::from_bytes(&buffer[..length]) {
                    Ok(LoadNote::Suspect) => {
                        if watch.note_suspicion(from, clock.now()) {
                            send_all(&socket, set.to_down());
                        }
                    }
                    Ok(note) => {
                        let pace = watch.pace_percent();
                        send_all(&socket, set.on_note(&note, from, pace, clock.now()));
                    }
                    Err(error) => slog::debug!(logger, "datagram left out"; "error" => %error),
                }
            }
        }
        watch.set_scarce(set.is_scarce());
        if looking.is_terminated() && watch.is_due(set.is_busy(), clock.now()) {
            let look = read_report(&client, &dialect, settings.target, &logger);
            looking = look.boxed_local().fuse();
        }
    }
    slog::info!(logger, "stop");
    Ok(())
}

fn send_all(socket: &UdpSocket, notes: Vec<NoteOut>) {
    for out in notes {
        // A note that can not be sent now is worth nothing later.
        if let Ok(bytes) = out.note.to_bytes() {
            drop(socket.try_send_to(&bytes, out.to));
        }
    }
}

/// Looks at the engine's report.
async fn read_report(
    client: &HttpClient,
    dialect: &TargetDialect,
    target: SocketAddr,
    logger: &slog::Logger,
) -> EngineLook {
    let mut request = Request::new(full(""));
    let uri = format!("http://{target}{}", dialect.report_path);
    *request.uri_mut() = uri.parse().unwrap_or_default();
    let work = async {
        let response = client.send(request).await?;
        let body = response.into_body().collect().await;
        body.map_err(|error| CallFault::Unknown(error.to_string()))
    };
    let body = match tokio::time::timeout(REPORT_LIMIT, work).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(CallFault::NotSent(error))) => {
            slog::debug!(logger, "no report of the target"; "error" => error);
            return EngineLook::without_report(ReportEnd::Refused);
        }
        Ok(Err(CallFault::Unknown(error))) => {
            slog::warn!(logger, "no report of the target"; "error" => error);
            return EngineLook::without_report(ReportEnd::Missed);
        }
        Err(elapsed) => {
            slog::warn!(logger, "no report of the target"; "error" => %elapsed);
            return EngineLook::without_report(ReportEnd::Missed);
        }
    };
    match (dialect.parse_report)(&body) {
        Ok(report) => {
            let end = ReportEnd::Pace((report.pace * 100.0) as u32);
            EngineLook { end, born_ms: report.born_ms }
        }
        Err(error) => {
            slog::warn!(logger, "report of the target not read"; "error" => %error);
            EngineLook::without_report(ReportEnd::Missed)
        }
    }
}
