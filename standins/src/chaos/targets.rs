//! Engines and the plain service, called with simulated latency.

use std::time::Duration;

use rand::Rng;
use shalelane::agent::{self, EngineFacts, EngineHolding, RunEvent, RunUsage, StartRun};
use shalelane::{AttemptId, Verdict};

use super::world::{
    Action, CRASH_DETECTION_DELAY, ENGINE_POLL_INTERVAL, EngineCall, PLAIN_AGENT, World,
    agent_name, engine_spec,
};
use crate::engine_model::{EngineEvent, EngineModel, EngineRunSpec};
use crate::prompt::prompt_hash;

impl World {
    pub(super) fn call_engine(&mut self, agent: usize, incarnation: u64, call: EngineCall) {
        if agent == PLAIN_AGENT {
            self.call_plain_service(incarnation, call);
            return;
        }
        if self.agents[agent].engine_down_until > self.now {
            self.call_crashed_engine(agent, incarnation, call);
            return;
        }
        let engine = &mut self.agents[agent].engine;
        match call {
            EngineCall::Reset => {
                if self.agents[agent].incarnation != incarnation {
                    return;
                }
                self.agents[agent].engine.cancel_all();
                let facts = EngineFacts {
                    address: agent_name(agent),
                    capacity: engine_spec().capacity,
                    max_batch: engine_spec().max_batch,
                    models: vec!["model".into()],
                };
                self.send_agent_event(agent, incarnation, agent::Event::TargetReady(facts));
            }
            EngineCall::Start(start) => self.on_engine_start(agent, incarnation, *start),
            EngineCall::Resume(id, limit) => {
                if !engine.resume(&id.to_string(), limit) {
                    let failed = RunEvent::Failed(Verdict::MayHaveRun, "unknown run".into());
                    self.send_agent_event(agent, incarnation, agent::Event::Run(id, failed));
                }
            }
            EngineCall::Cancel(id) => {
                let name = id.to_string();
                let node = &mut self.agents[agent];
                let has_arrived =
                    node.attempts.contains_key(&name) || node.incarnation != incarnation;
                if !node.engine.cancel(&name) && !has_arrived {
                    // The cancel has overtaken the call that starts the run.
                    let call = EngineCall::Cancel(id);
                    self.schedule_with_delay(Action::Call { agent, incarnation, call });
                    return;
                }
                self.send_agent_event(
                    agent,
                    incarnation,
                    agent::Event::Run(id, RunEvent::Cancelled),
                );
            }
            EngineCall::CancelOrphan(id) => {
                engine.cancel(&id);
                engine.unreserve(&id);
            }
            EngineCall::Reserve(id, tokens) => {
                let is_held = engine.reserve(&id.to_string(), tokens);
                self.send_agent_event(agent, incarnation, agent::Event::Reserved(id, is_held));
            }
            EngineCall::Unreserve(id) => {
                engine.unreserve(&id.to_string());
                self.send_agent_event(agent, incarnation, agent::Event::Unreserved(id));
            }
        }
        self.step_engine(agent);
    }

    pub(super) fn call_crashed_engine(&mut self, agent: usize, incarnation: u64, call: EngineCall) {
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
            EngineCall::CancelOrphan(_) => return,
            call => {
                let again = self.now + Duration::from_millis(250);
                self.schedule_at(again, Action::Call { agent, incarnation, call });
                return;
            }
        };
        self.send_agent_event(agent, incarnation, event);
    }

    pub(super) fn send_agent_event(&mut self, agent: usize, incarnation: u64, event: agent::Event) {
        self.schedule_with_delay(Action::Agent { agent, incarnation, event: Box::new(event) });
    }

    pub(super) fn on_engine_start(&mut self, agent: usize, incarnation: u64, start: StartRun) {
        let name = start.id.to_string();
        let count = self.start_counts.entry(name.clone()).or_default();
        *count += 1;
        if *count > 1 {
            self.violations.push(format!("attempt {name} was started twice"));
        }
        let prompt: Vec<u8> = start.body.iter().flatten().copied().collect();
        let prompt = String::from_utf8_lossy(&prompt).into_owned();
        let node = &mut self.agents[agent];
        node.attempts.insert(name.clone(), (incarnation, start.id));
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

    pub(super) fn step_engine(&mut self, agent: usize) {
        let node = &mut self.agents[agent];
        if node.is_stepping || !node.engine.has_work() {
            return;
        }
        let step = node.engine.step();
        node.is_stepping = true;
        let engine_boot = node.engine_boot;
        let at = self.now + step.duration;
        self.schedule_at(at, Action::Step { agent, engine_boot, events: step.events });
    }

    pub(super) fn on_step(
        &mut self,
        agent: usize,
        engine_boot: u64,
        events: Vec<(String, EngineEvent)>,
    ) {
        let node = &mut self.agents[agent];
        if node.engine_boot != engine_boot {
            return;
        }
        node.is_stepping = false;
        for (name, event) in events {
            let Some((incarnation, id)) = self.agents[agent].attempts.get(&name).cloned() else {
                continue;
            };
            self.send_run_event(agent, incarnation, id, event);
        }
        self.step_engine(agent);
    }

    /// Sends an event of a run with a fixed delay, so that events keep their order as on one
    /// connection.
    pub(super) fn send_run_event(
        &mut self,
        agent: usize,
        incarnation: u64,
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
        self.schedule_at(
            self.now + Duration::from_micros(300),
            Action::Agent { agent, incarnation, event },
        );
    }

    pub(super) fn on_poll_engine(&mut self, agent: usize) {
        self.schedule_at(self.now + ENGINE_POLL_INTERVAL, Action::PollEngine { agent });
        let node = &self.agents[agent];
        if agent == PLAIN_AGENT || node.engine_down_until > self.now || node.core.is_none() {
            return;
        }
        let names = node.engine.runs().into_iter().chain(node.engine.reservations());
        let runs = names.map(|id| EngineHolding { id }).collect();
        let incarnation = node.incarnation;
        self.send_agent_event(agent, incarnation, agent::Event::EngineHoldings(runs));
    }

    pub(super) fn crash_engine(&mut self, agent: usize, down: Duration) {
        let node = &mut self.agents[agent];
        let runs = node.engine.runs();
        node.engine = EngineModel::new(engine_spec());
        node.engine_boot += 1;
        node.is_stepping = false;
        node.engine_down_until = self.now + down;
        for name in runs {
            let Some((incarnation, id)) = self.agents[agent].attempts.get(&name).cloned() else {
                continue;
            };
            let failed = RunEvent::Failed(Verdict::MayHaveRun, "the stream broke off".into());
            self.send_agent_event(agent, incarnation, agent::Event::Run(id, failed));
        }
        let incarnation = self.agents[agent].incarnation;
        let event = Box::new(agent::Event::TargetLost);
        self.schedule_at(
            self.now + CRASH_DETECTION_DELAY,
            Action::Agent { agent, incarnation, event },
        );
    }

    pub(super) fn call_plain_service(&mut self, incarnation: u64, call: EngineCall) {
        match call {
            EngineCall::Reset => {
                self.send_agent_event(
                    PLAIN_AGENT,
                    incarnation,
                    agent::Event::TargetReady(EngineFacts::default()),
                );
            }
            EngineCall::Start(start) => {
                let at = self.now + Duration::from_millis(self.rng.random_range(1..800));
                self.schedule_at(at, Action::PlainRun { incarnation, id: start.id });
            }
            EngineCall::Cancel(id) => {
                self.send_agent_event(
                    PLAIN_AGENT,
                    incarnation,
                    agent::Event::Run(id, RunEvent::Cancelled),
                );
            }
            _ => {}
        }
    }

    pub(super) fn on_plain_run(&mut self, incarnation: u64, id: &AttemptId) {
        *self.start_counts.entry(id.to_string()).or_default() += 1;
        self.log_line(&format!("the plain service runs {id}"));
        let is_lost = self.rng.random_bool(0.1);
        let events = if is_lost {
            vec![RunEvent::Failed(Verdict::MayHaveRun, "no answer".into())]
        } else {
            let head = RunEvent::Head(200, "application/json".into());
            vec![head, RunEvent::Text("{}".into()), RunEvent::Done(RunUsage::default())]
        };
        for event in events {
            let event = Box::new(agent::Event::Run(id.clone(), event));
            self.schedule_at(self.now, Action::Agent { agent: PLAIN_AGENT, incarnation, event });
        }
    }
}
