//! Runs a small fleet in one process. Each daemon has a thread with a single-threaded runtime.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

use shalelane::agent::daemon::AgentDaemon;
use shalelane::config::ServiceKind;
use shalelane::entry::account::to_key_hash;
use shalelane::entry::daemon::EntryDaemon;
use shalelane::entry::{EntryTuning, RoutePolicy};
use shalelane::hosts::{HostRecord, HostRole, HostState};
use shalelane::log::LogFormat;
use shalelane::settings::{AgentSettings, EntrySettings};
use tokio::runtime::Builder;
use tokio::sync::oneshot;

use crate::engine_model::EngineSpec;
use crate::engine_server::EngineServer;
use crate::host_server::HostServer;
use crate::plain_server::PlainServer;
use crate::store_server::StoreServer;

/// Peer key that all daemons of a test fleet share.
pub const PEER_KEY: &str = "a test fleet's shared key";

/// Key for the admin API of a test fleet.
pub const ADMIN_KEY: &str = "demo-operator";

/// Size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Number of entries.
    pub entries: usize,
    /// Number of engines. Each engine has an agent.
    pub engines: usize,
    /// Speed and memory of each engine.
    pub engine: EngineSpec,
    /// Name of the service that the engines provide.
    pub service: String,
    /// Model that each engine loads.
    pub model: String,
    /// Name of the plain service.
    pub plain: String,
    /// Failure domains, which hosts are assigned to in rotation.
    pub failure_domains: Vec<String>,
    /// Time until a change shows in the platform's host list.
    pub host_lag: Duration,
    /// Seed of the first engine; each further engine uses the next number.
    pub seed: u64,
    /// Policy by which the entries choose targets.
    pub policy: RoutePolicy,
    /// Prompt tokens that an agent submits to its engine in one prefill piece.
    pub piece_tokens: u64,
    /// Prompt tokens that an agent keeps submitted to its engine at a time.
    pub prefill_tokens: u64,
}

/// A daemon that runs on a dedicated thread.
#[derive(Debug)]
pub struct DaemonThread {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<Duration>>,
}

impl DaemonThread {
    fn spawn<F, W, A>(name: &str, work: F) -> (Self, Receiver<A>)
    where
        F: FnOnce(std::sync::mpsc::SyncSender<A>, oneshot::Receiver<()>) -> W + Send + 'static,
        W: Future<Output = Duration>,
        A: Send + 'static,
    {
        let (address_sender, address_receiver) = sync_channel(1);
        let (stop, stopped) = oneshot::channel();
        let body = move || {
            let runtime = Builder::new_current_thread().enable_all().build().expect("runtime");
            runtime.block_on(work(address_sender, stopped))
        };
        let thread = std::thread::Builder::new().name(name.to_owned()).spawn(body);
        let thread = Some(thread.expect("thread"));
        (DaemonThread { stop: Some(stop), thread }, address_receiver)
    }

    /// Requests a graceful shutdown.
    pub fn request_stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }

    /// Requests a graceful shutdown and waits until the daemon exits.
    ///
    /// Returns the duration of the longest iteration of the daemon's event loop.
    pub fn stop(&mut self) -> Duration {
        self.request_stop();
        let thread = self.thread.take();
        thread.and_then(|thread| thread.join().ok()).unwrap_or_default()
    }
}

/// A running entry and its addresses.
#[derive(Debug)]
pub struct EntryThread {
    /// Address that serves callers.
    pub caller_address: SocketAddr,
    /// Address of the admin API.
    pub admin_address: SocketAddr,
    /// The daemon.
    pub daemon: DaemonThread,
}

/// A running agent and its address.
#[derive(Debug)]
pub struct AgentThread {
    /// Name of the host.
    pub name: String,
    /// Address that entries connect to.
    pub address: SocketAddr,
    /// The daemon.
    pub daemon: DaemonThread,
}

/// A running fleet with the platform's store and host list.
#[derive(Debug)]
pub struct Fleet {
    /// The entries.
    pub entries: Vec<EntryThread>,
    /// The agents: those of the engines in order, then that of the plain service.
    pub agents: Vec<AgentThread>,
    /// The engines.
    pub engines: Vec<EngineServer>,
    /// The plain service.
    pub plain: PlainServer,
    /// The platform's store.
    pub store: StoreServer,
    /// The platform's host list.
    pub hosts: HostServer,
}

/// Starts an entry on free loopback ports.
///
/// # Panics
///
/// If no thread or port is available.
#[must_use]
pub fn start_entry(
    name: &str,
    domain: &str,
    store: SocketAddr,
    hosts: SocketAddr,
    policy: RoutePolicy,
) -> EntryThread {
    let settings = EntrySettings {
        name: name.into(),
        failure_domain: domain.into(),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        admin_listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        store: store.to_string().into(),
        hosts: hosts.to_string().into(),
        peer_key: PEER_KEY.into(),
        admin_key_sha256: Some(to_key_hash(ADMIN_KEY).into()),
        log_format: LogFormat::Off,
        max_body_bytes: 16 * 1024 * 1024,
        body_timeout: Duration::from_secs(30),
        max_connections: 4096,
        memory_mb: 4_096,
        drain_timeout: Duration::from_secs(60),
    };
    let (daemon, address) = DaemonThread::spawn(name, move |sender, stop| async move {
        let daemon = EntryDaemon::bind(settings).expect("ports");
        let daemon = daemon.with_tuning(EntryTuning { policy, ..EntryTuning::default() });
        sender.send(daemon.addresses().expect("addresses")).expect("starter");
        daemon.run(stop_requested(stop)).await.expect("entry")
    });
    let (caller_address, admin_address) = address.recv().expect("entry");
    EntryThread { caller_address, admin_address, daemon }
}

/// Starts an agent on free loopback ports.
///
/// # Panics
///
/// If no thread or port is available.
#[must_use]
pub fn start_agent(
    name: &str,
    target: SocketAddr,
    kind: ServiceKind,
    spec: &FleetSpec,
) -> AgentThread {
    let settings = AgentSettings {
        name: name.into(),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        metrics_listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        target: target.to_string().into(),
        kind,
        peer_key: PEER_KEY.into(),
        log_format: LogFormat::Off,
        piece_tokens: spec.piece_tokens,
        prefill_tokens: spec.prefill_tokens,
        memory_mb: 4_096,
        drain_timeout: Duration::from_secs(60),
    };
    let (daemon, address) = DaemonThread::spawn(name, move |sender, stop| async move {
        let daemon = AgentDaemon::bind(settings).expect("port");
        sender.send(daemon.addresses().expect("addresses").0).expect("starter");
        daemon.run(stop_requested(stop)).await.expect("agent")
    });
    let address = address.recv().expect("agent");
    AgentThread { name: name.to_owned(), address, daemon }
}

async fn stop_requested(stop: oneshot::Receiver<()>) {
    if stop.await.is_err() {
        // The handle is gone, so no stop request can come: run until the process exits.
        std::future::pending::<()>().await;
    }
}

impl Fleet {
    /// Starts the store, the host list, the services, the agents and the entries.
    #[must_use]
    pub fn start(spec: &FleetSpec) -> Self {
        let store = StoreServer::start();
        let hosts = HostServer::start(spec.host_lag);
        let plain = PlainServer::start();
        let domain =
            |index: usize| spec.failure_domains[index % spec.failure_domains.len()].clone();
        let mut engines = Vec::new();
        let mut agents = Vec::new();
        for index in 0..spec.engines {
            let seed = spec.seed + index as u64;
            let engine = EngineServer::start(spec.engine.clone(), &[&spec.model], seed, None);
            let name = format!("runner-{index:02}");
            let target = engine.server.address;
            let agent = start_agent(&name, target, ServiceKind::Engine, spec);
            list_target(&hosts, &agent, &spec.service, &domain(index));
            engines.push(engine);
            agents.push(agent);
        }
        let agent = start_agent("plain-00", plain.server.address, ServiceKind::Plain, spec);
        list_target(&hosts, &agent, &spec.plain, &domain(0));
        agents.push(agent);
        let mut entries = Vec::new();
        for index in 0..spec.entries {
            let name = format!("entry-{index}");
            let (store, host_list) = (store.server.address, hosts.server.address);
            let entry = start_entry(&name, &domain(index), store, host_list, spec.policy.clone());
            hosts.set(HostRecord {
                name: name.into(),
                role: HostRole::Entry,
                address: entry.admin_address.to_string().into(),
                failure_domain: domain(index).into(),
                state: HostState::Live,
            });
            entries.push(entry);
        }
        Fleet { entries, agents, engines, plain, store, hosts }
    }

    /// Returns the number of tokens for which engines hold memory, for runs and reservations.
    #[must_use]
    pub fn held_tokens(&self) -> u64 {
        self.engines.iter().map(EngineServer::used).sum()
    }

    /// Stops all daemons gracefully, entries first.
    ///
    /// Returns the duration of the longest iteration of any daemon's event loop.
    pub fn stop(&mut self) -> Duration {
        let entries = self.entries.iter_mut().map(|entry| entry.daemon.stop());
        let longest = entries.max().unwrap_or_default();
        let agents = self.agents.iter_mut().map(|agent| agent.daemon.stop());
        agents.max().unwrap_or_default().max(longest)
    }
}

/// Adds an agent's host to the host list as a target of a service.
pub fn list_target(hosts: &HostServer, agent: &AgentThread, service: &str, domain: &str) {
    hosts.set(HostRecord {
        name: agent.name.as_str().into(),
        role: HostRole::Target { service: Arc::from(service) },
        address: agent.address.to_string().into(),
        failure_domain: domain.into(),
        state: HostState::Live,
    });
}
