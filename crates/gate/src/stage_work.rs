//! What a stage has to do and how far its tries have come.

use std::{borrow::Cow, time::Duration};

use bytes::Bytes;
use declaration::Service;
use http_body_util::Full;
use hyper::Request;
use outbound::Pool;
use serde_json::value::{RawValue, to_raw_value};
use uuid::Uuid;

use crate::{
    assembly::Assembly,
    engine::{self, CacheUsage, Resume, StreamUsage},
    error::CallError,
    exchange::{Call, Exchange},
    lag::LagDetector,
    metrics::{CostKind, Metrics},
    plain,
    stage::{Stage, is_engine},
    stream::EventSink,
};

/// The work of one stage, kept over its tries.
#[derive(Debug)]
pub(crate) enum StageWork<'a> {
    /// One question, one answer.
    Plain {
        /// The service's name.
        name: &'a str,
        /// The request's input.
        input: &'a RawValue,
        /// The output of the stage before.
        previous: Option<&'a RawValue>,
    },
    /// A stream of text.
    Engine(Box<Generation<'a>>),
}

/// Text that an engine generates.
#[derive(Debug)]
pub(crate) struct Generation<'a> {
    service: &'a Service,
    prompt: Cow<'a, str>,
    assembly: Assembly,
    usage: StreamUsage,
    /// The call whose text is held.
    source_call: Option<Uuid>,
    has_diverged: bool,
    wasted: WastedTokens,
}

/// Counts tokens as wasted when the work ends without an answer, however it ends.
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
    /// The work of `stage`.
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

    /// The HTTP request for `call`, which goes on where the text held ends.
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

    /// The text that an engine's cache may know.
    pub(crate) fn prompt(&self) -> Option<&str> {
        match self {
            Self::Plain { .. } => None,
            Self::Engine(work) => Some(&work.prompt),
        }
    }

    /// The answer to `call` is about to be read.
    pub(crate) fn answer_started(&mut self, call: Uuid) {
        if let Self::Engine(work) = self {
            work.source_call.get_or_insert(call);
        }
    }

    /// Whether a further try goes on in the middle of a stream.
    pub(crate) fn is_resumption(&self) -> bool {
        self.offset() > 0
    }

    /// Bytes of text held.
    pub(crate) fn offset(&self) -> usize {
        match self {
            Self::Plain { .. } => 0,
            Self::Engine(work) => work.assembly.offset(),
        }
    }

    /// Gets ready for a further try. Text that contradicts itself is generated anew, unless some of
    /// it was passed on.
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

    /// The stage has its result; its tokens served it.
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

    /// How much of the prompt was in the engine's cache, where it says so.
    pub(crate) fn cache_usage(&self) -> Option<CacheUsage> {
        match self {
            Self::Plain { .. } => None,
            Self::Engine(work) => work.usage.cached,
        }
    }

    /// The size of what the endpoint has to read, in bytes.
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
    /// Reads the stream to its end and gives the whole text as a JSON string.
    pub(crate) async fn read(
        &mut self,
        exchange: Exchange,
        pool: &Pool,
        sink: Option<&EventSink>,
        lag_detector: LagDetector<'_>,
    ) -> Result<Box<RawValue>, CallError> {
        let (assembly, usage) = (&mut self.assembly, &mut self.usage);
        let counted_tokens = &mut self.wasted.tokens;
        let lag_detector = lag_detector.with_prompt(&self.prompt);
        let read = engine::read(
            exchange,
            pool,
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

/// Reads a stream to its end on its one connection; the whole text and its tokens.
pub(crate) async fn read_whole(
    exchange: Exchange,
    pool: &Pool,
) -> Result<(Box<RawValue>, u64), CallError> {
    let (mut assembly, mut usage) = (Assembly::default(), StreamUsage::default());
    let counted_tokens = &mut 0;
    engine::read(
        exchange,
        pool,
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
