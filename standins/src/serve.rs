//! Serving HTTP from a thread of its own.

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

/// Body of a stand-in's answer.
pub type ReplyBody = UnsyncBoxBody<Bytes, Infallible>;

/// A stand-in's answer.
pub type Reply = Response<ReplyBody>;

/// A whole answer.
#[must_use]
pub fn reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut response = Response::new(Full::new(body.into()).boxed_unsync());
    *response.status_mut() = status;
    response
}

/// A whole answer in JSON.
#[must_use]
pub fn reply_json<T: serde::Serialize>(value: &T) -> Reply {
    reply(StatusCode::OK, serde_json::to_vec(value).unwrap_or_default())
}

/// The value of a parameter of a request's query.
#[must_use]
pub fn query_u64(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    pair?.parse().ok()
}

/// A thread that serves until its handle is dropped.
#[derive(Debug)]
pub struct ServerThread {
    /// Where it listens.
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Runs `work` on a thread of its own, with a listener on loopback. The
    /// listener takes `address` where one is given.
    ///
    /// # Panics
    ///
    /// If the machine gives no thread or no port.
    pub fn spawn<F, W>(name: &str, address: Option<SocketAddr>, work: F) -> Self
    where
        F: FnOnce(TcpListener) -> W + Send + 'static,
        W: Future<Output = ()> + 'static,
    {
        let (address_in, address_out) = sync_channel(1);
        let (stop, stopped) = oneshot::channel::<()>();
        let wanted = address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let body = move || {
            let runtime = Builder::new_current_thread().enable_all().build().expect("runtime");
            runtime.block_on(LocalSet::new().run_until(async move {
                let listener = listen(wanted).await;
                address_in.send(listener.local_addr().expect("address")).expect("starter");
                tokio::select! {
                    () = work(listener) => {}
                    _ = stopped => {}
                }
            }));
        };
        let thread = std::thread::Builder::new().name(name.to_owned()).spawn(body);
        let thread = thread.expect("thread");
        let address = address_out.recv().expect("the thread listens");
        ServerThread { address, stop: Some(stop), thread: Some(thread) }
    }

    /// Ends the thread and waits for it.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A port that is held and refuses connections, so that no other program gets
/// it meanwhile.
#[derive(Debug)]
pub struct HeldPort {
    /// The address.
    pub address: SocketAddr,
    _socket: TcpSocket,
}

impl HeldPort {
    /// Holds the port of a server that still listens there, so that there is no moment
    /// at which somebody else could get it.
    ///
    /// # Panics
    ///
    /// If it is not a port of a server of this process.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        HeldPort { address, _socket: bind_shared(address).expect("the port") }
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Binds a port that the server and its holder may have at the same time, and nobody
/// else.
fn bind_shared(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens on an address, which may be one that was just given up.
async fn listen(address: SocketAddr) -> TcpListener {
    const TRIES: u32 = 50;
    for _ in 0..TRIES {
        if let Ok(listener) = bind_shared(address).and_then(|socket| socket.listen(BACKLOG)) {
            return listener;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    panic!("{address} can not be listened on");
}

/// Serves HTTP on a listener until the task is ended.
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
            let service = service_fn(move |request| {
                let answer = handle(request);
                // Without an answer the connection breaks off.
                async move { answer.await.ok_or("no answer") }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
