//! Arrival and disconnection of callers.

use std::rc::Rc;

use shalelane::RequestId;
use shalelane::config::AccountPolicy;
use shalelane::entry::{self, Arrival};
use shalelane::prefix::PrefixHasher;
use shalelane::wire::Call;

use super::callers::CallerRequest;
use super::world::{Action, AgentNode, CANCEL_BOUND, World, entry_process};

impl World {
    pub(super) fn on_arrive(&mut self, index: usize) {
        let request = self.callers.requests[index].clone();
        let node = &mut self.entries[request.entry];
        if node.core.is_none() || node.paused_until > self.now {
            return;
        }
        node.last_number += 1;
        let number = node.last_number;
        let incarnation = node.incarnation;
        let Some(policy) = self.accounts.find(request.key) else { return };
        let limit = policy.time_limit(request.prompt.len() as u64 / 4).unwrap_or_default();
        let owner = entry_process(request.entry, incarnation);
        self.callers.record_id(index, RequestId { owner, number }, self.now + limit);
        let arrival = to_arrival(number, &request, policy);
        self.on_entry_event(request.entry, entry::Event::Arrive(Box::new(arrival)));
    }

    pub(super) fn on_caller_gone(&mut self, index: usize) {
        let view = &mut self.callers.views[index];
        let Some(id) = view.id.clone() else { return };
        if view.is_closed || view.result.is_some() {
            return;
        }
        view.is_closed = true;
        let entry = self.callers.requests[index].entry;
        let incarnation = self.entries[entry].incarnation;
        if self.is_fault_free {
            self.schedule_at(self.now + CANCEL_BOUND, Action::CheckCancelled(id.clone()));
        }
        let event = Box::new(entry::Event::CallerDisconnected(id.number));
        self.schedule_at(self.now, Action::Entry { entry, incarnation, event });
    }

    /// Checks that no engine still runs a request whose caller has disconnected.
    pub(super) fn check_cancelled(&mut self, id: &RequestId) {
        let prefix = format!("{id}-");
        let is_left =
            |node: &AgentNode| node.engine.runs().iter().any(|name| name.starts_with(&prefix));
        if self.agents.iter().any(is_left) {
            self.violations.push(format!("request {id} still runs after its caller disconnected"));
        }
    }
}

fn to_arrival(number: u64, request: &CallerRequest, policy: Rc<AccountPolicy>) -> Arrival {
    let mut hasher = PrefixHasher::new(&policy.name);
    hasher.update(request.prompt.as_bytes());
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
        prefix_hashes: hasher.into_hashes(),
        body: request.prompt.clone().into(),
        repeatable: request.repeatable,
    }
}
