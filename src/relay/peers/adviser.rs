//! The agent's part of the relay: it tells entries what others give to the
//! engine beside it, and how fast that engine is.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Request;
use tokio::net::UdpSocket;

use super::load_note::{LoadNote, MAX_NOTE};
use super::subscriber_set::{NoteOut, SubscriberSet};
use crate::Result;
use crate::client::{HttpClient, full};
use crate::clock::ProcessClock;
use crate::program::on_reload_signal;
use crate::relay::proxy::dialect::TargetDialect;
use crate::relay::settings::AdviserSettings;

/// Time between two looks at the engine's report while it works.
const REPORT_STEP: Duration = Duration::from_millis(400);

/// Longest time for a report: the engine is on the same host.
const REPORT_LIMIT: Duration = Duration::from_millis(300);

/// Pace of an engine that works as declared, in hundredths.
const DECLARED_PACE: u32 = 100;

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
    let mut pace = DECLARED_PACE;
    let mut buffer = [0; MAX_NOTE];
    let mut ticks = tokio::time::interval(REPORT_STEP);
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
                if set.is_busy() {
                    pace = read_pace(&client, &dialect, settings.target, &logger).await;
                }
            }
            received = socket.recv_from(&mut buffer) => {
                // A failed read is the echo of a datagram that nobody took.
                let Ok((length, from)) = received else { continue };
                if let Ok(note) = LoadNote::from_bytes(&buffer[..length]) {
                    send_all(&socket, set.on_note(&note, from, pace, clock.now()));
                }
            }
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

/// The engine's pace in hundredths, the declared one where it does not tell.
async fn read_pace(
    client: &HttpClient,
    dialect: &TargetDialect,
    target: SocketAddr,
    logger: &slog::Logger,
) -> u32 {
    let mut request = Request::new(full(""));
    let uri = format!("http://{target}{}", dialect.report_path);
    *request.uri_mut() = uri.parse().unwrap_or_default();
    let report = match client.call(request, REPORT_LIMIT).await {
        Ok(response) => (dialect.parse_report)(response.body()),
        Err(error) => Err(error),
    };
    match report {
        Ok(report) => (report.pace * f64::from(DECLARED_PACE)) as u32,
        Err(error) => {
            slog::warn!(logger, "no report of the target"; "error" => %error);
            DECLARED_PACE
        }
    }
}
