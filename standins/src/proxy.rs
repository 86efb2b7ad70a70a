//! A TCP proxy that injects faults.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::serve::ServerThread;

/// Bytes moved at a time.
const BUFFER: usize = 64 * 1024;

/// What the proxy does to the traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyFault {
    /// Wait before each part is passed on.
    pub delay: Duration,
    /// Connections stay open and nothing passes, in either direction.
    pub stalls: bool,
    /// Only answers are held back: what is sent still arrives.
    pub stalls_answers: bool,
    /// New connections are closed at once.
    pub refuses: bool,
    /// Each connection is closed once so many bytes went to the server; zero
    /// for never.
    pub cut_after: usize,
}

/// The proxy, and its faults.
#[derive(Debug)]
pub struct FaultProxy {
    fault: Arc<Mutex<ProxyFault>>,
    cuts: watch::Sender<u64>,
    /// Its thread.
    pub server: ServerThread,
}

impl FaultProxy {
    /// Starts a proxy before `server`.
    #[must_use]
    pub fn start(server: SocketAddr) -> Self {
        let fault = Arc::new(Mutex::new(ProxyFault::default()));
        let (cuts, cut) = watch::channel(0);
        let inner = fault.clone();
        let server = ServerThread::spawn("proxy", None, move |listener| async move {
            accept_all(listener, server, inner, cut).await;
        });
        FaultProxy { fault, cuts, server }
    }

    /// Puts faults in force, for open connections as well.
    pub fn set_fault(&self, fault: ProxyFault) {
        if let Ok(mut current) = self.fault.lock() {
            *current = fault;
        }
    }

    /// Closes all connections.
    pub fn cut(&self) {
        self.cuts.send_modify(|count| *count += 1);
    }
}

type SharedFault = Arc<Mutex<ProxyFault>>;

fn current(fault: &SharedFault) -> ProxyFault {
    fault.lock().map(|fault| *fault).unwrap_or_default()
}

async fn accept_all(
    listener: TcpListener,
    server: SocketAddr,
    fault: SharedFault,
    cut: watch::Receiver<u64>,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        if current(&fault).refuses {
            continue;
        }
        let (fault, mut cut) = (fault.clone(), cut.clone());
        cut.mark_unchanged();
        spawn_local(async move {
            let Ok(server) = TcpStream::connect(server).await else {
                return;
            };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (mut client_in, mut client_out) = client.into_split();
            let (mut server_in, mut server_out) = server.into_split();
            tokio::select! {
                () = pass(&mut client_in, &mut server_out, &fault, false) => {}
                () = pass(&mut server_in, &mut client_out, &fault, true) => {}
                _ = cut.changed() => {}
            }
        });
    }
}

async fn pass(
    from: &mut tokio::net::tcp::OwnedReadHalf,
    to: &mut tokio::net::tcp::OwnedWriteHalf,
    fault: &SharedFault,
    is_answer: bool,
) {
    let mut buffer = vec![0; BUFFER];
    let mut passed = 0;
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            return;
        }
        tokio::time::sleep(current(fault).delay).await;
        while is_stalled(&current(fault), is_answer) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        passed += count;
        let limit = current(fault).cut_after;
        if !is_answer && limit > 0 && passed > limit {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

fn is_stalled(fault: &ProxyFault, is_answer: bool) -> bool {
    fault.stalls || (fault.stalls_answers && is_answer)
}
