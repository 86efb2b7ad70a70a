//! Frames between entries and agents: encoded messages decode to the same values,
//! and invalid frames are rejected.

use bytes::Bytes;
use quickcheck::{Gen, QuickCheck};
use shalelane::config::{ConfigVersion, Urgency};
use shalelane::prefix::{BLOCK_BYTES, PrefixHasher};
use shalelane::wire::{Call, Dispatch, Framed, Probe, Resume, ToAgent, ToEntry, TokenNeed};
use shalelane::{AttemptKey, Incarnation, Verdict};

const SEED: u64 = 20_261_202;

fn check<A: quickcheck::Testable>(property: A) {
    println!("seed {SEED}");
    QuickCheck::new().rng(Gen::from_size_and_seed(300, SEED)).tests(500).quickcheck(property);
}

#[test]
fn messages_survive_encoding_and_decoding() {
    let mut hasher = PrefixHasher::new("account");
    hasher.update(&vec![7; BLOCK_BYTES * 40]);
    let prompt_hashes = hasher.into_hashes();
    let need = TokenNeed { prompt: 40_960, answer: 64 };
    let key = AttemptKey(9, 2);
    let to_agent = [
        ToAgent::Probe(Probe {
            number: 4,
            model: "model".into(),
            need,
            urgency: Urgency::Batch,
            prefix_hashes: prompt_hashes.clone(),
        }),
        ToAgent::Dispatch(Dispatch {
            attempt: key,
            incarnation: Incarnation(5),
            call: Call::Model { model: "model".into(), path: "/v1/completions".into() },
            account: "account".into(),
            weight: 2,
            urgency: Urgency::Normal,
            need,
            prefix_hashes: prompt_hashes,
            body_len: 17,
            remaining_us: 1_000,
            shards: Vec::new(),
            max_wait_us: u64::MAX,
        }),
        ToAgent::Body(key, Bytes::from_static(b"part of a prompt")),
        ToAgent::Resume(Resume { attempt: key, incarnation: Incarnation(5), offset: 77 }),
        ToAgent::ConfigVersion(ConfigVersion(3)),
    ];
    for message in to_agent {
        assert_eq!(ToAgent::from_frame(message.to_frame()).expect("a frame"), message);
    }
    let to_entry = [
        ToEntry::Chunk { attempt: key, offset: 1 << 40, text: Bytes::from_static(b"text") },
        ToEntry::Failed { attempt: key, verdict: Verdict::MayHaveRun, reason: "gone".into() },
        ToEntry::Leaving,
    ];
    for message in to_entry {
        assert_eq!(ToEntry::from_frame(message.to_frame()).expect("a frame"), message);
    }
}

#[test]
fn no_frame_causes_a_panic() {
    fn holds(frame: Vec<u8>) -> bool {
        let frame = Bytes::from(frame);
        // The first byte of a control frame is 0: also decode the bytes as a control frame.
        let control = Bytes::from([&[0], &frame[..]].concat());
        for frame in [frame, control] {
            let _ = ToAgent::from_frame(frame.clone());
            let _ = ToEntry::from_frame(frame);
        }
        true
    }
    check(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn a_truncated_frame_is_rejected() {
    let message = ToAgent::Resume(Resume {
        attempt: AttemptKey(9, 2),
        incarnation: Incarnation(5),
        offset: 77,
    });
    let frame = message.to_frame();
    for end in 0..frame.len() {
        assert!(
            ToAgent::from_frame(frame.slice(..end)).is_err(),
            "a frame of {end} bytes was accepted"
        );
    }
    let error = ToAgent::from_frame(Bytes::new()).expect_err("an error");
    assert_eq!(error.to_string(), "bad frame: empty");
}

#[test]
fn prefix_hashes_do_not_depend_on_how_the_text_is_split() {
    fn holds(text: Vec<u8>, cut: usize) -> bool {
        let text: Vec<u8> = std::iter::repeat_n(text, 100).flatten().collect();
        let (first, rest) = text.split_at(cut % (text.len() + 1));
        let mut whole = PrefixHasher::new("account");
        whole.update(&text);
        let mut parts = PrefixHasher::new("account");
        parts.update(first);
        parts.update(rest);
        whole.into_hashes() == parts.into_hashes()
    }
    check(holds as fn(Vec<u8>, usize) -> bool);
}

#[test]
fn accounts_share_no_prefix_hashes_and_a_long_prompt_has_few() {
    let text = vec![b'x'; 4_000_000];
    let hashes_of = |account: &str| {
        let mut hasher = PrefixHasher::new(account);
        hasher.update(&text);
        hasher.into_hashes()
    };
    let (one, other) = (hashes_of("one"), hashes_of("other"));
    assert!(one.0.len() < 40, "{} prefix hashes", one.0.len());
    assert!(one.0.iter().zip(&other.0).all(|(a, b)| a.1 != b.1));
}
