//! Second attempts over all entries.

use shalelane::relay::decide::retry_budget::{RetryBound, RetryBudget};

use crate::fixture::{at, check, ms};

const BOUND: RetryBound = RetryBound { ratio: 0.2, slack: 100.0, window: ms_10s() };

const fn ms_10s() -> std::time::Duration {
    std::time::Duration::from_secs(10)
}

#[test]
fn all_entries_together_stay_within_the_bound() {
    fn property(steps: Vec<(u8, u8, bool)>) -> bool {
        const ENTRIES: usize = 5;
        let mut budgets: Vec<_> = (0..ENTRIES).map(|_| RetryBudget::new(BOUND)).collect();
        let (mut now, mut requests, mut retries) = (0, Vec::new(), Vec::new());
        for (entry, wait, is_request) in steps {
            now += u64::from(wait);
            let budget = &mut budgets[usize::from(entry) % ENTRIES];
            if is_request {
                budget.note_request(at(now));
                requests.push(now);
            } else if budget.take(at(now), Some(ENTRIES)) {
                retries.push(now);
            }
        }
        let count = |times: &[u64], end: u64| {
            times.iter().filter(|time| **time <= end && **time + 10_000 > end).count() as f64
        };
        retries.iter().all(|end| count(&retries, *end) <= 0.2 * count(&requests, *end) + 100.0)
    }
    check(property as fn(Vec<(u8, u8, bool)>) -> bool);
}

#[test]
fn an_entry_that_knows_no_others_takes_a_small_part() {
    let mut budget = RetryBudget::new(BOUND);
    let taken = (0..200).filter(|_| budget.take(at(0), None)).count();
    assert!(taken <= 100 / 8, "{taken}");
    assert!(budget.take(at(0) + ms(10_001), None), "the window has passed");
}
