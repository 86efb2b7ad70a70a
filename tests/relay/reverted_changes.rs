//! Changes of the configuration that are reverted between the two ends of an announced change.

use shalelane::relay::core::RelayCore;
use shalelane::relay::core::configuration::DeltaVerdict;
use shalelane::relay::decide::quarantine::QuarantineRecords;
use shalelane::relay::decide::quarantine_list::QuarantineRecord;
use shalelane::relay::decide::request_digest::RequestDigest;
use shalelane::relay::discovery::config_delta::ConfigDelta;
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::rules::{AccountRule, RelayConfig, ServiceRule};
use shalelane::relay::discovery::source::ConfigRead;
use shalelane::relay::peers::peer_message::PeerMessage;

use crate::fixture::{at, config_update, limits, ms, name, revision, route};

type Change = fn(&mut RelayConfig);

/// Changes that an intermediate version makes and the last version reverts.
const CHANGES: [(&str, Change); 9] = [
    ("route moved", |config| config.routes[0].services[0].service = name("b")),
    ("route limited", |config| config.routes[0].time_limit = ms(1)),
    ("route added", |config| config.routes.push(route("/new/"))),
    ("route removed", |config| drop(config.routes.remove(0))),
    ("key added", |config| config.accounts[0].keys.push(name("k9"))),
    ("key removed", |config| config.accounts[0].keys.clear()),
    ("account removed", |config| config.accounts.clear()),
    ("service added", |config| config.services.push(service("c"))),
    ("service removed", |config| drop(config.services.pop())),
];

fn service(text: &str) -> ServiceRule {
    ServiceRule { name: name(text), engine: None, warmup: None }
}

fn config(version: u64) -> RelayConfig {
    let account = |account: &str, key: &str| AccountRule {
        name: name(account),
        keys: vec![name(key)],
        regions: Vec::new(),
        rank: 0,
    };
    RelayConfig {
        version,
        routes: vec![route("/a/"), route("/b/")],
        services: vec![service("a"), service("b")],
        accounts: vec![account("acme", "k1"), account("zenith", "k2")],
        ..RelayConfig::default()
    }
}

/// The last version: an unrelated key is replaced.
fn last_config() -> RelayConfig {
    let mut last = config(3);
    last.accounts[1].keys = vec![name("k3")];
    last
}

fn read(number: u64, config: RelayConfig) -> ConfigRead {
    let revision = revision(number);
    ConfigRead { revision, store_revision: revision, config: Some(config), unreadable: Vec::new() }
}

/// An entry that read version 1 at revision 5.
fn entry(number: u64) -> RelayCore {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), number);
    core.apply_read(read(5, config(1)), at(1_000));
    core.take_config_change();
    core
}

/// The change from version 1 to the last one, by a watcher that did not see the version between.
fn change_to_last() -> ConfigDelta {
    let mut watcher = entry(1);
    watcher.apply_update(config_update(revision(7), last_config()), at(1_300));
    let delta = watcher.take_config_change().expect("a change");
    assert_eq!((delta.since, delta.revision), (revision(5), revision(7)));
    let message = PeerMessage::ConfigChanged(Box::new(delta));
    let received = PeerMessage::from_bytes(&message.to_bytes().unwrap()).unwrap();
    let PeerMessage::ConfigChanged(delta) = received else { panic!("{received:?}") };
    *delta
}

/// Asserts that an entry with the intermediate version does not apply the change, asks for the
/// last version, and has it once it is read.
fn check_asks(mut core: RelayCore, between: &RelayConfig, what: &str) {
    assert_eq!(core.apply_delta(&change_to_last(), at(1_310)), DeltaVerdict::Mismatch, "{what}");
    assert_eq!(core.config_revision(), revision(6), "{what}: the number of its own version");
    assert_eq!(core.config_digest(), between.digest(), "{what}: its own version stays whole");
    assert!(core.is_config_behind(at(2_200)), "{what}: the store is read");
    assert!(core.apply_read(read(7, last_config()), at(2_200)), "{what}");
    assert_eq!(core.config_digest(), last_config().digest(), "{what}");
    assert!(!core.is_config_behind(at(9_000)), "{what}");
}

/// Guards against a mixture of two versions at an entry that read the one between.
#[test]
fn a_change_that_lacks_a_reverted_item_is_not_applied_to_the_version_that_was_read() {
    for (what, change) in CHANGES {
        let mut between = config(2);
        change(&mut between);
        let mut core = entry(2);
        core.apply_read(read(6, between.clone()), at(1_100));
        check_asks(core, &between, what);
    }
}

/// Guards against the same at an entry that watches the store.
#[test]
fn a_change_that_lacks_a_reverted_item_is_not_applied_to_the_version_that_was_watched() {
    for (what, change) in CHANGES {
        let mut between = config(2);
        change(&mut between);
        let mut core = entry(2);
        core.apply_update(config_update(revision(6), between.clone()), at(1_100));
        check_asks(core, &between, what);
    }
}

/// Guards against the same at an entry that received the version between from a third one.
#[test]
fn a_change_that_lacks_a_reverted_item_is_not_applied_to_the_version_that_was_announced() {
    for (what, change) in CHANGES {
        let mut between = config(2);
        change(&mut between);
        let (mut third, mut core) = (entry(3), entry(2));
        third.apply_update(config_update(revision(6), between.clone()), at(1_100));
        let delta = third.take_config_change().expect("a change");
        assert!(core.apply_delta(&delta, at(1_110)).is_new_version());
        check_asks(core, &between, what);
    }
}

/// A change that continues from the version between arrives before the store is read.
#[test]
fn a_later_change_that_leads_to_the_whole_version_is_applied() {
    for (what, change) in CHANGES {
        let mut between = config(2);
        change(&mut between);
        let (mut third, mut core) = (entry(3), entry(2));
        for core in [&mut third, &mut core] {
            core.apply_update(config_update(revision(6), between.clone()), at(1_100));
            core.take_config_change();
        }
        assert_eq!(core.apply_delta(&change_to_last(), at(1_310)), DeltaVerdict::Mismatch);
        third.apply_update(config_update(revision(7), last_config()), at(1_400));
        let delta = third.take_config_change().expect("a change");
        assert!(core.apply_delta(&delta, at(1_410)).is_new_version(), "{what}");
        assert_eq!(core.config_digest(), last_config().digest(), "{what}");
        assert!(!core.is_config_behind(at(9_000)), "{what}");
    }
}

/// Overlapping changes of items that are not reverted are still applied without a read.
#[test]
fn a_change_that_contains_all_of_the_version_between_is_applied() {
    let mut core = entry(2);
    let mut between = config(2);
    between.accounts[1].keys = vec![name("k7")];
    core.apply_read(read(6, between), at(1_100));
    assert!(core.apply_delta(&change_to_last(), at(1_310)).is_new_version());
    assert_eq!(core.config_digest(), last_config().digest());
}

/// Guards against a revision whose configuration lacks the records that this entry has written.
#[test]
fn a_written_quarantine_belongs_to_the_configuration_of_its_revision() {
    let subject = RequestDigest::of(None, "h.example", "/x", b"body");
    let record = QuarantineRecord { subject, since_ms: 1_000, renewals: 0, is_lifted: false };
    let records = QuarantineRecords { requests: vec![record], ..QuarantineRecords::default() };
    let (mut writer, mut reader) = (entry(1), entry(2));
    assert!(writer.record_written(&records, revision(6), at(1_100)));
    let stored = RelayConfig { quarantine: records.requests.clone(), ..config(1) };
    reader.apply_read(read(6, stored), at(1_200));
    let state = |core: &RelayCore| (core.config_revision(), core.config_digest());
    assert_eq!(state(&writer), state(&reader));
    assert!(writer.record_written(&QuarantineRecords::default(), revision(5), at(1_400)));
    assert_eq!(state(&writer), state(&reader), "a late answer to an earlier write");
}
