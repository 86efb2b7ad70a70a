//! The targets that may run a request.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::quickcheck;
use shalelane::relay::decide::run_targets::RunTargets;
use shalelane::relay::decide::targets::{TargetFault, TargetInstance, TargetSet};

use crate::fixture::{at, name, record};

fn instance(number: u8) -> TargetInstance {
    TargetInstance { incarnation: name(&format!("t{number}")), started_ms: 0 }
}

quickcheck! {
    /// In every order of sends and refusals, a target counts while one of the sends to it was not
    /// refused.
    fn a_target_counts_until_all_sends_to_it_are_refused(steps: Vec<(u8, bool)>) -> bool {
        let mut runs = RunTargets::default();
        let mut expected = BTreeMap::<u8, u32>::new();
        for (number, is_refusal) in steps {
            let number = number % 4;
            let sends = expected.entry(number).or_default();
            if !is_refusal {
                runs.record_sent(&instance(number));
                *sends += 1;
            } else if *sends > 0 {
                runs.record_not_run(&instance(number));
                *sends -= 1;
            }
            let counted = expected.iter().filter(|(_, sends)| **sends > 0);
            let counted: Vec<_> = counted.map(|(number, _)| instance(*number)).collect();
            let is_counted = |instance| runs.iter().any(|known| known == instance);
            if runs.count() != counted.len() || !counted.iter().all(is_counted) {
                return false;
            }
        }
        true
    }
}

fn one_target() -> TargetSet {
    let mut set = TargetSet::default();
    set.apply_list(vec![record("a", 1)], false, at(0));
    set
}

/// A target that closes kept connections again and again must not be taken for a sound one.
#[test]
fn a_target_that_closes_kept_connections_in_a_row_is_ejected() {
    let mut set = one_target();
    let target = set.get_mut("a").unwrap();
    assert_eq!(target.record_failure(TargetFault::Closed, at(0)), None);
    assert!(target.record_failure(TargetFault::Closed, at(10)) > Some(Duration::ZERO));
}

/// A target may close an idle connection at the moment at which a request is sent on it.
#[test]
fn a_target_that_answers_between_closed_connections_is_not_ejected() {
    let mut set = one_target();
    let target = set.get_mut("a").unwrap();
    for round in 0..10 {
        assert_eq!(target.record_failure(TargetFault::Closed, at(round)), None);
        target.record_success();
    }
}
