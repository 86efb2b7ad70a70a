//! Datagrams between this entry and the agents beside the engines it uses.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;

use super::message_fragments::MessageFragment;
use super::peer_message::{MAX_DATAGRAM_BYTES, PeerMessage};
use crate::Result;
use crate::relay::core::RelayCore;
use crate::relay::core::retries::DepositOrder;
use crate::relay::decide::host_contact::HostCheck;
use crate::relay::decide::request_digest::RequestDigest;
use crate::relay::discovery::target_list_sync::UpdateAnnouncer;
use crate::time::Tick;

/// Interval of subscriptions; an agent drops an entry after a few missed ones.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_millis(750);

/// Number of agents that are asked for the newest proof: each knows the proofs of the entries that
/// use its engine, and an entry that reads the store informs its agents at once.
const QUERIED_AGENTS: usize = 3;

/// Number of agents that relay the report on a silent host: their own hosts may stand still.
const REPORT_AGENTS: usize = 4;

/// Number of agents that store the reports about a request or a part: one of them may be gone or unreachable.
pub(crate) const SUSPECT_HOLDERS: usize = 3;

/// The entry's socket for peer messages.
#[derive(Debug)]
pub(crate) struct PeerLink {
    pub(crate) socket: UdpSocket,
    address: SocketAddr,
    subscribed_at: Cell<Option<Tick>>,
}

impl PeerLink {
    /// Binds the socket; agents listen on the same port of their hosts.
    pub(crate) async fn bind(address: SocketAddr) -> Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let address = socket.local_addr()?;
        Ok(PeerLink { socket, address, subscribed_at: Cell::new(None) })
    }

    /// Returns the address that it is bound to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a message to the agent beside its engine, or to the agents that store the reports
    /// about its request.
    pub(crate) fn send(&self, core: &RelayCore, message: &PeerMessage) {
        match message {
            PeerMessage::StreamPlaced { target, .. } | PeerMessage::StreamEnded { target, .. } => {
                if let Some(target) = core.targets.get(target) {
                    self.send_beside(target.record.address, message);
                }
            }
            PeerMessage::RequestSuspected(report) => self.send_report(core, report.digest, message),
            PeerMessage::RequestCleared(digest) => self.send_report(core, *digest, message),
            PeerMessage::PartCrashed(_)
            | PeerMessage::PartServed(_)
            | PeerMessage::PartCleared(_) => {
                for holder in core.part_holders() {
                    self.send_beside(*holder, message);
                }
            }
            PeerMessage::PartsQuarantined(_) => {
                let engines = core.targets.iter().filter(|target| target.model.is_some());
                let addresses = engines.map(|target| target.record.address);
                for address in addresses.choose_multiple(&mut rand::rng(), SUSPECT_HOLDERS) {
                    self.send_beside(address, message);
                }
            }
            _ => {}
        }
    }

    fn send_report(&self, core: &RelayCore, digest: RequestDigest, message: &PeerMessage) {
        for holder in suspect_holders(core, digest) {
            self.send_beside(holder, message);
        }
    }

    /// Sends a message to the agent beside a target.
    pub(crate) fn send_beside(&self, target: SocketAddr, message: &PeerMessage) {
        self.send_to(SocketAddr::new(target.ip(), self.address.port()), message);
    }

    /// Sends a message to the other entries through a few agents, in as many datagrams as
    /// necessary. Returns `false` if it is too long for that.
    pub(crate) fn broadcast(
        &self,
        core: &RelayCore,
        message: &PeerMessage,
        announcer: UpdateAnnouncer,
    ) -> bool {
        let Ok(bytes) = message.to_bytes() else { return false };
        let engines = || core.targets.iter().filter(|target| target.model.is_some());
        let count = announcer.relay_agents(used_engines(core).count(), engines().count());
        // Any agent relays messages, also one whose engine this entry does not use.
        let addresses = engines().map(|target| target.record.address);
        let agents = addresses.choose_multiple(&mut rand::rng(), count);
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            for address in agents {
                self.send_beside(address, message);
            }
            return true;
        }
        let Some(fragments) = MessageFragment::split(&bytes.into(), rand::random()) else {
            return false;
        };
        for fragment in fragments.into_iter().map(PeerMessage::Fragment) {
            for address in &agents {
                self.send_beside(*address, &fragment);
            }
        }
        true
    }

    /// Asks the agent beside a target to check whether it is down.
    pub(crate) fn report_suspicion(&self, target: SocketAddr) {
        self.send_beside(target, &PeerMessage::SuspectEngine);
    }

    /// Sends a message to another process.
    pub(crate) fn send_to(&self, address: SocketAddr, message: &PeerMessage) {
        // A message that cannot be sent now is worthless later, and one that is too long would not
        // be read: entries that need it read the store.
        if let Ok(bytes) = message.to_bytes()
            && bytes.len() <= MAX_DATAGRAM_BYTES
        {
            drop(self.socket.try_send_to(&bytes, address));
        }
    }

    /// Renews this entry's subscriptions at the agents of the engines it uses, if they are due.
    pub(crate) fn subscribe(&self, core: &mut RelayCore, now: Tick) {
        if self.subscribed_at.get().is_some_and(|at| now.since(at) < SUBSCRIBE_INTERVAL) {
            return;
        }
        self.send_subscriptions(core, now);
        self.send_rates(core, now);
    }

    /// Sends the deposit for retries that is due to an agent.
    pub(crate) fn deposit(&self, core: &mut RelayCore, now: Tick) {
        if let Some(DepositOrder { deposit, agent_host }) = core.take_retry_deposit(now) {
            self.send_beside(agent_host, &PeerMessage::RetryDeposit(deposit));
        }
    }

    /// Sends the known rates to the agents, if there are any.
    fn send_rates(&self, core: &mut RelayCore, now: Tick) {
        for (agent_host, update) in core.to_issuer_rates(now) {
            self.send_beside(agent_host, &PeerMessage::Rates(vec![update]));
        }
        let rates = core.to_rate_updates(now);
        if rates.is_empty() {
            return;
        }
        let message = PeerMessage::Rates(rates);
        for address in used_engines(core) {
            self.send_beside(address, &message);
        }
    }

    /// Sends a subscription, which includes the age of the proof, to all agents of engines that
    /// this entry uses.
    pub(crate) fn send_subscriptions(&self, core: &mut RelayCore, now: Tick) {
        self.subscribed_at.set(Some(now));
        core.record_subscriptions(now);
        let message = to_subscription(core, now);
        for address in used_engines(core) {
            self.send_beside(address, &message);
        }
    }

    /// Queries the agent on the host of an overdue target, or reports to other entries that the host
    /// is silent. Returns `true` if it has just turned out to be silent.
    pub(crate) fn check_host(&self, core: &mut RelayCore, target: &str, now: Tick) -> bool {
        match core.check_host(target, now) {
            HostCheck::Wait => {}
            HostCheck::Query => {
                let message = to_subscription(core, now);
                if let Some(target) = core.targets.get(target) {
                    self.send_beside(target.record.address, &message);
                }
            }
            HostCheck::Report => {
                let Some(target) = core.targets.get(target) else { return false };
                let message = PeerMessage::HostSilent(target.record.to_instance());
                let heard = core.targets.iter().filter(|target| {
                    target.is_used && target.model.is_some() && !target.contact.is_silent(now)
                });
                let addresses = heard.map(|target| target.record.address);
                for address in addresses.choose_multiple(&mut rand::rng(), REPORT_AGENTS) {
                    self.send_beside(address, &message);
                }
                return true;
            }
        }
        false
    }

    /// Asks a few agents for the newest proof.
    pub(crate) fn query_agents(&self, core: &RelayCore, now: Tick) {
        let message = to_subscription(core, now);
        for address in used_engines(core).choose_multiple(&mut rand::rng(), QUERIED_AGENTS) {
            self.send_beside(address, &message);
        }
    }
}

fn to_subscription(core: &RelayCore, now: Tick) -> PeerMessage {
    // An unconfirmed configuration proves nothing to others.
    let age = core.lease().age(now).filter(|_| core.is_config_confirmed());
    let proof_age_ms = age.and_then(|age| u32::try_from(age.as_millis()).ok());
    let revision = core.config_revision();
    let is_announced = core.is_config_confirmed() && !revision.is_unknown();
    let confirmed_revision = is_announced.then_some(revision);
    let sync = core.target_list_sync();
    let watched_revision = sync.is_watching().then_some(sync.announced());
    PeerMessage::Subscribe {
        entry: core.entry(),
        proof_age_ms,
        watched_revision,
        confirmed_revision,
        version_in_force: core.version_in_force(),
    }
}

/// Returns the addresses of the engines that this entry uses.
fn used_engines(core: &RelayCore) -> impl Iterator<Item = SocketAddr> {
    let engines = core.targets.iter().filter(|target| target.is_used && target.model.is_some());
    engines.map(|target| target.record.address)
}

/// Returns the engines whose agents store the reports about a request.
fn suspect_holders(core: &RelayCore, digest: RequestDigest) -> Vec<SocketAddr> {
    let mut hosts = core.ranked_hosts(|host| digest.rank_of(host));
    hosts.truncate(SUSPECT_HOLDERS);
    hosts
}
