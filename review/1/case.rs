//! A runner fails a part of the requests that it has run, and answers them with a 503 of its own,
//! which does not say `Not-Executed`. Checks REFUSED for a non-idempotent route.

#[path = "../standins.rs"]
mod standins;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standins::*;

const ZONES: [&str; 3] = ["muelle-norte", "muelle-sur", "oficina-puerto"];
const SERVICE: &str = "booking-app";

/// Part of the requests that the failing runner fails, and for how long: the dose of `srv_grey`.
const FAILED_SHARE: f64 = 0.45;
const FAILS_FROM_S: f64 = 3.0;
const FAILS_TO_S: f64 = 9.5;

const LENGTH_S: f64 = 14.0;
const CLIENTS: u64 = 6;
const WORK: Duration = Duration::from_millis(60);
const DEADLINE: Duration = Duration::from_millis(4_000);

/// Runs of each attempt: the names of the runners.
type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

fn start_runner(block: Block, number: u8, record: &Arc<Record>, runs: &Runs) {
    let (record, runs) = (record.clone(), runs.clone());
    let name = format!("i-runner{number}");
    let random = Mutex::new(Random::new(u64::from(number) + 1));
    serve(block.runner(number), move |request| {
        if request.path == "/healthz" {
            return Act::Write(to_answer("200 OK", &[format!("Instance-Id: {name}")], ""));
        }
        if request.header("expect-instance") != Some(&name) {
            return Act::Write(to_answer("421 Misdirected Request", &[], ""));
        }
        let id = request.header("attempt-id").unwrap_or("-").to_owned();
        let booking = String::from_utf8_lossy(&request.body).into_owned();
        record.line(&format!("run      {id} at {name}: {booking}"));
        runs.lock().unwrap().entry(id.clone()).or_default().push(name.clone());
        thread::sleep(WORK);
        let is_failing = number == 0 && (FAILS_FROM_S..FAILS_TO_S).contains(&record.seconds());
        let fails = is_failing && random.lock().unwrap().share() < FAILED_SHARE;
        if trouble() && fails {
            record.line(&format!("answer   {id} at {name}: 503 without Not-Executed"));
            return Act::Write(to_answer(
                "503 Service Unavailable",
                &run_headers(request),
                "the booking was made, its receipt could not be written",
            ));
        }
        record.line(&format!("answer   {id} at {name}: 200"));
        Act::Write(to_answer("200 OK", &run_headers(request), "booked"))
    });
}

/// Makes one booking: at most two attempts, the second only after a promise, as clients do.
fn book(block: Block, booking: &str, random: &mut Random, record: &Record, answers: &Answers) {
    let deadline = Instant::now() + DEADLINE;
    for attempt in 0..2 {
        let id = format!("{:016x}", random.next());
        let left = deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        record.line(&format!("send     {id} {booking}, attempt {}", attempt + 1));
        let head = request_head("POST", "/puxa403/2f", &id, left, booking.len());
        let asked = Channel::open(block.front(0))
            .and_then(|mut channel| channel.ask(&head, booking.as_bytes()));
        let Ok(answer) = asked else {
            return record.line(&format!("client   {id} got no answer: {:?}", asked.err()));
        };
        let seal = answer.header("response-seal").unwrap_or("none");
        record.line(&format!("client   {id} got {} (Response-Seal: {seal})", answer.status));
        answers.lock().unwrap().push((id, booking.to_owned(), answer.status));
        if !matches!(answer.status, 408 | 421 | 429 | 503) {
            return;
        }
        let wait = answer.header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.0);
        thread::sleep(Duration::from_secs_f64(f64::min(wait, left as f64 / 3_000.0)));
    }
}

/// Attempts with their bookings and the statuses that the clients got.
type Answers = Arc<Mutex<Vec<(String, String, u16)>>>;

fn main() {
    let record = Record::create("review/1/record.txt");
    let block = Block::find();
    let store = Store::start(block);
    let (runs, answers) = (Runs::default(), Answers::default());
    for number in 0..3 {
        start_runner(block, number, &record, &runs);
        let zone = ZONES[usize::from(number)];
        let spec = runner_spec(SERVICE, block.runner(number), zone, 6);
        store.put("servers", &format!("i-runner{number}"), &spec);
    }
    store.put("config", "main", &format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"r-1\",\"Hostname\":\"{HOST}\",\
         \"PathPrefix\":\"/puxa403/\",\"RouteType\":\"non_idempotent\",\"TimeoutMs\":2000,\
         \"SloMs\":300,\"Priority\":2,\"Backend\":\"{SERVICE}\",\"MaxAttempts\":1,\
         \"Public\":false,\"Affinity\":false,\"Resumable\":false}}],\
         \"Backends\":[{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\
         \"Protocol\":\"h1\",\"Tls\":false}}],{}}}",
        limits_and_tenants()
    ));
    let entry = Program::start_entry(block, 0, ZONES[0], &ZONES);
    wait_until_ready(block, 0);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, answers) = (record.clone(), answers.clone());
            thread::spawn(move || {
                let mut random = Random::new(1_000 + client);
                let mut number = 0;
                while record.seconds() < LENGTH_S {
                    number += 1;
                    let booking = format!("booking-{client}-{number}");
                    book(block, &booking, &mut random, &record, &answers);
                    thread::sleep(Duration::from_millis(100 + random.next() % 200));
                }
            })
        })
        .collect();
    for client in clients {
        if client.join().is_err() {
            cannot_run("a client has failed");
        }
    }
    drop(entry);
    std::process::exit(judge(&record, &runs.lock().unwrap(), &answers.lock().unwrap()));
}

/// Checks REFUSED as the rule is written, and counts what it does to bookings.
fn judge(
    record: &Record,
    runs: &BTreeMap<String, Vec<String>>,
    answers: &[(String, String, u16)],
) -> i32 {
    let mut runs_of: BTreeMap<&str, usize> = BTreeMap::new();
    let (mut broken, mut served) = (0, 0);
    for (id, booking, status) in answers {
        let ran = runs.get(id).map_or(0, Vec::len);
        *runs_of.entry(booking).or_default() += ran;
        served += usize::from(*status == 200);
        if matches!(status, 408 | 421 | 429 | 503) && ran > 0 {
            broken += 1;
            record.line(&format!("REFUSED  {id} {booking}: answered {status}, ran {ran} time(s)"));
        }
    }
    let doubled = runs_of.values().filter(|ran| **ran > 1).count();
    record.say(&format!(
        "{} attempts answered, {served} with success; {broken} answered as not run though they had \
         run; {doubled} bookings were made twice by clients that believed it",
        answers.len()
    ));
    if served == 0 {
        return NOT_RUN;
    }
    record.say(if broken > 0 { "REFUSED is broken" } else { "REFUSED held" });
    if broken > 0 { BROKEN } else { HELD }
}
