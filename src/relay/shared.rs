//! State shared by the tasks of one entry.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot, watch};

use super::caller_connection::GateClosing;
use super::core::RelayCore;
use super::counts::RelayCounts;
use super::decide::connection_gate::ConnectionGate;
use super::decide::peer_contact::PeerContact;
use super::decide::permit_issuer::PermitReply;
use super::decide::reservation::ReservationNames;
use super::decide::start_wait::{StartPhase, start_wait};
use super::decide::target_notice::TargetNotice;
use super::decide::targets::TargetInstance;
use super::discovery::proof_sync::{PeerProof, PeerVerdict};
use super::discovery::source::{ConfigOrigin, ConfigRead, ConfigUpdate, EvacuationList};
use super::discovery::watch_timing::watch_timeout;
use super::peers::peer_link::PeerLink;
use super::peers::peer_message::PeerMessage;
use super::proxy::chunk_queue::SharedRoom;
use super::proxy::connections::{ConnectionPool, OpenConnections};
use super::proxy::protocol::{CallerProtocol, TargetProtocol};
use super::record::DecisionLog;
use super::stop::StopPhase;
use super::stop_state::StopState;
use crate::client::HttpClient;
use crate::clock::ProcessClock;
use crate::connection::ConnectionGroup;
use crate::memory_budget::MemoryBudget;
use crate::time::Tick;

/// Time after a failed call to the store during which lapsed entries of the target list may come
/// back.
const RECOVERY_WINDOW: Duration = Duration::from_secs(3);

/// Share of the descriptors that connections of callers and to targets may use together. The rest is
/// for the store, other entries, the balancer and files.
const RELAYED_SHARE: f64 = 0.8;

/// State shared by all requests and background tasks of a process.
pub(crate) struct RelayShared {
    pub(crate) core: RefCell<RelayCore>,
    pub(crate) pool: RefCell<ConnectionPool>,
    pub(crate) caller_protocol: CallerProtocol,
    pub(crate) target_protocol: TargetProtocol,
    pub(crate) log: DecisionLog,
    pub(crate) counts: RefCell<RelayCounts>,
    /// The planned stop of this process.
    pub(crate) stop: StopState,
    /// When a call to the store last failed, or the store was last restored from a backup.
    pub(crate) store_failed_at: Cell<Option<Tick>>,
    /// Phase of the start of this process.
    pub(crate) start_phase: watch::Sender<StartPhase>,
    /// Counts the times that the store became reachable again.
    pub(crate) store_recoveries: watch::Sender<u64>,
    /// Contact with agents and other entries.
    pub(crate) peer_contact: RefCell<PeerContact>,
    /// Counts the times that this process was cut off from its peers and the store, and is no longer.
    pub(crate) cut_ends: watch::Sender<u64>,
    /// Notified by the watch of the configuration, on an update or at its end.
    pub(crate) config_changed: Notify,
    /// The newest update from that watch that has not been applied yet.
    pub(crate) config_update: RefCell<Option<Box<ConfigUpdate>>>,
    /// Notified when the list has to be read, or when this entry starts or stops watching it.
    pub(crate) list_due: Notify,
    /// Verdict on the last proof received from another entry.
    pub(crate) peer_verdict: Cell<PeerVerdict>,
    /// Notified when another entry has answered a request for its proof.
    pub(crate) proof_received: Notify,
    /// Target instances that are currently checked for a crash.
    pub(crate) crash_checks: RefCell<HashSet<TargetInstance>>,
    /// Counts the resumptions of the host after a suspension.
    pub(crate) resumptions: watch::Sender<u64>,
    /// Notified when the store has to record that a request is quarantined.
    pub(crate) quarantine_write_due: Notify,
    pub(crate) link: PeerLink,
    /// Client for memory reservations and for copies of other entries' configurations.
    pub(crate) http_client: HttpClient,
    /// Names of this entry's memory reservations.
    pub(crate) reservation_names: RefCell<ReservationNames>,
    /// Requests for permits that wait for an answer, by their nonce.
    pub(crate) pending_permits: RefCell<HashMap<u64, oneshot::Sender<PermitReply>>>,
    /// Memory that callers may make this process hold.
    pub(crate) memory: MemoryBudget,
    /// Room for answers that callers have not read.
    pub(crate) shared_room: Rc<SharedRoom>,
    pub(crate) clock: ProcessClock,
    /// Connections of callers.
    pub(crate) connections: Rc<ConnectionGroup>,
    /// Whether new connections of callers are taken.
    pub(crate) gate: RefCell<ConnectionGate>,
    /// Number of descriptors that the process may use, `None` if that is unknown.
    pub(crate) max_descriptors: Cell<Option<usize>>,
    /// Counts the open connections to targets.
    pub(crate) target_connections: Rc<OpenConnections>,
    /// Number of open connections of callers.
    pub(crate) open_connections: Cell<usize>,
    /// Connections that the gate closes at present.
    pub(crate) gate_closing: GateClosing,
    /// Notified when connections of callers were taken.
    pub(crate) connections_taken: Notify,
    /// When the delay of the event loop is measured next.
    pub(crate) delay_due: Cell<Tick>,
    /// Latest delay of the event loop.
    pub(crate) loop_delay: Cell<Duration>,
    /// When the configuration came into force.
    pub(crate) config_changed_at: Cell<Tick>,
}

impl RelayShared {
    pub(crate) fn now(&self) -> Tick {
        self.clock.now()
    }

    pub(crate) fn address_of(&self, target: &str) -> Option<SocketAddr> {
        self.core.borrow().targets.get(target).map(|target| target.record.address)
    }

    /// Returns `true` if a connection to a target may be opened beside those of callers. Idle
    /// connections to targets are closed for it.
    pub(crate) fn has_target_place(&self) -> bool {
        let Some(max) = self.max_descriptors.get() else { return true };
        let max_open = (max as f64 * RELAYED_SHARE) as usize;
        let open = || self.open_connections.get() + self.target_connections.count();
        open() < max_open || self.pool.borrow_mut().close_one()
    }

    /// Logs that callers make this process hold too much.
    pub(crate) fn record_crowding(&self) {
        let figures = self.memory.figures();
        self.log.crowded(&figures, self.open_connections.get(), self.now());
    }

    /// Returns how long a target has sent nothing while requests were waiting for it.
    pub(crate) fn silence_of(&self, target: &str) -> Duration {
        let core = self.core.borrow();
        core.targets.get(target).map_or(Duration::ZERO, |target| target.silence(self.now()))
    }

    /// Applies what an answer states about the target that gave it, to a request sent at
    /// `sent_at`. With `None` for `sent_at`, an answer without a rate states nothing.
    pub(crate) fn apply_notice(
        &self,
        instance: Option<&TargetInstance>,
        notice: &TargetNotice,
        sent_at: Option<Tick>,
    ) {
        let Some(instance) = instance else { return };
        let now = self.now();
        if !notice.is_empty() {
            self.log.notice_received(&instance.incarnation, notice, now);
            self.counts.borrow().record_notice(notice);
        }
        let mut core = self.core.borrow_mut();
        core.apply_notice(instance, notice, now);
        core.apply_rate(instance, notice.rate, sent_at, now);
    }

    /// Passes an agent's answer to the request that waits for it, if that request still waits.
    pub(crate) fn deliver_permit_reply(&self, nonce: u64, reply: PermitReply) {
        if let Some(waiter) = self.pending_permits.borrow_mut().remove(&nonce) {
            let _ = waiter.send(reply);
        }
    }

    /// Runs `work` until a tick, `None` if the tick comes first. Timers stand still while the host
    /// is suspended, so the clock is read again when the host resumes.
    pub(crate) async fn run_until<T>(
        &self,
        tick: Tick,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let mut resumes = self.resumptions.subscribe();
        tokio::pin!(work);
        loop {
            let left = tick.since(self.now());
            tokio::select! {
                biased;
                output = &mut work => return Some(output),
                () = tokio::time::sleep(left) => return None,
                _ = resumes.changed() => {}
            }
        }
    }

    /// Runs `work` for an attempt until the deadline of its request or the end of a planned stop,
    /// `None` if either comes first.
    pub(crate) async fn run_attempt<T>(
        &self,
        deadline: Tick,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let work = self.run_until(deadline, work);
        self.stop.run_until(StopPhase::Ended, work).await.flatten()
    }

    /// Handles a resumption of the host after a suspension. Connections to the store may hang, and
    /// proofs may have lapsed.
    pub(crate) fn handle_resumption(&self, duration: Duration) {
        self.log.resumed(duration);
        self.resumptions.send_modify(|count| *count += 1);
        self.store_recoveries.send_modify(|count| *count += 1);
        self.config_changed.notify_one();
    }

    /// Records that a peer was heard. If this process was cut off before, and not only a peer but
    /// the store as well did not answer, everything that it knows of them is read again at once.
    pub(crate) fn record_peer_heard(&self, now: Tick) {
        let Some(heard_at) = self.peer_contact.borrow_mut().record_heard(now) else { return };
        if self.store_failed_at.get().is_some_and(|failed_at| failed_at >= heard_at) {
            self.log.contact_regained(now.since(heard_at));
            self.cut_ends.send_modify(|count| *count += 1);
        }
    }

    /// Runs `work` until this process is in contact again after a cut, `None` if that comes first:
    /// a call that was sent during the cut hangs until its timeout.
    pub(crate) async fn run_until_cut_ends<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let mut cut_ends = self.cut_ends.subscribe();
        tokio::select! {
            biased;
            output = work => Some(output),
            // The sender lives as long as this process.
            _ = cut_ends.changed() => None,
        }
    }

    /// Records the epoch that an answer of the store names. If the store has been restored from a
    /// backup, everything is read again, since the store gives out the same revisions again.
    pub(crate) fn record_epoch(&self, epoch: u64) {
        let before = self.core.borrow_mut().record_epoch(epoch);
        let Some(before) = before else { return };
        self.log.epoch_changed(before, epoch);
        // What targets wrote after that backup is written again within some time.
        self.store_failed_at.set(Some(self.now()));
        self.store_recoveries.send_modify(|count| *count += 1);
        self.config_changed.notify_one();
    }

    /// Applies a read of the configuration that was sent at `sent_at`.
    pub(crate) fn apply_read(&self, read: ConfigRead, sent_at: Tick) {
        self.log.quarantine_unreadable(&read.unreadable, self.now());
        let mut core = self.core.borrow_mut();
        let was_behind = core.is_store_behind();
        if core.apply_read(read, sent_at) {
            self.record_config_change(&core, ConfigOrigin::Read);
        }
        if core.is_store_behind() != was_behind {
            self.log.store_behind(core.is_store_behind(), core.rules().version());
        }
    }

    /// Records that another configuration is in force.
    pub(crate) fn record_config_change(&self, core: &RelayCore, origin: ConfigOrigin) {
        self.config_changed_at.set(self.now());
        self.log.config_changed(core, origin);
    }

    /// Applies another entry's answer to a request for its proof.
    pub(crate) fn apply_proof(&self, proof: &PeerProof) {
        let now = self.now();
        let mut core = self.core.borrow_mut();
        let before: Vec<_> = core.evacuated_domains().cloned().collect();
        let verdict = core.apply_proof(proof, now);
        self.log.evacuations_changed(&before, core.evacuated_domains());
        if verdict != PeerVerdict::Useless {
            self.peer_verdict.set(verdict);
            self.proof_received.notify_one();
        }
    }

    /// Applies a read, sent at `sent_at`, of the failure domains that are out of service.
    pub(crate) fn apply_evacuations(&self, list: EvacuationList, sent_at: Tick) {
        let mut core = self.core.borrow_mut();
        let before: Vec<_> = core.evacuated_domains().cloned().collect();
        core.apply_evacuations(list, sent_at, self.now());
        self.log.evacuations_changed(&before, core.evacuated_domains());
    }

    /// Returns `true` if a configuration is known and no change of it was missed.
    pub(crate) fn knows_config(&self, now: Tick) -> bool {
        let core = self.core.borrow();
        !core.config_revision().is_unknown() && !core.is_config_behind(now)
    }

    /// Sends the messages that the core has for agents.
    pub(crate) fn send_messages(&self) {
        let mut core = self.core.borrow_mut();
        for message in core.take_messages() {
            match &message {
                PeerMessage::RequestSuspected(report) => {
                    self.log.suspected(report.digest, report.instances.len());
                }
                PeerMessage::PartCrashed(report) => self.log.part_crashed(report, self.now()),
                PeerMessage::PartCleared(part) => self.log.part_cleared(part),
                _ => {}
            }
            self.link.send(&core, &message);
        }
    }

    /// Sends reports of requests that crash targets, and logs those that are quarantined from now
    /// on.
    pub(crate) fn report_suspects(&self) {
        let now = self.now();
        let digests = self.core.borrow_mut().decide_quarantine(now);
        self.send_messages();
        let mut core = self.core.borrow_mut();
        for digest in digests {
            if let Some(duration) = core.quarantine().quarantined().quarantine_left(&digest, now) {
                self.log.quarantined(digest, duration);
            }
        }
        for parts in core.take_quarantined_parts() {
            let left = core.quarantine().parts.quarantined().quarantine_left(&parts, now);
            self.log.parts_quarantined(&parts, left.unwrap_or_default());
        }
        if core.quarantine().write_due().is_some() {
            self.quarantine_write_due.notify_one();
        }
    }

    /// Releases the requests that wait for the start of this process, if it has started.
    pub(crate) fn finish_start(&self) {
        if self.core.borrow().has_started() {
            self.start_phase.send_replace(StartPhase::Done);
        }
    }

    /// Releases the requests that wait for the start, since the store does not answer.
    pub(crate) fn abort_start(&self) {
        self.start_phase.send_replace(StartPhase::Done);
    }

    /// Waits for the start if this process has just started and has no configuration or targets.
    pub(crate) async fn wait_for_start(&self) {
        let phase = *self.start_phase.borrow();
        let timeout = start_wait(phase, self.now().since(Tick::default()));
        if timeout.is_zero() {
            return;
        }
        let mut start = self.start_phase.subscribe();
        // The request itself checks the outcome of the start.
        drop(tokio::time::timeout(timeout, start.wait_for(|phase| phase.is_done())).await);
    }

    /// Returns the longest wait of one watch of the store.
    pub(crate) fn watch_timeout(&self) -> Duration {
        watch_timeout(self.core.borrow().limits().store_history)
    }

    /// Returns `true` if entries of the target list may have lapsed because the store was
    /// unreachable.
    pub(crate) fn was_store_unreachable(&self, now: Tick) -> bool {
        self.store_failed_at.get().is_some_and(|at| now.since(at) < RECOVERY_WINDOW)
    }
}
