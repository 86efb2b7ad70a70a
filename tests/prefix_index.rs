//! The index of an engine's prefix cache.

use shalelane::agent::cache::{CacheEvent, PrefixIndex};
use shalelane::prefix::{PrefixHash, PrefixHashes};
use shalelane::{AttemptId, AttemptKey, Incarnation, ProcessId};

/// Number of runs that the index tracks.
const TRACKED_RUNS: u64 = 512;

const PROMPT_TOKENS: u64 = 100_000;

fn id(number: u64) -> AttemptId {
    let owner = ProcessId { name: "entry".into(), incarnation: Incarnation(1) };
    AttemptId { owner, key: AttemptKey(number, 1) }
}

#[test]
fn a_prefix_of_newer_runs_stays_known_when_the_oldest_run_is_dropped() {
    let mut index = PrefixIndex::default();
    let shared = PrefixHashes(vec![PrefixHash(1, 7)]);
    let other = |number: u64| PrefixHashes(vec![PrefixHash(1, 1_000 + number)]);
    index.track_run(&id(1), &shared);
    index.track_run(&id(2), &shared);
    index.on_event(&CacheEvent { sequence: 1, run: id(2).to_string(), tokens: PROMPT_TOKENS });
    let cached = index.cached_tokens(&shared, PROMPT_TOKENS);
    assert!(cached > 0);
    for number in 3..=TRACKED_RUNS + 1 {
        index.track_run(&id(number), &other(number));
    }
    assert_eq!(index.cached_tokens(&shared, PROMPT_TOKENS), cached);
    index.track_run(&id(TRACKED_RUNS + 2), &other(0));
    assert_eq!(index.cached_tokens(&shared, PROMPT_TOKENS), 0, "no tracked run has the prefix");
}
