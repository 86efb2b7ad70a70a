//! Which requests are held back, since targets ended under them.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shalelane::relay::core::RelayCore;
use shalelane::relay::decide::hold_list::QuarantineRecord;
use shalelane::relay::decide::quarantine::{QuarantineLedger, SuspectNews};
use shalelane::relay::decide::request_digest::RequestDigest;
use shalelane::relay::decide::targets::TargetLife;
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::rules::RelayConfig;
use shalelane::relay::peers::load_note::{LoadNote, MAX_NOTE};
use shalelane::relay::peers::subscriber_set::SubscriberSet;

use crate::fixture::{at, check, config_news, limits, ms, name, record, revision};

const NO_TIME: Duration = Duration::ZERO;

/// Time after an end at which it is decided what it means.
const JOINED: Duration = Duration::from_millis(100);

/// Unix time of tick zero in these tests.
const EPOCH_MS: u64 = 1_700_000_000_000;

fn digest(body: &str) -> RequestDigest {
    RequestDigest::of(Some("acme"), "h.example", "/x", body.as_bytes())
}

fn life(number: u64) -> TargetLife {
    TargetLife { incarnation: name("e"), born_ms: number }
}

/// A ledger that has seen these lives end under a request.
fn ledger_of(body: &str, lives: &[u64]) -> QuarantineLedger {
    let mut ledger = QuarantineLedger::default();
    for number in lives {
        end_under(&mut ledger, body, *number, at(100 * number));
    }
    ledger
}

fn end_under(ledger: &mut QuarantineLedger, body: &str, number: u64, now: shalelane::time::Tick) {
    ledger.note_broken(digest(body), &life(number), NO_TIME, now);
    ledger.note_ended(&life(number), now);
    ledger.decide(now + JOINED);
}

fn is_held(ledger: &QuarantineLedger, body: &str, now: u64) -> bool {
    ledger.holds().held_for(&digest(body), at(now)).is_some()
}

#[test]
fn a_request_is_held_back_after_three_ends() {
    assert!(!is_held(&ledger_of("a", &[1, 2]), "a", 300));
    let ledger = ledger_of("a", &[1, 2, 3]);
    assert!(is_held(&ledger, "a", 300));
    assert!(!is_held(&ledger, "b", 300));
    assert!(is_held(&ledger, "a", 300_000), "after five minutes");
    assert!(!is_held(&ledger, "a", 601_000), "it may be tried again");
}

#[test]
fn a_broken_connection_alone_says_nothing() {
    let mut ledger = QuarantineLedger::default();
    for number in 1..9 {
        ledger.note_broken(digest("a"), &life(number), NO_TIME, at(number));
    }
    assert!(!is_held(&ledger, "a", 10));
    ledger.note_ended(&life(1), at(20_000));
    assert!(!ledger.is_suspect(&digest("a")), "it ended long after");
}

#[test]
fn the_word_of_an_end_may_come_before_the_connection_breaks() {
    let mut ledger = QuarantineLedger::default();
    for number in 1..4 {
        ledger.note_ended(&life(number), at(number));
        ledger.note_broken(digest("a"), &life(number), NO_TIME, at(number + 5));
    }
    ledger.decide(at(200));
    assert!(is_held(&ledger, "a", 10));
}

#[test]
fn one_end_counts_once() {
    let mut ledger = QuarantineLedger::default();
    for attempt in 0..5 {
        end_under(&mut ledger, "a", 1, at(attempt));
    }
    let lives = ledger.news_of(digest("a")).unwrap().lives;
    assert_eq!(lives, [life(1)]);
}

#[test]
fn an_attempt_whose_events_have_come_for_long_is_not_the_cause() {
    let mut ledger = QuarantineLedger::default();
    for number in 1..6 {
        ledger.note_broken(digest("a"), &life(number), ms(2_500), at(number));
        ledger.note_ended(&life(number), at(number));
    }
    assert!(ledger.is_empty());
}

#[test]
fn an_answer_clears_a_suspect() {
    let mut ledger = ledger_of("a", &[1, 2]);
    assert!(ledger.note_served(&digest("a")));
    assert!(!ledger.note_served(&digest("a")), "told once");
    end_under(&mut ledger, "a", 3, at(400));
    assert!(!is_held(&ledger, "a", 400));
}

/// Of two requests at the same ends, the one with an end of its own is the cause.
#[test]
fn a_bystander_of_the_same_three_ends_is_not_held_back() {
    let mut ledger = QuarantineLedger::default();
    for number in 1..4 {
        ledger.note_broken(digest("cause"), &life(number), NO_TIME, at(number));
        ledger.note_broken(digest("beside"), &life(number), NO_TIME, at(number));
        ledger.note_ended(&life(number), at(number));
    }
    ledger.decide(at(105));
    assert!(!is_held(&ledger, "cause", 10) && !is_held(&ledger, "beside", 10), "nobody can tell");
    end_under(&mut ledger, "cause", 4, at(20));
    assert!(is_held(&ledger, "cause", 30));
    assert!(!is_held(&ledger, "beside", 30));
    end_under(&mut ledger, "beside", 5, at(40));
    assert!(!is_held(&ledger, "beside", 50), "three of its four ends are explained");
}

#[test]
fn who_hears_of_it_holds_it_back_too() {
    let mut all = Vec::new();
    for number in 1..4 {
        all.push(SuspectNews { digest: digest("a"), lives: vec![life(number)] });
    }
    let mut ledger = QuarantineLedger::default();
    for (at_ms, news) in [(1, &all[0]), (2, &all[0]), (3, &all[1])] {
        ledger.take_news(news, at(at_ms));
    }
    ledger.decide(at(150));
    assert!(!is_held(&ledger, "a", 150), "one of them was told twice");
    ledger.take_news(&all[2], at(200));
    assert!(!is_held(&ledger, "a", 200), "others may still tell");
    ledger.decide(at(300));
    assert!(is_held(&ledger, "a", 300));
    assert_eq!(ledger.take_found(), [digest("a")]);
    assert!(ledger.take_found().is_empty());
    let due = ledger.holds().write_due().unwrap();
    assert!(due.since(at(300)) >= ms(1_000), "the one who found it writes it");
}

#[test]
fn what_is_told_fits_a_datagram() {
    let lives = (0..8).map(|number| TargetLife {
        incarnation: name("a-name-of-thirty-characters-or-so"),
        born_ms: 1_700_000_000_000 + number,
    });
    let news = SuspectNews { digest: digest("a"), lives: lives.collect() };
    for note in [LoadNote::Suspected(news), LoadNote::Cleared(digest("a"))] {
        let bytes = note.to_bytes().unwrap();
        assert!(bytes.len() <= MAX_NOTE, "{} bytes", bytes.len());
        assert_eq!(LoadNote::from_bytes(&bytes).unwrap(), note);
    }
}

/// Agents join what entries tell, and pass on what was at two ends or more.
#[test]
fn agents_join_what_entries_tell() {
    let mut set = SubscriberSet::default();
    let entries: Vec<SocketAddr> =
        (1..4).map(|number| ([10, 1, 0, number], 7_000).into()).collect();
    for (number, entry) in entries.iter().enumerate() {
        let note = LoadNote::Subscribe {
            entry: number as u64,
            proof_age_ms: None,
            list_mark: None,
            config_mark: None,
        };
        set.on_note(&note, *entry, 100, at(0));
    }
    let told = |lives: &[u64]| {
        let lives = lives.iter().map(|number| life(*number)).collect();
        LoadNote::Suspected(SuspectNews { digest: digest("a"), lives })
    };
    assert!(set.on_note(&told(&[1]), entries[0], 100, at(10)).is_empty());
    let out = set.on_note(&told(&[2]), entries[1], 100, at(20));
    assert_eq!(out.len(), entries.len(), "also who told");
    assert!(out.iter().all(|out| out.note == told(&[1, 2])));
    let start =
        LoadNote::Subscribe { entry: 9, proof_age_ms: None, list_mark: None, config_mark: None };
    let out = set.on_note(&start, entries[2], 100, at(30));
    assert!(out.iter().any(|out| out.note == told(&[1, 2])), "one that started again");
    let out = set.on_note(&LoadNote::Cleared(digest("a")), entries[0], 100, at(40));
    assert_eq!(out.len(), 2, "the others");
    assert!(set.on_note(&told(&[3]), entries[0], 100, at(50)).is_empty());
}

/// After its hold, one more end has it held back for twice as long.
#[test]
fn a_request_that_does_it_again_is_held_back_for_longer() {
    let mut ledger = ledger_of("a", &[1, 2, 3]);
    let later = 700_000;
    assert!(!is_held(&ledger, "a", later));
    end_under(&mut ledger, "a", 9, at(later));
    assert!(is_held(&ledger, "a", later + 1_199_000));
    assert!(!is_held(&ledger, "a", later + 1_201_000));
}

#[test]
fn the_store_keeps_it_for_those_who_start_later() {
    let mut ledger = ledger_of("a", &[1, 2, 3]);
    let records = ledger.to_write(EPOCH_MS, at(400)).unwrap();
    assert!(ledger.to_write(EPOCH_MS, at(410)).is_none(), "not at once again");
    assert!(ledger.to_write(EPOCH_MS, at(1_000)).is_some(), "until it shows");
    ledger.take_records(&records, EPOCH_MS, at(1_100));
    assert_eq!(ledger.holds().write_due(), None);
    let mut later = QuarantineLedger::default();
    later.take_records(&records, EPOCH_MS + 60_000, at(0));
    let left = later.holds().held_for(&digest("a"), at(0)).unwrap();
    assert!(left > ms(535_000) && left < ms(545_000), "{left:?}");
    // Whoever writes the object without it has it written again.
    later.take_records(&[], EPOCH_MS + 60_000, at(10));
    assert_eq!(later.to_write(EPOCH_MS, at(10)), None, "another one may write it");
    assert_eq!(later.to_write(EPOCH_MS, at(1_010)).unwrap(), records);
}

#[test]
fn what_is_kept_is_bounded() {
    let mut ledger = QuarantineLedger::default();
    for number in 0..5_000 {
        end_under(&mut ledger, &format!("r{number}"), 1, at(number));
    }
    assert!(ledger.to_news().len() <= 32);
    let records: Vec<_> = (0..500)
        .map(|number| QuarantineRecord {
            digest: digest(&format!("h{number}")),
            since_ms: EPOCH_MS,
            renewals: 0,
        })
        .collect();
    ledger.take_records(&records, EPOCH_MS, at(5_000));
    assert!(ledger.holds().held_count(at(5_000)) <= 64);
}

/// A configuration of the same version brings what is held back, and an earlier version
/// does not step back for it.
#[test]
fn it_comes_with_the_configuration() {
    let record = QuarantineRecord { digest: digest("a"), since_ms: EPOCH_MS, renewals: 0 };
    let config = RelayConfig { version: 5, ..RelayConfig::default() };
    let noted = RelayConfig { quarantine: vec![record], ..config.clone() };
    let news = |config| config_news(revision(9), config);
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), 1);
    core.set_epoch(EPOCH_MS);
    assert!(core.take_config(Some(config.clone()), at(0)));
    assert!(!core.take_news(news(noted.clone()), at(10)), "no other version");
    assert!(core.quarantine().holds().held_for(&digest("a"), at(20)).is_some());
    assert_eq!(core.config_copy().unwrap().config.quarantine, [record], "passed on");
    assert!(!core.take_news(news(RelayConfig { version: 4, ..noted }), at(30)));
    assert_eq!(core.rules().version(), 5);
}

/// A target that is removed, or that starts again under its name, has ended; one that
/// had said that it would leave has not.
#[test]
fn ends_are_known_by_the_list() {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), 1);
    core.take_list(vec![record("a", 1), record("b", 2), record("c", 3)], false, at(0));
    let lives: Vec<_> = ["a", "b", "c"].map(|name| core.life_of(name).unwrap()).into();
    let mut leaving = record("c", 3);
    leaving.is_leaving = true;
    core.take_change(leaving, at(5));
    let mut again = record("b", 2);
    again.born_ms = 7;
    core.take_list(vec![record("a", 1), again], false, at(10));
    core.take_list(vec![], false, at(20));
    assert!(!core.may_live(&lives[0]) && !core.may_live(&lives[1]));
    let news = |core: &mut RelayCore, life, body| {
        core.note_broken(digest(body), life, NO_TIME, at(30));
        core.quarantine().news_of(digest(body)).is_some()
    };
    assert!(news(&mut core, &lives[0], "x"));
    assert!(news(&mut core, &lives[1], "y"));
    assert!(!news(&mut core, &lives[2], "z"), "it left as it had said");
}

/// Property: a cause among bystanders, at engines chosen at random, is held back after six
/// ends at most, and no bystander is that is cleared by its first answer.
#[test]
fn a_cause_is_found_among_bystanders() {
    check(cause_is_found as fn(u64) -> bool);
}

fn cause_is_found(seed: u64) -> bool {
    const ENGINES: u64 = 18;
    const BYSTANDERS: u64 = 30;
    const ROUNDS: u64 = 6;
    let mut dice = StdRng::seed_from_u64(seed);
    let mut ledger = QuarantineLedger::default();
    let mut bystanders: Vec<String> = (0..BYSTANDERS).map(|at| format!("beside {at}")).collect();
    for round in 1..=ROUNDS {
        let engine = dice.random_range(0..ENGINES);
        let (ended, now) = (life(round * ENGINES + engine), at(round * 100));
        ledger.note_broken(digest("cause"), &ended, NO_TIME, now);
        for body in &mut bystanders {
            if dice.random_range(0..ENGINES) == engine {
                ledger.note_broken(digest(body), &ended, NO_TIME, now);
            } else {
                ledger.note_served(&digest(body));
                body.push('x');
            }
        }
        ledger.note_ended(&ended, now + ms(10));
        ledger.decide(now + ms(10) + JOINED);
    }
    let end = ROUNDS * 100 + 50;
    is_held(&ledger, "cause", end) && !bystanders.iter().any(|body| is_held(&ledger, body, end))
}

/// What is kept of suspects is bounded, whatever callers send: the newest are kept.
#[test]
fn the_suspects_that_are_kept_are_bounded() {
    const MOST: u64 = 1_024;
    let mut ledger = QuarantineLedger::default();
    for number in 1..=2 * MOST {
        // Two ends each, from which on it shows.
        end_under(&mut ledger, &format!("b{number}"), 2 * number, at(number));
        end_under(&mut ledger, &format!("b{number}"), 2 * number + 1, at(number));
    }
    let is_kept = |number: &u64| ledger.is_suspect(&digest(&format!("b{number}")));
    assert_eq!((1..=2 * MOST).filter(is_kept).count() as u64, MOST);
    assert!(is_kept(&(2 * MOST)) && !is_kept(&1));
}

/// Nobody can have another account's request held back by sending its body.
#[test]
fn the_same_body_from_two_accounts_is_two_requests() {
    let of = |account| RequestDigest::of(account, "h.example", "/x", b"a");
    assert_ne!(of(Some("acme")), of(Some("other")));
    assert_ne!(of(Some("acme")), of(None));
    assert_ne!(of(Some("")), of(None), "no account is not one without a name");
    let ledger = ledger_of("a", &[1, 2, 3]);
    assert_eq!(of(Some("acme")), digest("a"));
    assert!(ledger.holds().held_for(&of(Some("acme")), at(300)).is_some());
    assert!(ledger.holds().held_for(&of(Some("other")), at(300)).is_none());
    assert!(ledger.holds().held_for(&of(None), at(300)).is_none());
}
