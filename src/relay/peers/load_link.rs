//! Datagrams between this entry and the agents beside the engines it uses.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::load_note::LoadNote;
use crate::Result;
use crate::relay::core::RelayCore;
use crate::time::Tick;

/// Time between two subscriptions; an agent forgets an entry after a few.
const SUBSCRIBE_STEP: Duration = Duration::from_millis(750);

/// The entry's socket for notes.
#[derive(Debug)]
pub(crate) struct LoadLink {
    pub(crate) socket: UdpSocket,
    port: u16,
    subscribed_at: Cell<Option<Tick>>,
}

impl LoadLink {
    /// Listens; agents listen on the same port of their hosts.
    pub(crate) async fn bind(address: SocketAddr) -> Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let port = socket.local_addr()?.port();
        Ok(LoadLink { socket, port, subscribed_at: Cell::new(None) })
    }

    /// Sends a note to the agent beside its engine.
    pub(crate) fn send(&self, core: &RelayCore, note: &LoadNote) {
        let (LoadNote::Placed { target, .. } | LoadNote::Ended { target, .. }) = note else {
            return;
        };
        if let Some(target) = core.targets.get(target) {
            self.send_to(target.record.address, note);
        }
    }

    fn send_to(&self, target: SocketAddr, note: &LoadNote) {
        let address = SocketAddr::new(target.ip(), self.port);
        // A note that can not be sent now is worth nothing later.
        if let Ok(bytes) = note.to_bytes() {
            drop(self.socket.try_send_to(&bytes, address));
        }
    }

    /// Tells the agents from time to time that this entry uses their engines.
    pub(crate) fn subscribe(&self, core: &RelayCore, now: Tick) {
        if self.subscribed_at.get().is_some_and(|at| now.since(at) < SUBSCRIBE_STEP) {
            return;
        }
        self.subscribed_at.set(Some(now));
        let age = core.lease().age(now);
        let proof_age_ms = age.and_then(|age| u32::try_from(age.as_millis()).ok());
        let note = LoadNote::Subscribe { entry: core.entry(), proof_age_ms };
        for target in core.targets.iter().filter(|target| target.model.is_some()) {
            self.send_to(target.record.address, &note);
        }
    }
}
