//! Deterministic stage outputs: each is a pure function of its inputs, which reveals a response that
//! was delivered to the wrong request.

use declaration::{Declaration, ServiceKind};
use serde_json::{Value, json};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Minimum number of tokens of a generation without a length tag.
const MIN_TOKENS: u64 = 8;
/// Number of distinct token counts from [`MIN_TOKENS`] upwards.
const TOKEN_COUNT_RANGE: u64 = 40;
/// Token texts; some have characters of several bytes.
const TOKEN_TEXTS: [&str; 16] = [
    " ice",
    " tug",
    " é",
    " 冰",
    " watch",
    " ساعة",
    " lead",
    " barge",
    " ⚓",
    " dial",
    " Ü",
    " ferry",
    " crown",
    " 🧊",
    " log",
    " wharf",
];

/// Returns the XXH3 hash of `bytes` as 16 hexadecimal digits.
pub fn digest(bytes: &[u8]) -> String {
    format!("{:016x}", xxh3_64(bytes))
}

/// Returns the prompt for `value`: a string itself, an object's `prompt` string, or else its JSON.
pub fn prompt_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Object(members) => match members.get("prompt") {
            Some(Value::String(text)) => text.clone(),
            _ => value.to_string(),
        },
        other => other.to_string(),
    }
}

/// Returns the content of the tag `[#…]`, which identifies a caller's request in all stage inputs.
pub fn find_subject(text: &str) -> Option<&str> {
    find_tag(text, "[#")
}

fn find_tag<'a>(text: &'a str, opening: &str) -> Option<&'a str> {
    let (_, rest) = text.split_once(opening)?;
    let (inside, _) = rest.split_once(']')?;
    Some(inside)
}

/// Returns the output of `service` for the request's `input` and the `previous` stage's output.
pub fn stage_output(service: &str, input: &Value, previous: &Value) -> Value {
    let input_digest = digest(input.to_string().as_bytes());
    let previous_digest = digest(previous.to_string().as_bytes());
    let source = if previous.is_null() { input } else { previous };
    let prompt = prompt_text(source);
    json!({
        "service": service,
        "input_digest": input_digest,
        "previous_digest": previous_digest,
        "prompt": format!("{prompt} <{service}:{previous_digest}>"),
    })
}

/// Returns the tokens that an engine of `service` generates for `prompt`, at most `max_tokens`.
///
/// A tag `[len:N]` in the prompt sets their number. The first token is the prompt's hash.
pub fn engine_tokens(service: &str, prompt: &str, max_tokens: u32) -> Vec<String> {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), xxh3_64(service.as_bytes()));
    let requested = find_tag(prompt, "[len:").and_then(|n| n.parse().ok());
    let length = requested.unwrap_or(MIN_TOKENS + hash % TOKEN_COUNT_RANGE);
    let length = length.min(u64::from(max_tokens)).max(1);
    (0..length).map(|i| token(hash, i)).collect()
}

fn token(hash: u64, i: u64) -> String {
    if i == 0 {
        return format!("{hash:016x}");
    }
    let token_hash = xxh3_64_with_seed(&i.to_le_bytes(), hash);
    TOKEN_TEXTS[(token_hash % TOKEN_TEXTS.len() as u64) as usize].to_owned()
}

/// Returns the concatenated tokens of [`engine_tokens`].
pub fn engine_text(service: &str, prompt: &str, max_tokens: u32) -> String {
    engine_tokens(service, prompt, max_tokens).concat()
}

/// Returns the correct output of `pipeline` for `input`; `None` if the pipeline or one of its services
/// is not declared.
pub fn expected_output(declaration: &Declaration, pipeline: &str, input: &Value) -> Option<Value> {
    let mut previous = Value::Null;
    for stage in &declaration.pipelines.get(pipeline)?.stages {
        let service = declaration.services.get(stage)?;
        previous = match service.kind {
            ServiceKind::Engine => {
                let source = if previous.is_null() { input } else { &previous };
                let prompt = prompt_text(source);
                Value::String(engine_text(stage, &prompt, service.max_tokens))
            }
            _ => stage_output(stage, input, &previous),
        };
    }
    Some(previous)
}
