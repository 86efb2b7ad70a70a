//! Messages between entries and agents, mostly about the load that entries place on engines.
//!
//! The agent beside an engine relays each message to the entries that use the engine. Messages are
//! datagrams: a lost one makes predictions a little less accurate, and no request waits for one.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::message_fragments::MessageFragment;
use crate::relay::decide::part_message::{
    PartCrashReport, PartMessage, PartNotice, PartServedReport,
};
use crate::relay::decide::permit_issuer::{PermitReply, PermitRequest};
use crate::relay::decide::prompt_part::PromptPart;
use crate::relay::decide::quarantine::SuspectReport;
use crate::relay::decide::rate_table::RateUpdate;
use crate::relay::decide::request_digest::RequestDigest;
use crate::relay::decide::shared_retry_budget::{RetryDeposit, RetryGrantRequest};
use crate::relay::decide::stream_load::{StreamKey, StreamLoad};
use crate::relay::decide::target_state::TargetInstance;
use crate::relay::discovery::config_delta::ConfigDelta;
use crate::relay::discovery::store_revision::StoreRevision;
use crate::relay::discovery::target_list_sync::TargetListUpdate;

/// Maximum size of a datagram that is read, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// A message between an entry and an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// An entry uses the engine and subscribes to its messages. Sent periodically.
    #[serde(rename = "h")]
    Subscribe {
        /// Incarnation of the entry.
        entry: u64,
        /// Age of its proof that its configuration is current, in milliseconds.
        proof_age_ms: Option<u32>,
        /// Revision up to which it announced changes of the target list, if it watches the list.
        #[serde(rename = "list_mark")]
        watched_revision: Option<StoreRevision>,
        /// Revision of its configuration, if that is confirmed.
        #[serde(rename = "config_mark")]
        confirmed_revision: Option<StoreRevision>,
        /// Version of the configuration in force, if there is one.
        #[serde(default, rename = "version", skip_serializing_if = "Option::is_none")]
        version_in_force: Option<u64>,
    },
    /// The agent's acknowledgement of a subscription.
    #[serde(rename = "w")]
    SubscriptionAck {
        /// The target instance beside the agent, if it knows one.
        target: Arc<str>,
        /// Largest number of entries that used the engine lately.
        entries: u32,
        /// How much slower than declared the engine works, in hundredths.
        pace_percent: u32,
        /// Age of the newest proof of another entry, in milliseconds.
        proof_age_ms: Option<u32>,
        /// Address at which that entry answers queries.
        proof_from: Option<SocketAddr>,
        /// Number of other entries that watch the target list.
        watchers: u32,
        /// Newest revision of the target list that one of these announced.
        #[serde(rename = "list_mark")]
        watched_revision: Option<StoreRevision>,
        /// Newest revision of the configuration at another entry.
        #[serde(rename = "config_mark")]
        confirmed_revision: Option<StoreRevision>,
        /// Newest version that entries have had in force lately.
        #[serde(default, rename = "version", skip_serializing_if = "Option::is_none")]
        newest_version: Option<u64>,
    },
    /// The target list changed. Relayed by the agent to the other entries.
    #[serde(rename = "c")]
    TargetListChanged(TargetListUpdate),
    /// The configuration changed. Relayed by the agent to the other entries.
    #[serde(rename = "v")]
    ConfigChanged(Box<ConfigDelta>),
    /// A fragment of a message that is longer than a datagram. Relayed by the agent to the other
    /// entries.
    #[serde(rename = "t")]
    Fragment(MessageFragment),
    /// An entry has reason to suspect that the engine is down. The agent checks it.
    #[serde(rename = "s")]
    SuspectEngine,
    /// The engine beside the agent is down. Sent repeatedly while it is.
    #[serde(rename = "d")]
    EngineDown,
    /// The host of a target answers nothing. Relayed by agents to the other entries.
    #[serde(rename = "i")]
    HostSilent(TargetInstance),
    /// The engine beside the agent has exited. Sent a few times.
    #[serde(rename = "x")]
    EngineExited {
        /// Start time of the next instance, in Unix milliseconds, if there is one.
        #[serde(rename = "b")]
        next_ms: Option<u64>,
    },
    /// Targets crashed while they ran a request. Agents merge these reports and relay them.
    #[serde(rename = "u")]
    RequestSuspected(SuspectReport),
    /// A target answered a request that was suspected.
    #[serde(rename = "k")]
    RequestCleared(RequestDigest),
    /// An engine crashed under an attempt with shared parts. Relayed to the other entries.
    #[serde(rename = "j")]
    PartCrashed(PartCrashReport),
    /// Engines served requests with a suspected part. Agents add up what entries report.
    #[serde(rename = "f")]
    PartServed(PartServedReport),
    /// A part was served so often that it is no longer suspected.
    #[serde(rename = "z")]
    PartCleared(PromptPart),
    /// Parts are quarantined, or no longer.
    #[serde(rename = "l")]
    PartsQuarantined(PartNotice),
    /// An entry queries another one for the age of its proof.
    #[serde(rename = "q")]
    QueryProof {
        /// Identifies the query; other processes cannot guess it.
        nonce: u64,
    },
    /// The answer, made after the query was received.
    #[serde(rename = "a")]
    AnswerProof {
        /// Identifies the query.
        nonce: u64,
        /// Revision of the configuration there.
        revision: StoreRevision,
        /// Digest of that configuration.
        config_digest: u64,
        /// Age of the proof that it is current, in milliseconds, rounded up.
        proof_age_ms: u32,
        /// Failure domains that were out of service at the time of the proof.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        evacuated: Vec<Arc<str>>,
    },
    /// Accepted request rates of targets, as far as the sender knows them. Entries and agents
    /// exchange them together with subscriptions and acknowledgements.
    #[serde(rename = "r")]
    Rates(Vec<RateUpdate>),
    /// An entry asks for a permit to send to a rate-limited target.
    #[serde(rename = "m")]
    RequestPermit {
        /// Identifies the request.
        nonce: u64,
        /// The requested permit.
        #[serde(rename = "ask")]
        request: PermitRequest,
    },
    /// An entry deposits its share of the retries that all entries may make beyond their ratio.
    #[serde(rename = "y")]
    RetryDeposit(RetryDeposit),
    /// An entry asks for a retry from the shared retry budget, beyond its own budget.
    #[serde(rename = "b")]
    RequestRetryGrant {
        /// Identifies the request.
        nonce: u64,
        /// The requested retry.
        #[serde(rename = "ask")]
        request: RetryGrantRequest,
    },
    /// The answer to either request.
    #[serde(rename = "n")]
    AnswerPermit {
        /// Identifies the request.
        nonce: u64,
        /// The answer.
        reply: PermitReply,
    },
    /// An entry had to send to a rate-limited target without a permit.
    #[serde(rename = "o")]
    SentWithoutPermit(TargetInstance),
    /// A stream was placed on the engine.
    #[serde(rename = "p")]
    StreamPlaced {
        /// The engine.
        #[serde(rename = "t")]
        target: Arc<str>,
        /// The stream.
        #[serde(rename = "k")]
        key: StreamKey,
        /// Its cost on the engine.
        #[serde(rename = "l")]
        load: StreamLoad,
    },
    /// A stream has left the engine.
    #[serde(rename = "e")]
    StreamEnded {
        /// The engine.
        #[serde(rename = "t")]
        target: Arc<str>,
        /// The stream.
        #[serde(rename = "k")]
        key: StreamKey,
    },
    /// An entry is gone, and its streams with it.
    #[serde(rename = "g")]
    EntryGone {
        /// The engine.
        #[serde(rename = "t")]
        target: Arc<str>,
        /// Incarnation of the entry.
        entry: u64,
    },
}

impl From<PartMessage> for PeerMessage {
    fn from(message: PartMessage) -> Self {
        match message {
            PartMessage::Crashed(report) => PeerMessage::PartCrashed(report),
            PartMessage::Served(report) => PeerMessage::PartServed(report),
            PartMessage::Cleared(part) => PeerMessage::PartCleared(part),
            PartMessage::Quarantined(notice) => PeerMessage::PartsQuarantined(notice),
        }
    }
}

impl PeerMessage {
    /// Returns the message about parts of prompts, `None` if this is another one.
    #[must_use]
    pub fn to_part_message(&self) -> Option<PartMessage> {
        match self {
            PeerMessage::PartCrashed(report) => Some(PartMessage::Crashed(report.clone())),
            PeerMessage::PartServed(report) => Some(PartMessage::Served(report.clone())),
            PeerMessage::PartCleared(part) => Some(PartMessage::Cleared(part.clone())),
            PeerMessage::PartsQuarantined(notice) => Some(PartMessage::Quarantined(notice.clone())),
            _ => None,
        }
    }

    /// Encodes the datagram of this message.
    ///
    /// # Errors
    ///
    /// The message cannot be encoded, which does not happen with names of usual length.
    pub fn to_bytes(&self) -> crate::Result<Vec<u8>> {
        let mut bytes = Vec::with_capacity(128);
        ciborium::into_writer(self, &mut bytes)
            .map_err(|_| crate::Error::frame("could not encode a peer message"))?;
        Ok(bytes)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid message.
    pub fn from_bytes(bytes: &[u8]) -> crate::Result<Self> {
        ciborium::from_reader(bytes).map_err(|_| crate::Error::frame("invalid peer message"))
    }
}
