//! What entries tell one another of the work they give to engines.
//!
//! The agent beside an engine passes each note on to the entries that use the
//! engine. Notes are datagrams: one that is lost costs a little foresight, and
//! waits hold nothing up.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::note_parts::NotePart;
use crate::relay::decide::permit_desk::{PermitAsk, PermitReply};
use crate::relay::decide::quarantine::SuspectNews;
use crate::relay::decide::rate_book::RateNews;
use crate::relay::decide::request_digest::RequestDigest;
use crate::relay::decide::slack_gate::SlackAsk;
use crate::relay::decide::stream_load::{StreamKey, StreamLoad};
use crate::relay::decide::target_state::TargetLife;
use crate::relay::discovery::config_delta::ConfigDelta;
use crate::relay::discovery::list_share::ListNews;
use crate::relay::discovery::store_revision::StoreRevision;

/// Largest datagram that is read, in bytes.
pub const MAX_NOTE: usize = 1_200;

/// A note between an entry and an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LoadNote {
    /// An entry uses the engine, and is to be told of it. Sent again and again.
    #[serde(rename = "h")]
    Subscribe {
        /// Incarnation of the entry.
        entry: u64,
        /// Age of its proof that its configuration is current, in milliseconds.
        proof_age_ms: Option<u32>,
        /// Up to where it knows the list of targets, where it watches that.
        list_mark: Option<StoreRevision>,
        /// Revision of its configuration, where that is confirmed.
        config_mark: Option<StoreRevision>,
    },
    /// The agent's answer.
    #[serde(rename = "w")]
    Welcome {
        /// The life of the target beside the agent, where it knows one.
        target: Arc<str>,
        /// Entries that use the engine.
        entries: u32,
        /// How much slower than declared the engine works, in hundredths.
        pace_percent: u32,
        /// Age of the newest proof that another entry has, in milliseconds.
        proof_age_ms: Option<u32>,
        /// Where that entry takes questions.
        proof_from: Option<SocketAddr>,
        /// Other entries that watch the list of targets.
        watchers: u32,
        /// Newest mark of the list that one of these has.
        list_mark: Option<StoreRevision>,
        /// Newest revision of the configuration that another entry has.
        config_mark: Option<StoreRevision>,
    },
    /// The list of targets changed. Passed on by the agent to the others.
    #[serde(rename = "c")]
    ListChanged(ListNews),
    /// The configuration changed. Passed on by the agent to the others.
    #[serde(rename = "v")]
    ConfigChanged(Box<ConfigDelta>),
    /// A part of a note that is longer than a datagram. Passed on by the agent to the others.
    #[serde(rename = "t")]
    Part(NotePart),
    /// An entry has reason to think that the engine is down. The agent looks.
    #[serde(rename = "s")]
    Suspect,
    /// The engine beside the agent is down. Sent again while it is.
    #[serde(rename = "d")]
    Down,
    /// The engine beside the agent has ended. Sent a few times.
    #[serde(rename = "x")]
    Exited {
        /// Start of the life that follows, in Unix milliseconds, where there is one.
        #[serde(rename = "b")]
        next_ms: Option<u64>,
    },
    /// Targets ended under a request. Agents join what they are told and pass it on.
    #[serde(rename = "u")]
    Suspected(SuspectNews),
    /// A target answered a request that was suspected.
    #[serde(rename = "k")]
    Cleared(RequestDigest),
    /// An entry asks another one how current its configuration is.
    #[serde(rename = "q")]
    AskProof {
        /// Names the question; others can not guess it.
        nonce: u64,
    },
    /// The answer, made after the question came.
    #[serde(rename = "a")]
    TellProof {
        /// The question.
        nonce: u64,
        /// Revision of the configuration there.
        revision: StoreRevision,
        /// Digest of it.
        config_digest: u64,
        /// Age of the proof that it is current, in milliseconds, rounded up.
        proof_age_ms: u32,
        /// Failure domains that were out of service then.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        evacuated: Vec<Arc<str>>,
    },
    /// Rates that targets take, as far as the sender knows them. Entries and agents tell one
    /// another, beside subscriptions and their answers.
    #[serde(rename = "r")]
    Rates(Vec<RateNews>),
    /// An entry asks whether it may send to a target that takes a bounded rate.
    #[serde(rename = "m")]
    AskPermit {
        /// Names the question.
        nonce: u64,
        /// What is asked.
        ask: PermitAsk,
    },
    /// An entry asks for a second attempt beside its own share.
    #[serde(rename = "b")]
    AskSlack {
        /// Names the question.
        nonce: u64,
        /// What is asked.
        ask: SlackAsk,
    },
    /// The answer to either.
    #[serde(rename = "n")]
    TellPermit {
        /// The question.
        nonce: u64,
        /// What is answered.
        reply: PermitReply,
    },
    /// An entry had to send to such a target without a permit.
    #[serde(rename = "o")]
    Spent(TargetLife),
    /// A stream was given to the engine.
    #[serde(rename = "p")]
    Placed {
        /// The engine.
        #[serde(rename = "t")]
        target: Arc<str>,
        /// The stream.
        #[serde(rename = "k")]
        key: StreamKey,
        /// What it costs there.
        #[serde(rename = "l")]
        load: StreamLoad,
    },
    /// A stream is no longer at the engine.
    #[serde(rename = "e")]
    Ended {
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

impl LoadNote {
    /// The datagram of this note.
    ///
    /// # Errors
    ///
    /// The note can not be encoded, which does not happen with names of usual
    /// length.
    pub fn to_bytes(&self) -> crate::Result<Vec<u8>> {
        let mut bytes = Vec::with_capacity(128);
        ciborium::into_writer(self, &mut bytes)
            .map_err(|_| crate::Error::frame("load note can not be encoded"))?;
        Ok(bytes)
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// The bytes are no note.
    pub fn from_bytes(bytes: &[u8]) -> crate::Result<Self> {
        ciborium::from_reader(bytes).map_err(|_| crate::Error::frame("datagram is no load note"))
    }
}
