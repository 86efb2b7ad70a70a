//! Callers of a randomised run and their checks of answers.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use shalelane::entry::Reply;
use shalelane::time::Tick;
use shalelane::{RequestId, Verdict};

use super::plan::{ARRIVAL_PERIOD_MS, REQUESTS};
use crate::prompt::{make_prompt, prompt_hash, whole_answer};

/// Tolerance for replies after the deadline of their request.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(20);

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Time of arrival.
    pub at: Tick,
    /// Key of the client account.
    pub key: &'static str,
    /// Prompt, empty for an order to the plain service.
    pub prompt: String,
    /// Length of the answer in tokens.
    pub answer: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Time at which the caller disconnects, or `None` if it stays.
    pub leaves_at: Option<Tick>,
    /// Index of the entry that receives the request.
    pub entry: usize,
}

impl CallerRequest {
    /// Returns `true` for an order to the plain service.
    #[must_use]
    pub fn is_order(&self) -> bool {
        self.prompt.is_empty()
    }
}

/// Generates the requests of a run.
pub fn generate_requests(rng: &mut StdRng, entries: usize) -> Vec<CallerRequest> {
    (0..REQUESTS).map(|_| generate_request(rng, entries)).collect()
}

fn generate_request(rng: &mut StdRng, entries: usize) -> CallerRequest {
    let at = Tick(rng.random_range(0..ARRIVAL_PERIOD_MS * 1_000));
    let is_order = rng.random_bool(0.2);
    let kind: f64 = rng.random();
    let tokens = match kind {
        kind if kind < 0.75 => rng.random_range(10..400),
        kind if kind < 0.92 => rng.random_range(400..3_000),
        _ => rng.random_range(4_500..9_000),
    };
    let family = rng.random_range(0..3);
    let prompt = make_prompt(tokens, family, 40, rng.random());
    let is_abandoned = rng.random_bool(0.05);
    let leaves_at =
        rng.random_bool(0.08).then(|| at + Duration::from_millis(rng.random_range(1..3_000)));
    CallerRequest {
        at,
        key: if tokens > 3_000 { "long" } else { "short" },
        prompt: if is_order { String::new() } else { prompt },
        // This caller disconnects in the middle of a long answer.
        answer: if is_abandoned && tokens < 400 { 2_000 } else { rng.random_range(1..30) },
        repeatable: !is_order && rng.random_bool(0.7),
        leaves_at: if is_abandoned { Some(at + Duration::from_millis(400)) } else { leaves_at },
        entry: rng.random_range(0..entries),
    }
}

/// State of a request as seen by its caller.
#[derive(Clone, Debug, Default)]
pub struct CallerView {
    /// Id that the entry gave the request.
    pub id: Option<RequestId>,
    /// Text received so far.
    pub text: String,
    /// Final result: `None` before the final answer, `Ok` if it is complete, or the verdict of the
    /// failure.
    pub result: Option<Result<(), Verdict>>,
    /// Deadline of the final answer.
    pub deadline: Option<Tick>,
    /// Whether the entry crashed or the caller disconnected, so that no further reply arrives.
    pub is_closed: bool,
}

/// All callers of a run.
#[derive(Debug)]
pub struct CallerTable {
    /// Requests of the run.
    pub requests: Vec<CallerRequest>,
    /// State of each request, by index.
    pub views: Vec<CallerView>,
    indexes: BTreeMap<(usize, u64), usize>,
    /// Descriptions of violated guarantees.
    pub violations: Vec<String>,
}

impl CallerTable {
    /// Creates the callers of requests that have not arrived yet.
    #[must_use]
    pub fn new(requests: Vec<CallerRequest>) -> Self {
        let views = vec![CallerView::default(); requests.len()];
        CallerTable { requests, views, indexes: BTreeMap::new(), violations: Vec::new() }
    }

    /// Records the id that an entry gave a request.
    pub fn record_id(&mut self, index: usize, id: RequestId, deadline: Tick) {
        self.indexes.insert((self.requests[index].entry, id.number), index);
        self.views[index].id = Some(id);
        self.views[index].deadline = Some(deadline);
    }

    /// Processes a reply of an entry.
    pub fn on_reply(&mut self, entry: usize, number: u64, reply: Reply, now: Tick) {
        let Some(index) = self.indexes.get(&(entry, number)).copied() else {
            self.violations.push(format!("entry {entry} answered unknown request {number}"));
            return;
        };
        let view = &mut self.views[index];
        if view.is_closed {
            return;
        }
        if view.result.is_some() {
            self.violations.push(format!("request {index} got a reply after its final answer"));
            return;
        }
        match reply {
            Reply::Head(..) => {}
            Reply::Text(part) => view.text.push_str(&String::from_utf8_lossy(&part)),
            Reply::Done(_) => {
                view.result = Some(Ok(()));
                self.check_text(index);
            }
            Reply::Failed(failure) => view.result = Some(Err(failure.verdict)),
        }
        self.check_time(index, now);
    }

    fn check_text(&mut self, index: usize) {
        let request = &self.requests[index];
        if request.is_order() {
            return;
        }
        let expected = whole_answer(prompt_hash(&request.prompt), request.answer);
        if self.views[index].text != expected {
            self.violations.push(format!("request {index} got a wrong answer"));
        }
    }

    fn check_time(&mut self, index: usize, now: Tick) {
        let deadline = self.views[index].deadline.unwrap_or(Tick::NEVER);
        if now > deadline + DEADLINE_TOLERANCE {
            self.violations.push(format!("request {index} got a reply after its time limit"));
        }
    }

    /// Closes the requests of an entry that crashed.
    pub fn on_entry_crash(&mut self, entry: usize) {
        for (request, view) in self.requests.iter().zip(&mut self.views) {
            if request.entry == entry && view.id.is_some() {
                view.is_closed = true;
            }
        }
    }

    /// Extends the deadlines of the requests of a paused entry by the length of the pause.
    pub fn on_entry_pause(&mut self, entry: usize, pause: Duration) {
        for (request, view) in self.requests.iter().zip(&mut self.views) {
            if request.entry == entry {
                view.deadline = view.deadline.map(|deadline| deadline + pause);
            }
        }
    }

    /// Checks all requests at the end of a run.
    ///
    /// `runs` returns how often a request ran.
    pub fn check_end(&mut self, runs: impl Fn(&RequestId) -> u64) {
        for (index, request) in self.requests.iter().enumerate() {
            let view = &self.views[index];
            let Some(id) = &view.id else { continue };
            if view.result.is_none() && !view.is_closed {
                self.violations.push(format!("request {index} never got a final answer"));
            }
            let runs = runs(id);
            if runs > 1 && !request.repeatable {
                self.violations
                    .push(format!("request {index} is not repeatable and ran {runs} times"));
            }
            if runs > 0 && view.result == Some(Err(Verdict::NotRun)) {
                self.violations
                    .push(format!("request {index} ran, but its verdict says that it did not"));
            }
            if runs == 0 && view.result == Some(Ok(())) {
                self.violations.push(format!("request {index} was answered, but never ran"));
            }
        }
    }
}
