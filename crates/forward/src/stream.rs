//! Relays event streams: complete events in order, resumed at another endpoint if the route allows
//! it.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use declaration::RepeatPolicy;
use hyper::{HeaderMap, StatusCode, header::CONTENT_TYPE};
use ingress::{BodyBudgets, BufferShare, SMALL_BODY_BYTES};
use logs::{Ending, Event, SilenceOutcome};
use thiserror::Error;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until, timeout_at},
};

use crate::{
    attempts::{AttemptLog, StartedResponse, may_repeat, start_response},
    blocked_parts::CallEnd,
    call::CallError,
    events::{self, EventSplitter},
    request::{Context, Request},
    response::{Response, StreamPart},
    stages::Results,
    successor::{NoSuccessor, RECHECK_INTERVAL, start_successor},
};

/// Maximum number of parts buffered for a caller that reads slowly.
const MAX_BUFFERED_PARTS: usize = 16;
/// Shortest silence after which another endpoint is sought for a resumable stream.
const MIN_SILENCE: Duration = Duration::from_millis(1_500);
/// One is sought after this multiple of the pause that its route allows.
const MAX_MISSED_PAUSES: u32 = 6;

/// Why a stream ended early.
#[derive(Debug, Error)]
enum StreamError {
    /// The caller disconnected.
    #[error("the caller disconnected")]
    CallerGone,
    /// The caller did not read before the deadline.
    #[error("the caller read too slowly")]
    CallerSlow,
    /// The endpoint broke the stream off or stopped sending.
    #[error("{0}")]
    Endpoint(CallError),
    /// Event ids did not increase.
    #[error("received events out of order")]
    OutOfOrder,
    /// The body contains the head of another response.
    #[error("received the head of another response")]
    ForeignHead,
}

impl StreamError {
    const TIMED_OUT: Self = Self::Endpoint(CallError::TimedOut);
}

/// A response whose events are relayed.
#[derive(Debug)]
struct Source {
    started: StartedResponse,
    events: EventSplitter,
    /// Memory for the event that is not complete.
    memory: BufferShare,
    /// True once the loss of its connection was recorded.
    is_lost: bool,
}

impl Source {
    fn new(started: StartedResponse, memory: &BodyBudgets) -> Self {
        Self {
            started,
            events: EventSplitter::default(),
            memory: memory.buffer(),
            is_lost: false,
        }
    }

    fn endpoint(&self) -> &str {
        &self.started.flight.target.name
    }
}

/// What comes next of a response.
enum Next {
    Part(Bytes),
    End,
    /// Nothing came in time.
    Silence,
}

/// How the relay of one response ended, or what became of the search for its successor.
enum Progress {
    /// It is complete.
    Complete,
    /// It continued after a silence.
    Continued,
    /// Another endpoint took over.
    Overtaken(Box<StartedResponse>),
    /// It is still silent, and no other endpoint takes over.
    Kept(NoSuccessor),
}

/// Relays the events of a response in a task of its own.
pub(crate) fn relay_events(
    cx: &Context,
    req: &Request,
    inputs: Vec<Arc<Results>>,
    started: StartedResponse,
    attempts: AttemptLog,
) -> Response {
    let (status, headers) = (started.exchange.status, started.exchange.headers.clone());
    let (tx, parts) = mpsc::channel(MAX_BUFFERED_PARTS);
    let relay = EventRelay {
        cx: cx.clone(),
        req: req.clone(),
        inputs,
        tx,
        media_type: media_type(&headers),
        last_event: req.incoming.last_event_id,
        delivered_event: req.incoming.last_event_id,
        delivered_at: Instant::now(),
        last_part_at: None,
        first_part: None,
        max_pause: Duration::ZERO,
        seek_after: None,
        kept_since: None,
    };
    tokio::spawn(relay.run(started, attempts));
    Response::Streamed {
        status,
        headers: (cx.dialect.answer_headers)(&headers),
        parts,
    }
}

/// Returns the media type in lower case, without parameters.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let text = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    let media_type = text.split(';').next()?.trim();
    Some(media_type.to_ascii_lowercase())
}

struct EventRelay {
    cx: Context,
    req: Request,
    inputs: Vec<Arc<Results>>,
    tx: mpsc::Sender<StreamPart>,
    /// Media type of the first response.
    media_type: Option<String>,
    /// Id of the last relayed event.
    last_event: Option<u64>,
    /// The same as of the last part that the caller accepted, and when it did. Only parts that
    /// advance this id count as progress of the endpoint.
    delivered_event: Option<u64>,
    delivered_at: Instant,
    /// When the last part was relayed.
    last_part_at: Option<Instant>,
    /// Time to the first part, and the longest pause between two.
    first_part: Option<Duration>,
    max_pause: Duration,
    /// No other endpoint is sought before this time.
    seek_after: Option<Instant>,
    /// Start of the silence that was last recorded.
    kept_since: Option<Instant>,
}

impl EventRelay {
    async fn run(mut self, started: StartedResponse, mut attempts: AttemptLog) {
        let mut source = Source::new(started, &self.cx.memory);
        loop {
            let error = match self.relay(&mut source, &mut attempts).await {
                Ok(None) => return self.finish(source, attempts).await,
                Ok(Some(successor)) => {
                    self.record_resumed(&successor);
                    // Closes the connection, which stops the silent endpoint.
                    source = Source::new(successor, &self.cx.memory);
                    continue;
                }
                Err(error) => error,
            };
            match self.resume(source, error, &mut attempts).await {
                Some(resumed) => source = Source::new(resumed, &self.cx.memory),
                None => return,
            }
        }
    }

    /// Returns true if `started` continues the stream: 200 with the media type of the first response.
    fn is_continued_by(&self, started: &StartedResponse) -> bool {
        let exchange = &started.exchange;
        let is_stream =
            exchange.status == StatusCode::OK && media_type(&exchange.headers) == self.media_type;
        if started.is_good && !is_stream {
            self.cx
                .fleet
                .record_call_result(&started.flight.target, true);
            self.req.log.note(Event::CallFailed {
                endpoint: started.flight.target.name.clone(),
                why: format!("HTTP {} does not continue the stream", exchange.status),
                may_have_run: true,
                took_ms: started.flight.elapsed().as_millis() as u64,
            });
        }
        started.is_good && is_stream
    }

    /// Records the end of a complete response.
    async fn finish(self, source: Source, mut attempts: AttemptLog) {
        let StartedResponse {
            exchange,
            flight,
            is_good,
        } = source.started;
        let target = &flight.target;
        self.cx.fleet.record_call_result(target, !is_good);
        let ends_with_connection = exchange.ends_with_connection();
        self.cx
            .record_complete(&flight, &self.req, ends_with_connection, is_good);
        attempts.first_part = self.first_part;
        attempts.max_pause = self.max_pause;
        let status = exchange.status.as_u16();
        self.req.log_end(is_good, status, &target.name, &attempts);
        exchange.release(&self.cx.pool);
        drop(flight);
        // The caller may have disconnected.
        let _ = self.tx.send(StreamPart::End).await;
    }

    /// Resumes a stream that broke off at another endpoint. Without one, ends it.
    async fn resume(
        &mut self,
        source: Source,
        error: StreamError,
        attempts: &mut AttemptLog,
    ) -> Option<StartedResponse> {
        match error {
            StreamError::CallerGone => return None,
            StreamError::CallerSlow => {
                self.abort(&error);
                return None;
            }
            _ => {}
        }
        self.record_broken(&source, &error);
        // Closes the connection, which stops the endpoint.
        drop(source);
        if self.req.remaining().is_zero() {
            self.abort(&error);
            return None;
        }
        let has_inputs = !self.inputs.is_empty() || self.req.route().stages.is_empty();
        if !has_inputs {
            self.req
                .record_not_repeated("the results of its stages were released");
        }
        if !has_inputs || !may_repeat(&self.cx, &self.req, attempts) {
            self.abort(&error);
            return None;
        }
        let resumed = start_response(&self.cx, &self.req, &self.inputs, attempts, self.last_event);
        let resumed = tokio::select! {
            resumed = resumed => resumed,
            () = self.tx.closed() => return None,
        };
        match resumed {
            Ok(started) if self.is_continued_by(&started) => {
                self.record_resumed(&started);
                Some(started)
            }
            Ok(_) | Err(_) => {
                self.abort(&error);
                None
            }
        }
    }

    /// Records that the endpoint broke the stream off or stayed silent until the deadline.
    fn record_broken(&self, source: &Source, error: &StreamError) {
        let target = &source.started.flight.target;
        self.cx.fleet.record_call_result(target, true);
        if !source.is_lost {
            self.record_lost(source, error);
        }
        if self.is_silent(source) && self.req.remaining().is_zero() {
            return self.record_silence(source, SilenceOutcome::Deadline, &error.to_string());
        }
        self.req.log.note(Event::StreamBroken {
            endpoint: target.name.clone(),
            why: error.to_string(),
            last_event: self.last_event.unwrap_or(0),
        });
    }

    /// Records that the response ended together with its connection.
    fn record_lost(&self, source: &Source, error: &StreamError) {
        if let StreamError::Endpoint(e) = error {
            let flight = &source.started.flight;
            self.cx.record_lost(flight, &self.req, e, CallEnd::Broken);
        }
    }

    fn record_silence(&self, source: &Source, outcome: SilenceOutcome, why: &str) {
        self.cx.metrics.record_silence(&self.req.service, outcome);
        self.req.log.note(Event::Silent {
            endpoint: source.endpoint().to_owned(),
            outcome,
            why: why.to_owned(),
            silent_ms: self.delivered_at.elapsed().as_millis() as u64,
        });
    }

    /// Records that the stream resumes with `started`.
    fn record_resumed(&mut self, started: &StartedResponse) {
        self.delivered_at = Instant::now();
        self.req.log.note(Event::Resumed {
            endpoint: started.flight.target.name.clone(),
            after: self.last_event.unwrap_or(0),
        });
    }

    /// Records why the response ends without its end, which makes it visibly incomplete.
    fn abort(&self, cause: &StreamError) {
        let (ending, why) = match cause {
            StreamError::Endpoint(CallError::TimedOut) | StreamError::CallerSlow => {
                (Ending::Late, "its time was over in the stream")
            }
            _ => (Ending::Lost, "the endpoint broke the stream off"),
        };
        self.req.log.failed(ending, 0, why, None);
    }

    /// Relays events until the response is complete (`None`) or another endpoint has taken over.
    async fn relay(
        &mut self,
        source: &mut Source,
        attempts: &mut AttemptLog,
    ) -> Result<Option<StartedResponse>, StreamError> {
        loop {
            match self.next(source, self.seek_at(source)).await? {
                Next::Part(part) => self.relay_part(source, &part).await?,
                Next::End => return Ok(None),
                Next::Silence if self.req.remaining().is_zero() => {
                    return Err(StreamError::TIMED_OUT);
                }
                Next::Silence => match self.seek_successor(source, attempts).await? {
                    Progress::Complete => return Ok(None),
                    Progress::Continued => {}
                    Progress::Overtaken(successor) => return Ok(Some(*successor)),
                    Progress::Kept(reason) => self.keep(source, &reason),
                },
            }
        }
    }

    /// Returns when another endpoint is sought if nothing comes before.
    fn seek_at(&self, source: &Source) -> Instant {
        let deadline = self.req.deadline;
        match self.silence_bound(source) {
            Some(bound) => self.seek_after.unwrap_or(bound).max(bound).min(deadline),
            None => deadline,
        }
    }

    /// Returns when the endpoint counts as silent. Only a stream that can be resumed has such a time.
    fn silence_bound(&self, source: &Source) -> Option<Instant> {
        let route = self.req.route();
        let is_resumable = route.repeat == RepeatPolicy::FromLastEvent
            && self.last_event.is_some()
            && source.started.is_good;
        let silence = route.max_pause.unwrap_or_default() * MAX_MISSED_PAUSES;
        is_resumable.then(|| self.delivered_at + silence.max(MIN_SILENCE))
    }

    fn is_silent(&self, source: &Source) -> bool {
        let bound = self.silence_bound(source);
        bound.is_some_and(|bound| bound <= Instant::now())
    }

    /// Starts the response at another endpoint while `source` may still continue. The first that
    /// does ends the other one. A call that is dropped unsent is no attempt.
    async fn seek_successor(
        &mut self,
        source: &mut Source,
        attempts: &mut AttemptLog,
    ) -> Result<Progress, StreamError> {
        let progress = self.race_successor(source, attempts).await;
        attempts.settle_dropped(&self.cx, &self.req.service);
        progress
    }

    async fn race_successor(
        &mut self,
        source: &mut Source,
        attempts: &mut AttemptLog,
    ) -> Result<Progress, StreamError> {
        let (cx, req, inputs) = (self.cx.clone(), self.req.clone(), self.inputs.clone());
        let last_event = self.last_event;
        let successor = start_successor(&cx, &req, &inputs, attempts, last_event);
        tokio::pin!(successor);
        let mut broken = None;
        loop {
            let step = tokio::select! {
                biased;
                next = self.next(source, req.deadline), if broken.is_none() => match next {
                    Ok(Next::Part(part)) => self.relay_part(source, &part).await,
                    Ok(Next::End) => return Ok(Progress::Complete),
                    Ok(Next::Silence) => return Err(StreamError::TIMED_OUT),
                    Err(e) => Err(e),
                },
                () = self.tx.closed() => return Err(StreamError::CallerGone),
                () = sleep_until(req.deadline) => return Err(StreamError::TIMED_OUT),
                result = &mut successor => return match (result, broken) {
                    (Ok(started), broken) if self.is_continued_by(&started) => {
                        self.record_overtaken(source, broken.as_ref());
                        Ok(Progress::Overtaken(Box::new(started)))
                    }
                    (_, Some(error)) => Err(error),
                    (Ok(_), None) => Ok(Progress::Kept(NoSuccessor::NotNow(
                        "the other response does not continue the stream".to_owned(),
                    ))),
                    (Err(reason), None) => Ok(Progress::Kept(reason)),
                },
            };
            match step {
                Ok(()) if self.last_event != last_event => return Ok(Progress::Continued),
                Ok(()) => {}
                Err(e @ (StreamError::CallerGone | StreamError::CallerSlow)) => return Err(e),
                Err(e) if self.last_event != last_event => return Err(e),
                // The successor may still take over. A crash is recorded now, as the endpoint may run
                // again by then.
                Err(e) => {
                    self.record_lost(source, &e);
                    source.is_lost = true;
                    broken = Some(e);
                }
            }
        }
    }

    /// Records that another endpoint took over, since `source` was silent or broke off.
    fn record_overtaken(&self, source: &Source, broken: Option<&StreamError>) {
        match broken {
            Some(error) => self.record_broken(source, error),
            None => {
                let target = &source.started.flight.target;
                self.cx.fleet.record_call_result(target, true);
                self.record_silence(
                    source,
                    SilenceOutcome::Overtaken,
                    "another endpoint started to respond first",
                );
            }
        }
    }

    /// Notes when to look again for another endpoint. Each silence is recorded once.
    fn keep(&mut self, source: &Source, reason: &NoSuccessor) {
        self.seek_after = Some(match reason {
            NoSuccessor::Never(_) => self.req.deadline,
            NoSuccessor::NotNow(_) => Instant::now() + RECHECK_INTERVAL,
        });
        if self.kept_since.replace(self.delivered_at) != Some(self.delivered_at) {
            self.record_silence(source, SilenceOutcome::Kept, reason.why());
        }
    }

    /// Relays the complete events of `part`, up to one that is out of order.
    async fn relay_part(&mut self, source: &mut Source, part: &Bytes) -> Result<(), StreamError> {
        if !source.started.is_good {
            return self.send(part.clone()).await;
        }
        let pushed = source.events.push(part);
        pushed.map_err(|_| StreamError::Endpoint(CallError::TooLarge))?;
        let buffered = source.events.buffered();
        if !source.memory.try_grow_response(buffered) {
            return Err(StreamError::Endpoint(CallError::NoMemory));
        }
        let mut whole = BytesMut::new();
        let mut checked = Ok(());
        while let Some(event) = source.events.next_event() {
            checked = self.check_event(&event);
            if checked.is_err() {
                break;
            }
            whole.extend_from_slice(&event.bytes);
        }
        if whole.is_empty() {
            return checked;
        }
        self.record_first_part(&mut source.started);
        if source.started.flight.becomes_steady() {
            self.cx.blocked_parts.record_good(&self.req.incoming);
        }
        // The endpoint fetched the inputs before it read the prompt.
        self.inputs.clear();
        self.record_part();
        let before = self.delivered_event;
        self.send(whole.freeze()).await?;
        // Time that a slow caller takes does not count as silence of the endpoint.
        if self.last_event != before {
            (self.delivered_event, self.delivered_at) = (self.last_event, Instant::now());
        }
        // Events before the wrong one are relayed, since the stream resumes after them.
        checked
    }

    /// Records that the endpoint has read the prompt.
    fn record_first_part(&self, started: &mut StartedResponse) {
        let prompt = self.req.incoming.prompt.as_ref();
        if !started.flight.record_first_part(prompt) {
            return;
        }
        let took = started.flight.elapsed();
        self.cx.metrics.record_first_part(&self.req.service, took);
        if let Some(prompt) = prompt {
            let since_arrival = self.req.incoming.received_at.elapsed();
            self.cx.metrics.record_prompt_time(
                &self.req.service,
                prompt.tokens,
                "first_event",
                since_arrival,
            );
            let read = started.flight.unread_tokens();
            let kept = u64::from(prompt.tokens).saturating_sub(read);
            self.cx.metrics.record_prompt(&self.req.service, kept, read);
        }
    }

    /// Records the time to the first part and the longest pause between parts.
    fn record_part(&mut self) {
        let now = Instant::now();
        match self.last_part_at.replace(now) {
            Some(before) => self.max_pause = self.max_pause.max(now - before),
            None => self.first_part = Some(self.req.incoming.received_at.elapsed()),
        }
    }

    /// Checks that ids increase and that the event is not part of another response. Events without
    /// an id are accepted.
    fn check_event(&mut self, event: &events::Event) -> Result<(), StreamError> {
        match event.id {
            _ if event.has_response_head() => return Err(StreamError::ForeignHead),
            Some(id) if self.last_event.is_some_and(|last| id <= last) => {
                return Err(StreamError::OutOfOrder);
            }
            Some(id) => self.last_event = Some(id),
            None => {}
        }
        Ok(())
    }

    async fn send(&self, bytes: Bytes) -> Result<(), StreamError> {
        let share = timeout_at(self.req.deadline, self.share_of(bytes.len()));
        let share = share.await.map_err(|_| StreamError::CallerSlow)??;
        let sent = self.tx.send(StreamPart::Bytes(share.attach(bytes)));
        match timeout_at(self.req.deadline, sent).await {
            Ok(sent) => sent.map_err(|_| StreamError::CallerGone),
            Err(_) => Err(StreamError::CallerSlow),
        }
    }

    /// Returns the share of the memory for a part of `bytes`. If not enough is free for a small part, it
    /// waits until the caller has taken the parts before it.
    async fn share_of(&self, bytes: usize) -> Result<BufferShare, StreamError> {
        let mut share = self.cx.memory.buffer();
        if bytes <= SMALL_BODY_BYTES && !share.try_grow(bytes) {
            let taken = self.tx.reserve_many(MAX_BUFFERED_PARTS).await;
            drop(taken.map_err(|_| StreamError::CallerGone)?);
        }
        match share.try_grow_response(bytes) {
            true => Ok(share),
            false => Err(StreamError::Endpoint(CallError::NoMemory)),
        }
    }

    /// Returns what comes of the response until `until`, while the caller is connected.
    async fn next(&self, source: &mut Source, until: Instant) -> Result<Next, StreamError> {
        let part = tokio::select! {
            part = source.started.exchange.next_chunk(until) => part,
            () = self.tx.closed() => return Err(StreamError::CallerGone),
        };
        match part {
            Ok(Some(part)) => Ok(Next::Part(part)),
            Ok(None) if source.events.has_partial_event() => Err(StreamError::Endpoint(
                CallError::Lost("it ended in the middle of an event".to_owned()),
            )),
            Ok(None) => Ok(Next::End),
            Err(CallError::TimedOut) => Ok(Next::Silence),
            Err(e) => Err(StreamError::Endpoint(e)),
        }
    }
}
