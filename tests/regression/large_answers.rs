//! Runs ended because an agent kept too much of their answers, and parts of answers that were sent
//! in frames which entries do not accept.

use bytes::Bytes;
use shalelane::AttemptKey;
use shalelane::agent::{ConnId, Effect, Event, RunEvent, RunUsage};
use shalelane::wire::{MAX_FRAME_BYTES, Resume, ToAgent, ToEntry};
use shalelane::{Incarnation, Verdict};

use crate::agent_fixture::{AgentFixture, CONN, dispatch, id_of};

const KEY: AttemptKey = AttemptKey(1, 1);

/// More than an agent keeps of all answers.
const ANSWER_BYTES: usize = 40 * 1024 * 1024;

/// Bytes that arrive from the target at a time.
const PART_BYTES: usize = 4 * 1024 * 1024;

fn run_event(event: RunEvent) -> Event {
    Event::Run(id_of(KEY), event)
}

/// Runs an attempt whose answer has `length` bytes, and returns the number of those that were sent.
fn run_answer(agent: &mut AgentFixture, length: usize) -> usize {
    agent.send(ToAgent::Dispatch(dispatch(KEY, 100, Vec::new())));
    let mut sent = 0;
    for _ in 0..length / PART_BYTES {
        let text = Bytes::from(vec![b'x'; PART_BYTES]);
        for effect in agent.feed(run_event(RunEvent::Text(text))) {
            let Effect::Send(_, ToEntry::Chunk { offset, text, .. }) = effect else {
                panic!("{effect:?}")
            };
            assert_eq!(offset, sent as u64);
            assert!(text.len() < MAX_FRAME_BYTES / 2, "a frame of {} bytes", text.len());
            sent += text.len();
        }
    }
    sent
}

fn resume(agent: &mut AgentFixture, offset: usize) -> Vec<Effect> {
    let offset = offset as u64;
    agent.send(ToAgent::Resume(Resume { attempt: KEY, incarnation: Incarnation(7), offset }))
}

#[test]
fn an_answer_that_is_too_large_to_keep_is_sent_to_its_end() {
    let mut agent = AgentFixture::new();
    assert_eq!(run_answer(&mut agent, ANSWER_BYTES), ANSWER_BYTES);
    let effects = agent.feed(run_event(RunEvent::Done(RunUsage::default())));
    let is_done = |effect: &Effect| {
        let length = ANSWER_BYTES as u64;
        matches!(effect, Effect::Send(_, ToEntry::Done(KEY, done)) if done.length == length)
    };
    assert!(effects.iter().any(is_done), "{effects:?}");
}

#[test]
fn an_answer_that_is_not_kept_is_not_sent_again() {
    let mut agent = AgentFixture::new();
    run_answer(&mut agent, ANSWER_BYTES);
    let accepted = resume(&mut agent, ANSWER_BYTES);
    let is_accepted = |effect: &Effect| matches!(effect, Effect::Send(_, ToEntry::Accepted(KEY)));
    assert!(accepted.iter().any(is_accepted), "{accepted:?}");
    let refused = resume(&mut agent, ANSWER_BYTES - 1);
    let is_failure = |effect: &Effect| {
        let Effect::Send(CONN, ToEntry::Failed { verdict, reason, .. }) = effect else {
            return false;
        };
        *verdict == Verdict::MayHaveRun && **reason == *"the answer is no longer kept"
    };
    assert!(refused.iter().any(is_failure), "{refused:?}");
}

#[test]
fn a_kept_answer_is_sent_again_in_frames_that_entries_accept() {
    let mut agent = AgentFixture::new();
    run_answer(&mut agent, PART_BYTES);
    let mut resent = 0;
    for effect in resume(&mut agent, 10) {
        if let Effect::Send(ConnId(_), ToEntry::Chunk { text, .. }) = effect {
            assert!(text.len() < MAX_FRAME_BYTES / 2, "a frame of {} bytes", text.len());
            resent += text.len();
        }
    }
    assert_eq!(resent, PART_BYTES - 10);
}
