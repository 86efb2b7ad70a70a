//! Fixture: an agent's core with a ready engine and one connected entry.

use std::time::Duration;

use shalelane::agent::{AgentCore, AgentTuning, ConnId, Effect, EngineFacts, Event};
use shalelane::config::Urgency;
use shalelane::prefix::PrefixHashes;
use shalelane::time::Tick;
use shalelane::wire::{Call, Dispatch, Hold, Shard, ToAgent, ToEntry, TokenNeed};
use shalelane::{AttemptId, AttemptKey, Incarnation, ProcessId};

pub const CONN: ConnId = ConnId(1);

pub struct AgentFixture {
    pub core: AgentCore,
    pub now: Tick,
}

impl AgentFixture {
    /// Creates an agent whose engine has about 1,000 tokens to lease.
    pub fn new() -> Self {
        AgentFixture::with_tuning(&AgentTuning::default())
    }

    pub fn with_tuning(tuning: &AgentTuning) -> Self {
        let id = ProcessId { name: "agent".into(), incarnation: Incarnation(7) };
        let tuning = AgentTuning { strict: true, ..tuning.clone() };
        let mut fixture = AgentFixture { core: AgentCore::new(id, tuning), now: Tick(0) };
        fixture.feed(Event::PeerUp(CONN, owner()));
        fixture.feed(Event::TargetReady(EngineFacts {
            address: "127.0.0.1:1".into(),
            capacity: 1_060,
            max_batch: 8,
            models: vec!["model".into()],
        }));
        fixture
    }

    pub fn feed(&mut self, event: Event) -> Vec<Effect> {
        self.now = self.now + Duration::from_millis(1);
        self.core.on_event(self.now, event)
    }

    pub fn send(&mut self, message: ToAgent) -> Vec<Effect> {
        self.feed(Event::Peer(CONN, message))
    }

    pub fn hold(&mut self, key: AttemptKey, tokens: u64, time_to_live: Duration) -> Vec<Effect> {
        let expires_us = time_to_live.as_micros() as u64;
        self.send(ToAgent::Hold(Hold { attempt: key, tokens, expires_us, is_renewal: false }))
    }
}

pub fn owner() -> ProcessId {
    ProcessId { name: "entry".into(), incarnation: Incarnation(3) }
}

pub fn id_of(key: AttemptKey) -> AttemptId {
    AttemptId { owner: owner(), key }
}

/// Creates a dispatch without a body, which can start as soon as it is accepted.
pub fn dispatch(key: AttemptKey, prompt: u64, shards: Vec<Shard>) -> Dispatch {
    Dispatch {
        attempt: key,
        incarnation: Incarnation(7),
        call: Call::Model { model: "model".into(), path: "/v1/completions".into() },
        account: "account".into(),
        weight: 1,
        urgency: Urgency::Normal,
        need: TokenNeed { prompt, answer: 10 },
        prefix_hashes: PrefixHashes::default(),
        body_len: 0,
        remaining_us: 30_000_000,
        shards,
        max_wait_us: u64::MAX,
    }
}

pub fn is_start(effect: &Effect) -> bool {
    matches!(effect, Effect::Start(_))
}

pub fn is_refusal(effect: &Effect) -> bool {
    matches!(effect, Effect::Send(_, ToEntry::Refused { .. }))
}
