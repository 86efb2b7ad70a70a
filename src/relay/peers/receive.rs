//! Receives the messages that agents send to an entry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::message_fragments::FragmentBuffer;
use super::peer_message::{MAX_DATAGRAM_BYTES, PeerMessage};
use crate::relay::core::RelayCore;
use crate::relay::discovery::proof_sync::PeerProof;
use crate::relay::discovery::source::ConfigOrigin;
use crate::relay::shared::RelayShared;
use crate::time::Tick;

/// Handles the messages of agents for as long as the process runs.
pub(crate) async fn receive(shared: Rc<RelayShared>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let mut fragments = FragmentBuffer::default();
    loop {
        // A failed read is the ICMP error for a datagram that no process received.
        let Ok((length, from)) = shared.link.socket.recv_from(&mut buffer).await else {
            tokio::task::yield_now().await;
            continue;
        };
        let Ok(message) = PeerMessage::from_bytes(&buffer[..length]) else {
            continue;
        };
        let now = shared.now();
        shared.record_peer_heard(now);
        if let Some(message) = message.to_part_message() {
            shared.core.borrow_mut().apply_part_message(&message, now);
            shared.report_suspects();
            continue;
        }
        match message {
            PeerMessage::Fragment(fragment) => {
                let complete = fragments.insert(fragment, now);
                match complete.map(|bytes| PeerMessage::from_bytes(&bytes)) {
                    Some(Ok(message)) => apply_update(&shared, message, now),
                    Some(Err(error)) => {
                        slog::debug!(shared.log.logger(), "invalid peer message ignored";
                            "error" => %error);
                    }
                    None => {}
                }
            }
            PeerMessage::QueryProof { nonce } => {
                if let Some(answer) = shared.core.borrow().answer_proof_request(nonce, now) {
                    shared.link.send_to(from, &answer);
                }
            }
            message @ (PeerMessage::TargetListChanged(_) | PeerMessage::ConfigChanged(_)) => {
                apply_update(&shared, message, now);
            }
            PeerMessage::EngineDown => shared.core.borrow_mut().record_down(from.ip(), now),
            PeerMessage::HostSilent(instance) => {
                shared.core.borrow_mut().apply_host_silence(&instance, now);
            }
            PeerMessage::EngineExited { next_ms } => {
                shared.core.borrow_mut().record_exit(from.ip(), next_ms, now);
                shared.report_suspects();
            }
            PeerMessage::RequestSuspected(report) => {
                shared.core.borrow_mut().apply_suspect_report(&report, now);
                shared.report_suspects();
            }
            PeerMessage::RequestCleared(digest) => shared.core.borrow_mut().apply_cleared(&digest),
            PeerMessage::Rates(updates) => shared.core.borrow_mut().apply_rates(&updates, now),
            PeerMessage::AnswerPermit { nonce, reply } => shared.deliver_permit_reply(nonce, reply),
            PeerMessage::AnswerProof {
                nonce,
                revision,
                config_digest,
                proof_age_ms,
                evacuated,
            } => {
                let age = Duration::from_millis(proof_age_ms.into());
                let proof = PeerProof { nonce, revision, config_digest, age, evacuated };
                shared.apply_proof(&proof);
            }
            message => {
                let mut core = shared.core.borrow_mut();
                let message = fill_target_name(&core, message, from);
                core.apply_message(message, now);
            }
        }
    }
}

/// Applies an update that another entry sends to all entries.
fn apply_update(shared: &RelayShared, message: PeerMessage, now: Tick) {
    match message {
        PeerMessage::TargetListChanged(update) => {
            let is_after_outage = shared.was_store_unreachable(now);
            let change = shared.core.borrow_mut().apply_list_update(&update, is_after_outage, now);
            shared.log.targets_changed(&change);
        }
        PeerMessage::ConfigChanged(delta) => {
            let mut core = shared.core.borrow_mut();
            let verdict = core.apply_delta(&delta, now);
            if verdict.is_new_version() {
                shared.record_config_change(&core, ConfigOrigin::Change);
            } else if verdict.is_missed() {
                shared.log.config_change_missed(&delta, core.config_revision(), verdict);
                shared.counts.borrow().record_missed_change(verdict);
            }
            drop(core);
            shared.report_suspects();
        }
        _ => {}
    }
}

/// Fills in the target name of an acknowledgement if the agent left it empty, since it has not
/// learned the name yet. The target is the one on the agent's host.
fn fill_target_name(core: &RelayCore, mut message: PeerMessage, from: SocketAddr) -> PeerMessage {
    let PeerMessage::SubscriptionAck { target, .. } = &mut message else { return message };
    if target.is_empty()
        && let Some(beside) =
            core.targets.iter().find(|target| target.record.address.ip() == from.ip())
    {
        *target = beside.record.incarnation.clone();
    }
    message
}
