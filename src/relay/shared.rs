//! State that the tasks of one entry share.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot, watch};

use super::core::RelayCore;
use super::counts::RelayCounts;
use super::decide::permit_desk::PermitReply;
use super::decide::start_wait::{StartPhase, start_wait};
use super::decide::target_notice::TargetNotice;
use super::decide::targets::TargetLife;
use super::discovery::feed::{ConfigNews, ConfigRead, EvacuationList};
use super::discovery::proof_share::{PeerProof, PeerVerdict};
use super::discovery::watch_pace::watch_wait;
use super::peers::load_link::LoadLink;
use super::peers::load_note::LoadNote;
use super::proxy::connections::ConnectionPool;
use super::proxy::dialect::{CallerDialect, TargetDialect};
use super::record::DecisionLog;
use crate::client::HttpClient;
use crate::clock::ProcessClock;
use crate::time::Tick;

/// Time after a failed store call for which lapsed entries may come back.
const AWAY_SPAN: Duration = Duration::from_secs(3);

/// What all requests of a process share.
pub(crate) struct RelayShared {
    pub(crate) core: RefCell<RelayCore>,
    pub(crate) pool: RefCell<ConnectionPool>,
    pub(crate) callers: CallerDialect,
    pub(crate) targets: TargetDialect,
    pub(crate) log: DecisionLog,
    pub(crate) counts: RefCell<RelayCounts>,
    pub(crate) is_stopping: Cell<bool>,
    pub(crate) is_closed_to_new: Cell<bool>,
    pub(crate) away_at: Cell<Option<Tick>>,
    /// How far the start of this process is.
    pub(crate) start: watch::Sender<StartPhase>,
    /// Counts the times that the store came back.
    pub(crate) outages: watch::Sender<u64>,
    /// Told by the watch of the configuration, with news or at its end.
    pub(crate) config_changed: Notify,
    /// The newest change that it told of and that was not taken yet.
    pub(crate) config_news: RefCell<Option<Box<ConfigNews>>>,
    /// Told when the list is to be read, or this entry begins or ends to watch it.
    pub(crate) list_due: Notify,
    /// What its last answer was worth.
    pub(crate) peer_verdict: Cell<PeerVerdict>,
    /// Told when another entry has answered for its proof.
    pub(crate) proof_told: Notify,
    /// Lives of targets that are looked at for their end.
    pub(crate) end_checks: RefCell<HashSet<TargetLife>>,
    /// Counts the times that the host went on after it was suspended.
    pub(crate) resumes: watch::Sender<u64>,
    /// Told when the store is to keep that a request is held back.
    pub(crate) quarantine_due: Notify,
    pub(crate) link: LoadLink,
    pub(crate) orders: HttpClient,
    pub(crate) order_number: Cell<u32>,
    /// Questions for permits that wait for an answer.
    pub(crate) permit_asks: RefCell<HashMap<u64, oneshot::Sender<PermitReply>>>,
    pub(crate) clock: ProcessClock,
    pub(crate) open: Cell<usize>,
}

impl RelayShared {
    pub(crate) fn now(&self) -> Tick {
        self.clock.now()
    }

    pub(crate) fn address_of(&self, target: &str) -> Option<SocketAddr> {
        self.core.borrow().targets.get(target).map(|target| target.record.address)
    }

    pub(crate) fn silence_of(&self, target: &str) -> Duration {
        let core = self.core.borrow();
        core.targets.get(target).map_or(Duration::ZERO, |target| target.silence(self.now()))
    }

    /// Takes what an answer says of the target that gave it, to a request that was sent at
    /// `sent_at`; none where what it leaves out says nothing.
    pub(crate) fn take_notice(
        &self,
        life: Option<&TargetLife>,
        notice: &TargetNotice,
        sent_at: Option<Tick>,
    ) {
        let Some(life) = life else { return };
        let now = self.now();
        if !notice.is_empty() {
            self.log.target_noted(&life.incarnation, notice, now);
            self.counts.borrow().note_notice(notice);
        }
        let mut core = self.core.borrow_mut();
        core.take_notice(life, notice, now);
        core.take_rate(life, notice.rate, sent_at, now);
    }

    /// Gives an agent's answer to the request that asked for it, unless it waits no more.
    pub(crate) fn take_permit_reply(&self, nonce: u64, reply: PermitReply) {
        if let Some(asker) = self.permit_asks.borrow_mut().remove(&nonce) {
            let _ = asker.send(reply);
        }
    }

    /// Waits for something until a tick, none where that comes first. Timers stand still
    /// while the host is suspended, so the clock is looked at again when it goes on.
    pub(crate) async fn until<T>(&self, tick: Tick, work: impl Future<Output = T>) -> Option<T> {
        let mut resumes = self.resumes.subscribe();
        tokio::pin!(work);
        loop {
            let left = tick.since(self.now());
            tokio::select! {
                done = &mut work => return Some(done),
                () = tokio::time::sleep(left) => return None,
                _ = resumes.changed() => {}
            }
        }
    }

    /// Notes that the host was suspended: connections to the store may hang, and what was
    /// proven may be too old.
    pub(crate) fn note_resumed(&self, span: Duration) {
        self.log.resumed(span);
        self.resumes.send_modify(|count| *count += 1);
        self.outages.send_modify(|count| *count += 1);
        self.config_changed.notify_one();
    }

    /// Notes the epoch that an answer of the store names. Where the store has come back from
    /// a copy, all that was read of it is read anew: its revisions are given out again.
    pub(crate) fn note_epoch(&self, epoch: u64) {
        let known = self.core.borrow_mut().note_epoch(epoch);
        let Some(known) = known else { return };
        self.log.epoch_changed(known, epoch);
        // What targets wrote since that copy is written again within some time.
        self.away_at.set(Some(self.now()));
        self.outages.send_modify(|count| *count += 1);
        self.config_changed.notify_one();
    }

    /// Takes a read of the configuration that was sent at `sent_at`.
    pub(crate) fn take_read(&self, read: ConfigRead, sent_at: Tick) {
        self.log.notes_unreadable(&read.unreadable, self.now());
        let mut core = self.core.borrow_mut();
        let was_behind = core.is_store_behind();
        if core.take_read(read, sent_at) {
            self.log.config_changed(core.rules().version());
        }
        if core.is_store_behind() != was_behind {
            self.log.store_behind(core.is_store_behind(), core.rules().version());
        }
    }

    /// Takes the answer of another entry that was asked for its proof.
    pub(crate) fn take_proof(&self, proof: &PeerProof) {
        let now = self.now();
        let mut core = self.core.borrow_mut();
        let known: Vec<_> = core.evacuated().cloned().collect();
        let verdict = core.take_proof(proof, now);
        self.log.evacuations_changed(&known, core.evacuated());
        if verdict != PeerVerdict::Useless {
            self.peer_verdict.set(verdict);
            self.proof_told.notify_one();
        }
    }

    /// Takes a read of the failure domains that are out of service, sent at `sent_at`.
    pub(crate) fn take_evacuations(&self, list: EvacuationList, sent_at: Tick) {
        let mut core = self.core.borrow_mut();
        let known: Vec<_> = core.evacuated().cloned().collect();
        core.take_evacuations(list, sent_at, self.now());
        self.log.evacuations_changed(&known, core.evacuated());
    }

    /// Returns true where a configuration is known and no change of it was missed.
    pub(crate) fn knows_config(&self, now: Tick) -> bool {
        let core = self.core.borrow();
        !core.config_revision().is_unknown() && !core.is_config_behind(now)
    }

    /// A number that no other order of this process has.
    pub(crate) fn next_order(&self) -> u32 {
        let number = self.order_number.get();
        self.order_number.set(number.wrapping_add(1));
        number
    }

    /// Sends what the core has to tell agents.
    pub(crate) fn send_notes(&self) {
        let mut core = self.core.borrow_mut();
        for note in core.take_notes() {
            if let LoadNote::Suspected(news) = &note {
                self.log.suspected(news.digest, news.lives.len());
            }
            self.link.send(&core, &note);
        }
    }

    /// Sends what the core has to tell of requests that end targets, and says what it
    /// found.
    pub(crate) fn tell_suspects(&self) {
        self.send_notes();
        let now = self.now();
        let mut core = self.core.borrow_mut();
        for digest in core.decide_holds(now) {
            if let Some(span) = core.quarantine().holds().held_for(&digest, now) {
                self.log.held_back(digest, span);
            }
        }
        if core.quarantine().holds().write_due().is_some() {
            self.quarantine_due.notify_one();
        }
    }

    /// Tells requests that wait for it that this process has started, where it has.
    pub(crate) fn note_started(&self) {
        if self.core.borrow().has_started() {
            self.start.send_replace(StartPhase::Over);
        }
    }

    /// Tells requests that wait for a start that the store does not answer.
    pub(crate) fn note_turned_away(&self) {
        self.start.send_replace(StartPhase::Over);
    }

    /// Waits where this process has just started and knows no configuration or target.
    pub(crate) async fn wait_for_start(&self) {
        let phase = *self.start.borrow();
        let wait = start_wait(phase, self.now().since(Tick::default()));
        if wait.is_zero() {
            return;
        }
        let mut start = self.start.subscribe();
        // What became of it is seen by the request.
        drop(tokio::time::timeout(wait, start.wait_for(|phase| phase.is_over())).await);
    }

    /// Longest wait of one watch of the store.
    pub(crate) fn watch_wait(&self) -> Duration {
        watch_wait(self.core.borrow().limits().store_history)
    }

    /// Returns true where entries of the target list may have lapsed because
    /// the store was away.
    pub(crate) fn was_away(&self, now: Tick) -> bool {
        self.away_at.get().is_some_and(|at| now.since(at) < AWAY_SPAN)
    }
}

/// Counts a request as open while its answer is not whole.
pub(crate) struct OpenRequest(Rc<RelayShared>);

impl OpenRequest {
    pub(crate) fn new(shared: &Rc<RelayShared>) -> Self {
        shared.open.set(shared.open.get() + 1);
        OpenRequest(shared.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}
