//! An attempt in progress, which yields what its target sends and the silence between.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};

use super::connections::READ_BUFFER_BYTES;
use super::event_stream::EventSplitter;
use super::forward::{AttemptFault, AttemptGuard, OpenAnswer, SendOrder, open_answer};
use super::job::RelayJob;
use super::silence_watch::SilenceWatch;
use crate::memory_budget::{ClaimedBuffer, MemoryClaim};
use crate::relay::core::PlacedAttempt;
use crate::relay::decide::part_ledger::MAX_TIME_TO_CRASH;
use crate::relay::decide::targets::TargetFault;
use crate::relay::shared::RelayShared;
use crate::time::Tick;
use crate::verdict::{Verdict, promises_not_run};

/// Largest answer of a target that is buffered, in bytes.
pub(crate) const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// What an attempt yields next.
pub(crate) enum AttemptYield {
    /// The target has been silent for too long. The attempt goes on.
    Silence,
    /// Complete events of a stream.
    Events(Bytes),
    /// The end of a stream, after a complete event.
    StreamEnd(StatusCode),
    /// A complete answer that is not a stream.
    Answer(Response<Bytes>),
}

/// What the caller has received from earlier attempts.
#[derive(Debug, Default)]
pub(crate) struct StreamPosition {
    /// Splitter of the stream so far, for the id of the last event.
    pub(crate) splitter: EventSplitter,
    /// Whether the caller has received the head of an answer.
    pub(crate) is_started: bool,
}

impl StreamPosition {
    /// Returns `true` if another target can continue after what the caller has received.
    pub(crate) fn may_continue(&self) -> bool {
        !self.is_started || self.splitter.last_id().is_some()
    }
}

type Opening<'a> = Pin<Box<dyn Future<Output = Result<OpenAnswer, AttemptFault>> + 'a>>;

enum AttemptState<'a> {
    Opening(Opening<'a>),
    Open(Box<OpenAnswer>),
    Ended,
}

/// An attempt in progress. Dropping it closes its connection and releases what it occupies.
pub(crate) struct RunningAttempt<'a> {
    shared: &'a Rc<RelayShared>,
    job: &'a RelayJob,
    pub(crate) attempt: PlacedAttempt,
    state: AttemptState<'a>,
    silence: SilenceWatch,
    sent_at: Rc<Cell<Option<Tick>>>,
    /// Head of a stream that was not taken yet.
    head: Option<Response<()>>,
    splitter: EventSplitter,
    is_continuation: bool,
    /// Whether complete events were yielded.
    has_yielded: bool,
    first_event_at: Option<Tick>,
    is_reported_served: bool,
    _read_buffer: MemoryClaim,
    buffer: ClaimedBuffer,
    /// Bytes of the body for which there was no room yet.
    unbuffered: Bytes,
}

impl<'a> RunningAttempt<'a> {
    /// Begins an attempt, which makes progress while [`RunningAttempt::next`] runs.
    pub(crate) fn start(
        shared: &'a Rc<RelayShared>,
        job: &'a RelayJob,
        order: SendOrder,
        position: &StreamPosition,
    ) -> Self {
        let sent_at = Rc::<Cell<Option<Tick>>>::default();
        let predicted_first = order.placement.first_event;
        let guard = AttemptGuard::new(shared, job, &order.placement);
        let attempt = guard.attempt.clone();
        let silence = SilenceWatch::new(attempt.clone(), predicted_first, sent_at.clone());
        let opening = open_answer(shared, job, order, guard, sent_at.clone());
        RunningAttempt {
            shared,
            job,
            attempt,
            state: AttemptState::Opening(Box::pin(opening)),
            silence,
            sent_at,
            head: None,
            splitter: position.splitter.resume(),
            is_continuation: position.is_started,
            has_yielded: false,
            first_event_at: None,
            is_reported_served: false,
            _read_buffer: job.memory.claim_held(READ_BUFFER_BYTES),
            buffer: ClaimedBuffer::new(&job.memory),
            unbuffered: Bytes::new(),
        }
    }

    /// Closes the connection and releases what the attempt occupies.
    pub(crate) fn close(&mut self) {
        self.state = AttemptState::Ended;
    }

    /// Returns when the request was sent, `None` if it was not.
    pub(crate) fn sent_at(&self) -> Option<Tick> {
        self.sent_at.get()
    }

    /// Returns the time since the first event of this attempt.
    pub(crate) fn streamed_for(&self) -> Duration {
        self.first_event_at.map_or(Duration::ZERO, |at| self.shared.now().since(at))
    }

    /// Returns the reason for which the target counts as silent now.
    pub(crate) fn silence(&self) -> Option<&'static str> {
        self.silence.noticed()
    }

    /// Returns what the caller has received once it has the yielded events.
    pub(crate) fn position(&self) -> StreamPosition {
        let is_started = self.is_continuation || self.has_yielded;
        StreamPosition { splitter: self.splitter.resume(), is_started }
    }

    /// Takes the head of a stream, `None` if it was taken or the caller has an earlier one.
    pub(crate) fn take_head(&mut self) -> Option<Response<()>> {
        self.head.take().filter(|_| !self.is_continuation)
    }

    /// Returns what the attempt yields next. May be cancelled and called again.
    ///
    /// # Errors
    ///
    /// The attempt has failed, or the time limit of the request has expired.
    pub(crate) async fn next(&mut self) -> Result<AttemptYield, AttemptFault> {
        if matches!(self.state, AttemptState::Opening(_)) {
            let Some(answer) = self.open().await? else { return Ok(AttemptYield::Silence) };
            self.silence.record_received();
            self.begin_answer(answer);
        }
        let AttemptState::Open(answer) = &self.state else {
            return Err(AttemptFault::broken("the answer has ended"));
        };
        if self.job.route.is_stream && answer.parts.status.is_success() {
            self.next_events().await
        } else {
            self.next_answer().await
        }
    }

    /// Waits for the head of the answer, `None` if the target is silent.
    async fn open(&mut self) -> Result<Option<OpenAnswer>, AttemptFault> {
        let AttemptState::Opening(opening) = &mut self.state else { return Ok(None) };
        let silence = self.silence.wait_for_answer(self.shared, self.job);
        let work = async {
            tokio::select! {
                biased;
                answer = opening.as_mut() => answer.map(Some),
                () = silence => Ok(None),
            }
        };
        let result = self.shared.run_attempt(self.job.deadline, work).await;
        result.unwrap_or_else(|| Err(self.out_of_time()))
    }

    /// The time limit of the request has expired, or the planned stop of this process has ended.
    fn out_of_time(&self) -> AttemptFault {
        let fault = AttemptFault::timeout(self.sent_at.get().is_some());
        if self.shared.stop.has_ended() {
            let reason = "the planned stop of this entry has ended".to_owned();
            return AttemptFault { reason, ..fault };
        }
        fault
    }

    fn begin_answer(&mut self, mut answer: OpenAnswer) {
        (self.shared.target_protocol.clear_answer)(&mut answer.parts.headers);
        answer.parts.headers.remove(CONTENT_LENGTH);
        if self.job.route.is_stream && answer.parts.status.is_success() {
            self.head = Some(Response::from_parts(answer.parts.clone(), ()));
        }
        self.state = AttemptState::Open(Box::new(answer));
    }

    /// Returns the next bytes of the body.
    async fn next_frame(&mut self) -> Result<BodyStep, AttemptFault> {
        let AttemptState::Open(answer) = &mut self.state else { return Ok(BodyStep::End) };
        let is_stream = self.job.route.is_stream && answer.parts.status.is_success();
        let (shared, job, watch) = (self.shared, self.job, &mut self.silence);
        let silence = async {
            if is_stream {
                watch.wait_for_event(shared, job).await;
            } else if job.need.is_none() {
                watch.wait_for_answer(shared, job).await;
            } else {
                std::future::pending::<()>().await;
            }
        };
        let work = async {
            tokio::select! {
                biased;
                frame = answer.body.frame() => Some(frame),
                () = silence => None,
            }
        };
        let step = shared.run_attempt(job.deadline, work).await;
        let Some(step) = step else { return Err(self.out_of_time()) };
        let Some(frame) = step else { return Ok(BodyStep::Silence) };
        let Some(frame) = frame else { return Ok(BodyStep::End) };
        let frame = frame.map_err(|error| AttemptFault::broken(error.to_string()))?;
        shared.core.borrow_mut().record_received(&self.attempt.target, shared.now());
        Ok(BodyStep::Data(Frame::into_data(frame).unwrap_or_default()))
    }

    async fn next_events(&mut self) -> Result<AttemptYield, AttemptFault> {
        loop {
            let data = match self.next_frame().await? {
                BodyStep::Silence => return Ok(AttemptYield::Silence),
                BodyStep::End => match self.splitter.take_empty().filter(|_| self.has_yielded) {
                    Some(rest) => return Ok(AttemptYield::Events(rest)),
                    None => return self.end_stream(),
                },
                BodyStep::Data(data) if data.is_empty() => continue,
                BodyStep::Data(data) => data,
            };
            let events = self.splitter.push(&data);
            let events = events.map_err(|_| AttemptFault::malformed("no stream of events"))?;
            if let Some(events) = events {
                self.silence.record_received();
                self.record_event_bytes();
                self.has_yielded = true;
                return Ok(AttemptYield::Events(events));
            }
        }
    }

    /// Records progress of the engine. The first event arrives when prefill is finished, each
    /// later one at the end of a forward pass.
    fn record_event_bytes(&mut self) {
        let (shared, now) = (self.shared, self.shared.now());
        if self.first_event_at.is_some() {
            shared.core.borrow_mut().record_pass_end(&self.attempt.target, now);
        } else {
            shared.core.borrow_mut().record_first_event(&self.attempt, now);
            self.first_event_at = Some(now);
        }
        if self.streamed_for() >= MAX_TIME_TO_CRASH {
            self.report_served();
        }
    }

    fn report_served(&mut self) {
        if let Some(sent_at) = self.sent_at().filter(|_| !self.is_reported_served) {
            self.is_reported_served = true;
            self.job.report_served_parts(self.shared, sent_at);
        }
    }

    fn end_stream(&mut self) -> Result<AttemptYield, AttemptFault> {
        let has_no_event = !self.has_yielded && !self.is_continuation;
        if self.splitter.has_partial_event() || has_no_event {
            return Err(AttemptFault::broken("the stream ended within an event"));
        }
        let status = self.end_answer();
        self.report_served();
        self.shared.core.borrow_mut().record_success(&self.attempt.target);
        Ok(AttemptYield::StreamEnd(status))
    }

    /// Releases what the attempt occupies after its whole answer was read.
    fn end_answer(&mut self) -> StatusCode {
        let state = std::mem::replace(&mut self.state, AttemptState::Ended);
        let AttemptState::Open(mut answer) = state else { return StatusCode::OK };
        answer.guard.return_connection(&answer.head);
        self.job.report_answered(self.shared);
        answer.parts.status
    }

    async fn next_answer(&mut self) -> Result<AttemptYield, AttemptFault> {
        loop {
            self.buffer_body().await?;
            match self.next_frame().await? {
                BodyStep::Silence => return Ok(AttemptYield::Silence),
                BodyStep::End => return self.whole_answer().map(AttemptYield::Answer),
                BodyStep::Data(data) if self.buffer.len() + data.len() > MAX_ANSWER_BYTES => {
                    return Err(AttemptFault::malformed("the answer is too large"));
                }
                BodyStep::Data(data) => self.unbuffered = data,
            }
        }
    }

    /// Adds the bytes that were read last to the buffer, once there is room for them.
    async fn buffer_body(&mut self) -> Result<(), AttemptFault> {
        let reserving = self.buffer.reserve(self.unbuffered.len(), MAX_ANSWER_BYTES);
        let reserved = self.shared.run_attempt(self.job.deadline, reserving).await;
        reserved.ok_or_else(|| self.out_of_time())?;
        self.buffer.push(&std::mem::take(&mut self.unbuffered));
        Ok(())
    }

    /// Returns the answer that was read. Failures of the target that another attempt may avoid are
    /// faults, and so are statuses that promise that the request has not run: refusals do not get
    /// here.
    fn whole_answer(&mut self) -> Result<Response<Bytes>, AttemptFault> {
        let buffer = ClaimedBuffer::new(&self.job.memory);
        let body = std::mem::replace(&mut self.buffer, buffer).into_bytes();
        let AttemptState::Open(answer) = &self.state else {
            return Err(AttemptFault::broken("the answer has ended"));
        };
        let response = Response::from_parts(answer.parts.clone(), body);
        let status = self.end_answer();
        let is_promise = promises_not_run(status);
        let may_repeat = self.job.route.repeat.is_repeatable();
        if is_promise || (status.is_server_error() && may_repeat) {
            let mut fault =
                AttemptFault::malformed(format!("the target answered {}", status.as_u16()));
            fault.fault = TargetFault::Error;
            fault.verdict = Verdict::Ran;
            let may_forward = !is_promise && !self.job.route.is_stream;
            fault.answer = may_forward.then(|| Box::new(response));
            return Err(fault);
        }
        if self.is_continuation {
            return Err(AttemptFault::malformed("the stream could not be continued"));
        }
        if !status.is_server_error() && !self.job.route.is_stream {
            self.report_served();
            self.shared.core.borrow_mut().record_success(&self.attempt.target);
        }
        Ok(response)
    }
}

/// Next part of a body.
enum BodyStep {
    Silence,
    Data(Bytes),
    End,
}
