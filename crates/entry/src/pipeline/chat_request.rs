//! Parsing of chat completions, and the upper bounds of their cost.

use conf::Policy;
use err::{Error, Kind};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

/// Upper bound of the tokens that a message costs in addition to those of its bytes.
const MESSAGE_OVERHEAD_TOKENS: u64 = 16;
/// Minimum size of a prompt, in bytes, for which the upstream is chosen by the prefix. An engine
/// processes a shorter prompt so fast that a cached prefix is not worth it.
const MIN_PREFIX_PROMPT_BYTES: u64 = 2_048;
/// Number of bytes of the first message that identify the prefix of a prompt.
const PREFIX_HASH_BYTES: usize = 256;

/// A chat completion.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: String,
    /// Maximum number of tokens of the response.
    pub max_tokens: u64,
    /// Upper bound of the tokens of the prompt: no token is shorter than a byte.
    pub max_prompt_tokens: u64,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Whether a streamed response ends with the usage.
    pub include_usage: bool,
    /// Hash of the prefix of the prompt, if the prompt is long enough for prefix caching to matter.
    pub prefix_hash: Option<u64>,
    /// Hash of the body as it was received.
    pub body_hash: u64,
    /// The body to be sent to the engine.
    pub engine_body: Value,
}

/// Parses a chat completion.
///
/// # Errors
///
/// Returns `BadRequest` with the invalid field, or `NotAllowed`.
pub fn parse(bytes: &[u8], policy: &Policy) -> Result<ChatRequest, Error> {
    let bad_request = |m: String| Error::new(Kind::BadRequest, m);
    let mut body: Value = serde_json::from_slice(bytes)
        .map_err(|e| bad_request(format!("the request body is not valid JSON: {e}")))?;
    if !body.is_object() {
        return Err(bad_request(
            "the request body must be a JSON object".to_string(),
        ));
    }
    let model = string_field(&body, "model")?;
    if !policy.models.contains(&model) {
        let message = format!("model {model:?} is not enabled for this customer");
        return Err(Error::new(Kind::NotAllowed, message));
    }
    let (max_prompt_tokens, prefix_hash) = measure_prompt(&body)?;
    let max_tokens = max_tokens(&body, policy)?;
    let stream = bool_field(&body, "stream")?;
    let include_usage = match &body["stream_options"] {
        Value::Null => false,
        options => bool_field(options, "include_usage")?,
    };
    body["stream"] = Value::Bool(true);
    body["stream_options"] = serde_json::json!({"include_usage": true});
    body["max_tokens"] = Value::from(max_tokens);
    if let Some(fields) = body.as_object_mut() {
        fields.remove("max_completion_tokens");
    }
    Ok(ChatRequest {
        model,
        max_tokens,
        max_prompt_tokens,
        stream,
        include_usage,
        prefix_hash: Some(prefix_hash).filter(|_| max_prompt_tokens >= MIN_PREFIX_PROMPT_BYTES),
        body_hash: xxh3_64(bytes),
        engine_body: body,
    })
}

fn string_field(body: &Value, field: &str) -> Result<String, Error> {
    match body[field].as_str() {
        Some(text) if !text.is_empty() => Ok(text.to_string()),
        _ => Err(Error::new(
            Kind::BadRequest,
            format!("/{field}: expected a non-empty string"),
        )),
    }
}

fn bool_field(body: &Value, field: &str) -> Result<bool, Error> {
    match &body[field] {
        Value::Null => Ok(false),
        Value::Bool(b) => Ok(*b),
        _ => Err(Error::new(
            Kind::BadRequest,
            format!("/{field}: expected a boolean"),
        )),
    }
}

/// Returns an upper bound of the tokens of the prompt, and the hash of its prefix.
fn measure_prompt(body: &Value) -> Result<(u64, u64), Error> {
    let bad_request = |m: &str| Error::new(Kind::BadRequest, m);
    let messages = body["messages"]
        .as_array()
        .filter(|l| !l.is_empty())
        .ok_or_else(|| bad_request("/messages: expected a non-empty array"))?;
    let mut max_prompt_tokens = 0;
    for (i, message) in messages.iter().enumerate() {
        let has_role = message["role"].is_string();
        if !has_role {
            return Err(bad_request(&format!(
                "/messages/{i}/role: expected a string"
            )));
        }
        max_prompt_tokens += message.to_string().len() as u64 + MESSAGE_OVERHEAD_TOKENS;
    }
    let first = messages[0].to_string();
    let end = first.len().min(PREFIX_HASH_BYTES);
    Ok((max_prompt_tokens, xxh3_64(&first.as_bytes()[..end])))
}

fn max_tokens(body: &Value, policy: &Policy) -> Result<u64, Error> {
    for field in ["max_completion_tokens", "max_tokens"] {
        let value = &body[field];
        if value.is_null() {
            continue;
        }
        let requested = value.as_u64().filter(|n| *n > 0);
        let Some(requested) = requested else {
            let message = format!("/{field}: expected a positive integer");
            return Err(Error::new(Kind::BadRequest, message));
        };
        if requested > policy.max_tokens {
            let limit = policy.max_tokens;
            let message = format!("/{field}: must be at most {limit} for this customer");
            return Err(Error::new(Kind::BadRequest, message));
        }
        return Ok(requested);
    }
    Ok(policy.max_tokens)
}
