//! A stand-in for the platform's host list. Changes show after a lag.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use shalelane::hosts::{HostDelta, HostRecord, HostState};

use crate::serve::{ServerThread, query_u64, reply_json, serve_http};

#[derive(Debug)]
struct ListState {
    hosts: BTreeMap<String, (u64, Instant, HostRecord)>,
    revision: u64,
    lag: Duration,
}

/// A running host list that a test can change.
#[derive(Debug)]
pub struct HostServer {
    state: Arc<Mutex<ListState>>,
    /// The server thread.
    pub server: ServerThread,
}

fn lock(state: &Mutex<ListState>) -> MutexGuard<'_, ListState> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl HostServer {
    /// Starts an empty list in which each change shows after `lag`.
    #[must_use]
    pub fn start(lag: Duration) -> Self {
        let state = ListState { hosts: BTreeMap::new(), revision: 0, lag };
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        let server = ServerThread::spawn("hosts", None, move |listener| {
            serve_http(listener, move |request| {
                let after = query_u64(&request, "after").unwrap_or(0);
                let delta = visible_changes(&shared, after);
                async move { Some(reply_json(&delta)) }
            })
        });
        HostServer { state, server }
    }

    /// Adds a host to the list or replaces its record.
    pub fn set(&self, host: HostRecord) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        state.hosts.insert(host.name.to_string(), (revision, Instant::now(), host));
    }

    /// Changes the state of a host; does nothing if the host is not listed.
    pub fn set_state(&self, name: &str, new_state: HostState) {
        let found = lock(&self.state).hosts.get(name).map(|(_, _, host)| host.clone());
        if let Some(host) = found {
            self.set(HostRecord { state: new_state, ..host });
        }
    }
}

/// Returns the changes after a revision in order, up to the first that is younger than the lag.
fn visible_changes(state: &Mutex<ListState>, after: u64) -> HostDelta {
    let state = lock(state);
    let mut changed: Vec<_> = state.hosts.values().filter(|(at, _, _)| *at > after).collect();
    changed.sort_by_key(|(at, _, _)| *at);
    let mut delta = HostDelta { revision: after, hosts: Vec::new() };
    for (revision, at, host) in changed {
        if at.elapsed() < state.lag {
            break;
        }
        delta.revision = *revision;
        delta.hosts.push(host.clone());
    }
    delta
}
