//! Links between entries and agents: WebSocket, with a handshake by shared key.
//!
//! The connecting side says who it is, both sides prove that they hold the
//! fleet's key, and then either sends frames. Control frames go before body
//! frames, so that a prompt of megabytes delays no probe.

use std::collections::HashSet;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use rand::Rng;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::error::{Error, ErrorCode, Result};
use crate::id::{AttemptKey, ProcessId};
use crate::wire::{
    Framed, MAX_FRAME, PROTOCOL_VERSION, ToAgent, ToEntry, from_control, to_control,
};

/// Longest time for a connection and its handshake.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(3);

/// Silence after which a busy link is tried with a ping.
const PING_AFTER: Duration = Duration::from_secs(1);

/// Silence after which a busy link counts as dead.
const DEAD_AFTER: Duration = Duration::from_secs(3);

/// Time without work after which a connecting side closes the link.
const IDLE_AFTER: Duration = Duration::from_secs(120);

/// Control frames that wait for a slow link before it is given up.
pub(crate) const CONTROL_QUEUE: usize = 16_384;

/// Body frames that wait for a slow link before it is given up.
pub(crate) const BODY_QUEUE: usize = 512;

type Socket = WebSocketStream<TcpStream>;
type Nonce = [u8; 16];

/// Who a process is and the key by which it proves to be of the fleet.
#[derive(Clone)]
pub struct PeerIdentity {
    /// The process.
    pub process: ProcessId,
    /// The fleet's shared key.
    pub key: std::sync::Arc<str>,
}

#[derive(Serialize, Deserialize)]
struct Hello {
    version: u16,
    process: ProcessId,
    nonce: Nonce,
}

#[derive(Serialize, Deserialize)]
struct Challenge {
    version: u16,
    process: ProcessId,
    nonce: Nonce,
    proof: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct Proof {
    proof: Vec<u8>,
}

/// Frames to be sent over a link.
#[derive(Clone)]
pub(crate) struct LinkSender {
    control: mpsc::Sender<Bytes>,
    body: mpsc::Sender<Bytes>,
}

/// The sending ends' counterpart, kept by the link's task.
pub(crate) struct LinkQueue {
    control: mpsc::Receiver<Bytes>,
    body: mpsc::Receiver<Bytes>,
}

pub(crate) fn link_queue() -> (LinkSender, LinkQueue) {
    let (control_in, control) = mpsc::channel(CONTROL_QUEUE);
    let (body_in, body) = mpsc::channel(BODY_QUEUE);
    (LinkSender { control: control_in, body: body_in }, LinkQueue { control, body })
}

impl LinkSender {
    /// Queues a frame, false where the link is gone or too slow.
    pub(crate) fn send(&self, frame: Bytes, is_body: bool) -> bool {
        let queue = if is_body { &self.body } else { &self.control };
        queue.try_send(frame).is_ok()
    }
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME))
        .max_frame_size(Some(MAX_FRAME))
        .accept_unmasked_frames(false)
}

/// Connects to an agent and shakes hands.
///
/// # Errors
///
/// The address does not answer, or the other side lacks the key or the version.
pub(crate) async fn connect(address: &str, me: &PeerIdentity) -> Result<(Socket, ProcessId)> {
    let work = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let request = format!("ws://{address}/");
        let config = Some(socket_config());
        let opened = tokio_tungstenite::client_async_with_config(request, stream, config).await;
        let (mut socket, _) = opened.map_err(Error::unreachable)?;
        let peer = greet(&mut socket, me).await?;
        Ok((socket, peer))
    };
    timeout(HANDSHAKE_LIMIT, work).await.map_err(Error::unreachable)?
}

/// Accepts an entry's connection and shakes hands.
///
/// # Errors
///
/// The other side is slow, or lacks the key or the version.
pub(crate) async fn accept(stream: TcpStream, me: &PeerIdentity) -> Result<(Socket, ProcessId)> {
    let work = async {
        stream.set_nodelay(true)?;
        let opened = tokio_tungstenite::accept_async_with_config(stream, Some(socket_config()));
        let mut socket = opened.await.map_err(Error::unreachable)?;
        let peer = welcome(&mut socket, me).await?;
        Ok((socket, peer))
    };
    timeout(HANDSHAKE_LIMIT, work).await.map_err(Error::unreachable)?
}

async fn greet(socket: &mut Socket, me: &PeerIdentity) -> Result<ProcessId> {
    let nonce: Nonce = rand::rng().random();
    let hello = Hello { version: PROTOCOL_VERSION, process: me.process.clone(), nonce };
    send_control(socket, &hello).await?;
    let challenge: Challenge = receive_control(socket).await?;
    check_version(challenge.version)?;
    let mac = prove(&me.key, "agent", &nonce, &challenge.nonce, &challenge.process);
    check_proof(mac, &challenge.proof)?;
    let mac = prove(&me.key, "entry", &nonce, &challenge.nonce, &me.process);
    let proof = mac.finalize().into_bytes().to_vec();
    send_control(socket, &Proof { proof }).await?;
    Ok(challenge.process)
}

async fn welcome(socket: &mut Socket, me: &PeerIdentity) -> Result<ProcessId> {
    let hello: Hello = receive_control(socket).await?;
    check_version(hello.version)?;
    let nonce: Nonce = rand::rng().random();
    let mac = prove(&me.key, "agent", &hello.nonce, &nonce, &me.process);
    let proof = mac.finalize().into_bytes().to_vec();
    let process = me.process.clone();
    send_control(socket, &Challenge { version: PROTOCOL_VERSION, process, nonce, proof }).await?;
    let answer: Proof = receive_control(socket).await?;
    let mac = prove(&me.key, "entry", &hello.nonce, &nonce, &hello.process);
    check_proof(mac, &answer.proof)?;
    Ok(hello.process)
}

fn check_version(version: u16) -> Result<()> {
    if version == PROTOCOL_VERSION {
        return Ok(());
    }
    Err(Error::from_code(ErrorCode::Handshake("unknown protocol version")))
}

fn check_proof(mac: Hmac<Sha256>, proof: &[u8]) -> Result<()> {
    let wrong = |_| Error::from_code(ErrorCode::Handshake("wrong key"));
    mac.verify_slice(proof).map_err(wrong)
}

fn prove(key: &str, role: &str, first: &Nonce, second: &Nonce, who: &ProcessId) -> Hmac<Sha256> {
    // HMAC takes keys of any length, so this can not fail.
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(key.as_bytes()) else {
        unreachable!("hmac takes keys of any length")
    };
    mac.update(role.as_bytes());
    mac.update(first);
    mac.update(second);
    mac.update(who.to_string().as_bytes());
    mac
}

async fn send_control<T: Serialize>(socket: &mut Socket, message: &T) -> Result<()> {
    let frame = Message::Binary(to_control(message));
    socket.send(frame).await.map_err(Error::unreachable)
}

async fn receive_control<T: serde::de::DeserializeOwned>(socket: &mut Socket) -> Result<T> {
    match socket.next().await {
        Some(Ok(Message::Binary(frame))) => from_control(&frame),
        Some(Ok(_)) => Err(Error::from_code(ErrorCode::Handshake("not a binary frame"))),
        Some(Err(error)) => Err(Error::unreachable(error)),
        None => Err(Error::unreachable("closed")),
    }
}

/// A message as a link keeps count of open work by it.
pub(crate) trait LinkMessage: Framed {
    /// The attempt whose work begins or goes on with this message.
    fn opens(&self) -> Option<AttemptKey>;

    /// The attempt whose work ends with this message.
    fn closes(&self) -> Option<AttemptKey>;
}

impl LinkMessage for ToAgent {
    fn opens(&self) -> Option<AttemptKey> {
        match self {
            ToAgent::Dispatch(dispatch) => Some(dispatch.attempt),
            ToAgent::Resume(resume) => Some(resume.attempt),
            ToAgent::Hold(hold) => Some(hold.attempt),
            _ => None,
        }
    }

    fn closes(&self) -> Option<AttemptKey> {
        match self {
            ToAgent::Cancel(key) | ToAgent::Release(key) => Some(*key),
            _ => None,
        }
    }
}

impl LinkMessage for ToEntry {
    fn opens(&self) -> Option<AttemptKey> {
        None
    }

    fn closes(&self) -> Option<AttemptKey> {
        match self {
            ToEntry::Refused { attempt, .. }
            | ToEntry::Done(attempt, _)
            | ToEntry::Failed { attempt, .. }
            | ToEntry::NotHeld(attempt) => Some(*attempt),
            _ => None,
        }
    }
}

/// Attempts that are open on a link, shared by its two directions.
#[derive(Debug, Default)]
pub(crate) struct OpenWork(HashSet<AttemptKey>);

impl OpenWork {
    pub(crate) fn note<M: LinkMessage>(&mut self, message: &M) {
        if let Some(key) = message.opens() {
            self.0.insert(key);
        }
        if let Some(key) = message.closes() {
            self.0.remove(&key);
        }
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Why a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkEnd {
    /// This side let go of its sender, or the other side closed.
    Closed,
    /// A frame that is not of the protocol.
    BadFrame,
    /// No sign of life.
    Silent,
    /// Nothing to do.
    Idle,
}

/// Which side of a link this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkSide {
    /// The connecting side: watches the other, and closes when idle.
    Connecting,
    /// The accepting side.
    Accepting,
}

/// Moves frames until the link ends. `on_message` returns false to end it.
pub(crate) async fn run_link<In: LinkMessage>(
    mut socket: Socket,
    mut queue: LinkQueue,
    side: LinkSide,
    work: &std::cell::RefCell<OpenWork>,
    mut on_message: impl FnMut(In),
) -> LinkEnd {
    let mut heard = Instant::now();
    let mut used = heard;
    let mut beat = tokio::time::interval(PING_AFTER);
    loop {
        tokio::select! {
            biased;
            frame = queue.control.recv() => {
                let Some(frame) = frame else { break };
                used = Instant::now();
                if socket.feed(Message::Binary(frame)).await.is_err() {
                    return LinkEnd::Closed;
                }
                while let Ok(frame) = queue.control.try_recv() {
                    if socket.feed(Message::Binary(frame)).await.is_err() {
                        return LinkEnd::Closed;
                    }
                }
                if socket.flush().await.is_err() {
                    return LinkEnd::Closed;
                }
            }
            incoming = socket.next() => {
                let Some(Ok(incoming)) = incoming else { return LinkEnd::Closed };
                heard = Instant::now();
                match incoming {
                    Message::Binary(frame) => {
                        used = heard;
                        let Ok(message) = In::from_frame(frame) else { return LinkEnd::BadFrame };
                        work.borrow_mut().note(&message);
                        on_message(message);
                    }
                    Message::Ping(_) | Message::Pong(_) => {}
                    _ => return LinkEnd::Closed,
                }
            }
            Some(frame) = queue.body.recv() => {
                used = Instant::now();
                if socket.send(Message::Binary(frame)).await.is_err() {
                    return LinkEnd::Closed;
                }
            }
            _ = beat.tick(), if side == LinkSide::Connecting => {
                let is_busy = !work.borrow().is_empty();
                if !is_busy && used.elapsed() > IDLE_AFTER {
                    break;
                }
                if !is_busy {
                    heard = Instant::now();
                    continue;
                }
                let silence = heard.elapsed();
                if silence > DEAD_AFTER {
                    return LinkEnd::Silent;
                }
                // A stream of answers is a sign of life by itself.
                if silence < PING_AFTER {
                    continue;
                }
                if socket.send(Message::Ping(Bytes::new())).await.is_err() {
                    return LinkEnd::Closed;
                }
            }
        }
    }
    let _ = timeout(HANDSHAKE_LIMIT, socket.close(None)).await;
    if used.elapsed() > IDLE_AFTER { LinkEnd::Idle } else { LinkEnd::Closed }
}
