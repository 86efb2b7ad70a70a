//! Callers that come to entries and leave them.

use std::rc::Rc;

use shalelane::RequestId;
use shalelane::config::AccountPolicy;
use shalelane::entry::{self, Arrival};
use shalelane::prefix::PrefixHasher;
use shalelane::wire::Call;

use super::callers::CallerRequest;
use super::world::{Action, AgentNode, GONE_BOUND, World, entry_process};

impl World {
    pub(super) fn on_arrive(&mut self, index: usize) {
        let request = self.callers.requests[index].clone();
        let node = &mut self.entries[request.entry];
        if node.core.is_none() || node.paused_until > self.now {
            return;
        }
        node.numbers += 1;
        let number = node.numbers;
        let life = node.life;
        let Some(policy) = self.accounts.find(request.secret) else { return };
        let limit = policy.time_limit(request.prompt.len() as u64 / 4).unwrap_or_default();
        let owner = entry_process(request.entry, life);
        self.callers.name(index, RequestId { owner, number }, self.now + limit);
        let arrival = to_arrival(number, &request, policy);
        self.feed_entry(request.entry, entry::Event::Arrive(Box::new(arrival)));
    }

    pub(super) fn on_caller_gone(&mut self, index: usize) {
        let view = &mut self.callers.views[index];
        let Some(id) = view.id.clone() else { return };
        if view.is_gone || view.end.is_some() {
            return;
        }
        view.is_gone = true;
        let entry = self.callers.requests[index].entry;
        let life = self.entries[entry].life;
        if self.is_calm {
            self.at(self.now + GONE_BOUND, Action::CheckGone(id.clone()));
        }
        let event = Box::new(entry::Event::CallerDisconnected(id.number));
        self.at(self.now, Action::Entry { entry, life, event });
    }

    /// Nothing of a request may be left at an engine once its caller is gone.
    pub(super) fn check_gone(&mut self, id: &RequestId) {
        let prefix = format!("{id}-");
        let is_left =
            |node: &AgentNode| node.engine.runs().iter().any(|name| name.starts_with(&prefix));
        if self.agents.iter().any(is_left) {
            self.broken.push(format!("request {id} still runs, and its caller is gone"));
        }
    }
}

fn to_arrival(number: u64, request: &CallerRequest, policy: Rc<AccountPolicy>) -> Arrival {
    let mut marks = PrefixHasher::new(&policy.name);
    marks.update(request.prompt.as_bytes());
    let (service, call) = if request.is_order() {
        let call = Call::Plain {
            method: "POST".into(),
            path: "/order".into(),
            content_type: "application/json".into(),
            key: "".into(),
        };
        ("plain", call)
    } else {
        ("engines", Call::Model { model: "model".into(), path: "/v1/completions".into() })
    };
    Arrival {
        number,
        policy,
        service: service.into(),
        call,
        prompt_bytes: request.prompt.len() as u64,
        max_answer_tokens: if request.is_order() { 0 } else { request.answer },
        prefix_hashes: marks.into_hashes(),
        body: request.prompt.clone().into(),
        repeatable: request.repeatable,
    }
}
