//! The platform's list of hosts, which lags.

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

/// The list, and what a test may do to it.
#[derive(Debug)]
pub struct HostServer {
    state: Arc<Mutex<ListState>>,
    /// Its thread.
    pub server: ServerThread,
}

fn lock(state: &Mutex<ListState>) -> MutexGuard<'_, ListState> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl HostServer {
    /// Starts an empty list whose changes show after `lag`.
    #[must_use]
    pub fn start(lag: Duration) -> Self {
        let state = ListState { hosts: BTreeMap::new(), revision: 0, lag };
        let state = Arc::new(Mutex::new(state));
        let inner = state.clone();
        let server = ServerThread::spawn("hosts", None, move |listener| {
            serve_http(listener, move |request| {
                let after = query_u64(&request, "after").unwrap_or(0);
                let delta = changes(&inner, after);
                async move { Some(reply_json(&delta)) }
            })
        });
        HostServer { state, server }
    }

    /// Lists a host, or changes what is listed of it.
    pub fn set(&self, host: HostRecord) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        state.hosts.insert(host.name.to_string(), (revision, Instant::now(), host));
    }

    /// Changes the state of a listed host.
    pub fn set_state(&self, name: &str, to: HostState) {
        let found = lock(&self.state).hosts.get(name).map(|(_, _, host)| host.clone());
        if let Some(host) = found {
            self.set(HostRecord { state: to, ..host });
        }
    }
}

/// Changes after a revision that are old enough to show, in order.
fn changes(state: &Mutex<ListState>, after: u64) -> HostDelta {
    let state = lock(state);
    let mut newer: Vec<_> = state.hosts.values().filter(|(at, _, _)| *at > after).collect();
    newer.sort_by_key(|(at, _, _)| *at);
    let mut delta = HostDelta { revision: after, hosts: Vec::new() };
    for (revision, at, host) in newer {
        if at.elapsed() < state.lag {
            break;
        }
        delta.revision = *revision;
        delta.hosts.push(host.clone());
    }
    delta
}
