//! Relays event streams: complete events in order, resumed at another endpoint if the route allows
//! it.

use std::{io, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use declaration::RepeatPolicy;
use logs::{Ending, Event};
use thiserror::Error;
use tokio::{sync::mpsc, time::Instant};

use crate::{
    blocked_parts::CallEnd,
    call::{CallError, Exchange},
    events::EventSplitter,
    response::Response,
    serving::{AttemptLog, Context, Request, StartedResponse, may_repeat, start_response},
    stages::Results,
};

/// Maximum number of parts buffered for a caller that reads slowly.
const MAX_BUFFERED_PARTS: usize = 16;
/// Shortest silence after which a resumable stream moves to another endpoint.
const MIN_SILENCE: Duration = Duration::from_millis(1_500);
/// Such a stream moves after this multiple of the pause that its route allows.
const MAX_MISSED_PAUSES: u32 = 6;

/// Why a stream ended early.
#[derive(Debug, Error)]
enum StreamError {
    /// The caller disconnected.
    #[error("the caller disconnected")]
    CallerGone,
    /// The endpoint tx the stream or stopped sending.
    #[error("{0}")]
    Endpoint(CallError),
    /// Event ids did not increase.
    #[error("received events out of order")]
    OutOfOrder,
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
        attempts,
        tx,
        last_event: req.incoming.last_event_id,
        delivered_event: req.incoming.last_event_id,
        delivered_at: Instant::now(),
        last_part_at: None,
    };
    tokio::spawn(relay.run(started));
    Response::Streamed {
        status,
        headers: (cx.dialect.answer_headers)(&headers),
        parts,
    }
}

struct EventRelay {
    cx: Context,
    req: Request,
    inputs: Vec<Arc<Results>>,
    attempts: AttemptLog,
    tx: mpsc::Sender<io::Result<Bytes>>,
    /// Id of the last relayed event.
    last_event: Option<u64>,
    /// The same as of the last part that the caller accepted, and when it did. Only parts that
    /// advance this id count as progress of the endpoint.
    delivered_event: Option<u64>,
    delivered_at: Instant,
    /// When the last part was relayed.
    last_part_at: Option<Instant>,
}

impl EventRelay {
    async fn run(mut self, mut started: StartedResponse) {
        loop {
            let error = match self.relay_response(&mut started).await {
                Ok(()) => {
                    let target = &started.flight.target;
                    self.cx.fleet.record_call_result(target, !started.is_good);
                    let ends_with_connection = started.exchange.ends_with_connection();
                    let (cx, flight) = (&self.cx, &started.flight);
                    cx.record_complete(flight, &self.req, ends_with_connection, started.is_good);
                    let status = started.exchange.status.as_u16();
                    self.req
                        .log_end(started.is_good, status, &target.name, &self.attempts);
                    return started.exchange.release(&self.cx.pool);
                }
                Err(error) => error,
            };
            if let StreamError::Endpoint(e) = &error {
                let (cx, flight) = (&self.cx, &started.flight);
                cx.record_lost(flight, &self.req, e, CallEnd::Broken);
            }
            let target = Arc::clone(&started.flight.target);
            // Closes the connection, which stops the endpoint.
            drop(started);
            if matches!(error, StreamError::CallerGone) {
                return;
            }
            self.cx.fleet.record_call_result(&target, true);
            self.req.log.note(Event::StreamBroken {
                endpoint: target.name.clone(),
                why: error.to_string(),
                last_event: self.last_event.unwrap_or(0),
            });
            let has_inputs = !self.inputs.is_empty() || self.req.route().stages.is_empty();
            if !has_inputs {
                self.req
                    .record_not_repeated("the results of its stages were released");
            }
            if !has_inputs || !may_repeat(&self.cx, &self.req, &self.attempts) {
                return self.abort(&error).await;
            }
            let resumed = start_response(
                &self.cx,
                &self.req,
                &self.inputs,
                &mut self.attempts,
                self.last_event,
            );
            let tx = self.tx.clone();
            started = tokio::select! {
                resumed = resumed => match resumed {
                    Ok(started) if started.is_good => self.record_resumed(started),
                    Ok(_) | Err(_) => return self.abort(&error).await,
                },
                () = tx.closed() => return,
            };
        }
    }

    /// Records that the stream resumes with `started`.
    fn record_resumed(&mut self, started: StartedResponse) -> StartedResponse {
        self.delivered_at = Instant::now();
        self.req.log.note(Event::Resumed {
            endpoint: started.flight.target.name.clone(),
            after: self.last_event.unwrap_or(0),
        });
        started
    }

    /// Ends the response so that it is visibly incomplete.
    async fn abort(self, cause: &StreamError) {
        let (ending, why) = match cause {
            StreamError::Endpoint(CallError::TimedOut) => {
                (Ending::Late, "its time was over in the stream")
            }
            _ => (Ending::Lost, "the endpoint broke the stream off"),
        };
        self.req.log.failed(ending, 0, why, None);
        let error = io::Error::other(why);
        // The caller may have disconnected as well.
        let _ = self.tx.send(Err(error)).await;
    }

    /// Relays events until the endpoint's response ends.
    async fn relay_response(&mut self, started: &mut StartedResponse) -> Result<(), StreamError> {
        let mut events = EventSplitter::default();
        let is_raw = !started.is_good;
        loop {
            let part = self.next_part(&mut started.exchange).await?;
            let Some(part) = part else {
                return match events.has_partial_event() {
                    true => Err(StreamError::Endpoint(CallError::Lost(
                        "it ended in the middle of an event".to_owned(),
                    ))),
                    false => Ok(()),
                };
            };
            if is_raw {
                self.send(part).await?;
                continue;
            }
            let pushed = events.push(&part);
            pushed.map_err(|_| StreamError::Endpoint(CallError::TooLarge))?;
            let mut whole = BytesMut::new();
            while let Some(event) = events.next_event() {
                self.check_order(event.id)?;
                whole.extend_from_slice(&event.bytes);
            }
            if !whole.is_empty() {
                if started
                    .flight
                    .record_first_part(self.req.incoming.prompt.as_ref())
                {
                    let took = started.flight.elapsed();
                    self.cx.metrics.record_first_part(&self.req.service, took);
                    if let Some(prompt) = &self.req.incoming.prompt {
                        let read = started.flight.unread_tokens();
                        let kept = u64::from(prompt.tokens).saturating_sub(read);
                        self.cx.metrics.record_prompt(&self.req.service, kept, read);
                    }
                }
                if started.flight.becomes_steady() {
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
            }
        }
    }

    /// Records the time to the first part and the longest pause between parts.
    fn record_part(&mut self) {
        let now = Instant::now();
        match self.last_part_at.replace(now) {
            Some(before) => self.attempts.max_pause = self.attempts.max_pause.max(now - before),
            None => self.attempts.first_part = Some(self.req.incoming.received_at.elapsed()),
        }
    }

    /// Checks that ids increase. Events without an id are accepted.
    fn check_order(&mut self, id: Option<u64>) -> Result<(), StreamError> {
        let Some(id) = id else { return Ok(()) };
        match self.last_event {
            Some(last) if id <= last => Err(StreamError::OutOfOrder),
            _ => {
                self.last_event = Some(id);
                Ok(())
            }
        }
    }

    async fn send(&self, bytes: Bytes) -> Result<(), StreamError> {
        self.tx
            .send(Ok(bytes))
            .await
            .map_err(|_| StreamError::CallerGone)
    }

    /// Returns the next part while the caller is connected. A stream that can be resumed elsewhere
    /// times out after a silence.
    async fn next_part(&self, exchange: &mut Exchange) -> Result<Option<Bytes>, StreamError> {
        let route = self.req.route();
        let silence = route.max_pause.unwrap_or_default() * MAX_MISSED_PAUSES;
        let until = match route.repeat == RepeatPolicy::FromLastEvent && self.last_event.is_some() {
            true => (self.delivered_at + silence.max(MIN_SILENCE)).min(self.req.deadline),
            false => self.req.deadline,
        };
        tokio::select! {
            part = exchange.next_chunk(until) => part.map_err(StreamError::Endpoint),
            () = self.tx.closed() => Err(StreamError::CallerGone),
        }
    }
}
