//! Starts real processes on the loopback interface for tests.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use shalelane::hosts::{HostRecord, HostRole, HostState};
use standins::caller::{WholeAnswer, call, order, request};
use standins::engine_model::EngineSpec;
use standins::engine_server::EngineServer;
use standins::fleet::{ADMIN_KEY, PEER_KEY};
use standins::host_server::HostServer;
use standins::plain_server::PlainServer;
use standins::proxy::FaultProxy;
use standins::store_server::StoreServer;

pub const VALDIVIA: &str = include_str!("../../examples/valdivia.toml");

/// Time after which a wait counts as failed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A process of one of the project's programs, killed when the value is dropped.
pub struct Process {
    child: Child,
    /// The line that the program prints when it is ready.
    pub ready: String,
}

impl Process {
    /// Starts a program and waits until it is ready.
    pub fn spawn(program: &str, args: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .env("SHALELANE_PEER_KEY", PEER_KEY)
            .env("SHALELANE_LOG_FORMAT", "off")
            .stdout(Stdio::piped())
            .spawn()
            .expect("a started program");
        let mut ready = String::new();
        let output = child.stdout.take().expect("a piped output");
        BufReader::new(output).read_line(&mut ready).expect("a line of output");
        Process { child, ready }
    }

    /// Returns a listen address from the ready line.
    pub fn address(&self, name: &str) -> SocketAddr {
        let pair = self.ready.split_whitespace().find_map(|pair| pair.strip_prefix(name));
        pair.and_then(|pair| pair.strip_prefix('=')?.parse().ok()).expect("an address")
    }

    /// Sends a signal to the process.
    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status().expect("kill");
        assert!(status.success());
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns `true` until the process has ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a status").is_none()
    }

    /// Requests a drain, after which the process exits.
    pub fn request_drain(&self) {
        self.signal("-TERM");
    }

    /// Sends the signal that asks for a reload of settings.
    pub fn request_reload(&self) {
        self.signal("-HUP");
    }

    /// Suspends or resumes the process.
    pub fn freeze(&self, is_frozen: bool) {
        self.signal(if is_frozen { "-STOP" } else { "-CONT" });
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.child.kill().expect("kill");
        self.child.wait().expect("an exit status");
    }

    /// Waits until the process exits. Returns `true` if it reports success.
    pub fn wait(&mut self) -> bool {
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            if let Some(status) = self.child.try_wait().expect("a status") {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("a process did not exit within {WAIT_TIMEOUT:?}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The process of an agent behind a fault-injecting proxy.
pub struct AgentProcess {
    pub name: String,
    pub process: Process,
    pub proxy: FaultProxy,
    target: SocketAddr,
    kind: &'static str,
}

impl AgentProcess {
    /// Starts an agent and its proxy.
    pub fn spawn(name: &str, target: SocketAddr, kind: &'static str) -> Self {
        let process = spawn_agent(name, target, kind, "127.0.0.1:0");
        let proxy = FaultProxy::start(process.address("entries"));
        AgentProcess { name: name.to_owned(), process, proxy, target, kind }
    }

    /// Kills the process and starts another incarnation of it at the same address.
    pub fn restart(&mut self) {
        let address = self.process.address("entries").to_string();
        self.process.kill();
        self.process = spawn_agent(&self.name, self.target, self.kind, &address);
    }
}

/// Starts the process of an agent.
fn spawn_agent(name: &str, target: SocketAddr, kind: &str, listen: &str) -> Process {
    let target = target.to_string();
    let metrics = ["--metrics-listen", "127.0.0.1:0"];
    let args = ["--name", name, "--target", &target, "--kind", kind, "--listen", listen];
    let args = [&args[..], &metrics[..]].concat();
    Process::spawn(env!("CARGO_BIN_EXE_shalelane-agent"), &args)
}

/// Processes of a small site, with the stand-ins of its engines, service, store and host list.
pub struct Site {
    pub entries: Vec<Process>,
    pub agents: Vec<AgentProcess>,
    pub plain_agent: AgentProcess,
    pub engines: Vec<EngineServer>,
    pub plain: PlainServer,
    pub store: StoreServer,
    pub hosts: HostServer,
}

impl Site {
    /// Starts a site with the example configuration of Valdivia in force.
    pub async fn start(entries: usize, engines: usize, spec: EngineSpec) -> Self {
        let store = StoreServer::start();
        let hosts = HostServer::start(Duration::from_millis(50));
        let plain = PlainServer::start();
        let plain_agent = AgentProcess::spawn("plain-0", plain.server.address, "plain");
        list_target(&hosts, &plain_agent, "booking-app");
        let models = &["canal-8b"];
        let engines: Vec<_> = (0..engines)
            .map(|index| EngineServer::start(spec.clone(), models, index as u64, None))
            .collect();
        let agents: Vec<_> = engines
            .iter()
            .enumerate()
            .map(|(index, engine)| {
                let name = format!("runner-{index}");
                let agent = AgentProcess::spawn(&name, engine.server.address, "engine");
                list_target(&hosts, &agent, "canal-assistant");
                agent
            })
            .collect();
        let mut site =
            Site { entries: Vec::new(), agents, plain_agent, engines, plain, store, hosts };
        for index in 0..entries {
            site.add_entry(index);
        }
        let answer = site.apply(VALDIVIA, 0).await;
        assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
        for index in 0..entries {
            site.wait_ready(index).await;
        }
        site
    }

    /// Starts an entry and adds it to the host list.
    pub fn add_entry(&mut self, index: usize) {
        self.add_entry_with(index, &[]);
    }

    /// Starts an entry with further arguments and adds it to the host list.
    pub fn add_entry_with(&mut self, index: usize, further_args: &[&str]) {
        let (store, hosts) = (self.store.server.address.to_string(), self.hosts.server.address);
        let (hosts, name) = (hosts.to_string(), format!("entry-{index}"));
        let key = shalelane::entry::account::to_key_hash(ADMIN_KEY);
        let args = [
            "--name",
            &name,
            "--failure-domain",
            "muelle-norte",
            "--store",
            &store,
            "--hosts",
            &hosts,
            "--listen",
            "127.0.0.1:0",
            "--admin-listen",
            "127.0.0.1:0",
            "--admin-key-sha256",
            &key,
            "--body-limit-ms",
            "5000",
        ];
        let args = [&args[..], further_args].concat();
        let process = Process::spawn(env!("CARGO_BIN_EXE_shalelane-entry"), &args);
        self.hosts.set(HostRecord {
            name: name.into(),
            role: HostRole::Entry,
            address: process.address("admin").to_string().into(),
            failure_domain: "muelle-norte".into(),
            state: HostState::Live,
        });
        self.entries.push(process);
    }

    /// Returns the address at which an entry serves callers.
    pub fn callers(&self, index: usize) -> SocketAddr {
        self.entries[index].address("callers")
    }

    /// Returns the address of an entry's administration API.
    pub fn admin(&self, index: usize) -> SocketAddr {
        self.entries[index].address("admin")
    }

    /// Applies a configuration that is based on version `base`, through the first entry.
    pub async fn apply(&self, text: &str, base: u64) -> WholeAnswer {
        let mut put = request("PUT", "/admin/v1/config", ADMIN_KEY, text.to_owned());
        put.headers_mut().insert("if-match", base.into());
        call(self.admin(0), put).await.expect("an answer")
    }

    /// Requests a path of an entry's administration API.
    pub async fn get_admin(&self, index: usize, path: &str) -> WholeAnswer {
        let get = request("GET", path, ADMIN_KEY, "");
        call(self.admin(index), get).await.expect("an answer")
    }

    /// Waits until an entry serves callers and knows every target.
    pub async fn wait_ready(&self, index: usize) {
        let targets = self.agents.len() + 1;
        wait_until("an entry is ready", async || {
            let status = self.get_admin(index, "/admin/v1/status").await.json();
            status["ready"] == true && status["known_targets"] == targets
        })
        .await;
    }

    /// Returns the tokens of memory in use on all engines.
    pub fn held_tokens(&self) -> u64 {
        self.engines.iter().map(EngineServer::used).sum()
    }

    /// Waits until no engine has memory in use.
    pub async fn wait_memory_released(&self) {
        wait_until("no engine has memory in use", async || self.held_tokens() == 0).await;
    }
}

/// Adds an agent's target to the host list.
fn list_target(hosts: &HostServer, agent: &AgentProcess, service: &str) {
    hosts.set(HostRecord {
        name: agent.name.as_str().into(),
        role: HostRole::Target { service: service.into() },
        address: agent.proxy.server.address.to_string().into(),
        failure_domain: "muelle-norte".into(),
        state: HostState::Live,
    });
}

/// Returns a request for an order with an idempotency key.
pub fn keyed_order(name: &str, key: &str) -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
    let mut request = order(name);
    request.headers_mut().insert("idempotency-key", key.parse().expect("a header"));
    request
}

/// Waits until a condition holds, and panics with `what` if it does not hold in time.
pub async fn wait_until(what: &str, mut is_met: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while start.elapsed() < WAIT_TIMEOUT {
        if is_met().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("condition not met within {WAIT_TIMEOUT:?}: {what}");
}
