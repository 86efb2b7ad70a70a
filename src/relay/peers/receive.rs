//! Takes the notes that agents send to an entry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::load_note::{LoadNote, MAX_NOTE};
use crate::relay::core::RelayCore;
use crate::relay::discovery::list_share::ListNews;
use crate::relay::discovery::proof_share::PeerProof;
use crate::relay::shared::RelayShared;
use crate::time::Tick;

/// Takes what agents send, for as long as the process runs.
pub(crate) async fn receive(shared: Rc<RelayShared>) {
    let mut buffer = [0; MAX_NOTE];
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
            LoadNote::AskProof { nonce } => {
                if let Some(answer) = shared.core.borrow().tell_proof(nonce, now) {
                    shared.link.send_to(from, &answer);
                }
            }
            LoadNote::ListChanged(news) => take_list_news(&shared, &news, now),
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
            LoadNote::TellProof { nonce, revision, proof_age_ms, evacuated } => {
                let age = Duration::from_millis(proof_age_ms.into());
                shared.take_proof(&PeerProof { nonce, revision, age, evacuated });
            }
            note => {
                let mut core = shared.core.borrow_mut();
                let note = name_target(&core, note, from);
                core.take_note(note, now);
            }
        }
    }
}

/// Takes changes of the list that another entry tells.
fn take_list_news(shared: &RelayShared, news: &ListNews, now: Tick) {
    let is_after_outage = shared.was_away(now);
    let change = shared.core.borrow_mut().take_list_news(news, is_after_outage, now);
    shared.log.targets_changed(&change);
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
