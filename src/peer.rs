//! Links between entries and agents: WebSocket connections with a shared-key handshake.
//!
//! The connecting side sends its process id, both sides prove that they hold the
//! fleet's key, and then both may send frames. Control frames are sent before body
//! frames, so that a prompt of several megabytes does not delay a probe.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use rand::Rng;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, timeout};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::error::{Error, ErrorCode, Result};
use crate::id::{AttemptKey, ProcessId};
use crate::wire::{
    Framed, MAX_FRAME_BYTES, PROTOCOL_VERSION, ToAgent, ToEntry, from_control, to_control,
};

/// Timeout for a connection attempt with its handshake, and for closing a link.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without a received frame after which a link with open attempts is pinged.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a received frame after which a link with open attempts counts as dead.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without traffic after which the connecting side closes a link without open attempts.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Capacity of a link's queue of control frames. A link whose queue is full is too slow and
/// is closed.
pub(crate) const CONTROL_QUEUE_LEN: usize = 16_384;

/// Capacity of a link's queue of body frames. A link whose queue is full is too slow and
/// is closed.
pub(crate) const BODY_QUEUE_LEN: usize = 512;

/// Duration from which a write counts as blocked.
const BLOCKED_WRITE: Duration = Duration::from_millis(50);

/// Initial size of the read buffer of a link, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

pub(crate) type Socket = WebSocketStream<TcpStream>;
type Nonce = [u8; 16];

/// Id of a process, with the key that proves its membership of the fleet.
#[derive(Clone)]
pub struct PeerIdentity {
    /// Id of the process.
    pub process: ProcessId,
    /// Shared key of the fleet.
    pub key: std::sync::Arc<str>,
}

/// First message of the handshake, from the connecting side.
#[derive(Serialize, Deserialize)]
struct Hello {
    version: u16,
    process: ProcessId,
    nonce: Nonce,
}

/// Answer of the accepting side, with its proof.
#[derive(Serialize, Deserialize)]
struct Challenge {
    version: u16,
    process: ProcessId,
    nonce: Nonce,
    proof: Vec<u8>,
}

/// Last message of the handshake: the proof of the connecting side.
#[derive(Serialize, Deserialize)]
struct Proof {
    proof: Vec<u8>,
}

/// Sending ends of a link's queues of outgoing frames.
#[derive(Clone)]
pub(crate) struct LinkSender {
    control: mpsc::Sender<Bytes>,
    body: mpsc::Sender<Bytes>,
    queued_bytes: Rc<Cell<usize>>,
}

/// Receiving ends of a link's queues of outgoing frames, drained by the link's task.
pub(crate) struct LinkQueue {
    control: mpsc::Receiver<Bytes>,
    body: mpsc::Receiver<Bytes>,
    queued_bytes: Rc<Cell<usize>>,
}

/// Creates the queues of a link.
pub(crate) fn link_queue() -> (LinkSender, LinkQueue) {
    let (control_sender, control) = mpsc::channel(CONTROL_QUEUE_LEN);
    let (body_sender, body) = mpsc::channel(BODY_QUEUE_LEN);
    let queued_bytes = Rc::<Cell<usize>>::default();
    let sender = LinkSender {
        control: control_sender,
        body: body_sender,
        queued_bytes: queued_bytes.clone(),
    };
    (sender, LinkQueue { control, body, queued_bytes })
}

impl LinkSender {
    /// Queues a frame. Returns `false` if the link has ended or its queue is full.
    pub(crate) fn send(&self, frame: Bytes, is_body: bool) -> bool {
        let queue = if is_body { &self.body } else { &self.control };
        let length = frame.len();
        let is_queued = queue.try_send(frame).is_ok();
        if is_queued {
            self.queued_bytes.set(self.queued_bytes.get() + length);
        }
        is_queued
    }

    /// Returns the size of the frames that are queued and not written yet, in bytes.
    pub(crate) fn queued_bytes(&self) -> usize {
        self.queued_bytes.get()
    }
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
        .accept_unmasked_frames(false)
}

/// Connects to an agent and performs the handshake.
///
/// # Errors
///
/// The address does not answer in time, or the peer has another key or protocol version.
pub(crate) async fn connect(address: &str, identity: &PeerIdentity) -> Result<(Socket, ProcessId)> {
    let work = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let request = format!("ws://{address}/");
        let config = Some(socket_config());
        let opened = tokio_tungstenite::client_async_with_config(request, stream, config).await;
        let (mut socket, _) = opened.map_err(Error::unreachable)?;
        let peer = initiate_handshake(&mut socket, identity).await?;
        Ok((socket, peer))
    };
    timeout(HANDSHAKE_TIMEOUT, work).await.map_err(Error::unreachable)?
}

/// Accepts an entry's connection and performs the handshake.
///
/// # Errors
///
/// The peer does not answer in time, or has another key or protocol version.
pub(crate) async fn accept(
    stream: TcpStream,
    identity: &PeerIdentity,
) -> Result<(Socket, ProcessId)> {
    let work = async {
        stream.set_nodelay(true)?;
        let opened = tokio_tungstenite::accept_async_with_config(stream, Some(socket_config()));
        let mut socket = opened.await.map_err(Error::unreachable)?;
        let peer = accept_handshake(&mut socket, identity).await?;
        Ok((socket, peer))
    };
    timeout(HANDSHAKE_TIMEOUT, work).await.map_err(Error::unreachable)?
}

/// Performs the handshake as the connecting side. Returns the id of the peer.
async fn initiate_handshake(socket: &mut Socket, identity: &PeerIdentity) -> Result<ProcessId> {
    let nonce: Nonce = rand::rng().random();
    let hello = Hello { version: PROTOCOL_VERSION, process: identity.process.clone(), nonce };
    send_control(socket, &hello).await?;
    let challenge: Challenge = receive_control(socket).await?;
    check_version(challenge.version)?;
    let mac = proof_code(&identity.key, "agent", &nonce, &challenge.nonce, &challenge.process);
    check_proof(mac, &challenge.proof)?;
    let mac = proof_code(&identity.key, "entry", &nonce, &challenge.nonce, &identity.process);
    let proof = mac.finalize().into_bytes().to_vec();
    send_control(socket, &Proof { proof }).await?;
    Ok(challenge.process)
}

/// Performs the handshake as the accepting side. Returns the id of the peer.
async fn accept_handshake(socket: &mut Socket, identity: &PeerIdentity) -> Result<ProcessId> {
    let hello: Hello = receive_control(socket).await?;
    check_version(hello.version)?;
    let nonce: Nonce = rand::rng().random();
    let mac = proof_code(&identity.key, "agent", &hello.nonce, &nonce, &identity.process);
    let proof = mac.finalize().into_bytes().to_vec();
    let process = identity.process.clone();
    send_control(socket, &Challenge { version: PROTOCOL_VERSION, process, nonce, proof }).await?;
    let proof: Proof = receive_control(socket).await?;
    let mac = proof_code(&identity.key, "entry", &hello.nonce, &nonce, &hello.process);
    check_proof(mac, &proof.proof)?;
    Ok(hello.process)
}

fn check_version(version: u16) -> Result<()> {
    if version == PROTOCOL_VERSION {
        return Ok(());
    }
    Err(Error::from_code(ErrorCode::Handshake("unknown protocol version")))
}

/// Compares a peer's proof with the expected code.
fn check_proof(mac: Hmac<Sha256>, proof: &[u8]) -> Result<()> {
    let wrong_key = |_| Error::from_code(ErrorCode::Handshake("wrong key"));
    mac.verify_slice(proof).map_err(wrong_key)
}

/// Computes the code by which `process` proves in its role that it holds the key.
fn proof_code(
    key: &str,
    role: &str,
    entry_nonce: &Nonce,
    agent_nonce: &Nonce,
    process: &ProcessId,
) -> Hmac<Sha256> {
    // HMAC accepts keys of any length, so this can not fail.
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(key.as_bytes()) else {
        unreachable!("hmac accepts keys of any length")
    };
    mac.update(role.as_bytes());
    mac.update(entry_nonce);
    mac.update(agent_nonce);
    mac.update(process.to_string().as_bytes());
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

/// A message from which a link derives its open attempts.
pub(crate) trait LinkMessage: Framed {
    /// Returns the attempt that this message opens or keeps open.
    fn opened_attempt(&self) -> Option<AttemptKey>;

    /// Returns the attempt that this message closes.
    fn closed_attempt(&self) -> Option<AttemptKey>;
}

impl LinkMessage for ToAgent {
    fn opened_attempt(&self) -> Option<AttemptKey> {
        match self {
            ToAgent::Dispatch(dispatch) => Some(dispatch.attempt),
            ToAgent::Resume(resume) => Some(resume.attempt),
            ToAgent::Hold(hold) => Some(hold.attempt),
            _ => None,
        }
    }

    fn closed_attempt(&self) -> Option<AttemptKey> {
        match self {
            ToAgent::Cancel(key) | ToAgent::Release(key) => Some(*key),
            _ => None,
        }
    }
}

impl LinkMessage for ToEntry {
    fn opened_attempt(&self) -> Option<AttemptKey> {
        None
    }

    fn closed_attempt(&self) -> Option<AttemptKey> {
        match self {
            ToEntry::Refused { attempt, .. }
            | ToEntry::Done(attempt, _)
            | ToEntry::Failed { attempt, .. }
            | ToEntry::NotHeld(attempt) => Some(*attempt),
            _ => None,
        }
    }
}

/// Attempts that are open on a link, shared by both of its directions.
#[derive(Debug, Default)]
pub(crate) struct OpenAttempts(HashSet<AttemptKey>);

impl OpenAttempts {
    /// Records a message that the link sends or receives.
    pub(crate) fn record<M: LinkMessage>(&mut self, message: &M) {
        if let Some(key) = message.opened_attempt() {
            self.0.insert(key);
        }
        if let Some(key) = message.closed_attempt() {
            self.0.remove(&key);
        }
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The reason why a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkEnd {
    /// This side dropped its sender.
    Dropped,
    /// The peer closed the link, or the connection failed.
    Closed,
    /// The peer sent a frame that can not be decoded.
    BadFrame,
    /// The peer sent nothing although attempts were open.
    Silent,
    /// The link carried no traffic and had no open attempt.
    Idle,
}

/// A side of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkSide {
    /// The connecting side: monitors the peer, and closes the link when it is idle.
    Connecting,
    /// The accepting side.
    Accepting,
}

/// When a link was last used, as both of its directions record it.
struct LinkActivity {
    /// When a frame was last received.
    received: Cell<Instant>,
    /// When a control or body frame was last received or sent.
    used: Cell<Instant>,
    /// When a write that had been blocked was last completed: the peer has read data.
    unblocked: Cell<Instant>,
}

impl LinkActivity {
    fn new() -> Self {
        let now = Instant::now();
        LinkActivity { received: Cell::new(now), used: Cell::new(now), unblocked: Cell::new(now) }
    }

    /// Time since the last sign of life of the peer.
    fn silence(&self) -> Duration {
        self.received.get().max(self.unblocked.get()).elapsed()
    }

    fn is_idle(&self) -> bool {
        self.used.get().elapsed() > LINK_IDLE_TIMEOUT
    }
}

/// Transfers frames in both directions until the link ends, and hands received messages to
/// `on_message`.
///
/// A write that is blocked stops neither reading nor the monitoring of the peer.
pub(crate) async fn run_link<In: LinkMessage>(
    socket: Socket,
    queue: LinkQueue,
    side: LinkSide,
    open_attempts: &RefCell<OpenAttempts>,
    on_message: impl FnMut(In),
) -> LinkEnd {
    let activity = LinkActivity::new();
    let ping = Notify::new();
    let (mut sink, stream) = socket.split();
    let end = tokio::select! {
        end = write_frames(&mut sink, queue, &ping, &activity) => end,
        end = read_messages(stream, side, open_attempts, &ping, &activity, on_message) => end,
    };
    if matches!(end, LinkEnd::Dropped | LinkEnd::Idle) {
        let _ = timeout(HANDSHAKE_TIMEOUT, sink.close()).await;
    }
    end
}

/// Sends queued frames, those of control first, until the sender is dropped or the link fails.
async fn write_frames(
    sink: &mut SplitSink<Socket, Message>,
    mut queue: LinkQueue,
    ping: &Notify,
    activity: &LinkActivity,
) -> LinkEnd {
    loop {
        let mut frames = Vec::new();
        tokio::select! {
            biased;
            count = queue.control.recv_many(&mut frames, CONTROL_QUEUE_LEN) => {
                if count == 0 {
                    return LinkEnd::Dropped;
                }
                activity.used.set(Instant::now());
            }
            () = ping.notified() => {}
            Some(frame) = queue.body.recv() => {
                frames.push(frame);
                activity.used.set(Instant::now());
            }
        }
        let start = Instant::now();
        let length: usize = frames.iter().map(Bytes::len).sum();
        if send_frames(sink, frames).await.is_err() {
            return LinkEnd::Closed;
        }
        queue.queued_bytes.set(queue.queued_bytes.get() - length);
        if start.elapsed() >= BLOCKED_WRITE {
            activity.unblocked.set(Instant::now());
        }
    }
}

/// Sends frames, or a ping if there are none.
async fn send_frames(
    sink: &mut SplitSink<Socket, Message>,
    frames: Vec<Bytes>,
) -> std::result::Result<(), tokio_tungstenite::tungstenite::Error> {
    if frames.is_empty() {
        return sink.send(Message::Ping(Bytes::new())).await;
    }
    for frame in frames {
        sink.feed(Message::Binary(frame)).await?;
    }
    sink.flush().await
}

/// Hands received messages to `on_message` until the link fails or is idle.
async fn read_messages<In: LinkMessage>(
    mut stream: SplitStream<Socket>,
    side: LinkSide,
    open_attempts: &RefCell<OpenAttempts>,
    ping: &Notify,
    activity: &LinkActivity,
    mut on_message: impl FnMut(In),
) -> LinkEnd {
    let mut ping_timer = tokio::time::interval(PING_INTERVAL);
    loop {
        tokio::select! {
            biased;
            incoming = stream.next() => {
                let Some(Ok(incoming)) = incoming else { return LinkEnd::Closed };
                activity.received.set(Instant::now());
                match incoming {
                    Message::Binary(frame) => {
                        activity.used.set(Instant::now());
                        let Ok(message) = In::from_frame(frame) else { return LinkEnd::BadFrame };
                        open_attempts.borrow_mut().record(&message);
                        on_message(message);
                    }
                    Message::Ping(_) | Message::Pong(_) => {}
                    _ => return LinkEnd::Closed,
                }
            }
            _ = ping_timer.tick(), if side == LinkSide::Connecting => {
                if open_attempts.borrow().is_empty() {
                    if activity.is_idle() {
                        return LinkEnd::Idle;
                    }
                    activity.received.set(Instant::now());
                    continue;
                }
                let silence = activity.silence();
                if silence > DEAD_PEER_TIMEOUT {
                    return LinkEnd::Silent;
                }
                // Received frames show that the peer is alive, so no ping is needed.
                if silence >= PING_INTERVAL {
                    ping.notify_one();
                }
            }
        }
    }
}
