//! Callers of a randomised run, and what they check.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use shalelane::entry::Reply;
use shalelane::time::Tick;
use shalelane::{RequestId, Verdict};

use super::plan::{BUSY_MS, REQUESTS};
use crate::prompt::{make_prompt, prompt_hash, whole_answer};

/// How late a final answer may be.
const LATE: Duration = Duration::from_millis(20);

/// A caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// When it is made.
    pub at: Tick,
    /// Secret of its account.
    pub secret: &'static str,
    /// The prompt, empty for an order to the plain service.
    pub prompt: String,
    /// Tokens of the answer.
    pub answer: u64,
    /// Whether it may run again.
    pub repeatable: bool,
    /// When the caller goes away, if it does.
    pub gone: Option<Tick>,
    /// The entry that it goes to.
    pub entry: usize,
}

impl CallerRequest {
    /// Returns true for an order to the plain service.
    #[must_use]
    pub fn is_order(&self) -> bool {
        self.prompt.is_empty()
    }
}

/// Makes the requests of a run.
pub fn plan_requests(rng: &mut StdRng, entries: usize) -> Vec<CallerRequest> {
    (0..REQUESTS).map(|_| plan_request(rng, entries)).collect()
}

fn plan_request(rng: &mut StdRng, entries: usize) -> CallerRequest {
    let at = Tick(rng.random_range(0..BUSY_MS * 1_000));
    let is_order = rng.random_bool(0.2);
    let kind: f64 = rng.random();
    let tokens = match kind {
        kind if kind < 0.75 => rng.random_range(10..400),
        kind if kind < 0.92 => rng.random_range(400..3_000),
        _ => rng.random_range(4_500..9_000),
    };
    let family = rng.random_range(0..3);
    let prompt = make_prompt(tokens, family, 40, rng.random());
    let is_endless = rng.random_bool(0.05);
    let gone =
        rng.random_bool(0.08).then(|| at + Duration::from_millis(rng.random_range(1..3_000)));
    CallerRequest {
        at,
        secret: if tokens > 3_000 { "long" } else { "short" },
        prompt: if is_order { String::new() } else { prompt },
        // A caller that leaves in the middle of a long answer.
        answer: if is_endless && tokens < 400 { 2_000 } else { rng.random_range(1..30) },
        repeatable: !is_order && rng.random_bool(0.7),
        gone: if is_endless { Some(at + Duration::from_millis(400)) } else { gone },
        entry: rng.random_range(0..entries),
    }
}

/// What a caller has seen.
#[derive(Clone, Debug, Default)]
pub struct CallerView {
    /// Name of the request at its entry.
    pub id: Option<RequestId>,
    /// The answer so far.
    pub text: String,
    /// The final answer: none yet, whole, or a failure's verdict.
    pub end: Option<Result<(), Verdict>>,
    /// The time by which the final answer is due.
    pub due: Option<Tick>,
    /// The entry died, or the caller went away: nothing more comes.
    pub is_gone: bool,
}

/// All callers of a run.
#[derive(Debug)]
pub struct CallerBook {
    /// The requests.
    pub requests: Vec<CallerRequest>,
    /// What came of each.
    pub views: Vec<CallerView>,
    numbers: BTreeMap<(usize, u64), usize>,
    /// Promises found broken.
    pub broken: Vec<String>,
}

impl CallerBook {
    /// Callers that have made nothing yet.
    #[must_use]
    pub fn new(requests: Vec<CallerRequest>) -> Self {
        let views = vec![CallerView::default(); requests.len()];
        CallerBook { requests, views, numbers: BTreeMap::new(), broken: Vec::new() }
    }

    /// Notes the name that an entry gave a request.
    pub fn name(&mut self, index: usize, id: RequestId, due: Tick) {
        self.numbers.insert((self.requests[index].entry, id.number), index);
        self.views[index].id = Some(id);
        self.views[index].due = Some(due);
    }

    /// Takes a reply of an entry.
    pub fn on_reply(&mut self, entry: usize, number: u64, reply: Reply, now: Tick) {
        let Some(index) = self.numbers.get(&(entry, number)).copied() else {
            self.broken.push(format!("entry {entry} answered unknown request {number}"));
            return;
        };
        let view = &mut self.views[index];
        if view.is_gone {
            return;
        }
        if view.end.is_some() {
            self.broken.push(format!("request {index} was answered after its final answer"));
            return;
        }
        match reply {
            Reply::Head(..) => {}
            Reply::Text(part) => view.text.push_str(&String::from_utf8_lossy(&part)),
            Reply::Done(_) => {
                view.end = Some(Ok(()));
                self.check_text(index);
            }
            Reply::Failed(failure) => view.end = Some(Err(failure.verdict)),
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
            self.broken.push(format!("request {index} got an answer that is not its own"));
        }
    }

    fn check_time(&mut self, index: usize, now: Tick) {
        let due = self.views[index].due.unwrap_or(Tick::NEVER);
        if now > due + LATE {
            self.broken.push(format!("request {index} was answered after its time limit"));
        }
    }

    /// An entry died: its callers hear no more.
    pub fn on_entry_death(&mut self, entry: usize) {
        for (request, view) in self.requests.iter().zip(&mut self.views) {
            if request.entry == entry && view.id.is_some() {
                view.is_gone = true;
            }
        }
    }

    /// An entry stood still: what is due at it is due later.
    pub fn on_entry_pause(&mut self, entry: usize, span: Duration) {
        for (request, view) in self.requests.iter().zip(&mut self.views) {
            if request.entry == entry {
                view.due = view.due.map(|due| due + span);
            }
        }
    }

    /// Checks the end of everything, given how often each request ran.
    pub fn check_end(&mut self, runs: impl Fn(&RequestId) -> u64) {
        for (index, request) in self.requests.iter().enumerate() {
            let view = &self.views[index];
            let Some(id) = &view.id else { continue };
            if view.end.is_none() && !view.is_gone {
                self.broken.push(format!("request {index} never got a final answer"));
            }
            let runs = runs(id);
            if runs > 1 && !request.repeatable {
                self.broken.push(format!("request {index} ran {runs} times"));
            }
            if runs > 0 && view.end == Some(Err(Verdict::NotRun)) {
                self.broken.push(format!("request {index} was said not to have run, and ran"));
            }
            if runs == 0 && view.end == Some(Ok(())) {
                self.broken.push(format!("request {index} was answered, and never ran"));
            }
        }
    }
}
