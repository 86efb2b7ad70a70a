//! Receives the messages that agents send to an entry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::load_note::{LoadNote, MAX_NOTE};
use super::note_parts::FragmentBuffer;
use crate::relay::core::RelayCore;
use crate::relay::discovery::proof_share::PeerProof;
use crate::relay::shared::RelayShared;
use crate::time::Tick;

/// Handles the messages of agents for as long as the process runs.
pub(crate) async fn receive(shared: Rc<RelayShared>) {
    let mut buffer = [0; MAX_NOTE];
    let mut fragments = FragmentBuffer::default();
    loop {
        // A failed read is the ICMP error for a datagram that no process received.
        let Ok((length, from)) = shared.link.socket.recv_from(&mut buffer).await else {
            tokio::task::yield_now().await;
            continue;
        };
        let Ok(message) = LoadNote::from_bytes(&buffer[..length]) else {
            continue;
        };
        let now = shared.now();
        match message {
            LoadNote::Part(fragment) => {
                let complete = fragments.insert(fragment, now);
                match complete.map(|bytes| LoadNote::from_bytes(&bytes)) {
                    Some(Ok(message)) => apply_update(&shared, message, now),
                    Some(Err(error)) => {
                        slog::debug!(shared.log.logger(), "invalid peer message ignored";
                            "error" => %error);
                    }
                    None => {}
                }
            }
            LoadNote::AskProof { nonce } => {
                if let Some(answer) = shared.core.borrow().tell_proof(nonce, now) {
                    shared.link.send_to(from, &answer);
                }
            }
            message @ (LoadNote::ListChanged(_) | LoadNote::ConfigChanged(_)) => {
                apply_update(&shared, message, now);
            }
            LoadNote::Down => shared.core.borrow_mut().note_down(from.ip(), now),
            LoadNote::Exited { next_ms } => {
                shared.core.borrow_mut().note_exited(from.ip(), next_ms, now);
                shared.tell_suspects();
            }
            LoadNote::Suspected(report) => {
                shared.core.borrow_mut().take_suspect(&report, now);
                shared.tell_suspects();
            }
            LoadNote::Cleared(digest) => shared.core.borrow_mut().take_cleared(&digest),
            LoadNote::Rates(updates) => shared.core.borrow_mut().take_rates(&updates, now),
            LoadNote::TellPermit { nonce, reply } => shared.take_permit_reply(nonce, reply),
            LoadNote::TellProof { nonce, revision, config_digest, proof_age_ms, evacuated } => {
                let age = Duration::from_millis(proof_age_ms.into());
                let proof = PeerProof { nonce, revision, config_digest, age, evacuated };
                shared.take_proof(&proof);
            }
            message => {
                let mut core = shared.core.borrow_mut();
                let message = fill_target_name(&core, message, from);
                core.take_note(message, now);
            }
        }
    }
}

/// Applies an update that another entry sends to all entries.
fn apply_update(shared: &RelayShared, message: LoadNote, now: Tick) {
    match message {
        LoadNote::ListChanged(update) => {
            let is_after_outage = shared.was_away(now);
            let change = shared.core.borrow_mut().take_list_news(&update, is_after_outage, now);
            shared.log.targets_changed(&change);
        }
        LoadNote::ConfigChanged(delta) => {
            let mut core = shared.core.borrow_mut();
            if core.take_delta(&delta, now) {
                shared.log.config_changed(core.rules().version());
            }
            drop(core);
            shared.tell_suspects();
        }
        _ => {}
    }
}

/// An agent that has not learned the name of its target yet leaves it empty: then it is the target
/// on the agent's host.
fn fill_target_name(core: &RelayCore, mut message: LoadNote, from: SocketAddr) -> LoadNote {
    let LoadNote::Welcome { target, .. } = &mut message else { return message };
    if target.is_empty()
        && let Some(beside) =
            core.targets.iter().find(|target| target.record.address.ip() == from.ip())
    {
        *target = beside.record.incarnation.clone();
    }
    message
}
