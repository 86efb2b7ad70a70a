//! Stand-ins for the platform's store, its runners and its clients, and the start and end of the
//! project's own programs. Only the standard library is used, so that `rustc` builds it alone.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Ports, alike on all machines.
pub const FRONT: u16 = 8227;
pub const READINESS: u16 = 8220;
pub const METRICS: u16 = 9464;
pub const INTERNAL: u16 = 7340;
pub const STORE: u16 = 8223;
pub const APP: u16 = 8228;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const TENANT: &str = "hule930";

/// Returns whether the disruption is to be brought about.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the script as not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(NOT_RUN)
}

/// A small random number generator (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Returns a number from 0 to 1.
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The record of a run, in `record.txt`.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
        Arc::new(Record { file: Mutex::new(file), start: Instant::now() })
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let at = self.seconds();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// A block of loopback addresses, one for each machine of the deployment.
#[derive(Clone, Copy)]
pub struct Block(u8, u8);

impl Block {
    /// Finds a block of which nobody uses the addresses.
    pub fn find() -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut random = Random::new(now.as_nanos() as u64 ^ u64::from(std::process::id()) << 32);
        for _ in 0..50 {
            let block = Block(60 + (random.next() % 150) as u8, (random.next() % 250) as u8);
            let is_free = [(1, STORE), (10, FRONT), (100, APP), (101, INTERNAL)]
                .iter()
                .all(|(member, port)| TcpListener::bind(block.address(*member, *port)).is_ok());
            if is_free {
                return block;
            }
        }
        cannot_run("no block of loopback addresses is free")
    }

    pub fn ip(self, member: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, member))
    }

    pub fn address(self, member: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(member), port)
    }

    pub fn store(self) -> SocketAddr {
        self.address(1, STORE)
    }

    pub fn front(self, number: u8) -> SocketAddr {
        self.address(10 + number, FRONT)
    }

    pub fn runner(self, number: u8) -> SocketAddr {
        self.address(100 + number, APP)
    }
}

/// A request as a server reads it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Reads bytes until an empty line; returns the first line and the headers.
fn read_head(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<(String, Vec<(String, String)>)>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let mut lines = text.split("\r\n");
            let first = lines.next().unwrap_or_default().to_owned();
            let headers = lines.filter_map(|line| line.split_once(':'));
            let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
            return Ok(Some((first, headers.collect())));
        }
        if !read_more(stream, buffer)? {
            return if buffer.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
        }
    }
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<bool> {
    let mut bytes = [0; 16 * 1024];
    let length = stream.read(&mut bytes)?;
    buffer.extend_from_slice(&bytes[..length]);
    Ok(length > 0)
}

fn read_length(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    length: usize,
) -> std::io::Result<Vec<u8>> {
    while buffer.len() < length {
        if !read_more(stream, buffer)? {
            return Err(ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(buffer.drain(..length).collect())
}

fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let Some(end) = buffer.windows(2).position(|two| two == b"\r\n") else {
            if !read_more(stream, buffer)? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            continue;
        };
        let size = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let size = size.split(';').next().unwrap_or_default().trim().to_owned();
        let size = usize::from_str_radix(&size, 16).map_err(|_| ErrorKind::InvalidData)?;
        buffer.drain(..end + 2);
        let chunk = read_length(stream, buffer, size + 2)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Reads one request, `None` if the channel ends before it.
pub fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(stream, buffer)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let path = words.next().unwrap_or_default().to_owned();
    let is_chunked = find_header(&headers, "transfer-encoding").is_some();
    let length = find_header(&headers, "content-length").and_then(|text| text.parse().ok());
    let body = if is_chunked {
        read_chunks(stream, buffer)?
    } else {
        read_length(stream, buffer, length.unwrap_or(0))?
    };
    Ok(Some(Request { method, path, headers, body }))
}

/// What a server does after a request.
pub enum Act {
    /// Writes bytes and waits for the next request.
    Write(Vec<u8>),
    /// Resets the channel.
    Reset,
}

/// Serves each channel in a thread of its own.
pub fn serve(address: SocketAddr, answer: impl Fn(&Request) -> Act + Send + Sync + 'static) {
    let listener = TcpListener::bind(address)
        .unwrap_or_else(|error| cannot_run(&format!("{address}: {error}")));
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || serve_channel(stream, &*answer));
        }
    });
}

/// Serves each channel in a thread of its own; `answer` writes to the channel itself, and returns
/// `true` if the channel stays open.
pub fn serve_written(
    address: SocketAddr,
    answer: impl Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let listener = TcpListener::bind(address)
        .unwrap_or_else(|error| cannot_run(&format!("{address}: {error}")));
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Ok(Some(request)) = read_request(&mut stream, &mut buffer) {
                    if !answer(&request, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
}

fn serve_channel(mut stream: TcpStream, answer: &(dyn Fn(&Request) -> Act + Send + Sync)) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = read_request(&mut stream, &mut buffer) {
        match answer(&request) {
            Act::Write(bytes) if stream.write_all(&bytes).is_ok() => {}
            Act::Write(_) => return,
            Act::Reset => return reset(stream),
        }
    }
}

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Closes a channel with a reset.
pub fn reset(stream: TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let at_once = [1, 0];
    // SAFETY: the socket is open, and the value is a `struct linger` of two integers.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &at_once, 8) };
    drop(stream);
}

/// Writes an answer with a length. `headers` are whole lines without their ends.
pub fn to_answer(status: &str, headers: &[String], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for header in headers {
        text += header;
        text += "\r\n";
    }
    (text + "\r\n" + body).into_bytes()
}

/// The headers that a runner adds to each answer to a request that it has run.
pub fn run_headers(request: &Request) -> Vec<String> {
    let id = request.header("attempt-id").unwrap_or("-");
    vec![format!("Attempt-Id: {id}"), format!("Response-Seal: seal.{id}")]
}

struct StoreObject {
    revision: u64,
    made: u64,
    spec: String,
    status: String,
}

impl StoreObject {
    fn to_text(&self, name: &str) -> String {
        format!(
            "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{},\"made\":{},\"finalizers\":[],\
             \"deleting\":false}},\"Spec\":{},\"Status\":{}}}",
            self.revision, self.made, self.spec, self.status
        )
    }
}

#[derive(Default)]
struct StoreContent {
    revision: u64,
    /// Objects by kind and name.
    objects: BTreeMap<(String, String), StoreObject>,
    /// Changes: revision, kind and the event.
    events: Vec<(u64, String, String)>,
}

impl StoreContent {
    fn record(&mut self, kind: &str, name: &str, is_gone: bool) {
        let Some(object) = self.objects.get(&(kind.to_owned(), name.to_owned())) else { return };
        let event = format!("{{\"gone\":{is_gone},\"object\":{}}}", object.to_text(name));
        self.events.push((self.revision, kind.to_owned(), event));
    }
}

/// The platform's store: lists, watches and conditional writes of a status.
#[derive(Default)]
pub struct Store {
    content: Mutex<StoreContent>,
    changed: Condvar,
}

impl Store {
    pub fn start(block: Block) -> Arc<Self> {
        let store = Arc::new(Store::default());
        store.content.lock().unwrap().revision = 100;
        let served = store.clone();
        serve(block.store(), move |request| Act::Write(served.answer(request)));
        store
    }

    /// Writes an object as the operator or a runner does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut content = self.content.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        let key = (kind.to_owned(), name.to_owned());
        let object = content.objects.entry(key).or_insert_with(|| StoreObject {
            revision,
            made: revision,
            spec: String::new(),
            status: "null".to_owned(),
        });
        object.revision = revision;
        object.spec = spec.to_owned();
        content.record(kind, name, false);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Vec<u8> {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).and_then(|(_, value)| value.parse().ok())
        };
        let json = ["Content-Type: application/json".to_owned()];
        if request.method == "PUT" && path == "/objects/config/main/status" {
            let (status, body) = self.put_status(&String::from_utf8_lossy(&request.body));
            return to_answer(status, &json, &body);
        }
        let Some(kind) = path.strip_prefix("/objects/").filter(|kind| !kind.contains('/')) else {
            return to_answer("404 Not Found", &json, "{}");
        };
        let body = match number("watch") {
            Some(after) => self.watch(kind, after, number("WaitMs").unwrap_or(0)),
            None => self.list(kind),
        };
        to_answer("200 OK", &json, &body)
    }

    fn list(&self, kind: &str) -> String {
        let content = self.content.lock().unwrap();
        let objects = content.objects.iter().filter(|((known, _), _)| known == kind);
        let texts: Vec<String> = objects.map(|((_, name), object)| object.to_text(name)).collect();
        format!("{{\"Entries\":[{}],\"more\":false,\"at\":{}}}", texts.join(","), content.revision)
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> String {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut content = self.content.lock().unwrap();
        loop {
            let events = content.events.iter();
            let events = events.filter(|(at, known, _)| *at > after && known == kind);
            let texts: Vec<String> = events.map(|(_, _, text)| text.clone()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !texts.is_empty() || left.is_zero() {
                let revision = content.revision;
                return format!("{{\"events\":[{}],\"at\":{revision}}}", texts.join(","));
            }
            content = self.changed.wait_timeout(content, left).unwrap().0;
        }
    }

    /// Replaces the status of the configuration if its revision is the one that the caller names.
    fn put_status(&self, body: &str) -> (&'static str, String) {
        let mut content = self.content.lock().unwrap();
        let key = ("config".to_owned(), "main".to_owned());
        let revision = content.revision + 1;
        let Some(object) = content.objects.get_mut(&key) else {
            return ("404 Not Found", "{}".to_owned());
        };
        let named = body.split_once("\"Revision\":").map(|(_, rest)| rest);
        let digits = named.map(|rest| rest.chars().take_while(char::is_ascii_digit).collect());
        let named: Option<u64> = digits.and_then(|text: String| text.parse().ok());
        let status = body.split_once("\"Status\":").map(|(_, rest)| rest.trim_end());
        if named.is_some_and(|named| named != object.revision) || status.is_none() {
            return ("409 Conflict", object.to_text("main"));
        }
        // The rest of the body but for the brace that ends it.
        let status = status.and_then(|text| text.strip_suffix('}')).unwrap_or("null");
        if object.status == status {
            return ("200 OK", object.to_text("main"));
        }
        object.status = status.to_owned();
        object.revision = revision;
        let text = object.to_text("main");
        content.revision = revision;
        content.record("config", "main", false);
        self.changed.notify_all();
        ("200 OK", text)
    }
}

/// Returns the entry of a runner in the store.
pub fn runner_spec(service: &str, address: SocketAddr, zone: &str, capacity: u32) -> String {
    format!(
        "{{\"Backend\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
         \"Version\":\"v1\",\"Capacity\":{capacity},\"State\":\"ready\",\"WarmupLeftMs\":0,\
         \"CallSeq\":0}}"
    )
}

/// Returns the `Limits` and `Tenants` of a configuration, as a small deployment has them.
pub fn limits_and_tenants() -> String {
    format!(
        "\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"{TENANT}\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]"
    )
}

/// A process of the project, which is ended with its owner.
pub struct Program {
    child: Child,
    folder: PathBuf,
}

impl Program {
    /// Starts a program of the deploy file with its settings.
    pub fn start(program: &str, name: &str, settings: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        let write = || -> std::io::Result<(File, PathBuf)> {
            std::fs::create_dir_all(&folder)?;
            let file = folder.join("local.conf");
            std::fs::write(&file, settings)?;
            Ok((File::create(folder.join("log"))?, file))
        };
        let (log, file) = write().unwrap_or_else(|error| cannot_run(&error.to_string()));
        let mut command = Command::new(program);
        command.env("SHALELANE_BOOT", file).stdout(log).stderr(Stdio::inherit());
        // SAFETY: the call is allowed between fork and exec. It ends the program with the script,
        // however the script ends.
        unsafe {
            command.pre_exec(|| {
                const PR_SET_PDEATHSIG: i32 = 1;
                const SIGKILL: u64 = 9;
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let child = command
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("{program}: {error}")));
        Program { child, folder }
    }

    /// Starts the role `entry` with settings like those of a small deployment.
    pub fn start_entry(block: Block, number: u8, zone: &str, zones: &[&str]) -> Self {
        let ip = block.ip(10 + number);
        let regions: String = zones.iter().map(|zone| format!("\"{zone}\" = \"valdivia\"\n")).collect();
        let settings = format!(
            "name = \"edge-{zone}-{number}\"\nfailure_domain = \"{zone}\"\n\
             listen = \"{ip}:{FRONT}\"\nreadiness_listen = \"{ip}:{READINESS}\"\n\
             metrics_listen = \"{ip}:{METRICS}\"\nload_listen = \"{ip}:{INTERNAL}\"\n\
             store = \"{}\"\nrevoke_ms = 5000\nfail_closed = true\ndrain_ms = 2000\n\
             store_history_s = 20\nretry_ratio = 0.2\nretry_slack = 106\nretry_window_s = 10\n\
             stop_s = 8\nmax_descriptors = 4100\n\n[regions]\n{regions}",
            block.store()
        );
        Program::start("target/release/platform-entry", &format!("entry-{number}"), &settings)
    }

    /// Starts the role `agent` beside a model runner.
    pub fn start_agent(runner: SocketAddr) -> Self {
        let ip = runner.ip();
        let settings = format!(
            "name = \"side-{ip}\"\nload_listen = \"{ip}:{INTERNAL}\"\ntarget = \"{runner}\"\n"
        );
        Program::start("target/release/platform-agent", &format!("agent-{ip}"), &settings)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, number: i32) {
        // SAFETY: the process is a child that was not waited for yet.
        unsafe { kill(self.child.id() as i32, number) };
    }

    /// Returns `true` if the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Waits until an entry says that it is ready.
pub fn wait_until_ready(block: Block, number: u8) {
    let address = block.address(10 + number, READINESS);
    let deadline = Instant::now() + Duration::from_secs(15);
    while Instant::now() < deadline {
        let asked = Channel::open(address).and_then(|mut channel| {
            channel.ask(&format!("GET /readyz HTTP/1.1\r\nHost: {address}\r\n\r\n"), b"")
        });
        if asked.is_ok_and(|answer| answer.status == 200) {
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
    cannot_run("an entry did not become ready within 15 s")
}

/// An answer as a client reads it.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// A client's channel.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Channel { stream, buffer: Vec::new() })
    }

    /// Sends a request and reads the whole answer.
    pub fn ask(&mut self, head: &str, body: &[u8]) -> std::io::Result<Answer> {
        self.stream.write_all(&[head.as_bytes(), body].concat())?;
        self.read_answer()
    }

    pub fn read_answer(&mut self) -> std::io::Result<Answer> {
        let head = read_head(&mut self.stream, &mut self.buffer)?;
        let Some((first, headers)) = head else { return Err(ErrorKind::UnexpectedEof.into()) };
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let length = find_header(&headers, "content-length").and_then(|text| text.parse().ok());
        let body = if find_header(&headers, "transfer-encoding").is_some() {
            read_chunks(&mut self.stream, &mut self.buffer)?
        } else {
            read_length(&mut self.stream, &mut self.buffer, length.unwrap_or(0))?
        };
        Ok(Answer { status, headers, body })
    }
}

/// Writes the head of a client's request.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64, length: usize) -> String {
    let length = if length > 0 { format!("Content-Length: {length}\r\n") } else { String::new() };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{length}\r\n"
    )
}
