//! The body of a model request, as callers send it and as engines get it.

use bytes::Bytes;
use ids::{CustomerId, ErrorKind, Refusal};
use serde_json::{Map, Value};
use xxhash_rust::xxh3;

/// Which of the two APIs a request uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ModelApi {
    Chat,
    Plain,
}

impl ModelApi {
    pub(crate) fn path(self) -> &'static str {
        match self {
            ModelApi::Chat => "/v1/chat/completions",
            ModelApi::Plain => "/v1/completions",
        }
    }

    pub(crate) fn of_path(path: &str) -> Option<ModelApi> {
        [ModelApi::Chat, ModelApi::Plain].into_iter().find(|it| it.path() == path)
    }
}

/// A model request that was read and checked.
#[derive(Debug, Clone)]
pub(crate) struct ModelBody {
    pub(crate) api: ModelApi,
    pub(crate) model: Box<str>,
    pub(crate) stream: bool,
    pub(crate) max_tokens: u64,
    /// Running it again gives the same answer.
    pub(crate) repeats: bool,
    /// The prompt, laid out so that equal beginnings are equal bytes.
    pub(crate) prompt: Box<str>,
    fields: Map<String, Value>,
}

/// Reads a request body.
pub(crate) fn read_body(
    api: ModelApi,
    body: &[u8],
    default_max_tokens: u64,
) -> Result<ModelBody, Refusal> {
    let value: Value = serde_json::from_slice(body).map_err(|error| bad(error.to_string()))?;
    let Value::Object(fields) = value else { return Err(bad("the body is no JSON object")) };
    let model = text_field(&fields, "model")?.ok_or_else(|| bad("field model is missing"))?;
    let prompt = match api {
        ModelApi::Chat => chat_prompt(&fields)?,
        ModelApi::Plain => {
            text_field(&fields, "prompt")?.ok_or_else(|| bad("field prompt is missing"))?
        }
    };
    let asked = match number_field(&fields, "max_completion_tokens")? {
        Some(it) => Some(it),
        None => number_field(&fields, "max_tokens")?,
    };
    if asked == Some(0) {
        return Err(bad("field max_tokens: found 0; allowed: a number above 0"));
    }
    let seeded = fields.get("seed").is_some_and(Value::is_number);
    let cold = fields.get("temperature").and_then(Value::as_f64) == Some(0.0);
    Ok(ModelBody {
        api,
        model,
        stream: bool_field(&fields, "stream")?,
        max_tokens: asked.unwrap_or(default_max_tokens),
        repeats: seeded || cold,
        prompt,
        fields,
    })
}

impl ModelBody {
    /// The body an engine gets: with a cache scope, a priority and a limit of tokens.
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

fn chat_prompt(fields: &Map<String, Value>) -> Result<Box<str>, Refusal> {
    let messages = fields.get("messages").and_then(Value::as_array);
    let messages = messages.ok_or_else(|| bad("field messages: allowed: a list of messages"))?;
    if messages.is_empty() {
        return Err(bad("field messages: found an empty list; allowed: at least one message"));
    }
    let mut prompt = String::new();
    for (index, message) in messages.iter().enumerate() {
        let role = message.get("role").and_then(Value::as_str);
        let role = role.ok_or_else(|| bad(format!("field messages[{index}].role is no text")))?;
        prompt.push_str(role);
        prompt.push('\n');
        match message.get("content") {
            Some(Value::String(text)) => prompt.push_str(text),
            Some(Value::Null) | None => {}
            // Parts of text and images: their JSON is as good a key as any.
            Some(other) => prompt.push_str(&other.to_string()),
        }
        prompt.push('\n');
    }
    Ok(prompt.into())
}

fn text_field(fields: &Map<String, Value>, name: &str) -> Result<Option<Box<str>>, Refusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(text)) => Ok(Some(text.as_str().into())),
        Some(_) => Err(bad(format!("field {name}: allowed: a text"))),
    }
}

fn number_field(fields: &Map<String, Value>, name: &str) -> Result<Option<u64>, Refusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64() {
            Some(number) => Ok(Some(number)),
            None => Err(bad(format!("field {name}: found {value}; allowed: a whole number"))),
        },
    }
}

fn bool_field(fields: &Map<String, Value>, name: &str) -> Result<bool, Refusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(it)) => Ok(*it),
        Some(value) => Err(bad(format!("field {name}: found {value}; allowed: true or false"))),
    }
}

fn bad(detail: impl Into<Box<str>>) -> Refusal {
    Refusal::not_run(ErrorKind::BadRequest).detail(detail)
}
