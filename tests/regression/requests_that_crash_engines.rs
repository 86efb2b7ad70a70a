//! A request crashed each engine that ran it, and its caller repeated it. The entry kept no
//! record of the crashes between the repetitions, so that every engine crashed in turn.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use shalelane::config::{AccountPolicy, Config, ConfigVersion};
use shalelane::entry::{Arrival, Effect, EntryCore, EntryTuning, Event, FailureCode, Reply};
use shalelane::hosts::{HostDelta, HostRecord, HostRole, HostState};
use shalelane::prefix::PrefixHashes;
use shalelane::time::Tick;
use shalelane::wire::{Call, Completion, ProbeAnswer, ToAgent, ToEntry};
use shalelane::{Incarnation, ProcessId, Verdict};

const ENGINES: usize = 8;

/// Number of crashes after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 3;

/// An entry whose engines crash when they run the body `CRASH`.
struct CrashingFleet {
    core: EntryCore,
    policy: Rc<AccountPolicy>,
    now: Tick,
    next_number: u64,
    connected: HashSet<Arc<str>>,
    crashes: usize,
    replies: Vec<(u64, Reply)>,
}

impl CrashingFleet {
    fn new() -> Self {
        let process = ProcessId { name: "entry".into(), incarnation: Incarnation(1) };
        let core = EntryCore::new(process, "here".into(), EntryTuning::default(), 1);
        let config = Config::from_toml(include_str!("../../examples/valdivia.toml")).unwrap();
        let config = Arc::new(Config { version: ConfigVersion(1), ..config });
        let policy = config.policy(&config.client_accounts[0]).expect("an account");
        let mut fleet = CrashingFleet {
            core,
            policy: Rc::new(policy),
            now: Tick(1),
            next_number: 0,
            connected: HashSet::new(),
            crashes: 0,
            replies: Vec::new(),
        };
        let hosts = (0..ENGINES).map(|number| HostRecord {
            name: format!("runner-{number}").into(),
            role: HostRole::Target { service: "canal-assistant".into() },
            address: format!("10.0.0.{number}:80").into(),
            failure_domain: "here".into(),
            state: HostState::Live,
        });
        fleet.feed(Event::Hosts(HostDelta { revision: 1, hosts: hosts.collect() }));
        fleet.feed(Event::Config(config));
        fleet
    }

    fn feed(&mut self, event: Event) {
        self.now = self.now + Duration::from_micros(50);
        for effect in self.core.on_event(self.now, event) {
            match effect {
                Effect::Send(target, message) => self.answer_as_agent(&target, message),
                Effect::Reply(number, reply) => self.replies.push((number, reply)),
                _ => {}
            }
        }
    }

    fn feed_from_agent(&mut self, target: &Arc<str>, message: ToEntry) {
        self.feed(Event::AgentMessage(target.clone(), message));
    }

    fn answer_as_agent(&mut self, target: &Arc<str>, message: ToAgent) {
        if self.connected.insert(target.clone()) {
            self.feed(Event::AgentUp(target.clone(), Incarnation(1)));
        }
        match message {
            ToAgent::Probe(probe) => {
                let answer = ProbeAnswer {
                    number: probe.number,
                    is_available: true,
                    wait_us: 0,
                    prefill_us: 0,
                    cached_tokens: 0,
                    free_tokens: 1_000_000,
                    capacity_tokens: 1_000_000,
                    config_version: ConfigVersion(1),
                };
                self.feed_from_agent(target, ToEntry::ProbeAnswer(answer));
            }
            ToAgent::Dispatch(dispatch) if dispatch.body_len == CRASH.len() as u64 => {
                let (attempt, verdict) = (dispatch.attempt, Verdict::MayHaveRun);
                self.crashes += 1;
                self.feed_from_agent(
                    target,
                    ToEntry::Failed { attempt, verdict, reason: "broken".into() },
                );
                self.feed_from_agent(target, ToEntry::TargetLost);
            }
            ToAgent::Dispatch(dispatch) => {
                self.feed_from_agent(target, ToEntry::Accepted(dispatch.attempt));
                self.feed_from_agent(
                    target,
                    ToEntry::Done(dispatch.attempt, Completion::default()),
                );
            }
            _ => {}
        }
    }

    /// Sends a request and advances the time by about 500 ms. Returns its last reply.
    fn request(&mut self, body: &'static str) -> Reply {
        self.next_number += 1;
        let number = self.next_number;
        self.feed(Event::Arrive(Box::new(Arrival {
            number,
            policy: self.policy.clone(),
            service: "canal-assistant".into(),
            call: Call::Model { model: "canal-8b".into(), path: "/v1/completions".into() },
            prompt_bytes: 400,
            max_answer_tokens: 10,
            prefix_hashes: PrefixHashes::default(),
            body: body.into(),
            repeatable: false,
        })));
        for _ in 0..100 {
            self.now = self.now + Duration::from_millis(5);
            self.feed(Event::Wake);
        }
        let replies = self.replies.iter().filter(|(replied, _)| *replied == number);
        replies.last().expect("a reply").1.clone()
    }
}

/// Body of the request that crashes engines.
const CRASH: &str = "crash";

#[test]
fn a_request_that_crashes_engines_is_quarantined() {
    let mut fleet = CrashingFleet::new();
    for _ in 0..QUARANTINE_CRASHES {
        let Reply::Failed(failure) = fleet.request(CRASH) else {
            panic!("a request that crashes its engine cannot succeed")
        };
        assert_eq!(failure.code, FailureCode::TargetFailed);
    }
    for _ in 0..20 {
        let Reply::Failed(failure) = fleet.request(CRASH) else {
            panic!("a request that crashes its engine cannot succeed")
        };
        assert_eq!((failure.code, failure.verdict), (FailureCode::Quarantined, Verdict::NotRun));
        assert!(failure.retry_after.is_some_and(|after| after > Duration::from_secs(500)));
    }
    assert_eq!(fleet.crashes, QUARANTINE_CRASHES);
    assert!(matches!(fleet.request("another"), Reply::Done(_)), "other requests are served");
}

#[test]
fn answered_requests_are_not_quarantined() {
    let mut fleet = CrashingFleet::new();
    for _ in 0..2 * QUARANTINE_CRASHES {
        fleet.request("served");
    }
    assert_eq!(fleet.crashes, 0);
    assert!(matches!(fleet.request("served"), Reply::Done(_)));
}
