//! Infers which parts of prompts crash engines, from the requests that ran there.
//!
//! An engine that crashes runs many requests, and each of them has several parts. For each part
//! two hypotheses are compared: either it crashes at least every second engine that begins to
//! answer a prompt with it, or it was at the crashes by chance. Its score is the logarithm of the
//! likelihood ratio:
//!
//! - A crash adds `-ln(p)`, where `p` is the probability that one of the requests at that engine
//!   has the part by chance. It follows from the share of served requests with the part. A part of
//!   nearly all requests gains nothing by being at each crash.
//! - A request that was served after the first crash subtracts `ln(2)`.
//!
//! Crashes at one moment count once, however many engines a failure domain loses. A part is blamed
//! from a score of `MIN_SCORE` on, so that one in `e^MIN_SCORE` sound parts at most is blamed, and
//! only after three crashes in series: the request of each was sent after the crash before.
//!
//! Parts are examined by their score, and a crash that is explained by one part counts against no
//! other (group testing). Parts that cannot be told apart are the cause together, and only prompts
//! with all of them are quarantined.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::prompt_part::PromptPart;
use super::request_digest::RequestDigest;
use super::targets::TargetInstance;
use crate::time::Tick;

/// Score at which a part is blamed: by Ville's inequality, at most one in 20,000 sound parts under
/// which an engine crashes ever reaches it.
const MIN_SCORE: f64 = 10.0;

/// Negative score at which a part is cleared, so that its next crash starts a new episode.
const CLEAR_SCORE: f64 = -6.0;

/// Minimum number of crashes in series.
const MIN_SERIES: usize = 3;

/// Time within which crashes count as one: those of a failure domain.
const MOMENT_MS: i64 = 50;

/// Minimum number of requests that are assumed to have run at an engine, as reports may be lost.
const MIN_BATCH: usize = 2;

/// Largest difference of the scores of parts that cannot be told apart.
const EQUAL_SCORES: f64 = 2.0;

/// Maximum number of crashes to remember for a part; the newest are kept.
const MAX_CRASHES: usize = 64;

/// Maximum number of entries whose served requests are counted for a part.
const MAX_REPORTERS: usize = 1_024;

/// Parts that prompts have in common, sorted by name.
pub type PartSet = Arc<[PromptPart]>;

/// A crash of an engine under a request with a part. Times are in milliseconds since tick zero,
/// and negative before it.
#[derive(Clone, Debug, PartialEq)]
pub struct PartCrash {
    /// The engine.
    pub instance: TargetInstance,
    /// The request.
    pub digest: RequestDigest,
    /// When the request was sent.
    pub sent_ms: i64,
    /// When its connection broke.
    pub broke_ms: i64,
    /// When this process learned of it.
    pub recorded_at: Tick,
}

/// Requests that ran at an engine when it crashed.
#[derive(Debug)]
struct CrashBatch {
    broke_ms: i64,
    digests: BTreeSet<RequestDigest>,
    /// Number of requests at all engines that crashed at the same moment.
    moment_size: usize,
}

/// Requests that ran at engines when these crashed.
#[derive(Debug, Default)]
pub struct CrashBatches {
    batches: BTreeMap<TargetInstance, CrashBatch>,
}

impl CrashBatches {
    /// Adds a request that ran at an engine whose connections broke at `broke_ms`.
    pub fn add(&mut self, instance: &TargetInstance, digest: RequestDigest, broke_ms: i64) {
        let known = self.batches.get(instance).map(|batch| batch.broke_ms);
        let broke_ms = known.unwrap_or(broke_ms);
        let is_near = |batch: &CrashBatch| (batch.broke_ms - broke_ms).abs() <= MOMENT_MS;
        if known.is_none() {
            let near = self.batches.values().filter(|batch| is_near(batch));
            let moment_size = near.map(|batch| batch.digests.len()).sum();
            let batch = CrashBatch { broke_ms, digests: BTreeSet::new(), moment_size };
            self.batches.insert(instance.clone(), batch);
        }
        let is_new =
            self.batches.get_mut(instance).is_some_and(|batch| batch.digests.insert(digest));
        if is_new {
            for batch in self.batches.values_mut().filter(|batch| is_near(batch)) {
                batch.moment_size += 1;
            }
        }
    }

    /// Returns the number of requests that ran at an engine, or at one that crashed at the same
    /// moment.
    fn moment_size(&self, instance: &TargetInstance) -> usize {
        self.batches.get(instance).map_or(0, |batch| batch.moment_size)
    }

    /// Returns the number of engines.
    #[must_use]
    pub fn len(&self) -> usize {
        self.batches.len()
    }

    /// Returns `true` if no engine has crashed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Keeps only the engines that satisfy a condition.
    pub fn retain(&mut self, keep: impl Fn(&TargetInstance) -> bool) {
        self.batches.retain(|instance, _| keep(instance));
    }
}

/// Crashes and answers of requests with one part, since the first of these crashes.
#[derive(Debug, Default)]
pub struct PartEvidence {
    /// Ordered by the time at which the connections broke.
    crashes: VecDeque<PartCrash>,
    own_served: ServedCounts,
    /// Requests that other processes served, by the process that reported them.
    reported_served: BTreeMap<u64, ServedCounts>,
}

/// Numbers of requests that engines served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedCounts {
    /// Requests with the part, shortly before its first crash.
    #[serde(rename = "b")]
    pub before: u32,
    /// All requests, from shortly before its first crash on.
    #[serde(rename = "t")]
    pub total: u32,
    /// Requests with the part since its first crash.
    #[serde(rename = "n")]
    pub since: u32,
}

impl ServedCounts {
    /// Returns the larger of both numbers each.
    #[must_use]
    pub fn max(self, other: ServedCounts) -> ServedCounts {
        ServedCounts {
            before: self.before.max(other.before),
            total: self.total.max(other.total),
            since: self.since.max(other.since),
        }
    }

    /// Returns the sum of many counts.
    #[must_use]
    pub fn sum<'a>(counts: impl Iterator<Item = &'a ServedCounts>) -> ServedCounts {
        counts.fold(ServedCounts::default(), |sum, count| ServedCounts {
            before: sum.before.saturating_add(count.before),
            total: sum.total.saturating_add(count.total),
            since: sum.since.saturating_add(count.since),
        })
    }

    /// Returns the share of requests that have the part.
    fn prevalence(self) -> f64 {
        // The estimator of Krichevsky and Trofimov, which is above zero for a part never seen.
        let with = f64::from(self.before) + f64::from(self.since);
        (with + 0.5) / (f64::from(self.total).max(with) + 1.0)
    }
}

impl PartEvidence {
    /// Adds a crash. Returns `false` if it adds nothing new.
    pub fn add_crash(&mut self, crash: PartCrash) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.instance == crash.instance)
        {
            // Of several requests with the part, the last one that was sent before the crash shows
            // most about the series.
            if crash.sent_ms > known.sent_ms && crash.sent_ms < known.broke_ms {
                (known.digest, known.sent_ms) = (crash.digest, crash.sent_ms);
            }
            return false;
        }
        let at = self.crashes.partition_point(|known| known.broke_ms <= crash.broke_ms);
        self.crashes.insert(at, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
        true
    }

    /// Creates the evidence on a part with which this process served `before` requests shortly
    /// before its first crash.
    #[must_use]
    pub fn new(before: u32) -> Self {
        let own_served = ServedCounts { before, ..ServedCounts::default() };
        PartEvidence { own_served, ..PartEvidence::default() }
    }

    /// Sets how many requests of any parts this process served from shortly before the first crash
    /// on.
    pub fn set_total(&mut self, total: u32) {
        self.own_served.total = total;
    }

    /// Returns the numbers of requests that this process served.
    #[must_use]
    pub fn own_served(&self) -> ServedCounts {
        self.own_served
    }

    /// Counts a request that this process sent and an engine served. Returns the new numbers if
    /// other processes should learn of them.
    pub fn record_served(&mut self, sent_ms: i64) -> Option<ServedCounts> {
        // An earlier request may have been served before the engines were changed.
        if self.crashes.front().is_none_or(|first| sent_ms <= first.broke_ms) {
            return None;
        }
        self.own_served.since += 1;
        self.own_served.since.is_power_of_two().then_some(self.own_served)
    }

    /// Records how many requests another process served.
    pub fn apply_served(&mut self, reporter: u64, served: ServedCounts) {
        if self.reported_served.len() < MAX_REPORTERS {
            let known = self.reported_served.entry(reporter).or_default();
            *known = known.max(served);
        }
    }

    /// Returns the numbers of requests that were served at all processes. The sum that an agent
    /// reports includes those of this process.
    #[must_use]
    pub fn served(&self) -> ServedCounts {
        ServedCounts::sum(self.reported_served.values()).max(self.own_served)
    }

    /// Returns the number of crashes.
    #[must_use]
    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns `true` if so many requests were served that the part is not a cause.
    #[must_use]
    pub fn is_cleared(&self, batches: &CrashBatches) -> bool {
        let crashes: Vec<_> = self.crashes.iter().collect();
        score_of(&crashes, self.served(), batches) <= CLEAR_SCORE
    }

    /// Returns when the newest crash was recorded.
    #[must_use]
    pub fn recorded_at(&self) -> Option<Tick> {
        self.crashes.iter().map(|crash| crash.recorded_at).max()
    }

    /// Returns the crashes, in the order in which they happened.
    pub fn crashes(&self) -> impl Iterator<Item = &PartCrash> {
        self.crashes.iter()
    }
}

/// Parts that crash engines if a prompt has all of them.
#[derive(Clone, Debug, PartialEq)]
pub struct PartCause {
    /// The parts.
    pub parts: PartSet,
    /// The engines whose crashes they explain.
    pub instances: Vec<TargetInstance>,
}

/// A part with the crashes that may be counted against it.
struct PartSuspect<'a> {
    part: &'a PromptPart,
    crashes: Vec<&'a PartCrash>,
    served: ServedCounts,
    score: f64,
}

impl<'a> PartSuspect<'a> {
    /// Returns the crashes that are not among `explained`.
    fn unexplained(&self, explained: &BTreeSet<&TargetInstance>) -> Vec<&'a PartCrash> {
        let crashes = self.crashes.iter().copied();
        crashes.filter(|crash| !explained.contains(&crash.instance)).collect()
    }
}

/// Returns the score of a part: the logarithm of the likelihood ratio of these crashes.
fn score_of(crashes: &[&PartCrash], served: ServedCounts, batches: &CrashBatches) -> f64 {
    let without = 1.0 - served.prevalence();
    let gain = |crash: &PartCrash| {
        let batch = batches.moment_size(&crash.instance).max(MIN_BATCH);
        let by_chance = 1.0 - without.powi(i32::try_from(batch).unwrap_or(i32::MAX));
        -by_chance.ln()
    };
    let mut last = None;
    let gained = crashes.iter().fold(0.0, |sum, crash| {
        if last.is_some_and(|last| crash.broke_ms <= last + MOMENT_MS) {
            return sum;
        }
        last = Some(crash.broke_ms);
        sum + gain(crash)
    });
    gained - std::f64::consts::LN_2 * f64::from(served.since)
}

/// Returns the number of crashes whose request was sent after the crash before.
fn series_len(crashes: &[&PartCrash]) -> usize {
    let mut last = None;
    crashes.iter().fold(0, |count, crash| {
        if last.is_some_and(|last| crash.sent_ms <= last) {
            return count;
        }
        last = Some(crash.broke_ms);
        count + 1
    })
}

/// Returns `true` if the crashes happened under different requests. Crashes under a single one say
/// nothing about its parts.
fn has_several_requests(crashes: &[&PartCrash]) -> bool {
    crashes.iter().any(|crash| crash.digest != crashes[0].digest)
}

fn instances_of<'a>(crashes: &[&'a PartCrash]) -> BTreeSet<&'a TargetInstance> {
    crashes.iter().map(|crash| &crash.instance).collect()
}

/// Finds the parts that explain crashes. Crashes count `join_window` after they were recorded, when
/// other processes have reported the requests that ran there.
pub fn find_causes<'a>(
    evidence: impl Iterator<Item = (&'a PromptPart, &'a PartEvidence)>,
    batches: &CrashBatches,
    join_window: Duration,
    now: Tick,
) -> Vec<PartCause> {
    let to_suspect = |(part, evidence): (&'a PromptPart, &'a PartEvidence)| {
        let is_joined = |crash: &&PartCrash| now.since(crash.recorded_at) >= join_window;
        let crashes: Vec<_> = evidence.crashes().filter(is_joined).collect();
        let served = evidence.served();
        let score = score_of(&crashes, served, batches);
        PartSuspect { part, crashes, served, score }
    };
    let suspects = evidence.map(to_suspect);
    let mut suspects: Vec<_> = suspects.filter(|suspect| suspect.score >= MIN_SCORE).collect();
    suspects.sort_by(|a, b| b.score.total_cmp(&a.score).then(a.part.cmp(b.part)));
    let mut explained = BTreeSet::new();
    let mut undecided: Vec<BTreeSet<&TargetInstance>> = Vec::new();
    let mut causes = Vec::new();
    for (index, suspect) in suspects.iter().enumerate() {
        let crashes = suspect.unexplained(&explained);
        let instances = instances_of(&crashes);
        let is_covered = undecided.iter().any(|other| {
            let beyond: Vec<_> =
                crashes.iter().copied().filter(|crash| !other.contains(&crash.instance)).collect();
            series_len(&beyond) < MIN_SERIES
        });
        let is_blamed = score_of(&crashes, suspect.served, batches) >= MIN_SCORE && !is_covered;
        if !is_blamed {
            continue;
        }
        if series_len(&crashes) < MIN_SERIES || !has_several_requests(&crashes) {
            undecided.push(instances);
            continue;
        }
        let is_equal = |other: &&PartSuspect<'_>| {
            suspect.score - other.score < EQUAL_SCORES
                && instances_of(&other.unexplained(&explained)) == instances
        };
        let equals = suspects[index + 1..].iter().filter(is_equal).map(|other| other.part);
        let parts: BTreeSet<_> = equals.chain([suspect.part]).cloned().collect();
        causes.push(PartCause {
            parts: parts.into_iter().collect(),
            instances: instances.iter().copied().cloned().collect(),
        });
        explained.extend(instances);
    }
    causes
}
