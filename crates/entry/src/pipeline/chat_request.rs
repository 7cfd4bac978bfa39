//! Reads a chat completion: what it asks for, and the most that it can cost.

use conf::Policy;
use err::{Error, Kind};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

/// A message costs at most this many tokens besides those of its bytes.
const MESSAGE_TOKENS: u64 = 16;
/// A prompt shorter than this, in bytes, is read faster than its cached prefix is worth.
const PREFIX_WORTH: u64 = 2_048;
/// Bytes of the first message by which prompts with one prefix find each other.
const PREFIX_BYTES: usize = 256;

/// A chat completion.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// The model.
    pub model: String,
    /// The most tokens of the answer.
    pub max_tokens: u64,
    /// The most tokens that the prompt can be: no token is shorter than a byte.
    pub max_prompt_tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether a streamed answer ends with its usage.
    pub include_usage: bool,
    /// Hash of the prompt's prefix, where the prompt is long enough for a cache to matter.
    pub prefix_hash: Option<u64>,
    /// Hash of the whole request.
    pub body_hash: u64,
    /// The body for the engine.
    pub engine_body: Value,
}

/// Reads a chat completion.
///
/// # Errors
///
/// Returns `BadRequest` with the field at fault, or `NotAllowed`.
pub fn parse(bytes: &[u8], policy: &Policy) -> Result<ChatRequest, Error> {
    let bad = |m: String| Error::new(Kind::BadRequest, m);
    let mut body: Value =
        serde_json::from_slice(bytes).map_err(|e| bad(format!("the body is not JSON: {e}")))?;
    if !body.is_object() {
        return Err(bad("the body must be an object".to_string()));
    }
    let model = text(&body, "model")?;
    if !policy.models.contains(&model) {
        let message = format!("model {model:?} is not among this customer's");
        return Err(Error::new(Kind::NotAllowed, message));
    }
    let (max_prompt_tokens, prefix) = messages(&body)?;
    let max_tokens = max_tokens(&body, policy)?;
    let stream = flag(&body, "stream")?;
    let include_usage = match &body["stream_options"] {
        Value::Null => false,
        options => flag(options, "include_usage")?,
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
        prefix_hash: Some(prefix).filter(|_| max_prompt_tokens >= PREFIX_WORTH),
        body_hash: xxh3_64(bytes),
        engine_body: body,
    })
}

fn text(body: &Value, field: &str) -> Result<String, Error> {
    match body[field].as_str() {
        Some(text) if !text.is_empty() => Ok(text.to_string()),
        _ => Err(Error::new(
            Kind::BadRequest,
            format!("/{field}: a text is wanted"),
        )),
    }
}

fn flag(body: &Value, field: &str) -> Result<bool, Error> {
    match &body[field] {
        Value::Null => Ok(false),
        Value::Bool(b) => Ok(*b),
        _ => Err(Error::new(
            Kind::BadRequest,
            format!("/{field}: true or false is wanted"),
        )),
    }
}

/// Returns the most tokens of the prompt and the hash of its prefix.
fn messages(body: &Value) -> Result<(u64, u64), Error> {
    let bad = |m: &str| Error::new(Kind::BadRequest, m);
    let list = body["messages"]
        .as_array()
        .filter(|l| !l.is_empty())
        .ok_or_else(|| bad("/messages: a list that is not empty is wanted"))?;
    let mut bound = 0;
    for (i, message) in list.iter().enumerate() {
        let has_role = message["role"].is_string();
        if !has_role {
            return Err(bad(&format!("/messages/{i}/role: a text is wanted")));
        }
        bound += message.to_string().len() as u64 + MESSAGE_TOKENS;
    }
    let first = list[0].to_string();
    let end = first.len().min(PREFIX_BYTES);
    Ok((bound, xxh3_64(&first.as_bytes()[..end])))
}

fn max_tokens(body: &Value, policy: &Policy) -> Result<u64, Error> {
    for field in ["max_completion_tokens", "max_tokens"] {
        let value = &body[field];
        if value.is_null() {
            continue;
        }
        let wanted = value.as_u64().filter(|n| *n > 0);
        let Some(wanted) = wanted else {
            let message = format!("/{field}: a whole number above 0 is wanted");
            return Err(Error::new(Kind::BadRequest, message));
        };
        if wanted > policy.max_tokens {
            let most = policy.max_tokens;
            let message = format!("/{field}: at most {most} for this customer");
            return Err(Error::new(Kind::BadRequest, message));
        }
        return Ok(wanted);
    }
    Ok(policy.max_tokens)
}
