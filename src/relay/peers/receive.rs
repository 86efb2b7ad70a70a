//! Takes the notes that agents send to an entry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::load_note::{LoadNote, MAX_NOTE};
use super::note_parts::PartBuffer;
use crate::relay::core::RelayCore;
use crate::relay::discovery::proof_share::PeerProof;
use crate::relay::shared::RelayShared;
use crate::time::Tick;

/// Takes what agents send, for as long as the process runs.
pub(crate) async fn receive(shared: Rc<RelayShared>) {
    let mut buffer = [0; MAX_NOTE];
    let mut parts = PartBuffer::default();
    loop {
        // A failed read is the echo of a datagram that nobody took.
        let Ok((length, from)) = shared.link.socket.recv_from(&mut buffer).await else {
            tokio::task::yield_now().await;
            continue;
        };
        let Ok(note) = LoadNote::from_bytes(&buffer[..length]) else {
            continue;
        };
        let now = shared.now();
        match note {
            LoadNote::Part(part) => {
                let whole = parts.take(part, now);
                match whole.map(|bytes| LoadNote::from_bytes(&bytes)) {
                    Some(Ok(note)) => take_news(&shared, note, now),
                    Some(Err(error)) => {
                        slog::debug!(shared.log.logger(), "note left out"; "error" => %error);
                    }
                    None => {}
                }
            }
            LoadNote::AskProof { nonce } => {
                if let Some(answer) = shared.core.borrow().tell_proof(nonce, now) {
                    shared.link.send_to(from, &answer);
                }
            }
            note @ (LoadNote::ListChanged(_) | LoadNote::ConfigChanged(_)) => {
                take_news(&shared, note, now);
            }
            LoadNote::Down => shared.core.borrow_mut().note_down(from.ip(), now),
            LoadNote::Exited { next_ms } => {
                shared.core.borrow_mut().note_exited(from.ip(), next_ms, now);
                shared.tell_suspects();
            }
            LoadNote::Suspected(news) => {
                shared.core.borrow_mut().take_suspect(&news, now);
                shared.tell_suspects();
            }
            LoadNote::Cleared(digest) => shared.core.borrow_mut().take_cleared(&digest),
            LoadNote::Rates(news) => shared.core.borrow_mut().take_rates(&news, now),
            LoadNote::TellPermit { nonce, reply } => shared.take_permit_reply(nonce, reply),
            LoadNote::TellProof { nonce, revision, config_digest, proof_age_ms, evacuated } => {
                let age = Duration::from_millis(proof_age_ms.into());
                let proof = PeerProof { nonce, revision, config_digest, age, evacuated };
                shared.take_proof(&proof);
            }
            note => {
                let mut core = shared.core.borrow_mut();
                let note = name_target(&core, note, from);
                core.take_note(note, now);
            }
        }
    }
}

/// Takes changes that another entry tells to all.
fn take_news(shared: &RelayShared, note: LoadNote, now: Tick) {
    match note {
        LoadNote::ListChanged(news) => {
            let is_after_outage = shared.was_away(now);
            let change = shared.core.borrow_mut().take_list_news(&news, is_after_outage, now);
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

/// An agent that has not heard of its target yet leaves its name open: it is
/// the one at the agent's own host.
fn name_target(core: &RelayCore, mut note: LoadNote, from: SocketAddr) -> LoadNote {
    let LoadNote::Welcome { target, .. } = &mut note else { return note };
    if target.is_empty()
        && let Some(beside) =
            core.targets.iter().find(|target| target.record.address.ip() == from.ip())
    {
        *target = beside.record.incarnation.clone();
    }
    note
}
