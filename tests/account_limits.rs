//! Limits of a client account apply to the whole fleet: each entry admits requests within its
//! share, rounded down, and one agent grants the remainder. This holds for any number of entries
//! that become active at once and across restarts of the agent.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shalelane::account_quota::AccountQuota;
use shalelane::config::{AccountPolicy, Config};
use shalelane::entry::account::{AccountLimits, AccountTable};
use shalelane::time::Tick;

/// Configuration of an account with two requests per second and four in flight.
const CONFIG: &str = r#"
[[services]]
name = "boats"
kind = "plain"

[[templates]]
name = "small"
services = ["boats"]
time_limits = [{ up_to_tokens = 1000, seconds = 10 }]
requests_per_second = 2.0
concurrent = 4

[[client_accounts]]
name = "acme"
template = "small"
key_sha256 = ["KEY"]
"#;

/// Number of entries in a fleet of full size.
const ENTRIES: usize = 402;

/// Requests that a second's rate and a second's burst allow together.
const ALLOWED: usize = 4;

fn policy() -> Rc<AccountPolicy> {
    let secret = "secret";
    let config_text = CONFIG.replace("KEY", &shalelane::entry::account::to_key_hash(secret));
    let config = Arc::new(Config::from_toml(&config_text).expect("invalid configuration"));
    AccountTable::from_config(&config).find(secret).expect("no account for the secret")
}

#[test]
fn idle_entries_that_become_active_together_keep_an_accounts_limits() {
    let policy = policy();
    let mut fleet: Vec<_> = (0..ENTRIES).map(|_| AccountLimits::default()).collect();
    let now = Tick(60_000_000);
    let admitted =
        fleet.iter_mut().filter_map(|limits| limits.admit(&policy, ENTRIES, now).ok()).count();
    assert!(admitted <= ALLOWED, "{admitted} requests admitted at once");
}

/// A fleet and the agent that grants the part of the limits that the entries' shares leave over.
struct LimitFixture {
    policy: AccountPolicy,
    entries: Vec<AccountLimits>,
    quota: AccountQuota<(usize, u64)>,
    /// Requests in flight: their entry, and whether the agent admitted them.
    open: BTreeMap<u64, (usize, bool)>,
    admitted: Vec<Tick>,
}

impl LimitFixture {
    fn start(entries: usize, per_second: f64, concurrent: u64) -> Self {
        let policy =
            AccountPolicy { requests_per_second: per_second, concurrent, ..(*policy()).clone() };
        LimitFixture {
            policy,
            entries: (0..entries).map(|_| AccountLimits::default()).collect(),
            quota: AccountQuota::default(),
            open: BTreeMap::new(),
            admitted: Vec::new(),
        }
    }

    fn arrive(&mut self, entry: usize, number: u64, now: Tick) {
        let entries = self.entries.len();
        let is_by_agent = match self.entries[entry].admit(&self.policy, entries, now) {
            Ok(()) => false,
            Err(fault) => {
                let Some(remainder) = fault.remainder else { return };
                let holder = (entry, number);
                if self.quota.admit(&self.policy.name, remainder, holder, now).is_err() {
                    return;
                }
                true
            }
        };
        self.open.insert(number, (entry, is_by_agent));
        self.admitted.push(now);
        assert!(self.open.len() as u64 <= self.policy.concurrent, "{} in flight", self.open.len());
    }

    fn end(&mut self, number: u64) {
        let Some((entry, is_by_agent)) = self.open.remove(&number) else { return };
        if is_by_agent {
            self.quota.release(&(entry, number));
        } else {
            self.entries[entry].release(&self.policy.name);
        }
    }

    /// Restarts the agent; entries report to it the requests that it admitted before.
    fn restart_agent(&mut self, now: Tick) {
        self.quota = AccountQuota::default();
        for (number, (entry, _)) in self.open.iter().filter(|(_, (_, is_by_agent))| *is_by_agent) {
            self.quota.record_admitted(&self.policy.name, (*entry, *number), now);
        }
    }
}

#[test]
fn any_number_of_entries_and_agent_restarts_keeps_both_limits() {
    const SEED: u64 = 20_261_203;
    println!("seed {SEED}");
    for (entries, rate, concurrent) in
        [(1, 2.0, 4), (3, 50.0, 4), (3, 2.0, 402), (5, 12.5, 17), (402, 2.0, 4), (402, 900.0, 900)]
    {
        let mut rng = StdRng::seed_from_u64(SEED);
        let mut fixture = LimitFixture::start(entries, rate, concurrent);
        for step in 0..6_000_u64 {
            let now = Tick(60_000_000 + step * 5_000);
            if step % 1_500 == 700 {
                fixture.restart_agent(now);
            }
            let callers = if step % 400 == 0 { entries } else { 1 };
            for caller in 0..callers {
                let entry = (rng.random_range(0..entries) + caller) % entries;
                fixture.arrive(entry, step * 1_000 + caller as u64, now);
            }
            let ended: Vec<u64> =
                fixture.open.keys().copied().filter(|_| rng.random_bool(0.02)).collect();
            for number in ended {
                fixture.end(number);
            }
        }
        let max = max_in_a_second(&fixture.admitted);
        // A second's rate and a second's burst, and one request at each edge of the interval.
        let allowed = (rate * 2.0 + 2.0) as usize;
        assert!(max <= allowed, "{entries} entries at {rate}/s: {max} in a second");
        let min = rate.min(20.0) * 30.0 * 0.2;
        assert!(
            fixture.admitted.len() as f64 >= min,
            "{entries} entries admitted too few requests"
        );
    }
}

fn max_in_a_second(admitted: &[Tick]) -> usize {
    let second = Duration::from_secs(1);
    let count =
        |from: &Tick| admitted.iter().filter(|at| *at >= from && **at < *from + second).count();
    admitted.iter().map(count).max().unwrap_or(0)
}
