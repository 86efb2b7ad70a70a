//! HTTP servers of the stand-ins, each on a dedicated thread.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::sync_channel;
use std::thread::JoinHandle;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::Builder;
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};

/// Body of a stand-in's response.
pub type ReplyBody = UnsyncBoxBody<Bytes, Infallible>;

/// A stand-in's response.
pub type Reply = Response<ReplyBody>;

/// Returns a response with a complete body.
#[must_use]
pub fn reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut response = Response::new(Full::new(body.into()).boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Returns a response with status 200 and a JSON body.
#[must_use]
pub fn reply_json<T: serde::Serialize>(value: &T) -> Reply {
    reply(StatusCode::OK, serde_json::to_vec(value).unwrap_or_default())
}

/// Returns the value of a query parameter; `None` if it is absent or not an unsigned number.
#[must_use]
pub fn query_u64(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    pair?.parse().ok()
}

/// A server thread that stops when its handle is dropped.
#[derive(Debug)]
pub struct ServerThread {
    /// Address that the server listens on.
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Runs `work` on a dedicated thread with a listener on loopback.
    ///
    /// The listener binds `address`, or a free port if it is `None`.
    ///
    /// # Panics
    ///
    /// If no thread or port is available.
    pub fn spawn<F, W>(name: &str, address: Option<SocketAddr>, work: F) -> Self
    where
        F: FnOnce(TcpListener) -> W + Send + 'static,
        W: Future<Output = ()> + 'static,
    {
        let (address_sender, address_receiver) = sync_channel(1);
        let (stop, stopped) = oneshot::channel::<()>();
        let bind_address = address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let body = move || {
            let runtime = Builder::new_current_thread().enable_all().build().expect("runtime");
            runtime.block_on(LocalSet::new().run_until(async move {
                let listener = listen(bind_address).await;
                address_sender.send(listener.local_addr().expect("address")).expect("starter");
                tokio::select! {
                    () = work(listener) => {}
                    _ = stopped => {}
                }
            }));
        };
        let thread = std::thread::Builder::new().name(name.to_owned()).spawn(body);
        let thread = thread.expect("thread");
        let address = address_receiver.recv().expect("the thread listens");
        ServerThread { address, stop: Some(stop), thread: Some(thread) }
    }

    /// Stops the server and joins its thread.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A bound port without a listener.
///
/// It refuses connections and no other process can bind it.
#[derive(Debug)]
pub struct ReservedPort {
    /// Address of the port.
    pub address: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedPort {
    /// Binds the port of a server that still listens on it.
    ///
    /// Because both sockets overlap in time, no other process can bind the port in between.
    ///
    /// # Panics
    ///
    /// If the port does not belong to a server of this process.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        ReservedPort { address, _socket: bind_reuse_port(address).expect("a port of this process") }
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Binds a port with `SO_REUSEPORT`, so that a server and a [`ReservedPort`] can share it.
///
/// Sockets without the option cannot bind the port.
fn bind_reuse_port(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens on an address and retries if it is not free yet, as after a server's stop.
async fn listen(address: SocketAddr) -> TcpListener {
    const MAX_ATTEMPTS: u32 = 50;
    for _ in 0..MAX_ATTEMPTS {
        if let Ok(listener) = bind_reuse_port(address).and_then(|socket| socket.listen(BACKLOG)) {
            return listener;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    panic!("failed to listen on {address}");
}

/// Number of earlier requests on the connection of a request, in its extensions.
#[derive(Clone, Copy, Debug)]
pub struct EarlierRequests(pub u64);

/// Serves HTTP on a listener until the future is dropped.
///
/// The connection is closed without a response if `handle` returns `None`.
pub async fn serve_http<H, R>(listener: TcpListener, handle: H)
where
    H: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Option<Reply>> + 'static,
{
    let handle = Rc::new(handle);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        spawn_local(async move {
            let requests = Cell::new(0);
            let service = service_fn(move |mut request: Request<Incoming>| {
                let earlier = requests.replace(requests.get() + 1);
                request.extensions_mut().insert(EarlierRequests(earlier));
                let reply = handle(request);
                // An error makes hyper close the connection.
                async move { reply.await.ok_or("no response") }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
