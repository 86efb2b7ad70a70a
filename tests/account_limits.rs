//! Limits of a client account hold over the fleet: each entry lets in its whole share, and one
//! agent gives what is left, however many entries wake together and whatever starts again.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shalelane::account_gate::AccountGate;
use shalelane::config::{AccountPolicy, Config};
use shalelane::entry::account::{AccountLimits, AccountTable};
use shalelane::time::Tick;

/// An account with two requests a second, four at the same time.
const SITE: &str = r#"
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

/// Entries of a fleet at full size.
const ENTRIES: usize = 402;

/// What a second's rate and a second's savings allow.
const ALLOWED: usize = 4;

fn policy() -> Rc<AccountPolicy> {
    let secret = "secret";
    let site = SITE.replace("KEY", &shalelane::entry::account::to_key(secret));
    let config = Arc::new(Config::from_toml(&site).expect("a right site"));
    AccountTable::from_config(&config).find(secret).expect("an account")
}

#[test]
fn idle_entries_that_wake_together_keep_an_accounts_limits() {
    let policy = policy();
    let mut fleet: Vec<_> = (0..ENTRIES).map(|_| AccountLimits::default()).collect();
    let now = Tick(60_000_000);
    let admitted = fleet.iter_mut().filter_map(|one| one.admit(&policy, ENTRIES, now).ok()).count();
    assert!(admitted <= ALLOWED, "{admitted} requests let in at once");
}

/// A fleet and the agent that gives what is beside the entries' shares.
struct LimitWorld {
    policy: AccountPolicy,
    entries: Vec<AccountLimits>,
    gate: AccountGate<(usize, u64)>,
    /// Requests in flight, by the entry, and whether the agent let them in.
    open: BTreeMap<u64, (usize, bool)>,
    admitted: Vec<Tick>,
}

impl LimitWorld {
    fn start(entries: usize, per_second: f64, concurrent: u64) -> Self {
        let policy =
            AccountPolicy { requests_per_second: per_second, concurrent, ..(*policy()).clone() };
        LimitWorld {
            policy,
            entries: (0..entries).map(|_| AccountLimits::default()).collect(),
            gate: AccountGate::default(),
            open: BTreeMap::new(),
            admitted: Vec::new(),
        }
    }

    fn arrive(&mut self, entry: usize, number: u64, now: Tick) {
        let entries = self.entries.len();
        let is_of_agent = match self.entries[entry].admit(&self.policy, entries, now) {
            Ok(()) => false,
            Err(fault) => {
                let Some(rest) = fault.rest else { return };
                let holder = (entry, number);
                if self.gate.ask(&self.policy.name, rest, holder, now).is_err() {
                    return;
                }
                true
            }
        };
        self.open.insert(number, (entry, is_of_agent));
        self.admitted.push(now);
        assert!(self.open.len() as u64 <= self.policy.concurrent, "{} in flight", self.open.len());
    }

    fn end(&mut self, number: u64) {
        let Some((entry, is_of_agent)) = self.open.remove(&number) else { return };
        if is_of_agent {
            self.gate.release(&(entry, number));
        } else {
            self.entries[entry].release(&self.policy.name);
        }
    }

    /// The agent starts again, and entries tell it what its former life let in.
    fn restart_agent(&mut self, now: Tick) {
        self.gate = AccountGate::default();
        for (number, (entry, _)) in self.open.iter().filter(|(_, (_, is_of_agent))| *is_of_agent) {
            self.gate.note_held(&self.policy.name, (*entry, *number), now);
        }
    }
}

#[test]
fn any_number_of_entries_and_starts_keeps_both_limits() {
    const SEED: u64 = 20_261_203;
    println!("seed {SEED}");
    for (entries, rate, concurrent) in
        [(1, 2.0, 4), (3, 50.0, 4), (3, 2.0, 402), (5, 12.5, 17), (402, 2.0, 4), (402, 900.0, 900)]
    {
        let mut random = StdRng::seed_from_u64(SEED);
        let mut world = LimitWorld::start(entries, rate, concurrent);
        for step in 0..6_000_u64 {
            let now = Tick(60_000_000 + step * 5_000);
            if step % 1_500 == 700 {
                world.restart_agent(now);
            }
            let callers = if step % 400 == 0 { entries } else { 1 };
            for caller in 0..callers {
                let entry = (random.random_range(0..entries) + caller) % entries;
                world.arrive(entry, step * 1_000 + caller as u64, now);
            }
            let ended: Vec<u64> =
                world.open.keys().copied().filter(|_| random.random_bool(0.02)).collect();
            for number in ended {
                world.end(number);
            }
        }
        let most = most_in_a_second(&world.admitted);
        // A second's rate beside a second's savings, and one at each edge.
        let allowed = (rate * 2.0 + 2.0) as usize;
        assert!(most <= allowed, "{entries} entries at {rate}/s: {most} in a second");
        let least = rate.min(20.0) * 30.0 * 0.2;
        assert!(world.admitted.len() as f64 >= least, "{entries} entries let in too few");
    }
}

fn most_in_a_second(admitted: &[Tick]) -> usize {
    let second = Duration::from_secs(1);
    let count =
        |from: &Tick| admitted.iter().filter(|at| *at >= from && **at < *from + second).count();
    admitted.iter().map(count).max().unwrap_or(0)
}
