//! Input of a stage and its progress across retries.

use std::{borrow::Cow, time::Duration};

use bytes::Bytes;
use declaration::Service;
use http_body_util::Full;
use hyper::Request;
use serde_json::value::{RawValue, to_raw_value};
use uuid::Uuid;

use crate::{
    assembly::Assembly,
    engine::{self, PromptCacheUsage, Resume, StreamUsage},
    error::CallError,
    exchange::{Call, Exchange},
    lag::LagDetector,
    metrics::{CostKind, Metrics},
    plain,
    stage::{Stage, is_engine},
    stream::EventSink,
};

/// Input and progress of one stage, kept across its retries.
#[derive(Debug)]
pub(crate) enum StageWork<'a> {
    /// A request with a single JSON response.
    Plain {
        /// Name of the service.
        name: &'a str,
        /// Input of the request.
        input: &'a RawValue,
        /// Output of the previous stage.
        previous: Option<&'a RawValue>,
    },
    /// A streamed text generation.
    Engine(Box<Generation<'a>>),
}

/// Text generation by an engine.
#[derive(Debug)]
pub(crate) struct Generation<'a> {
    service: &'a Service,
    prompt: Cow<'a, str>,
    assembly: Assembly,
    usage: StreamUsage,
    /// The call that started the text received so far.
    source_call: Option<Uuid>,
    has_diverged: bool,
    wasted: WastedTokens,
}

/// Counts `tokens` as wasted when dropped, unless they were reset because the stage completed.
#[derive(Debug)]
struct WastedTokens {
    metrics: Metrics,
    service: String,
    tokens: u64,
}

impl Drop for WastedTokens {
    fn drop(&mut self) {
        let (service, tokens) = (&self.service, self.tokens);
        self.metrics
            .record_cost(service, CostKind::Wasted, Duration::ZERO, tokens);
    }
}

impl<'a> StageWork<'a> {
    pub(crate) fn new(
        stage: Stage<'a>,
        input: &'a RawValue,
        previous: Option<&'a RawValue>,
        metrics: &Metrics,
    ) -> Self {
        if !is_engine(stage.service) {
            return Self::Plain {
                name: stage.name,
                input,
                previous,
            };
        }
        Self::Engine(Box::new(Generation {
            service: stage.service,
            prompt: engine::prompt(previous.unwrap_or(input)),
            assembly: Assembly::default(),
            usage: StreamUsage::default(),
            source_call: None,
            has_diverged: false,
            wasted: WastedTokens {
                metrics: metrics.clone(),
                service: stage.name.to_owned(),
                tokens: 0,
            },
        }))
    }

    /// Builds the HTTP request for `call`; a resumed generation continues after the text received
    /// so far.
    pub(crate) fn request(&self, call: &Call) -> Request<Full<Bytes>> {
        match self {
            Self::Plain {
                name,
                input,
                previous,
            } => plain::request(call, name, input, *previous),
            Self::Engine(work) => {
                let offset = work.assembly.offset();
                let source_call = work.source_call.filter(|_| offset > 0);
                let resume = source_call.map(|call| Resume { call, offset });
                engine::request(call, work.service, &work.prompt, resume)
            }
        }
    }

    /// The prompt, which an engine may have cached.
    pub(crate) fn prompt(&self) -> Option<&str> {
        match self {
            Self::Plain { .. } => None,
            Self::Engine(work) => Some(&work.prompt),
        }
    }

    /// Called before the response to `call` is read.
    pub(crate) fn answer_started(&mut self, call: Uuid) {
        if let Self::Engine(work) = self {
            work.source_call.get_or_insert(call);
        }
    }

    /// Returns true if the next try resumes a partly received stream.
    pub(crate) fn is_resumption(&self) -> bool {
        self.offset() > 0
    }

    /// Length of the text received so far, in bytes.
    pub(crate) fn offset(&self) -> usize {
        match self {
            Self::Plain { .. } => 0,
            Self::Engine(work) => work.assembly.offset(),
        }
    }

    /// Prepares the next try. A stream that diverged starts over, unless some of its text was
    /// already forwarded to the caller.
    pub(crate) fn prepare_retry(&mut self, is_forwarded: bool) {
        match self {
            Self::Engine(work) if work.has_diverged && !is_forwarded => {
                work.assembly.restart();
                work.source_call = None;
                work.has_diverged = false;
            }
            _ => {}
        }
    }

    /// Marks the stage as completed, so that its tokens don't count as wasted.
    pub(crate) fn completed(&mut self) {
        if let Self::Engine(work) = self {
            work.wasted.tokens = 0;
        }
    }

    /// Tokens generated so far.
    pub(crate) fn tokens(&self) -> u64 {
        match self {
            Self::Plain { .. } => 0,
            Self::Engine(work) => work.usage.tokens,
        }
    }

    /// How much of the prompt the engine had cached, if it reported that.
    pub(crate) fn cache_usage(&self) -> Option<PromptCacheUsage> {
        match self {
            Self::Plain { .. } => None,
            Self::Engine(work) => work.usage.cached,
        }
    }

    /// Size of the input sent to the endpoint, in bytes.
    pub(crate) fn input_bytes(&self) -> usize {
        match self {
            Self::Plain {
                input, previous, ..
            } => input.get().len() + previous.map_or(0, |p| p.get().len()),
            Self::Engine(work) => work.prompt.len(),
        }
    }
}

impl Generation<'_> {
    /// Reads the stream to its end and returns the whole text as a JSON string. After
    /// [`CallError::Stalled`], another call goes on with the rest of the stream.
    pub(crate) async fn read(
        &mut self,
        exchange: &mut Exchange,
        sink: Option<&EventSink>,
        lag_detector: LagDetector<'_>,
    ) -> Result<Box<RawValue>, CallError> {
        let (assembly, usage) = (&mut self.assembly, &mut self.usage);
        let counted_tokens = &mut self.wasted.tokens;
        let lag_detector = lag_detector.with_prompt(&self.prompt);
        let read = engine::read(
            exchange,
            assembly,
            sink,
            usage,
            counted_tokens,
            Some(lag_detector),
        )
        .await;
        self.has_diverged = read == Err(CallError::Diverged);
        read?;
        to_raw_value(self.assembly.text()).map_err(|e| CallError::Malformed(e.to_string()))
    }
}

/// Reads a stream to its end over a single connection, without resuming it. Returns the text and
/// the number of tokens.
pub(crate) async fn read_whole(exchange: &mut Exchange) -> Result<(Box<RawValue>, u64), CallError> {
    let (mut assembly, mut usage) = (Assembly::default(), StreamUsage::default());
    let counted_tokens = &mut 0;
    engine::read(
        exchange,
        &mut assembly,
        None,
        &mut usage,
        counted_tokens,
        None,
    )
    .await?;
    let output = to_raw_value(assembly.text());
    let output = output.map_err(|e| CallError::Malformed(e.to_string()))?;
    Ok((output, usage.tokens))
}
