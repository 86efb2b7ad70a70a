//! Crowds of callers that do not behave, beside the product's entry and agent.

#[path = "../platform/tests/support/crowd.rs"]
mod crowd;
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use crowd::{Crowd, HoldingsWatch, run_alone};
use standins::caller::{call, order};
use standins::engine_model::EngineSpec;
use support::{Site, wait_until};

/// Memory of the entry in its settings, in MiB.
const MEMORY_MB: u64 = 64;

const KIB_PER_MIB: u64 = 1024;

/// Number of strangers at an agent.
const STRANGERS: usize = 900;

/// Handshakes that an agent keeps open, and what it has open itself.
const MAX_DESCRIPTORS: u64 = 128 + 32;

/// Bytes of a body that stops just short of the limit.
const UNFINISHED_BYTES: usize = 990_000;

/// Number of callers with an unfinished body.
const BODY_CROWD: usize = 200;

/// Number of the entry with little memory.
const LIMITED: usize = 1;

/// Time for which a crowd stands still.
const STANDSTILL: Duration = Duration::from_secs(3);

/// Starts a site with a second entry that has little memory.
async fn start_limited() -> (Site, SocketAddr) {
    let mut site = Site::start(1, 1, EngineSpec::default()).await;
    let memory = MEMORY_MB.to_string();
    let args = ["--memory-mb", &memory, "--max-body-bytes", "1000000"];
    site.add_entry_with(LIMITED, &args);
    site.wait_ready(LIMITED).await;
    let address = site.callers(LIMITED);
    (site, address)
}

async fn assert_serves(site: &Site) {
    wait_until("an order is executed", async || {
        call(site.callers(LIMITED), order("boat-1")).await.is_ok_and(|answer| answer.status == 200)
    })
    .await;
}

/// Runs a test apart from the others of this file.
fn run_test(test: impl Future<Output = ()>) {
    let _alone = run_alone();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

async fn test_bodies(bytes_of: impl Fn(usize) -> Vec<u8> + Sync) {
    let (mut site, address) = start_limited().await;
    let watch = HoldingsWatch::start(site.entries[LIMITED].id(), address);
    let crowd = Crowd::connect(address, BODY_CROWD);
    crowd.write(bytes_of);
    tokio::time::sleep(STANDSTILL).await;
    assert_serves(&site).await;
    let peak = watch.finish();
    println!("{peak:?}");
    drop(crowd);
    assert!(site.entries[LIMITED].is_running());
    assert!(peak.memory_kib <= MEMORY_MB * KIB_PER_MIB, "{peak:?}");
    assert_serves(&site).await;
}

fn unfinished_body(key: &str, length: usize) -> Vec<u8> {
    let head = format!(
        "POST /services/booking-app/confirm HTTP/1.1\r\nHost: fleet\r\n\
         Authorization: Bearer {key}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let chunk = format!("{length:x}\r\n{}\r\n", "x".repeat(length));
    (head + &chunk.repeat(UNFINISHED_BYTES / length)).into()
}

#[test]
fn crowd_of_unfinished_bodies_at_the_products_entry() {
    run_test(test_bodies(|_| unfinished_body("demo-pier-app", 45_000)));
}

#[test]
fn crowd_of_bodies_in_small_chunks_at_the_products_entry() {
    run_test(test_bodies(|_| unfinished_body("demo-pier-app", 16)));
}

#[test]
fn crowd_of_bodies_under_a_wrong_key_at_the_products_entry() {
    run_test(test_bodies(|_| unfinished_body("wrong", 45_000)));
}

/// Idle connections take all places of callers and stay. Small requests still find room.
#[test]
fn crowd_of_idle_connections_at_the_products_entry() {
    run_test(test_places());
}

async fn test_places() {
    /// Number of ordinary requests, each on a new connection.
    const REQUESTS: usize = 20;
    let mut site = Site::start(1, 1, EngineSpec::default()).await;
    site.add_entry_with(LIMITED, &["--max-connections", "50"]);
    site.wait_ready(LIMITED).await;
    let crowd = Crowd::connect(site.callers(LIMITED), 100);
    tokio::time::sleep(STANDSTILL).await;
    assert!(crowd.open() > 0, "the crowd is there");
    for number in 0..REQUESTS {
        let answer = call(site.callers(LIMITED), order("boat-3")).await;
        assert!(answer.is_ok_and(|answer| answer.status == 200), "request {number}");
    }
}

/// Peers that connect to an agent, begin a message and never prove that they belong to the fleet.
#[test]
fn crowd_of_strangers_at_the_products_agent() {
    run_test(test_strangers());
}

async fn test_strangers() {
    /// Bytes that each one sends after the upgrade, of a frame that is announced as longer.
    const FRAME_BYTES: usize = 200_000;
    let mut site = Site::start(1, 1, EngineSpec::default()).await;
    let agent = &site.plain_agent.process;
    let address = agent.address("entries");
    let watch = HoldingsWatch::start(agent.id(), address);
    let crowd = Crowd::connect(address, STRANGERS);
    crowd.write(|_| {
        let upgrade = "GET / HTTP/1.1\r\nHost: agent\r\nConnection: Upgrade\r\n\
                       Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n\
                       Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
        let mut bytes = upgrade.as_bytes().to_vec();
        // A masked binary frame with a length of eight bytes.
        bytes.extend([0x82, 0x80 | 127]);
        bytes.extend((FRAME_BYTES as u64 + 1).to_be_bytes());
        bytes.extend([0; 4]);
        bytes.extend(vec![0; FRAME_BYTES]);
        bytes
    });
    let answer = call(site.callers(0), order("boat-2")).await.expect("answer");
    assert_eq!(answer.status, 200);
    let peak = watch.finish();
    println!("{peak:?}");
    drop(crowd);
    assert!(peak.memory_kib <= MEMORY_MB * KIB_PER_MIB, "{peak:?}");
    assert!(peak.descriptors <= MAX_DESCRIPTORS, "{peak:?}");
    assert!(site.plain_agent.process.is_running());
}

/// Guards against handshakes beyond the bound: those that were ended kept their descriptors while
/// others that had waited were taken.
#[test]
fn crowd_of_strangers_that_wait_at_a_frozen_agent() {
    run_test(test_waiting_strangers());
}

async fn test_waiting_strangers() {
    let mut site = Site::start(1, 1, EngineSpec::default()).await;
    let agent = &site.plain_agent.process;
    let address = agent.address("entries");
    let watch = HoldingsWatch::start(agent.id(), address);
    agent.freeze(true);
    let crowd = Crowd::connect(address, STRANGERS);
    agent.freeze(false);
    let answer = call(site.callers(0), order("boat-3")).await.expect("answer");
    assert_eq!(answer.status, 200);
    let peak = watch.finish();
    println!("{peak:?}");
    drop(crowd);
    assert!(peak.descriptors <= MAX_DESCRIPTORS, "{peak:?}");
    assert!(site.plain_agent.process.is_running());
}
