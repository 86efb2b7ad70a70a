//! Stand-ins for the platform's store, runners and clients, and the scripts of the cases.
//!
//! Standard library only. `review/build-2.sh` compiles it; each `run.sh` starts one case by its
//! number. The programs under review are started as the deploy file does: the settings file's path
//! stands in `SHALELANE_BOOT`.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const u8, len: u32) -> i32;
}

/// Opens a channel with small windows, as of a small device: packets of 1,460 bytes and 16 kB that
/// wait to be read.
fn connect_with_small_window(address: &str) -> Option<TcpStream> {
    use std::os::fd::FromRawFd;
    let address: std::net::SocketAddrV4 = address.parse().ok()?;
    let mut bytes = [0_u8; 16];
    // AF_INET in the byte order of the machine, then port and address in that of the network.
    bytes[..2].copy_from_slice(&2_u16.to_ne_bytes());
    bytes[2..4].copy_from_slice(&address.port().to_be_bytes());
    bytes[4..8].copy_from_slice(&address.ip().octets());
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        let (receive_buffer, segment) = (16 * 1024, 1_460);
        // SOL_SOCKET and SO_RCVBUF, IPPROTO_TCP and TCP_MAXSEG on Linux.
        setsockopt(fd, 1, 8, &receive_buffer, 4);
        setsockopt(fd, 6, 2, &segment, 4);
        (connect(fd, bytes.as_ptr(), 16) == 0).then_some(stream)
    }
}

/// Lets a connection end with a reset once it is dropped.
fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    let linger = [1_i32, 0];
    // SOL_SOCKET and SO_LINGER on Linux.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

/// A small pseudo-random generator; the cases need no more.
struct Rng(u64);

impl Rng {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

// ---------------------------------------------------------------- the record

struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    fn open(case: u32) -> Arc<Self> {
        let path = PathBuf::from(format!("review/{case}/record.txt"));
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("record.txt: {error}");
            std::process::exit(2);
        });
        Arc::new(Record { file: Mutex::new(file), start: Instant::now() })
    }

    fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.4} {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug)]
struct Request {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Request {
    fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut request = Request { method, path, headers, body: Vec::new() };
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// Serves connections by `handle`, which returns `false` to end a connection.
fn serve(
    address: &str,
    handle: impl Fn(Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(read_half) = stream.try_clone() else { return };
                let mut reader = BufReader::new(read_half);
                let mut stream = stream;
                while let Some(request) = read_request(&mut reader) {
                    if !handle(request, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

fn answer_text(status: u16, extra: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} Status\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// An answer as a client reads it.
#[derive(Debug)]
struct Answer {
    status: u16,
    headers: Vec<(String, String)>,
    body: String,
}

impl Answer {
    fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

/// A client's channel, which it keeps for many requests.
struct Channel {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Channel {
    fn open(address: &str) -> Option<Self> {
        let address = address.parse().ok()?;
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Channel { reader, stream })
    }

    /// Sends a request and reads its answer; `None` if the channel ends before.
    fn call(&mut self, head: &str, body: &[u8], limit: Duration) -> Option<Answer> {
        self.stream.set_read_timeout(Some(limit)).ok()?;
        self.stream.write_all(head.as_bytes()).ok()?;
        self.stream.write_all(body).ok()?;
        let (first, headers) = read_head(&mut self.reader)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let mut answer = Answer { status, headers, body: String::new() };
        let mut bytes = Vec::new();
        if answer.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let mut line = String::new();
                if self.reader.read_line(&mut line).ok()? == 0 {
                    return None;
                }
                let length = usize::from_str_radix(line.trim(), 16).ok()?;
                let mut chunk = vec![0; length + 2];
                self.reader.read_exact(&mut chunk).ok()?;
                bytes.extend_from_slice(&chunk[..length]);
                if length == 0 {
                    break;
                }
            }
        } else {
            bytes = vec![0; answer.header("content-length").parse().unwrap_or(0)];
            self.reader.read_exact(&mut bytes).ok()?;
        }
        answer.body = String::from_utf8_lossy(&bytes).into_owned();
        Some(answer)
    }
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone, Default)]
struct StoreContent {
    era: u64,
    revision: u64,
    config: String,
    config_revision: u64,
    status: String,
    /// Specification, revision and revision of creation of each runner's entry.
    servers: BTreeMap<String, (String, u64, u64)>,
    /// Changes of the runners' entries.
    events: Vec<(u64, String)>,
}

impl StoreContent {
    fn config_object(&self) -> String {
        let status = if self.status.is_empty() { "null" } else { &self.status };
        format!(
            "{{\"Metadata\":{{\"Name\":\"main\",\"Revision\":{},\"made\":1,\"finalizers\":[],\
             \"deleting\":false}},\"Spec\":{},\"Status\":{status}}}",
            self.config_revision, self.config
        )
    }

    fn server_object(name: &str, entry: &(String, u64, u64)) -> String {
        let (spec, revision, made) = entry;
        format!(
            "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{revision},\"made\":{made},\
             \"finalizers\":[],\"deleting\":false}},\"Spec\":{spec},\"Status\":null}}"
        )
    }

    fn put_config(&mut self, config: String) {
        self.revision += 1;
        self.config_revision = self.revision;
        self.config = config;
    }

    fn put_server(&mut self, name: &str, spec: &str) {
        self.revision += 1;
        let revision = self.revision;
        let made = self.servers.get(name).map_or(revision, |known| known.2);
        let entry = (spec.to_owned(), revision, made);
        let object = StoreContent::server_object(name, &entry);
        self.servers.insert(name.to_owned(), entry);
        self.events.push((revision, format!("{{\"gone\":false,\"object\":{object}}}")));
    }
}

/// The platform's store.
struct Store {
    content: Mutex<StoreContent>,
    changed: Condvar,
    /// Whether it is away: channels are reset, new ones too.
    is_away: AtomicBool,
    names_era: bool,
}

impl Store {
    fn start(address: &str, names_era: bool) -> std::io::Result<Arc<Self>> {
        let content = StoreContent { revision: 100, ..StoreContent::default() };
        let store = Arc::new(Store {
            content: Mutex::new(content),
            changed: Condvar::new(),
            is_away: AtomicBool::new(false),
            names_era,
        });
        let served = store.clone();
        serve(address, move |request, stream| served.answer(&request, stream))?;
        Ok(store)
    }

    /// Applies a change and returns once it is acknowledged.
    fn write(&self, change: impl FnOnce(&mut StoreContent)) {
        change(&mut self.content.lock().unwrap());
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> bool {
        if self.is_away.load(Ordering::SeqCst) {
            reset(stream);
            return false;
        }
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let (status, body, era) = if request.method == "PUT" {
            self.put_status(path, &request.body)
        } else if let Some(after) = number("watch") {
            match self.watch(path, after, number("WaitMs").unwrap_or(0)) {
                Some(answer) => answer,
                None => {
                    reset(stream);
                    return false;
                }
            }
        } else {
            self.list(path)
        };
        // The answers of the store take four milliseconds.
        thread::sleep(Duration::from_millis(4));
        if self.is_away.load(Ordering::SeqCst) {
            reset(stream);
            return false;
        }
        let mut extra = "Content-Type: application/json\r\n".to_owned();
        if self.names_era {
            extra += &format!("Store-Era: {era}\r\n");
        }
        stream.write_all(answer_text(status, &extra, &body).as_bytes()).is_ok()
    }

    fn list(&self, path: &str) -> (u16, String, u64) {
        let content = self.content.lock().unwrap();
        let entries = match path {
            "/objects/config" if content.config_revision > 0 => vec![content.config_object()],
            "/objects/servers" => {
                let servers = content.servers.iter();
                servers.map(|(name, entry)| StoreContent::server_object(name, entry)).collect()
            }
            _ => Vec::new(),
        };
        let body = format!(
            "{{\"Entries\":[{}],\"more\":false,\"at\":{}}}",
            entries.join(","),
            content.revision
        );
        (200, body, content.era)
    }

    /// Waits for changes; `None` if the store goes away meanwhile.
    fn watch(&self, path: &str, after: u64, wait_ms: u64) -> Option<(u16, String, u64)> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut content = self.content.lock().unwrap();
        loop {
            if self.is_away.load(Ordering::SeqCst) {
                return None;
            }
            if after > content.revision {
                return Some((410, "{}".to_owned(), content.era));
            }
            let events: Vec<String> = if path == "/objects/config" {
                let is_changed = content.config_revision > after;
                let object =
                    || format!("{{\"gone\":false,\"object\":{}}}", content.config_object());
                is_changed.then(object).into_iter().collect()
            } else {
                let later = content.events.iter().filter(|(revision, _)| *revision > after);
                later.map(|(_, event)| event.clone()).collect()
            };
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let body = format!("{{\"events\":[{events}],\"at\":{}}}", content.revision);
                return Some((200, body, content.era));
            }
            let left = left.min(Duration::from_millis(50));
            content = self.changed.wait_timeout(content, left).unwrap().0;
        }
    }

    /// Replaces the status of the configuration at the given revision.
    fn put_status(&self, path: &str, body: &[u8]) -> (u16, String, u64) {
        let text = String::from_utf8_lossy(body).into_owned();
        let mut content = self.content.lock().unwrap();
        if path != "/objects/config/main/status" {
            return (404, "{}".to_owned(), content.era);
        }
        let after = text.split("\"Revision\":").nth(1).unwrap_or_default();
        let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
        let is_current = digits.parse() == Ok(content.config_revision);
        if let (true, Some((_, status))) = (is_current, text.split_once("\"Status\":")) {
            let status = status.strip_suffix('}').unwrap_or(status).to_owned();
            if status != content.status {
                content.revision += 1;
                content.config_revision = content.revision;
                content.status = status;
            }
        }
        let answer = (if is_current { 200 } else { 409 }, content.config_object(), content.era);
        drop(content);
        self.changed.notify_all();
        answer
    }
}

// ---------------------------------------------------------------- runners

/// What runners saw.
#[derive(Default)]
struct Runs {
    /// For each attempt id: the runner and the time of each run.
    of: Mutex<HashMap<String, Vec<(String, f64)>>>,
}

/// Places of a runner: it works on so many requests at the same time, and holds the others.
struct Places {
    free: Mutex<usize>,
    freed: Condvar,
}

impl Places {
    fn take(&self) {
        let mut free = self.free.lock().unwrap();
        while *free == 0 {
            free = self.freed.wait(free).unwrap();
        }
        *free -= 1;
    }

    fn give_back(&self) {
        *self.free.lock().unwrap() += 1;
        self.freed.notify_one();
    }
}

/// A runner of a plain service.
struct Runner {
    name: String,
    address: String,
    capacity: usize,
    work: Duration,
}

impl Runner {
    fn start(self: Arc<Self>, runs: Arc<Runs>, record: Arc<Record>) -> std::io::Result<()> {
        let places = Places { free: Mutex::new(self.capacity), freed: Condvar::new() };
        let address = self.address.clone();
        serve(&address, move |request, stream| {
            let id = request.header("attempt-id").to_owned();
            if request.path == "/healthz" {
                let extra = format!("Instance-Id: {}\r\n", self.name);
                return stream.write_all(answer_text(200, &extra, "").as_bytes()).is_ok();
            }
            if request.path == "/report" {
                let body = "{\"Stage\":\"dual\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\
                            \"Adapters\":[]}],\"Utilization\":false,\"CallSeq\":0,\"Queued\":0,\
                            \"Active\":0,\"KvUsed\":0,\"KvTotal\":450000,\"Handles\":0}";
                let extra = "Content-Type: application/json\r\n";
                return stream.write_all(answer_text(200, extra, body).as_bytes()).is_ok();
            }
            let expected = request.header("expect-instance");
            if !expected.is_empty() && expected != self.name {
                let extra = format!("Instance-Id: {}\r\n", self.name);
                return stream.write_all(answer_text(421, &extra, "").as_bytes()).is_ok();
            }
            places.take();
            let at = record.now();
            record.line(format!("run {id} at {}", self.name));
            runs.of.lock().unwrap().entry(id.clone()).or_default().push((self.name.clone(), at));
            thread::sleep(self.work);
            places.give_back();
            let body = format!("ran {id} at {}", self.name);
            let extra = format!(
                "Attempt-Id: {id}\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
                 Instance-Id: {}\r\nKeep-Alive: timeout=15\r\n",
                self.name
            );
            stream.write_all(answer_text(200, &extra, &body).as_bytes()).is_ok()
        })
    }

    fn spec(&self, service: &str, zone: &str, state: &str) -> String {
        format!(
            "{{\"Backend\":\"{service}\",\"Address\":\"{}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
             \"Capacity\":{},\"State\":\"{state}\",\"WarmupLeftMs\":0,\"Stage\":\"dual\",\
             \"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\"CallSeq\":0}}",
            self.address, self.capacity
        )
    }
}

/// Returns the id of the runner on a host.
fn runner_name(host: u32) -> String {
    format!("i-{:04x}", 0x4a10 + host * 0x137)
}

// ---------------------------------------------------------------- the system's processes

/// A process of the system, killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A temporary folder and loopback addresses of one run.
struct Site {
    folder: PathBuf,
    net: String,
    bounds: Bounds,
}

/// Bounds of a small deployment.
struct Bounds {
    drain_ms: u64,
    revoke_ms: u64,
    retry_slack: f64,
}

const BOUNDS: Bounds = Bounds { drain_ms: 2_000, revoke_ms: 5_000, retry_slack: 106.0 };

/// Bounds of a deployment with some dozens of entries.
const FLEET_BOUNDS: Bounds = Bounds { drain_ms: 3_000, revoke_ms: 5_000, retry_slack: 212.0 };

impl Site {
    /// Creates one of several sites of a run.
    fn new(bounds: Bounds, index: u32) -> Self {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-2-{pid}-{index}"));
        std::fs::create_dir_all(&folder).unwrap_or_else(|_| std::process::exit(2));
        let net = format!("127.{}.{}", 64 + pid % 96, 1 + (pid / 96 + 27 * index) % 250);
        Site { folder, net, bounds }
    }

    fn ip(&self, host: u32) -> String {
        format!("{}.{host}", self.net)
    }

    fn start(&self, program: &str, name: &str, settings: &str, run: u32) -> Process {
        let path = self.folder.join(format!("{name}.conf"));
        let log = self.folder.join(format!("{name}-{run}.log"));
        let opened = std::fs::write(&path, settings).and_then(|()| File::create(&log));
        let child = opened.and_then(|log| {
            Command::new(format!("target/release/{program}"))
                .env("SHALELANE_BOOT", &path)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()
        });
        match child {
            Ok(child) => Process(child),
            Err(error) => {
                eprintln!("{program}: {error}");
                std::process::exit(2);
            }
        }
    }

    /// Starts an entry on a host. Its settings are those of the deploy file's template.
    fn entry(&self, host: u32, zone: &str, run: u32) -> Process {
        let ip = self.ip(host);
        let Bounds { drain_ms, revoke_ms, retry_slack } = &self.bounds;
        let settings = format!(
            "name = \"edge-{host}\"\nfailure_domain = \"{zone}\"\nlisten = \"{ip}:8227\"\n\
             readiness_listen = \"{ip}:8220\"\nmetrics_listen = \"{ip}:9464\"\n\
             load_listen = \"{ip}:7340\"\nstore = \"{}:8223\"\nrevoke_ms = {revoke_ms}\n\
             fail_closed = true\ndrain_ms = {drain_ms}\nstore_history_s = 20\nretry_ratio = 0.2\n\
             retry_slack = {retry_slack:.1}\nretry_window_s = 10\nstop_s = 8\n\
             max_descriptors = 4100\n\n[regions]\n\"z1\" = \"r1\"\n\"z2\" = \"r1\"\n\"z3\" = \"r1\"\n",
            self.ip(1)
        );
        self.start("platform-entry", &format!("edge-{host}"), &settings, run)
    }

    /// Starts the agent beside the engine on a host.
    fn agent(&self, host: u32) -> Process {
        let ip = self.ip(host);
        let settings = format!(
            "name = \"side-{host}\"\nload_listen = \"{ip}:7340\"\ntarget = \"{ip}:8228\"\n"
        );
        self.start("platform-agent", &format!("side-{host}"), &settings, 0)
    }

    fn front(&self, host: u32) -> String {
        format!("{}:8227", self.ip(host))
    }

    /// Returns how often each entry has asked the store for changes of the list of runners, by its
    /// own metrics.
    fn list_watches(&self, entries: std::ops::Range<u32>) -> BTreeMap<u32, u64> {
        let count = |host: u32| {
            let head = "GET /metrics HTTP/1.1\r\nHost: operator\r\n\r\n";
            let answer = Channel::open(&format!("{}:9464", self.ip(host)))?.call(
                head,
                b"",
                Duration::from_secs(2),
            )?;
            let mut lines = answer.body.lines();
            let line = lines.find(|line| line.contains("kind=\"list_watch\""))?;
            line.rsplit(' ').next()?.parse().ok()
        };
        entries.filter_map(|host| Some((host, count(host)?))).collect()
    }

    /// Waits until an entry says that it is ready.
    fn wait_ready(&self, host: u32) -> bool {
        let address = format!("{}:8220", self.ip(host));
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let head = "GET /readyz HTTP/1.1\r\nHost: balancer\r\n\r\n";
            let answer = Channel::open(&address)
                .and_then(|mut channel| channel.call(head, b"", Duration::from_secs(1)));
            if answer.is_some_and(|answer| answer.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

// ---------------------------------------------------------------- configurations

const HOST: &str = "ficu95.example";

fn plain_route(prefix: &str, service: &str, kind: &str, attempts: u32) -> String {
    format!(
        "{{\"Name\":\"r{prefix}\",\"Hostname\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\
         \"RouteType\":\"{kind}\",\"TimeoutMs\":4000,\"SloMs\":300,\"Priority\":2,\
         \"Backend\":\"{service}\",\"MaxAttempts\":{attempts},\"Public\":false}}"
    )
}

const ENGINE: &str = "{\"Name\":\"engines\",\"HealthPath\":\"/healthz\",\"MaxConns\":434,\
    \"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Capacity\":16,\"KvCapacity\":450000,\
    \"KvBytes\":327680,\"LinkMbps\":400000.0,\"stride\":46,\"Models\":[{\"Name\":\"m\"}],\
    \"step_ms\":0.925,\"per_seq_ms\":0.00483,\"context_per_k\":0.00254,\"read_per_s\":256000.0,\
    \"pairs_per_m\":0.0917,\"chunk\":2048,\"report_lag_ms\":200.0,\"usual\":{\"prompt\":13239,\
    \"answer\":1540},\"hop_ms\":0.1}}";

fn plain_service(name: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"Protocol\":\"h1\",\
         \"Tls\":false}}"
    )
}

fn config(version: u64, routes: &[String], head_bytes: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Backends\":[{ENGINE},{},{}],\
         \"Limits\":{{\"MaxHeaderBytes\":{head_bytes},\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"hule930\",\"ApiKeys\":[{}]}},\
         {{\"Name\":\"zora114\",\"ApiKeys\":[\"n2ctnfzs989anu6wsjnb\"]}}]}}",
        routes.join(","),
        plain_service("app"),
        plain_service("other"),
        keys.join(",")
    )
}

fn get_head(path: &str, id: &str, key: &str, deadline_ms: u64) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Authorization: Bearer {key}\r\n\r\n"
    )
}

const KEY: &str = "anfqasnmgkcuyj8pq2wd";

fn is_troubled() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- a fleet of a few processes

/// The store, runners of plain services, engines with their agents, and entries.
struct Fleet {
    record: Arc<Record>,
    store: Arc<Store>,
    runs: Arc<Runs>,
    processes: Vec<Process>,
    /// Declared last, so that the folder is removed after the processes have ended.
    site: Site,
}

impl Fleet {
    fn start(case: u32, config: String, services: &[(&str, u32)], names_era: bool) -> Option<Self> {
        let mut fleet = Fleet::empty(Record::open(case), Site::new(BOUNDS, 0), config, names_era)?;
        for (service, host) in services {
            fleet.add_runner(service, *host, 8120, 6, Duration::from_millis(20))?;
        }
        fleet.add_engines()?;
        Some(fleet)
    }

    /// Starts the store alone.
    fn empty(record: Arc<Record>, site: Site, config: String, names_era: bool) -> Option<Self> {
        let store = Store::start(&format!("{}:8223", site.ip(1)), names_era).ok()?;
        store.write(|content| content.put_config(config));
        let runs: Arc<Runs> = Arc::default();
        Some(Fleet { record, store, runs, processes: Vec::new(), site })
    }

    /// Starts three engines with their agents, by which entries hear of one another.
    fn add_engines(&mut self) -> Option<()> {
        for host in [61, 62, 63] {
            self.add_runner("engines", host, 8228, 16, Duration::from_millis(20))?;
            let agent = self.site.agent(host);
            self.processes.push(agent);
        }
        Some(())
    }

    fn add_runner(
        &self,
        service: &str,
        host: u32,
        port: u32,
        capacity: usize,
        work: Duration,
    ) -> Option<()> {
        let runner = Arc::new(Runner {
            name: runner_name(host),
            address: format!("{}:{port}", self.site.ip(host)),
            capacity,
            work,
        });
        let spec = runner.spec(service, "z1", "ready");
        self.store.write(|content| content.put_server(&runner.name, &spec));
        self.record.line(format!("{} is a runner of {service}", runner.name));
        runner.start(self.runs.clone(), self.record.clone()).ok()
    }

    /// Sends one request on a channel of its own and returns the status of the answer, 0 if there
    /// is none.
    fn get(&self, entry: u32, path: &str, id: &str, key: &str) -> u16 {
        self.record.line(format!("send {id} {path} to edge-{entry}"));
        let head = get_head(path, id, key, 2_000);
        let answer = Channel::open(&self.site.front(entry))
            .and_then(|mut channel| channel.call(&head, b"", Duration::from_millis(2_500)));
        let status = answer.map_or(0, |answer| answer.status);
        self.record.line(format!("answer {id} {status}"));
        status
    }
}

// ---------------------------------------------------------------- a key that was taken away

/// A configuration takes a key away; the store is away for a moment and comes back from a copy
/// some seconds old; one entry is restarted. Counts the requests with that key that run although
/// they were sent later than `RevokeMs` after the acknowledgement.
fn restored_store(case: u32) -> i32 {
    const ENTRIES: [u32; 2] = [11, 12];
    let routes = [plain_route("/bo/", "app", "idempotent", 2)];
    let before = config(7, &routes, 16_384, &[KEY]);
    let after = config(8, &routes, 16_384, &[]);
    let Some(mut fleet) = Fleet::start(case, before, &[("app", 41), ("app", 42)], true) else {
        return 2;
    };
    for host in ENTRIES {
        let entry = fleet.site.entry(host, "z1", 0);
        fleet.processes.push(entry);
    }
    if !ENTRIES.iter().all(|host| fleet.site.wait_ready(*host)) {
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let record = fleet.record.clone();
    if ENTRIES.iter().any(|entry| fleet.get(*entry, "/bo/1", &format!("a{entry}"), KEY) != 200) {
        record.say("the key is not served before it is taken away");
        return 2;
    }
    let copy = fleet.store.content.lock().unwrap().clone();
    thread::sleep(Duration::from_millis(500));
    fleet.store.write(|content| content.put_config(after.clone()));
    let acked_at = record.now();
    record.say("acknowledged: version 8 takes the key away");
    thread::sleep(Duration::from_millis(1_500));
    if ENTRIES.iter().any(|entry| fleet.get(*entry, "/bo/1", &format!("b{entry}"), KEY) != 401) {
        record.say("the key is still served");
        return 2;
    }
    thread::sleep(Duration::from_millis(2_000));
    if is_troubled() {
        fleet.store.is_away.store(true, Ordering::SeqCst);
        record.say("the store is away");
        thread::sleep(Duration::from_millis(800));
        fleet.store.write(|content| {
            let era = content.era + 1;
            *content = StoreContent { era, ..copy };
        });
        fleet.store.is_away.store(false, Ordering::SeqCst);
        record.say("the store is back from a copy of before version 8");
    } else {
        thread::sleep(Duration::from_millis(800));
    }
    // The entry on the second host is stopped and started again.
    drop(fleet.processes.pop());
    record.line("edge-12 was killed");
    let entry = fleet.site.entry(ENTRIES[1], "z1", 1);
    fleet.processes.push(entry);
    let rewritten_at = record.now() + 2.0;
    let mut is_rewritten = !is_troubled();
    let (mut sent, mut ran_late, mut refused) = (0, 0, 0);
    while record.now() < acked_at + 9.0 {
        if !is_rewritten && record.now() >= rewritten_at {
            is_rewritten = true;
            fleet.store.write(|content| content.put_config(after.clone()));
            record.say("version 8 is written again");
        }
        for entry in ENTRIES {
            let id = format!("c{entry}{sent:06}");
            let sent_at = record.now();
            let status = fleet.get(entry, "/bo/1", &id, KEY);
            sent += 1;
            let has_run = fleet.runs.of.lock().unwrap().contains_key(&id);
            ran_late += u32::from(has_run && sent_at > acked_at + 5.0);
            refused += u32::from(status != 200);
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.say(format!(
        "{sent} requests with the key, {refused} not served; {ran_late} ran although they were sent \
         later than RevokeMs after the acknowledgement"
    ));
    i32::from(ran_late > 0)
}

// ---------------------------------------------------------------- longer heads

/// A configuration raises `MaxHeaderBytes` while clients keep their channels. Counts the requests
/// that are refused with a 4xx although every configuration that may be in force allows them.
fn longer_heads(case: u32) -> i32 {
    const ENTRIES: [u32; 2] = [11, 12];
    const CLIENTS: u32 = 24;
    let routes = [plain_route("/bo/", "app", "idempotent", 2)];
    let first = if is_troubled() { 16_384 } else { 32_768 };
    let before = config(7, &routes, first, &[KEY]);
    let Some(mut fleet) = Fleet::start(case, before, &[("app", 41), ("app", 42)], false) else {
        return 2;
    };
    for host in ENTRIES {
        let entry = fleet.site.entry(host, "z1", 0);
        fleet.processes.push(entry);
    }
    if !ENTRIES.iter().all(|host| fleet.site.wait_ready(*host)) {
        return 2;
    }
    let record = fleet.record.clone();
    let fronts: Vec<String> = ENTRIES.iter().map(|host| fleet.site.front(*host)).collect();
    let is_raised = Arc::new(AtomicBool::new(false));
    let end = Instant::now() + Duration::from_secs(14);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let front = fronts[(client % 2) as usize].clone();
            let (is_raised, record) = (is_raised.clone(), record.clone());
            thread::spawn(move || {
                let mut statuses: BTreeMap<u16, u32> = BTreeMap::new();
                let mut channel = None;
                let mut number = 0;
                while Instant::now() < end {
                    number += 1;
                    let id = format!("{client:04x}{number:06x}");
                    let mut head = get_head("/bo/1", &id, KEY, 2_000);
                    // From then on, one prompt in two is made of many parts.
                    if is_raised.load(Ordering::SeqCst) && number % 2 == 0 {
                        let parts: Vec<String> =
                            (0..1_400).map(|part| format!("{:08x}:40", part + 16)).collect();
                        let line = format!("Prompt-Prefix: {}\r\n\r\n", parts.join(","));
                        head = format!("{}{line}", &head[..head.len() - 2]);
                    }
                    record.line(format!("send {id} with a head of {} bytes", head.len()));
                    let mut open = channel.take().or_else(|| Channel::open(&front));
                    let answer = open
                        .as_mut()
                        .and_then(|open| open.call(&head, b"", Duration::from_millis(2_500)));
                    let status = answer.as_ref().map_or(0, |answer| answer.status);
                    record.line(format!("answer {id} {status}"));
                    *statuses.entry(status).or_default() += 1;
                    if answer.is_some_and(|answer| answer.header("connection") != "close") {
                        channel = open;
                    }
                    thread::sleep(Duration::from_millis(250));
                }
                statuses
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if is_troubled() {
        fleet.store.write(|content| content.put_config(config(8, &routes, 32_768, &[KEY])));
        record.say("acknowledged: version 8 allows heads of 32,768 bytes");
    }
    thread::sleep(Duration::from_millis(3_000));
    is_raised.store(true, Ordering::SeqCst);
    let mut statuses: BTreeMap<u16, u32> = BTreeMap::new();
    for client in clients {
        for (status, count) in client.join().unwrap_or_default() {
            *statuses.entry(status).or_default() += count;
        }
    }
    let all: u32 = statuses.values().sum();
    let is_denial = |status: &u16| (300..500).contains(status) && ![408, 421, 429].contains(status);
    let denied: u32 = statuses.iter().filter(|(status, _)| is_denial(status)).map(|(_, n)| n).sum();
    let allowed = 5 + all / 500;
    record.say(format!("{all} requests by status (0: no answer): {statuses:?}"));
    record.say(format!("{denied} were denied; the rule allows {allowed}"));
    i32::from(denied > allowed)
}

// ---------------------------------------------------------------- racing operators

/// What a client asked of an entry: when, on which path, and by which attempt.
struct Asked {
    entry: u32,
    sent_at: f64,
    path: String,
    id: String,
}

/// Two operators change the same route shortly one after the other. Counts the requests that are
/// handled as only an older version allows, more than `RollbackSlackMs` after a runner has seen the
/// effect of the newest one through the same entry. Those that were sent later than `ConfigApplyMs`
/// after its acknowledgement are reported as well.
fn racing_operators(case: u32) -> i32 {
    const ENTRIES: std::ops::Range<u32> = 101..124;
    const ROUND: Duration = Duration::from_millis(4_500);
    const ROUNDS: u64 = 17;
    let to_config = |version: u64, moved: &str, rounds: u64, key: u64| {
        let mut routes = vec![plain_route("/sw/", moved, "idempotent", 2)];
        routes.extend(
            (1..=rounds).map(|round| plain_route(&format!("/n{round}/"), "app", "idempotent", 2)),
        );
        config(version, &routes, 16_384, &[KEY, &format!("spare-key-{key:06}")])
    };
    let services = [("app", 41), ("app", 42), ("other", 43), ("other", 44)];
    let first = to_config(10, "app", 0, 0);
    let Some(mut fleet) = Fleet::start(case, first, &services, false) else { return 2 };
    for host in ENTRIES {
        let entry = fleet.site.entry(host, "z1", 0);
        fleet.processes.push(entry);
    }
    if !ENTRIES.clone().all(|host| fleet.site.wait_ready(host)) {
        return 2;
    }
    let record = fleet.record.clone();
    thread::sleep(Duration::from_secs(8));
    let is_over = Arc::new(AtomicBool::new(false));
    let newest = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = ENTRIES
        .map(|entry| {
            let front = fleet.site.front(entry);
            let (is_over, newest) = (is_over.clone(), newest.clone());
            let record = record.clone();
            thread::spawn(move || {
                let mut asked = Vec::new();
                let mut channel = None;
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("{entry:04x}{number:06x}");
                    let round = newest.load(Ordering::SeqCst);
                    let is_new = number % 2 == 0 && round > 0;
                    let path = if is_new { format!("/n{round}/x") } else { "/sw/x".to_owned() };
                    let sent_at = record.now();
                    record.line(format!("send {id} {path} to edge-{entry}"));
                    let head = get_head(&path, &id, KEY, 2_000);
                    let mut open = channel.take().or_else(|| Channel::open(&front));
                    let answer = open
                        .as_mut()
                        .and_then(|open| open.call(&head, b"", Duration::from_millis(2_500)));
                    let status = answer.as_ref().map_or(0, |answer| answer.status);
                    record.line(format!("answer {id} {status}"));
                    if answer.is_some_and(|answer| answer.header("connection") != "close") {
                        channel = open;
                    }
                    asked.push(Asked { entry, sent_at, path, id });
                    thread::sleep(Duration::from_millis(40));
                }
                asked
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let mut version = 10;
    // For each round, when the last version was acknowledged, and when the next one was sent.
    let mut acks: Vec<(f64, f64)> = Vec::new();
    let mut rng = Rng(0x51ed_270b_9f3c_1d57 ^ u64::from(std::process::id()));
    let put = |version: u64, moved: &str, rounds: u64, key: u64| {
        fleet.store.write(|content| content.put_config(to_config(version, moved, rounds, key)));
        record.line(format!("version {version} is acknowledged: /sw/ to {moved}"));
    };
    for round in 1..=ROUNDS {
        if let Some(last) = acks.last_mut() {
            last.1 = record.now();
        }
        if is_troubled() {
            // A key is replaced, one operator moves the route, the other one moves it back and adds
            // a route.
            put(version + 1, "app", round - 1, round);
            thread::sleep(Duration::from_millis(100));
            put(version + 2, "other", round - 1, round);
            thread::sleep(Duration::from_millis(170));
        }
        version += 3;
        put(version, "app", round, round);
        acks.push((record.now(), f64::MAX));
        newest.store(round, Ordering::SeqCst);
        thread::sleep(ROUND + Duration::from_millis(rng.next() % 300));
    }
    is_over.store(true, Ordering::SeqCst);
    let last = record.now();
    let asked: Vec<Asked> =
        clients.into_iter().flat_map(|c| c.join().unwrap_or_default()).collect();
    let runs = fleet.runs.of.lock().unwrap();
    let others = [43, 44].map(runner_name);
    let (mut regressed, mut late) = (0, 0);
    for (index, (acked_at, next_at)) in acks.iter().enumerate() {
        let until = next_at.min(last);
        let mut seen: HashMap<u32, f64> = HashMap::new();
        for one in &asked {
            if one.path == format!("/n{}/x", index + 1)
                && let Some(run) = runs.get(&one.id).and_then(|runs| runs.first())
            {
                let at = seen.entry(one.entry).or_insert(run.1);
                *at = at.min(run.1);
            }
        }
        for one in asked.iter().filter(|one| one.path == "/sw/x" && one.sent_at < until) {
            let is_old = runs
                .get(&one.id)
                .is_some_and(|runs| runs.iter().any(|run| others.contains(&run.0)));
            if !is_old || one.sent_at < *acked_at {
                continue;
            }
            if seen.get(&one.entry).is_some_and(|at| one.sent_at > at + 0.25) {
                regressed += 1;
                record.line(format!("regressed: {} at edge-{}", one.id, one.entry));
            }
            if one.sent_at > acked_at + 2.0 {
                late += 1;
                record.line(format!("late: {} at edge-{}", one.id, one.entry));
            }
        }
    }
    record.say(format!(
        "{} requests in {ROUNDS} rounds; {regressed} were handled as only an older version allows, \
         over RollbackSlackMs after the effect of the newest was seen at the same entry; {late} \
         were sent later than ConfigApplyMs after the acknowledgement of the newest",
        asked.len()
    ));
    if runs.len() * 2 < asked.len() {
        return 2;
    }
    i32::from(regressed > 0)
}

// ---------------------------------------------------------------- a client that does not read

/// Memory that an engine has set aside under one id.
#[derive(Debug)]
struct Ticket {
    engine: String,
    tokens: u64,
    /// Time up to which it is set aside.
    held_until: f64,
    renewals: u32,
    is_released: bool,
    /// End of the last request that used it.
    used_until: Option<f64>,
}

type Tickets = Arc<Mutex<BTreeMap<String, Ticket>>>;

/// Returns the text or the number of a field of a flat JSON object.
fn field<'a>(text: &'a str, name: &str) -> &'a str {
    let after = text.split(&format!("\"{name}\":")).nth(1).unwrap_or_default();
    after.split([',', '}']).next().unwrap_or_default().trim().trim_matches('"')
}

/// An engine that takes orders to set memory aside, and streams answers.
struct Engine {
    name: String,
    address: String,
    events: u64,
    event_bytes: usize,
}

impl Engine {
    fn start(self, tickets: Tickets, record: Arc<Record>) -> std::io::Result<()> {
        const MEMORY: u64 = 450_000;
        let address = self.address.clone();
        serve(&address, move |request, stream| {
            let json = "Content-Type: application/json\r\n";
            if request.path == "/report" {
                let body = "{\"Stage\":\"dual\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\
                            \"Adapters\":[]}],\"Utilization\":false,\"CallSeq\":0,\"Queued\":0,\
                            \"Active\":0,\"KvUsed\":0,\"KvTotal\":450000,\"Handles\":0}";
                return stream.write_all(answer_text(200, json, body).as_bytes()).is_ok();
            }
            if request.path == "/order" {
                let (status, free) = self.order(&request, &tickets, &record, MEMORY);
                let body = format!("{{\"free\":{free}}}");
                return stream.write_all(answer_text(status, json, &body).as_bytes()).is_ok();
            }
            let id = request.header("attempt-id").to_owned();
            if request.header("expect-instance") != self.name {
                let extra = format!("Instance-Id: {}\r\n", self.name);
                return stream.write_all(answer_text(421, &extra, "").as_bytes()).is_ok();
            }
            let helpers = request.header("helpers").to_owned();
            record.line(format!("run {id} at {} with helpers {helpers}", self.name));
            let end = self.stream(&id, &request, stream, &record);
            let ended_at = record.now();
            record.line(format!("end of {id} at {}", self.name));
            let mut tickets = tickets.lock().unwrap();
            for name in helpers.split(',').filter_map(|helper| helper.split_once('/')) {
                if let Some(ticket) = tickets.get_mut(name.1) {
                    ticket.used_until = Some(ended_at);
                }
            }
            end
        })
    }

    fn order(
        &self,
        request: &Request,
        tickets: &Tickets,
        record: &Record,
        memory: u64,
    ) -> (u16, u64) {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let id = field(&text, "Id").to_owned();
        let now = record.now();
        let mut tickets = tickets.lock().unwrap();
        let held = |tickets: &BTreeMap<String, Ticket>| {
            let own = tickets.iter().filter(|(known, ticket)| {
                **known != id
                    && ticket.engine == self.name
                    && !ticket.is_released
                    && ticket.held_until > now
            });
            own.map(|(_, ticket)| ticket.tokens).sum::<u64>()
        };
        let free = memory.saturating_sub(held(&tickets));
        if field(&text, "op") == "release" {
            if let Some(ticket) = tickets.get_mut(&id) {
                ticket.is_released = true;
                ticket.held_until = ticket.held_until.min(now);
            }
            record.line(format!("release {id} at {}", self.name));
            return (200, free);
        }
        let tokens: u64 = field(&text, "Tokens").parse().unwrap_or(0);
        let hold: f64 = field(&text, "HoldMs").parse().unwrap_or(0.0);
        if tokens > free {
            return (409, free);
        }
        let ticket = tickets.entry(id.clone()).or_insert(Ticket {
            engine: self.name.clone(),
            tokens,
            held_until: 0.0,
            renewals: 0,
            is_released: false,
            used_until: None,
        });
        ticket.held_until = now + hold / 1e3;
        ticket.renewals += 1;
        record.line(format!("reserve {id} at {}: {tokens} tokens for {hold} ms", self.name));
        (200, free - tokens)
    }

    /// Streams the answer. Ends at the deadline that the request names.
    fn stream(&self, id: &str, request: &Request, stream: &mut TcpStream, record: &Record) -> bool {
        let limit: f64 = request.header("deadline-ms").parse().unwrap_or(15_000.0);
        let deadline = record.now() + limit / 1e3;
        let first: u64 = request.header("last-event-id").parse().map_or(1, |last: u64| last + 1);
        thread::sleep(Duration::from_millis(500));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             Instance-Id: {}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.name
        );
        let mut is_written = stream.write_all(head.as_bytes()).is_ok();
        for number in first..=self.events {
            let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(self.event_bytes));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            let left = Duration::from_secs_f64((deadline - record.now()).max(0.001));
            let _ = stream.set_write_timeout(Some(left));
            is_written = is_written && stream.write_all(chunk.as_bytes()).is_ok();
            if !is_written {
                return false;
            }
            thread::sleep(Duration::from_millis(12));
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// A client of a long prompt does not read its answer for a while. Counts the memory that stays set
/// aside `FreeMs` after the end of the last request that used it.
fn unread_answer(case: u32) -> i32 {
    const FREE_S: f64 = 4.0;
    const ROUNDS: u32 = 4;
    let record = Record::open(case);
    let site = Site::new(BOUNDS, 0);
    let Ok(store) = Store::start(&format!("{}:8223", site.ip(1)), false) else { return 2 };
    let route = format!(
        "{{\"Name\":\"r-long\",\"Hostname\":\"{HOST}\",\"PathPrefix\":\"/lo/\",\
         \"RouteType\":\"streaming\",\"TimeoutMs\":15000,\"SloMs\":3000,\"Priority\":1,\
         \"Backend\":\"engines\",\"MaxAttempts\":2,\"Public\":false,\"Affinity\":true,\
         \"Resumable\":true,\"gap_aim_ms\":800}}"
    );
    store.write(|content| content.put_config(config(7, &[route], 16_384, &[KEY])));
    let tickets: Tickets = Arc::default();
    let mut processes = Vec::new();
    for host in 61..69 {
        let name = format!("i-e{host}");
        let address = format!("{}:8228", site.ip(host));
        let spec = format!(
            "{{\"Backend\":\"engines\",\"Address\":\"{address}\",\"Zone\":\"z1\",\"Version\":\"v1\",\
             \"Capacity\":16,\"State\":\"ready\",\"WarmupLeftMs\":0,\"Stage\":\"dual\",\
             \"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\"CallSeq\":0}}"
        );
        let engine = Engine { name: name.clone(), address, events: 160, event_bytes: 3_000 };
        store.write(|content| content.put_server(&name, &spec));
        if engine.start(tickets.clone(), record.clone()).is_err() {
            return 2;
        }
        processes.push(site.agent(host));
    }
    for host in [11, 12] {
        processes.push(site.entry(host, "z1", 0));
    }
    if ![11, 12].iter().all(|host| site.wait_ready(*host)) {
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let mut served = 0;
    for round in 0..ROUNDS {
        let id = format!("long{round:04}");
        let body = "y".repeat(20_000);
        let head = format!(
            "POST /lo/{round} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nModel: m\r\n\
             Token-Count: 600000,8000\r\nPrompt-Prefix: 5c1e07a2:40,{round:08x}:599960\r\n\
             Deadline-Ms: 15000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        record.line(format!("send {id}"));
        let sent = Instant::now();
        let Some(mut stream) = connect_with_small_window(&site.front(11 + round % 2)) else {
            return 2;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(12)));
        if stream
            .write_all(head.as_bytes())
            .and_then(|()| stream.write_all(body.as_bytes()))
            .is_err()
        {
            return 2;
        }
        let mut reader = BufReader::with_capacity(1_024, stream);
        let Some((first, _)) = read_head(&mut reader) else {
            record.say(format!("{id}: no answer"));
            return 2;
        };
        record.line(format!("answer {id} {first}"));
        let mut line = String::new();
        let mut last = String::new();
        if is_troubled() {
            // The client is busy, and gives up at its deadline.
            while reader.read_line(&mut line).is_ok_and(|length| length > 0)
                && !line.contains("id: 1")
            {}
            record.line(format!("{id} is not read any more"));
            thread::sleep(Duration::from_millis(14_900).saturating_sub(sent.elapsed()));
        } else {
            while reader.read_line(&mut line).is_ok_and(|length| length > 0) {
                if let Some(id) = line.trim().strip_prefix("id: ") {
                    last = id.to_owned();
                }
                line.clear();
                if last == "160" {
                    break;
                }
            }
        }
        served += u32::from(first.contains("200"));
        record.line(format!("{id}: the client closes its channel, last event {last}"));
        drop(reader);
        thread::sleep(Duration::from_millis(2_500));
    }
    drop(processes);
    let tickets = tickets.lock().unwrap();
    let mut leaks = 0;
    for (id, ticket) in tickets.iter() {
        let Some(used_until) = ticket.used_until else { continue };
        let kept = ticket.held_until - used_until;
        leaks += u32::from(kept > FREE_S);
        record.say(format!(
            "{} tokens at {} under {id}: set aside for {kept:.1} s after the end of the last request \
             that used them, {} orders",
            ticket.tokens, ticket.engine, ticket.renewals
        ));
    }
    record.say(format!(
        "{served} of {ROUNDS} prompts begun; {leaks} of {} tickets kept over FreeMs",
        tickets.len()
    ));
    if tickets.values().all(|ticket| ticket.used_until.is_none()) {
        return 2;
    }
    i32::from(leaks > 0)
}

// ---------------------------------------------------------------- runners are added and leave

/// A runner that may leave, and the requests that reach it afterwards.
struct LeavingRunner {
    name: String,
    address: String,
    /// When the store acknowledged that it is draining.
    acked_at: Mutex<Option<f64>>,
    late: Arc<AtomicU64>,
    latest_ms: Arc<AtomicU64>,
}

impl LeavingRunner {
    fn start(self: Arc<Self>, record: Arc<Record>, drain_s: f64) -> std::io::Result<()> {
        let address = self.address.clone();
        serve(&address, move |request, stream| {
            let now = record.now();
            let id = request.header("attempt-id");
            if request.header("expect-instance") != self.name {
                let extra = format!("Instance-Id: {}\r\n", self.name);
                return stream.write_all(answer_text(421, &extra, "").as_bytes()).is_ok();
            }
            let acked_at = *self.acked_at.lock().unwrap();
            record.line(format!("run {id} at {}", self.name));
            if let Some(after) = acked_at.map(|at| now - at).filter(|after| *after > drain_s) {
                record.line(format!("late: {id} at {}, {after:.3} s after the ack", self.name));
                self.late.fetch_add(1, Ordering::SeqCst);
                self.latest_ms.fetch_max((after * 1e3) as u64, Ordering::SeqCst);
            }
            thread::sleep(Duration::from_millis(5));
            let extra = format!(
                "Attempt-Id: {id}\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
                 Instance-Id: {}\r\nKeep-Alive: timeout=15\r\n",
                self.name
            );
            stream.write_all(answer_text(200, &extra, "done").as_bytes()).is_ok()
        })
    }

    fn spec(&self, state: &str) -> String {
        format!(
            "{{\"Backend\":\"app\",\"Address\":\"{}\",\"Zone\":\"z1\",\"Version\":\"v1\",\
             \"Capacity\":6,\"State\":\"{state}\",\"WarmupLeftMs\":0,\"CallSeq\":0}}",
            self.address
        )
    }
}

/// What one fleet has seen.
#[derive(Debug, Default)]
struct DrainCount {
    sent: u64,
    served: u64,
    left: u32,
    late: u64,
    latest_ms: u64,
}

/// Runners are added to a fleet in which most entries do not watch the store, and the entries that
/// read the list of runners lose power; later runners leave one after the other and are replaced. Counts the requests that reach a runner later than `DrainMs`
/// after the store acknowledged that it is draining. `None` if the fleet could not run.
fn serve_while_runners_leave(record: &Arc<Record>, index: u32) -> Option<DrainCount> {
    const ENTRIES: std::ops::Range<u32> = 101..146;
    const MOST_KILLED: usize = 7;
    const FIRST_RUNNERS: u32 = 17;
    const ADDED_RUNNERS: u32 = 5;
    let drain_s = FLEET_BOUNDS.drain_ms as f64 / 1e3;
    let routes = [plain_route("/sw/", "app", "idempotent", 2)];
    let first = config(10, &routes, 16_384, &[KEY]);
    let mut fleet = Fleet::empty(record.clone(), Site::new(FLEET_BOUNDS, index), first, false)?;
    fleet.add_engines()?;
    let (late, latest_ms) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let start = |number: u32| {
        let runner = Arc::new(LeavingRunner {
            name: format!("i-{index}r{number:03}"),
            address: format!("{}:{}", fleet.site.ip(20 + number % 30), 8_120 + number / 30),
            acked_at: Mutex::new(None),
            late: late.clone(),
            latest_ms: latest_ms.clone(),
        });
        runner.clone().start(record.clone(), drain_s).ok()?;
        let spec = runner.spec("ready");
        fleet.store.write(|content| content.put_server(&runner.name, &spec));
        record.line(format!("{} is ready", runner.name));
        Some(runner)
    };
    let at_first = if is_troubled() { FIRST_RUNNERS } else { FIRST_RUNNERS + ADDED_RUNNERS };
    let mut runners = (0..at_first).map(start).collect::<Option<Vec<_>>>()?;
    let mut entries: BTreeMap<u32, Process> =
        ENTRIES.map(|host| (host, fleet.site.entry(host, "z1", 0))).collect();
    if !ENTRIES.clone().all(|host| fleet.site.wait_ready(host)) {
        return None;
    }
    thread::sleep(Duration::from_secs(5));
    for number in at_first..FIRST_RUNNERS + ADDED_RUNNERS {
        runners.push(start(number)?);
        thread::sleep(Duration::from_millis(200));
    }
    let before = fleet.site.list_watches(ENTRIES);
    thread::sleep(Duration::from_secs(6));
    if is_troubled() {
        // Those that read the list last lose power. An entry that watches asks again at most 1.2 s
        // after a change.
        let after = fleet.site.list_watches(ENTRIES);
        let readers: Vec<u32> = ENTRIES.filter(|host| after.get(host) > before.get(host)).collect();
        record.say(format!("entries that read the list: {readers:?}"));
        if readers.len() > MOST_KILLED {
            return None;
        }
        record.say("these lose power");
        for host in readers {
            entries.remove(&host);
        }
        thread::sleep(Duration::from_secs(4));
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let alive: Vec<u32> = entries.keys().copied().collect();
    let clients: Vec<_> = alive
        .into_iter()
        .map(|entry| {
            let front = fleet.site.front(entry);
            let (is_over, record) = (is_over.clone(), record.clone());
            thread::spawn(move || {
                let (mut sent, mut served) = (0_u64, 0_u64);
                let mut channel = None;
                while !is_over.load(Ordering::SeqCst) {
                    sent += 1;
                    let id = format!("{index:02x}{entry:02x}{sent:08x}");
                    record.line(format!("send {id} to edge-{entry}"));
                    let head = get_head("/sw/x", &id, KEY, 2_000);
                    let mut open = channel.take().or_else(|| Channel::open(&front));
                    let answer = open
                        .as_mut()
                        .and_then(|open| open.call(&head, b"", Duration::from_millis(2_500)));
                    let status = answer.as_ref().map_or(0, |answer| answer.status);
                    record.line(format!("answer {id} {status}"));
                    served += u64::from(status == 200);
                    if answer.is_some_and(|answer| answer.header("connection") != "close") {
                        channel = open;
                    }
                    thread::sleep(Duration::from_millis(80));
                }
                (sent, served)
            })
        })
        .collect();
    let mut rng = Rng(0x2545_f491_4f6c_dd1d ^ u64::from(std::process::id() + 65_536 * index));
    let end = record.now() + 14.0;
    let mut number = FIRST_RUNNERS + ADDED_RUNNERS;
    while record.now() < end {
        thread::sleep(Duration::from_millis(800 + rng.next() % 400));
        // A new runner starts first, then the old one drains. It serves on until the end.
        runners.push(start(number)?);
        number += 1;
        let old = runners.remove((rng.next() % (runners.len() as u64 - 1)) as usize);
        let spec = old.spec("draining");
        fleet.store.write(|content| content.put_server(&old.name, &spec));
        *old.acked_at.lock().unwrap() = Some(record.now());
        record.line(format!("acknowledged: {} is draining", old.name));
    }
    is_over.store(true, Ordering::SeqCst);
    let left = number - FIRST_RUNNERS - ADDED_RUNNERS;
    let mut count = DrainCount { left, ..DrainCount::default() };
    for client in clients {
        let (sent, served) = client.join().unwrap_or_default();
        count.sent += sent;
        count.served += served;
    }
    drop(entries);
    count.late = late.load(Ordering::SeqCst);
    count.latest_ms = latest_ms.load(Ordering::SeqCst);
    Some(count)
}

/// Starts a fleet, and another one, up to four times, if by chance more entries read the list than may
/// be killed.
fn added_runners(case: u32) -> i32 {
    let record = Record::open(case);
    let mut fleets = (0..5).map(|index| serve_while_runners_leave(&record, index));
    let Some(count) = fleets.find_map(|count| count) else { return 2 };
    let DrainCount { sent, served, left, late, latest_ms } = count;
    record.say(format!(
        "{sent} requests, {served} answered 200; {left} runners left; {late} requests reached one \
         later than DrainMs after the acknowledgement, the last {latest_ms} ms after it"
    ));
    if served * 2 < sent {
        return 2;
    }
    i32::from(late > 0)
}

fn main() {
    let case: u32 = std::env::args().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let kind = std::env::args().nth(2).unwrap_or_default();
    let code = match kind.as_str() {
        "restored-store" => restored_store(case),
        "longer-heads" => longer_heads(case),
        "added-runners" => added_runners(case),
        "unread-answer" => unread_answer(case),
        "racing-operators" => racing_operators(case),
        _ => 2,
    };
    std::process::exit(code);
}
