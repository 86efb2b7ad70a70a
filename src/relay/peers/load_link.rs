//! Datagrams between this entry and the agents beside the engines it uses.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;

use super::load_note::{LoadNote, MAX_NOTE};
use super::note_parts::NotePart;
use crate::Result;
use crate::relay::core::RelayCore;
use crate::relay::decide::request_digest::RequestDigest;
use crate::relay::discovery::list_share::NewsTeller;
use crate::time::Tick;

/// Time between two subscriptions; an agent forgets an entry after a few.
const SUBSCRIBE_STEP: Duration = Duration::from_millis(750);

/// Agents that are asked for the newest proof: each knows those of the entries that
/// use its engine, and an entry that reads the store tells its agents at once.
const ASKED_AGENTS: usize = 3;

/// Agents that keep what is known of a request: one of them may be gone or not be heard.
const SUSPECT_KEEPERS: usize = 3;

/// The entry's socket for notes.
#[derive(Debug)]
pub(crate) struct LoadLink {
    pub(crate) socket: UdpSocket,
    address: SocketAddr,
    subscribed_at: Cell<Option<Tick>>,
}

impl LoadLink {
    /// Listens; agents listen on the same port of their hosts.
    pub(crate) async fn bind(address: SocketAddr) -> Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let address = socket.local_addr()?;
        Ok(LoadLink { socket, address, subscribed_at: Cell::new(None) })
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a note to the agent beside its engine, or to those that keep what is known
    /// of its request.
    pub(crate) fn send(&self, core: &RelayCore, note: &LoadNote) {
        match note {
            LoadNote::Placed { target, .. } | LoadNote::Ended { target, .. } => {
                if let Some(target) = core.targets.get(target) {
                    self.send_beside(target.record.address, note);
                }
            }
            LoadNote::Suspected(news) => self.send_to_keepers(core, news.digest, note),
            LoadNote::Cleared(digest) => self.send_to_keepers(core, *digest, note),
            _ => {}
        }
    }

    fn send_to_keepers(&self, core: &RelayCore, digest: RequestDigest, note: &LoadNote) {
        for keeper in suspect_keepers(core, digest) {
            self.send_beside(keeper, note);
        }
    }

    /// Sends a note to the agent beside a target.
    pub(crate) fn send_beside(&self, target: SocketAddr, note: &LoadNote) {
        self.send_to(SocketAddr::new(target.ip(), self.address.port()), note);
    }

    /// Has a few agents tell the other entries of something, in as many datagrams as it
    /// takes. Returns false where it is too long for that.
    pub(crate) fn tell_others(
        &self,
        core: &RelayCore,
        note: &LoadNote,
        teller: NewsTeller,
    ) -> bool {
        let Ok(bytes) = note.to_bytes() else { return false };
        let engines = || core.targets.iter().filter(|target| target.model.is_some());
        let count = teller.agents(used_engines(core).count(), engines().count());
        // Any agent passes on what it is told, also one whose engine this entry does not use.
        let addresses = engines().map(|target| target.record.address);
        let agents = addresses.choose_multiple(&mut rand::rng(), count);
        if bytes.len() <= MAX_NOTE {
            for address in agents {
                self.send_beside(address, note);
            }
            return true;
        }
        let Some(parts) = NotePart::split(&bytes.into(), rand::random()) else { return false };
        for part in parts.into_iter().map(LoadNote::Part) {
            for address in &agents {
                self.send_beside(*address, &part);
            }
        }
        true
    }

    /// Asks the agent beside a target to look whether it is down.
    pub(crate) fn suspect(&self, target: SocketAddr) {
        self.send_beside(target, &LoadNote::Suspect);
    }

    /// Sends a note to another process.
    pub(crate) fn send_to(&self, address: SocketAddr, note: &LoadNote) {
        // A note that can not be sent now is worth nothing later, and one that is too
        // long is not read: who needs it reads the store.
        if let Ok(bytes) = note.to_bytes()
            && bytes.len() <= MAX_NOTE
        {
            drop(self.socket.try_send_to(&bytes, address));
        }
    }

    /// Tells the agents from time to time that this entry uses their engines.
    pub(crate) fn subscribe(&self, core: &mut RelayCore, now: Tick) {
        if self.subscribed_at.get().is_some_and(|at| now.since(at) < SUBSCRIBE_STEP) {
            return;
        }
        self.announce(core, now);
        self.tell_rates(core, now);
    }

    /// Tells the agents what is known of rates, where anything is.
    fn tell_rates(&self, core: &mut RelayCore, now: Tick) {
        for (beside, news) in core.to_giver_rates(now) {
            self.send_beside(beside, &LoadNote::Rates(vec![news]));
        }
        let rates = core.to_rates(now);
        if rates.is_empty() {
            return;
        }
        let note = LoadNote::Rates(rates);
        for address in used_engines(core) {
            self.send_beside(address, &note);
        }
    }

    /// Tells all agents that this entry uses, of its proof as well.
    pub(crate) fn announce(&self, core: &RelayCore, now: Tick) {
        self.subscribed_at.set(Some(now));
        let note = to_subscription(core, now);
        for address in used_engines(core) {
            self.send_beside(address, &note);
        }
    }

    /// Asks a few agents who has the newest proof.
    pub(crate) fn ask_around(&self, core: &RelayCore, now: Tick) {
        let note = to_subscription(core, now);
        for address in used_engines(core).choose_multiple(&mut rand::rng(), ASKED_AGENTS) {
            self.send_beside(address, &note);
        }
    }
}

fn to_subscription(core: &RelayCore, now: Tick) -> LoadNote {
    // What is not confirmed proves nothing to others.
    let age = core.lease().age(now).filter(|_| core.is_config_confirmed());
    let proof_age_ms = age.and_then(|age| u32::try_from(age.as_millis()).ok());
    let revision = core.config_revision();
    let is_told = core.is_config_confirmed() && !revision.is_unknown();
    let config_mark = is_told.then_some(revision);
    let share = core.list_share();
    let list_mark = share.is_watching().then_some(share.announced());
    LoadNote::Subscribe { entry: core.entry(), proof_age_ms, list_mark, config_mark }
}

/// Addresses of the engines that this entry uses.
fn used_engines(core: &RelayCore) -> impl Iterator<Item = SocketAddr> {
    let engines = core.targets.iter().filter(|target| target.is_used && target.model.is_some());
    engines.map(|target| target.record.address)
}

/// Engines beside which agents keep what is known of a request.
fn suspect_keepers(core: &RelayCore, digest: RequestDigest) -> Vec<SocketAddr> {
    let mut hosts = core.ranked_hosts(|host| digest.rank_of(host));
    hosts.truncate(SUSPECT_KEEPERS);
    hosts
}
