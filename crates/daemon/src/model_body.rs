//! Parses the body of a model request, and builds the body that engines get.

use bytes::Bytes;
use ids::{CustomerId, ErrorKind, Refusal};
use serde_json::{Map, Value};
use xxhash_rust::xxh3;

/// The API of a model request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ModelApi {
    /// Takes a list of messages.
    Chat,
    /// Takes a prompt as one string.
    Completion,
}

impl ModelApi {
    /// The path that callers and engines use for it.
    pub(crate) fn path(self) -> &'static str {
        match self {
            ModelApi::Chat => "/v1/chat/completions",
            ModelApi::Completion => "/v1/completions",
        }
    }

    pub(crate) fn from_path(path: &str) -> Option<ModelApi> {
        [ModelApi::Chat, ModelApi::Completion].into_iter().find(|it| it.path() == path)
    }
}

/// The parsed body of a model request.
#[derive(Debug, Clone)]
pub(crate) struct ModelBody {
    pub(crate) api: ModelApi,
    pub(crate) model: Box<str>,
    pub(crate) stream: bool,
    /// Maximum tokens of the answer: the request's limit or the default.
    pub(crate) max_tokens: u64,
    /// Whether running it again gives the same answer: it has a seed or temperature 0.
    pub(crate) is_repeatable: bool,
    /// The prompt as one string, in which requests with equal first messages have equal prefixes.
    pub(crate) prompt: Box<str>,
    fields: Map<String, Value>,
}

/// Parses a request body; `default_max_tokens` applies if the body has no limit of tokens.
pub(crate) fn parse_body(
    api: ModelApi,
    body: &[u8],
    default_max_tokens: u64,
) -> Result<ModelBody, Refusal> {
    let value: Value = serde_json::from_slice(body).map_err(|error| invalid(error.to_string()))?;
    let Value::Object(fields) = value else { return Err(invalid("body is not a JSON object")) };
    let model = string_field(&fields, "model")?.ok_or_else(|| invalid("field model is missing"))?;
    let prompt = match api {
        ModelApi::Chat => chat_prompt(&fields)?,
        ModelApi::Completion => {
            string_field(&fields, "prompt")?.ok_or_else(|| invalid("field prompt is missing"))?
        }
    };
    let requested = match number_field(&fields, "max_completion_tokens")? {
        Some(it) => Some(it),
        None => number_field(&fields, "max_tokens")?,
    };
    if requested == Some(0) {
        return Err(invalid("field max_tokens: found 0; allowed: a number above 0"));
    }
    let seeded = fields.get("seed").is_some_and(Value::is_number);
    let greedy = fields.get("temperature").and_then(Value::as_f64) == Some(0.0);
    Ok(ModelBody {
        api,
        model,
        stream: bool_field(&fields, "stream")?,
        max_tokens: requested.unwrap_or(default_max_tokens),
        is_repeatable: seeded || greedy,
        prompt,
        fields,
    })
}

impl ModelBody {
    /// The body for an engine: the caller's fields with the customer's cache scope, a priority (1
    /// if deferrable) and the limit of tokens. Streams are asked to report their usage.
    pub(crate) fn engine_body(&self, customer: Option<&CustomerId>, deferrable: bool) -> Bytes {
        let mut fields = self.fields.clone();
        let scope = customer.map_or(0, |it| xxh3::xxh3_64(it.as_str().as_bytes()));
        fields.insert("cache_salt".into(), format!("{scope:016x}").into());
        fields.insert("priority".into(), u64::from(deferrable).into());
        fields.remove("max_completion_tokens");
        fields.insert("max_tokens".into(), self.max_tokens.into());
        if self.stream {
            fields.insert("stream_options".into(), serde_json::json!({ "include_usage": true }));
        }
        serde_json::to_vec(&fields).unwrap_or_default().into()
    }
}

/// Joins the roles and contents of all messages in order.
fn chat_prompt(fields: &Map<String, Value>) -> Result<Box<str>, Refusal> {
    let messages = fields.get("messages").and_then(Value::as_array);
    let messages =
        messages.ok_or_else(|| invalid("field messages: allowed: a list of messages"))?;
    if messages.is_empty() {
        return Err(invalid("field messages: found an empty list; allowed: at least one message"));
    }
    let mut prompt = String::new();
    for (index, message) in messages.iter().enumerate() {
        let role = message.get("role").and_then(Value::as_str);
        let role = role.ok_or_else(|| {
            invalid(format!("field messages[{index}].role is missing or not a string"))
        })?;
        prompt.push_str(role);
        prompt.push('\n');
        match message.get("content") {
            Some(Value::String(text)) => prompt.push_str(text),
            Some(Value::Null) | None => {}
            // A list of text and image parts: its JSON also identifies the content.
            Some(other) => prompt.push_str(&other.to_string()),
        }
        prompt.push('\n');
    }
    Ok(prompt.into())
}

fn string_field(fields: &Map<String, Value>, name: &str) -> Result<Option<Box<str>>, Refusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(text)) => Ok(Some(text.as_str().into())),
        Some(_) => Err(invalid(format!("field {name}: allowed: a string"))),
    }
}

fn number_field(fields: &Map<String, Value>, name: &str) -> Result<Option<u64>, Refusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64() {
            Some(number) => Ok(Some(number)),
            None => Err(invalid(format!("field {name}: found {value}; allowed: a whole number"))),
        },
    }
}

fn bool_field(fields: &Map<String, Value>, name: &str) -> Result<bool, Refusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(it)) => Ok(*it),
        Some(value) => Err(invalid(format!("field {name}: found {value}; allowed: true or false"))),
    }
}

fn invalid(detail: impl Into<Box<str>>) -> Refusal {
    Refusal::not_run(ErrorKind::BadRequest).detail(detail)
}
