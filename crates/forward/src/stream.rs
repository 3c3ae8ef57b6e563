//! Streams: whole events as they come, in order, going on elsewhere where that is allowed.

use std::{io, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use declaration::Repeat;
use logs::{Ending, Event};
use thiserror::Error;
use tokio::{sync::mpsc, time::Instant};

use crate::{
    call::{CallError, Exchange},
    events::Events,
    response::Response,
    serving::{Begun, Context, Request, Tried, begin, may_repeat},
    stages::Results,
};

/// Parts that wait for a caller who reads slowly.
const MAX_WAITING: usize = 16;
/// Shortest silence after which a stream that may be resumed goes on elsewhere.
const MIN_SILENCE: Duration = Duration::from_millis(1_500);
/// Pauses that the route allows after which it does.
const SILENT_PAUSES: u32 = 6;

/// Why a stream ended before its end.
#[derive(Debug, Error)]
enum Broken {
    /// The caller has left.
    #[error("the caller has left")]
    CallerGone,
    /// The endpoint broke off, or fell silent.
    #[error("{0}")]
    Endpoint(CallError),
    /// Events came out of order.
    #[error("its events came out of order")]
    Order,
}

/// Passes the answer's events on, from a task of its own.
pub(crate) fn pass_on(
    cx: &Context,
    req: &Request,
    inputs: Vec<Arc<Results>>,
    begun: Begun,
    tried: Tried,
) -> Response {
    let (status, headers) = (begun.exchange.status, begun.exchange.headers.clone());
    let (tx, parts) = mpsc::channel(MAX_WAITING);
    let passing = Passing {
        cx: cx.clone(),
        req: req.clone(),
        inputs,
        tried,
        tx,
        last: req.incoming.last_event_id,
        sent: req.incoming.last_event_id,
        last_at: Instant::now(),
        part_at: None,
    };
    tokio::spawn(passing.run(begun));
    Response::Streamed {
        status,
        headers: (cx.dialect.answer_headers)(&headers),
        parts,
    }
}

struct Passing {
    cx: Context,
    req: Request,
    inputs: Vec<Arc<Results>>,
    tried: Tried,
    tx: mpsc::Sender<io::Result<Bytes>>,
    /// Number of the last event that was passed on.
    last: Option<u64>,
    /// The same as of the last part that the caller took, and when that was: bytes that complete no
    /// numbered event are no sign of life.
    sent: Option<u64>,
    last_at: Instant,
    /// When the last part was passed on.
    part_at: Option<Instant>,
}

impl Passing {
    async fn run(mut self, mut begun: Begun) {
        loop {
            let broken = match self.pass(&mut begun).await {
                Ok(()) => {
                    let target = &begun.flight.target;
                    self.cx.fleet.record_call_result(target, !begun.is_good);
                    let status = begun.exchange.status.as_u16();
                    self.req
                        .ended(begun.is_good, status, &target.name, &self.tried);
                    return begun.exchange.release(&self.cx.pool);
                }
                Err(broken) => broken,
            };
            let target = Arc::clone(&begun.flight.target);
            // The endpoint sees a closed connection and stops.
            drop(begun);
            if matches!(broken, Broken::CallerGone) {
                return;
            }
            self.cx.fleet.record_call_result(&target, true);
            self.req.story.note(Event::StreamBroken {
                endpoint: target.name.clone(),
                why: broken.to_string(),
                last_event: self.last.unwrap_or(0),
            });
            let has_inputs = !self.inputs.is_empty() || self.req.route().stages.is_empty();
            if !has_inputs {
                self.req
                    .note_not_repeated("the results of its stages are given up");
            }
            if !has_inputs || !may_repeat(&self.cx, &self.req, &self.tried) {
                return self.break_off(&broken).await;
            }
            let again = begin(
                &self.cx,
                &self.req,
                &self.inputs,
                &mut self.tried,
                self.last,
            );
            let closed = self.tx.clone();
            begun = tokio::select! {
                again = again => match again {
                    Ok(begun) if begun.is_good => self.resumed(begun),
                    Ok(_) | Err(_) => return self.break_off(&broken).await,
                },
                () = closed.closed() => return,
            };
        }
    }

    /// Notes that the stream goes on with `begun`.
    fn resumed(&mut self, begun: Begun) -> Begun {
        self.last_at = Instant::now();
        self.req.story.note(Event::Resumed {
            endpoint: begun.flight.target.name.clone(),
            after: self.last.unwrap_or(0),
        });
        begun
    }

    /// Ends the answer so that it does not look complete.
    async fn break_off(self, cause: &Broken) {
        let (ending, why) = match cause {
            Broken::Endpoint(CallError::TimedOut) => {
                (Ending::Late, "its time was over in the stream")
            }
            _ => (Ending::Lost, "the endpoint broke the stream off"),
        };
        self.req.story.failed(ending, 0, why, None);
        let broken = io::Error::other(why);
        // The caller may have left as well.
        let _ = self.tx.send(Err(broken)).await;
    }

    /// Passes events on until the endpoint's answer ends.
    async fn pass(&mut self, begun: &mut Begun) -> Result<(), Broken> {
        let mut events = Events::default();
        let is_plain = !begun.is_good;
        loop {
            let part = self.next(&mut begun.exchange).await?;
            let Some(part) = part else {
                return match events.has_part() {
                    true => Err(Broken::Endpoint(CallError::Lost(
                        "it ended in the middle of an event".to_owned(),
                    ))),
                    false => Ok(()),
                };
            };
            if is_plain {
                self.send(part).await?;
                continue;
            }
            let pushed = events.push(&part);
            pushed.map_err(|_| Broken::Endpoint(CallError::TooLarge))?;
            let mut whole = BytesMut::new();
            while let Some(event) = events.next_event() {
                self.check(event.id)?;
                whole.extend_from_slice(&event.bytes);
            }
            if !whole.is_empty() {
                if begun
                    .flight
                    .record_first_part(self.req.incoming.prompt.as_ref())
                {
                    let took = begun.flight.elapsed();
                    self.cx.metrics.first_part(&self.req.service, took);
                    if let Some(prompt) = &self.req.incoming.prompt {
                        let read = begun.flight.unread_tokens();
                        let kept = u64::from(prompt.tokens).saturating_sub(read);
                        self.cx.metrics.prompt(&self.req.service, kept, read);
                    }
                }
                // The endpoint has fetched them before it read the prompt.
                self.inputs.clear();
                self.note_part();
                let before = self.sent;
                self.send(whole.freeze()).await?;
                // A caller who reads slowly is no silence of the endpoint's.
                if self.last != before {
                    (self.sent, self.last_at) = (self.last, Instant::now());
                }
            }
        }
    }

    /// Notes the time to the first part and the longest pause between two.
    fn note_part(&mut self) {
        let now = Instant::now();
        match self.part_at.replace(now) {
            Some(before) => self.tried.pause = self.tried.pause.max(now - before),
            None => self.tried.first = Some(self.req.incoming.received_at.elapsed()),
        }
    }

    /// Numbers rise; an event without a number follows the one before it.
    fn check(&mut self, id: Option<u64>) -> Result<(), Broken> {
        let Some(id) = id else { return Ok(()) };
        match self.last {
            Some(last) if id <= last => Err(Broken::Order),
            _ => {
                self.last = Some(id);
                Ok(())
            }
        }
    }

    async fn send(&self, bytes: Bytes) -> Result<(), Broken> {
        self.tx
            .send(Ok(bytes))
            .await
            .map_err(|_| Broken::CallerGone)
    }

    /// The next part, as long as the caller waits; a stream that may go on elsewhere is not waited
    /// for beyond a silence.
    async fn next(&self, exchange: &mut Exchange) -> Result<Option<Bytes>, Broken> {
        let route = self.req.route();
        let silence = route.pause.unwrap_or_default() * SILENT_PAUSES;
        let until = match route.repeat == Repeat::FromLastEvent && self.last.is_some() {
            true => (self.last_at + silence.max(MIN_SILENCE)).min(self.req.deadline),
            false => self.req.deadline,
        };
        tokio::select! {
            part = exchange.next_chunk(until) => part.map_err(Broken::Endpoint),
            () = self.tx.closed() => Err(Broken::CallerGone),
        }
    }
}
