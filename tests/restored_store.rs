//! The store is restored from a backup that is some seconds old.
//!
//! The tests guard against three faults. An entry that read the log of claims before the restore
//! continues at its former position and leaves a gap. An entry that reads the log after the
//! restore finds a key free under which a request has run. A configuration that was accepted
//! after the backup was made stays in force and can not be replaced, because each change conflicts
//! with a stored version on which it is not based.

mod support;

use standins::caller::call;
use standins::engine_model::EngineSpec;
use support::{Site, VALDIVIA, keyed_order, wait_until};

/// Returns the configuration version in force at an entry.
async fn version(site: &Site, entry: usize) -> u64 {
    let status = site.get_admin(entry, "/admin/v1/status").await.json();
    status["config_version"].as_u64().expect("a version")
}

#[tokio::test]
async fn a_key_runs_once_although_its_claim_was_lost() {
    let site = Site::start(2, 1, EngineSpec::default()).await;
    let backup = site.store.to_snapshot();
    let first = call(site.callers(0), keyed_order("boat-1", "key")).await.expect("answer");
    assert_eq!(first.status, 200);
    site.store.restore(backup);
    let mut codes = Vec::new();
    wait_until("the key is reported as taken", async || {
        let answer = call(site.callers(1), keyed_order("boat-1", "key")).await.expect("answer");
        codes.push(answer.code());
        answer.status == 409
    })
    .await;
    let is_refusal = |code: &String| ["claims_away", "key_taken"].contains(&code.as_str());
    assert!(codes.iter().all(is_refusal), "{codes:?}");
    assert_eq!(site.plain.times_run("boat-1"), 1);
}

/// A process that starts after the restore has not seen an earlier epoch, and the claims that
/// other entries have to rewrite may still be missing: the entry that knows the claim is stopped
/// in the meantime.
#[tokio::test]
async fn a_process_that_starts_after_the_restore_waits_for_claims() {
    let mut site = Site::start(1, 1, EngineSpec::default()).await;
    let early = call(site.callers(0), keyed_order("boat-0", "early")).await.expect("answer");
    assert_eq!(early.status, 200);
    let backup = site.store.to_snapshot();
    let first = call(site.callers(0), keyed_order("boat-1", "key")).await.expect("answer");
    assert_eq!(first.status, 200);
    site.entries[0].freeze(true);
    site.store.restore(backup);
    site.add_entry(1);
    site.wait_ready(1).await;
    let answer = call(site.callers(1), keyed_order("boat-1", "key")).await.expect("answer");
    assert_eq!((answer.status, answer.code().as_str()), (503, "claims_away"));
    site.entries[0].freeze(false);
    wait_until("the key is reported as taken", async || {
        let answer = call(site.callers(1), keyed_order("boat-1", "key")).await.expect("answer");
        assert_ne!(answer.status, 200);
        answer.status == 409
    })
    .await;
    assert_eq!(site.plain.times_run("boat-1"), 1);
}

/// The first entry has read more segments than the restored log has, and writes further ones.
#[tokio::test]
async fn claims_continue_without_a_gap() {
    let site = Site::start(2, 1, EngineSpec::default()).await;
    for number in 0..40 {
        let (boat, key) = (format!("early-{number}"), format!("early-{number}"));
        let answer = call(site.callers(0), keyed_order(&boat, &key)).await.expect("answer");
        assert_eq!(answer.status, 200);
    }
    let backup = site.store.to_snapshot();
    for number in 0..40 {
        let (boat, key) = (format!("lost-{number}"), format!("lost-{number}"));
        call(site.callers(0), keyed_order(&boat, &key)).await.expect("answer");
    }
    site.store.restore(backup);
    for number in 0..40 {
        let (boat, key) = (format!("late-{number}"), format!("late-{number}"));
        wait_until("a new key can be claimed", async || {
            let answer = call(site.callers(0), keyed_order(&boat, &key)).await.expect("answer");
            answer.status == 200
        })
        .await;
    }
    for round in ["early", "lost", "late"] {
        for number in 0..40 {
            let name = format!("{round}-{number}");
            let again = call(site.callers(1), keyed_order(&name, &name)).await.expect("answer");
            assert_eq!((again.status, again.code().as_str()), (409, "key_taken"), "{name}");
            assert_eq!(site.plain.times_run(&name), 1, "{name}");
        }
    }
}

#[tokio::test]
async fn a_configuration_lost_by_the_store_stays_in_force_and_can_be_replaced() {
    let site = Site::start(2, 1, EngineSpec::default()).await;
    let backup = site.store.to_snapshot();
    let second = VALDIVIA.replace("weight = 3", "weight = 4");
    let applied = site.apply(&second, version(&site, 0).await).await;
    assert_eq!(applied.status, 200);
    let second = applied.json()["version"].as_u64().unwrap();
    for entry in 0..2 {
        wait_until("the second configuration is in force", async || {
            version(&site, entry).await == second
        })
        .await;
    }
    site.store.restore(backup);
    let third = VALDIVIA.replace("weight = 3", "weight = 5");
    let applied = site.apply(&third, second).await;
    assert_eq!(applied.status, 200, "{}", String::from_utf8_lossy(&applied.body));
    let third = applied.json()["version"].as_u64().unwrap();
    assert!(third > second, "version {third} after {second}");
    for entry in 0..2 {
        wait_until("the third configuration is in force", async || {
            let known = version(&site, entry).await;
            assert!(known >= second, "went back from {second} to {known}");
            known == third
        })
        .await;
    }
}
