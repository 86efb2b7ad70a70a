//! Limits of a client account hold over the fleet, and each entry lets in its equal part. A part
//! below one is rounded up, and saved while the entry is idle: so as many requests as there are
//! entries are let in at once, however low the account's rate and its count in flight are.

use std::sync::Arc;

use shalelane::config::Config;
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

#[test]
fn idle_entries_that_wake_together_keep_an_accounts_limits() {
    let secret = "secret";
    let site = SITE.replace("KEY", &shalelane::entry::account::to_key(secret));
    let config = Arc::new(Config::from_toml(&site).expect("a right site"));
    let policy = AccountTable::from_config(&config).find(secret).expect("an account");
    let mut fleet: Vec<_> = (0..ENTRIES).map(|_| AccountLimits::default()).collect();
    let now = Tick(60_000_000);
    let admitted = fleet.iter_mut().filter_map(|one| one.admit(&policy, ENTRIES, now).ok()).count();
    assert!(admitted <= ALLOWED, "{admitted} requests let in at once");
}
