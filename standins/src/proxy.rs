//! A TCP proxy that injects faults.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::serve::ServerThread;

/// Size of the copy buffer in bytes.
const BUFFER: usize = 64 * 1024;

/// Faults that the proxy injects into the traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyFault {
    /// Delay before each chunk is forwarded.
    pub delay: Duration,
    /// Connections stay open, but nothing is forwarded in either direction.
    pub stalls: bool,
    /// Only bytes from the server are stalled; bytes from the client are still forwarded.
    pub stalls_answers: bool,
    /// New connections are closed at once.
    pub refuses: bool,
    /// Each connection is closed when the client sends more than this number of bytes.
    ///
    /// Zero disables the fault.
    pub cut_after: usize,
}

/// A running proxy with fault injection.
#[derive(Debug)]
pub struct FaultProxy {
    fault: Arc<Mutex<ProxyFault>>,
    cut_sender: watch::Sender<u64>,
    silence_sender: watch::Sender<u64>,
    /// The server thread.
    pub server: ServerThread,
}

impl FaultProxy {
    /// Starts a proxy that forwards to `server`.
    #[must_use]
    pub fn start(server: SocketAddr) -> Self {
        let fault = Arc::new(Mutex::new(ProxyFault::default()));
        let (cut_sender, cut_receiver) = watch::channel(0);
        let (silence_sender, silence_receiver) = watch::channel(0);
        let shared_fault = fault.clone();
        let server = ServerThread::spawn("proxy", None, move |listener| async move {
            let signals = (cut_receiver, silence_receiver);
            accept_connections(listener, server, shared_fault, signals).await;
        });
        FaultProxy { fault, cut_sender, silence_sender, server }
    }

    /// Replaces the faults, for open connections as well.
    pub fn set_fault(&self, fault: ProxyFault) {
        if let Ok(mut current_fault) = self.fault.lock() {
            *current_fault = fault;
        }
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        self.cut_sender.send_modify(|count| *count += 1);
    }

    /// Keeps the present connections open and forwards nothing on them any more.
    pub fn silence_connections(&self) {
        self.silence_sender.send_modify(|count| *count += 1);
    }
}

type SharedFault = Arc<Mutex<ProxyFault>>;

fn current_fault(fault: &SharedFault) -> ProxyFault {
    fault.lock().map(|fault| *fault).unwrap_or_default()
}

async fn accept_connections(
    listener: TcpListener,
    server: SocketAddr,
    fault: SharedFault,
    (cut_receiver, silence_receiver): (watch::Receiver<u64>, watch::Receiver<u64>),
) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        if current_fault(&fault).refuses {
            continue;
        }
        let (fault, mut cut_receiver) = (fault.clone(), cut_receiver.clone());
        cut_receiver.mark_unchanged();
        let mut silence_receiver = silence_receiver.clone();
        silence_receiver.mark_unchanged();
        spawn_local(async move {
            let Ok(server) = TcpStream::connect(server).await else {
                return;
            };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (mut client_in, mut client_out) = client.into_split();
            let (mut server_in, mut server_out) = server.into_split();
            tokio::select! {
                () = forward(&mut client_in, &mut server_out, &fault, false) => {}
                () = forward(&mut server_in, &mut client_out, &fault, true) => {}
                _ = cut_receiver.changed() => {}
                _ = silence_receiver.changed() => {
                    let _ = cut_receiver.changed().await;
                }
            }
        });
    }
}

async fn forward(
    from: &mut tokio::net::tcp::OwnedReadHalf,
    to: &mut tokio::net::tcp::OwnedWriteHalf,
    fault: &SharedFault,
    is_response: bool,
) {
    let mut buffer = vec![0; BUFFER];
    let mut forwarded = 0;
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            return;
        }
        tokio::time::sleep(current_fault(fault).delay).await;
        while is_stalled(&current_fault(fault), is_response) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        forwarded += count;
        let limit = current_fault(fault).cut_after;
        if !is_response && limit > 0 && forwarded > limit {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

fn is_stalled(fault: &ProxyFault, is_response: bool) -> bool {
    fault.stalls || (fault.stalls_answers && is_response)
}
