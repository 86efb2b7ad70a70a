//! The load coordinator of an agent: it relays the load that entries place on the engine beside it,
//! and reports how fast that engine is.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{Fuse, FusedFuture, LocalBoxFuture};
use hyper::Request;
use tokio::net::UdpSocket;

use super::engine_health::{EngineHealth, EnginePoll, PollResult};
use super::peer_message::{MAX_DATAGRAM_BYTES, PeerMessage};
use super::subscriber_set::{OutboundMessage, SubscriberSet};
use crate::Result;
use crate::client::{CallFault, HttpClient, full, read_whole};
use crate::clock::ProcessClock;
use crate::program::on_reload_signal;
use crate::relay::proxy::protocol::TargetProtocol;
use crate::relay::settings::CoordinatorSettings;

/// Interval at which the agent checks for expired state, besides handling incoming messages.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(400);

/// Longest time for a report: the engine is on the same host.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Runs an agent until `stop` ends.
///
/// # Errors
///
/// Its address cannot be bound.
pub async fn run_coordinator(
    settings: CoordinatorSettings,
    protocol: TargetProtocol,
    logger: slog::Logger,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let socket = UdpSocket::bind(settings.load_listen).await?;
    slog::info!(logger, "start"; "listen" => %settings.load_listen, "target" => %settings.target);
    let clock = ProcessClock::new();
    let client = HttpClient::new(1);
    let mut subscribers = SubscriberSet::default();
    let mut health = EngineHealth::default();
    let mut polling: Fuse<LocalBoxFuture<'_, EnginePoll>> = Fuse::terminated();
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let mut ticks = tokio::time::interval(EXPIRY_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    // None of an agent's settings can change while it runs, and a reload signal must not end it.
    let hangups = on_reload_signal(|| slog::info!(logger, "settings not reloaded: all are fixed"));
    tokio::pin!(stop);
    tokio::pin!(hangups);
    loop {
        tokio::select! {
            () = &mut stop => break,
            () = &mut hangups => break,
            _ = ticks.tick() => {
                send_all(&socket, subscribers.expire(clock.now()));
            }
            poll = &mut polling, if !polling.is_terminated() => {
                let was_down = health.is_down();
                if let Some(started_ms) = poll.started_ms {
                    health.record_started(started_ms);
                }
                if health.record_report(poll.result) {
                    send_all(&socket, subscribers.to_down());
                }
                if let Some(exit) = health.take_exit() {
                    send_all(&socket, subscribers.to_exited(exit.next_ms));
                }
                if health.is_down() != was_down {
                    slog::warn!(logger, "target"; "is_down" => health.is_down());
                }
            }
            received = socket.recv_from(&mut buffer) => {
                // A failed read is the ICMP error for a datagram that no process received.
                let Ok((length, from)) = received else { continue };
                match PeerMessage::from_bytes(&buffer[..length]) {
                    Ok(PeerMessage::SuspectEngine) => {
                        if health.record_suspicion(from, clock.now()) {
                            send_all(&socket, subscribers.to_down());
                        }
                    }
                    Ok(message) => {
                        let pace = health.pace_percent();
                        send_all(&socket, subscribers.on_message(&message, from, pace, clock.now()));
                    }
                    Err(error) => slog::debug!(logger, "invalid datagram ignored";
                        "error" => %error),
                }
            }
        }
        health.set_rate_limited(subscribers.is_rate_limited());
        if polling.is_terminated() && health.is_due(subscribers.is_busy(), clock.now()) {
            let poll = poll_report(&client, &protocol, settings.target, &logger);
            polling = poll.boxed_local().fuse();
        }
    }
    slog::info!(logger, "stop");
    Ok(())
}

fn send_all(socket: &UdpSocket, messages: Vec<OutboundMessage>) {
    for out in messages {
        // A message that cannot be sent now is worthless later.
        if let Ok(bytes) = out.message.to_bytes() {
            drop(socket.try_send_to(&bytes, out.to));
        }
    }
}

/// Polls the engine's report.
async fn poll_report(
    client: &HttpClient,
    protocol: &TargetProtocol,
    target: SocketAddr,
    logger: &slog::Logger,
) -> EnginePoll {
    let mut request = Request::new(full(""));
    let uri = format!("http://{target}{}", protocol.report_path);
    *request.uri_mut() = uri.parse().unwrap_or_default();
    let work = async {
        let response = client.send(request).await?;
        read_whole(response.into_body()).await.map_err(CallFault::Unknown)
    };
    let body = match tokio::time::timeout(REPORT_TIMEOUT, work).await {
        Ok(Ok(body)) => body,
        Ok(Err(CallFault::NotSent(error))) => {
            slog::debug!(logger, "could not poll the target's report"; "error" => error);
            return EnginePoll::without_report(PollResult::Refused);
        }
        Ok(Err(CallFault::Unknown(error))) => {
            slog::warn!(logger, "could not poll the target's report"; "error" => error);
            return EnginePoll::without_report(PollResult::Broken);
        }
        Err(elapsed) => {
            slog::warn!(logger, "could not poll the target's report"; "error" => %elapsed);
            return EnginePoll::without_report(PollResult::Missed);
        }
    };
    match (protocol.parse_report)(&body) {
        Ok(report) => {
            let result = PollResult::Pace((report.pace * 100.0) as u32);
            EnginePoll { result, started_ms: report.started_ms }
        }
        Err(error) => {
            slog::warn!(logger, "could not parse the target's report"; "error" => %error);
            EnginePoll::without_report(PollResult::Missed)
        }
    }
}
