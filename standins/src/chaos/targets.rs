//! Engines and the plain service, behind calls that take time.

use std::time::Duration;

use rand::Rng;
use shalelane::agent::{self, EngineFacts, EngineHolding, RunEvent, RunUsage, StartRun};
use shalelane::{AttemptId, Verdict};

use super::world::{Action, EngineCall, LOOK, LOST, PLAIN, World, agent_name, engine_spec};
use crate::engine_model::{EngineEvent, EngineModel, EngineRunSpec};
use crate::prompt::prompt_hash;

impl World {
    pub(super) fn on_engine_call(&mut self, agent: usize, life: u64, call: EngineCall) {
        if agent == PLAIN {
            self.on_plain_call(life, call);
            return;
        }
        if self.agents[agent].engine_down > self.now {
            self.on_dead_engine_call(agent, life, call);
            return;
        }
        let engine = &mut self.agents[agent].engine;
        match call {
            EngineCall::Reset => {
                if self.agents[agent].life != life {
                    return;
                }
                self.agents[agent].engine.cancel_all();
                let facts = EngineFacts {
                    address: agent_name(agent),
                    capacity: engine_spec().capacity,
                    max_batch: engine_spec().max_batch,
                    models: vec!["model".into()],
                };
                self.tell(agent, life, agent::Event::TargetReady(facts));
            }
            EngineCall::Start(start) => self.on_engine_start(agent, life, *start),
            EngineCall::Resume(id, limit) => {
                if !engine.resume(&id.to_string(), limit) {
                    let failed = RunEvent::Failed(Verdict::MayHaveRun, "unknown run".into());
                    self.tell(agent, life, agent::Event::Run(id, failed));
                }
            }
            EngineCall::Cancel(id) => {
                let name = id.to_string();
                let node = &mut self.agents[agent];
                let has_arrived = node.names.contains_key(&name) || node.life != life;
                if !node.engine.cancel(&name) && !has_arrived {
                    // It has overtaken the call that brings the run.
                    let call = EngineCall::Cancel(id);
                    self.soon(Action::Engine { agent, life, call });
                    return;
                }
                self.tell(agent, life, agent::Event::Run(id, RunEvent::Cancelled));
            }
            EngineCall::CancelStray(id) => {
                engine.cancel(&id);
                engine.unreserve(&id);
            }
            EngineCall::Reserve(id, tokens) => {
                let is_held = engine.reserve(&id.to_string(), tokens);
                self.tell(agent, life, agent::Event::Reserved(id, is_held));
            }
            EngineCall::Unreserve(id) => {
                engine.unreserve(&id.to_string());
                self.tell(agent, life, agent::Event::Unreserved(id));
            }
        }
        self.step(agent);
    }

    pub(super) fn on_dead_engine_call(&mut self, agent: usize, life: u64, call: EngineCall) {
        let event = match call {
            EngineCall::Start(start) => {
                let failed = RunEvent::Failed(Verdict::NotRun, "no connection".into());
                agent::Event::Run(start.id, failed)
            }
            EngineCall::Resume(id, _) => {
                let failed = RunEvent::Failed(Verdict::MayHaveRun, "no connection".into());
                agent::Event::Run(id, failed)
            }
            EngineCall::Reserve(id, _) => agent::Event::Reserved(id, false),
            EngineCall::CancelStray(_) => return,
            call => {
                let again = self.now + Duration::from_millis(250);
                self.at(again, Action::Engine { agent, life, call });
                return;
            }
        };
        self.tell(agent, life, event);
    }

    pub(super) fn tell(&mut self, agent: usize, life: u64, event: agent::Event) {
        self.soon(Action::Agent { agent, life, event: Box::new(event) });
    }

    pub(super) fn on_engine_start(&mut self, agent: usize, life: u64, start: StartRun) {
        let name = start.id.to_string();
        let count = self.starts.entry(name.clone()).or_default();
        *count += 1;
        if *count > 1 {
            self.broken.push(format!("attempt {name} was started twice"));
        }
        let prompt: Vec<u8> = start.body.iter().flatten().copied().collect();
        let prompt = String::from_utf8_lossy(&prompt).into_owned();
        let node = &mut self.agents[agent];
        node.names.insert(name.clone(), (life, start.id));
        node.engine.start(EngineRunSpec {
            id: name,
            salt: start.account.to_string(),
            hash: prompt_hash(&prompt),
            prompt,
            answer_tokens: start.answer_tokens,
            priority: 1,
            prefill_limit: start.prefill_limit,
            remote_tokens: start.shards.iter().map(|shard| shard.tokens).sum(),
        });
    }

    pub(super) fn step(&mut self, agent: usize) {
        let node = &mut self.agents[agent];
        if node.is_stepping || !node.engine.has_work() {
            return;
        }
        let step = node.engine.step();
        node.is_stepping = true;
        let engine_life = node.engine_life;
        let at = self.now + step.duration;
        self.at(at, Action::Step { agent, engine_life, events: step.events });
    }

    pub(super) fn on_step(
        &mut self,
        agent: usize,
        engine_life: u64,
        events: Vec<(String, EngineEvent)>,
    ) {
        let node = &mut self.agents[agent];
        if node.engine_life != engine_life {
            return;
        }
        node.is_stepping = false;
        for (name, event) in events {
            let Some((life, id)) = self.agents[agent].names.get(&name).cloned() else { continue };
            self.tell_in_order(agent, life, id, event);
        }
        self.step(agent);
    }

    /// Events of one run keep their order, as on one connection.
    pub(super) fn tell_in_order(
        &mut self,
        agent: usize,
        life: u64,
        id: AttemptId,
        event: EngineEvent,
    ) {
        let event = match event {
            EngineEvent::Text(text) => RunEvent::Text(text.into()),
            EngineEvent::Paused(tokens) => RunEvent::Paused(tokens),
            EngineEvent::Done { prompt_tokens, cached_tokens, answer_tokens } => {
                RunEvent::Done(RunUsage {
                    prompt_tokens,
                    cached_tokens,
                    answer_tokens,
                    finish_reason: "length".into(),
                })
            }
            EngineEvent::Failed(reason) => RunEvent::Failed(Verdict::NotRun, reason.into()),
        };
        let event = Box::new(agent::Event::Run(id, event));
        self.at(self.now + Duration::from_micros(300), Action::Agent { agent, life, event });
    }

    pub(super) fn on_look(&mut self, agent: usize) {
        self.at(self.now + LOOK, Action::Look { agent });
        let node = &self.agents[agent];
        if agent == PLAIN || node.engine_down > self.now || node.core.is_none() {
            return;
        }
        let names = node.engine.runs().into_iter().chain(node.engine.reservations());
        let runs = names.map(|id| EngineHolding { id }).collect();
        let life = node.life;
        self.tell(agent, life, agent::Event::EngineHoldings(runs));
    }

    pub(super) fn kill_engine(&mut self, agent: usize, down: Duration) {
        let node = &mut self.agents[agent];
        let runs = node.engine.runs();
        node.engine = EngineModel::new(engine_spec());
        node.engine_life += 1;
        node.is_stepping = false;
        node.engine_down = self.now + down;
        for name in runs {
            let Some((life, id)) = self.agents[agent].names.get(&name).cloned() else { continue };
            let failed = RunEvent::Failed(Verdict::MayHaveRun, "the stream broke off".into());
            self.tell(agent, life, agent::Event::Run(id, failed));
        }
        let life = self.agents[agent].life;
        let event = Box::new(agent::Event::TargetLost);
        self.at(self.now + LOST, Action::Agent { agent, life, event });
    }

    pub(super) fn on_plain_call(&mut self, life: u64, call: EngineCall) {
        match call {
            EngineCall::Reset => {
                self.tell(PLAIN, life, agent::Event::TargetReady(EngineFacts::default()));
            }
            EngineCall::Start(start) => {
                let at = self.now + Duration::from_millis(self.rng.random_range(1..800));
                self.at(at, Action::PlainRun { life, id: start.id });
            }
            EngineCall::Cancel(id) => {
                self.tell(PLAIN, life, agent::Event::Run(id, RunEvent::Cancelled));
            }
            _ => {}
        }
    }

    pub(super) fn on_plain_run(&mut self, life: u64, id: &AttemptId) {
        *self.starts.entry(id.to_string()).or_default() += 1;
        self.note(&format!("the plain service runs {id}"));
        let is_lost = self.rng.random_bool(0.1);
        let events = if is_lost {
            vec![RunEvent::Failed(Verdict::MayHaveRun, "no answer".into())]
        } else {
            let head = RunEvent::Head(200, "application/json".into());
            vec![head, RunEvent::Text("{}".into()), RunEvent::Done(RunUsage::default())]
        };
        for event in events {
            let event = Box::new(agent::Event::Run(id.clone(), event));
            self.at(self.now, Action::Agent { agent: PLAIN, life, event });
        }
    }
}
