//! The answers of an engine: one JSON body, or an event stream with injected faults.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dropshot::Body;
use futures::stream;
use http::{HeaderValue, Response, StatusCode};
use web::server::json_answer;

use crate::engine::{EngineFaults, EngineStandIn};
use crate::engine_run::{EngineGeneration, GenerationState};
use crate::faulty_body;

/// Waits for the end of the generation and answers with all its tokens in one body. If it is
/// stopped before its end, the connection is reset.
pub(crate) async fn complete_answer(
    engine: &EngineStandIn,
    generation: &EngineGeneration,
    id: &str,
    chat: bool,
) -> Response<Body> {
    let mut state = generation.subscribe();
    let ended = state.wait_for(|it| !matches!(it, GenerationState::Running(_))).await;
    let ended = ended.map_or(GenerationState::Stopped, |it| *it);
    let GenerationState::Complete(count) = ended else { return faulty_body::truncated_answer() };
    let text: String =
        (1..=count).filter_map(|it| generation.token(it)).map(String::from).collect();
    let choice = match chat {
        true => serde_json::json!({
            "index": 0, "finish_reason": "stop",
            "message": { "role": "assistant", "content": text },
        }),
        false => serde_json::json!({ "index": 0, "finish_reason": "stop", "text": text }),
    };
    let answer = serde_json::json!({
        "id": id,
        "object": if chat { "chat.completion" } else { "text_completion" },
        "model": engine.config.model,
        "choices": [choice],
        "usage": usage(generation, count),
    });
    json_answer(StatusCode::OK, &answer)
}

fn usage(generation: &EngineGeneration, count: u64) -> serde_json::Value {
    serde_json::json!({
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": count,
        "total_tokens": generation.prompt_tokens + count,
        "prompt_tokens_details": { "cached_tokens": generation.cached_tokens },
    })
}

/// The position of one event stream in its generation, and the faults injected into it.
struct EventStream {
    engine: Arc<EngineStandIn>,
    generation: Arc<EngineGeneration>,
    progress: tokio::sync::watch::Receiver<GenerationState>,
    id: String,
    chat: bool,
    sent: u64,
    ended: bool,
    faults: EngineFaults,
    inject_fault: bool,
}

/// Answers with the tokens after number `after` as an event stream.
pub(crate) fn stream_answer(
    engine: &Arc<EngineStandIn>,
    generation: Arc<EngineGeneration>,
    id: &str,
    chat: bool,
    after: u64,
) -> Response<Body> {
    let (faults, inject_fault) = engine.take_stream_fault();
    let progress = generation.subscribe();
    let stream = EventStream {
        engine: engine.clone(),
        generation,
        progress,
        id: id.into(),
        chat,
        sent: after,
        ended: false,
        faults,
        inject_fault,
    };
    let chunks = stream::unfold(stream, |stream| Box::pin(next_chunk(stream)));
    let mut answer = Response::new(web::stream_body(Box::pin(chunks)));
    let content_type = HeaderValue::from_static("text/event-stream");
    answer.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    answer
}

/// Waits for the next token and returns the bytes to send, or the error that resets the connection;
/// `None` after the end.
async fn next_chunk(mut stream: EventStream) -> Option<(io::Result<Bytes>, EventStream)> {
    if stream.ended {
        return None;
    }
    if stream.inject_fault && stream.faults.cut_after == Some(stream.sent) {
        stream.ended = true;
        return Some((Err(faulty_body::reset_error()), stream));
    }
    if stream.inject_fault && stream.faults.silent_after == Some(stream.sent) {
        tokio::time::sleep(Duration::from_secs(3_600)).await;
    }
    let sent = stream.sent;
    // With the `swap` fault, token 3 is sent before token 2, so both must be there.
    let lookahead = u64::from(stream.faults.swap && sent == 1);
    let ready = stream.progress.wait_for(|it| match it {
        GenerationState::Running(count) => *count > sent + lookahead,
        _ => true,
    });
    let progress = ready.await.map_or(GenerationState::Stopped, |it| *it);
    let text = match progress {
        GenerationState::Stopped => {
            stream.ended = true;
            return Some((Err(faulty_body::reset_error()), stream));
        }
        GenerationState::Complete(count) if sent >= count => {
            stream.ended = true;
            let usage = usage(&stream.generation, count);
            format!("data: {{\"choices\":[],\"usage\":{usage}}}\n\ndata: [DONE]\n\n")
        }
        _ => next_events(&mut stream),
    };
    Some((Ok(text.into()), stream))
}

/// The next token as an event; more than one event with the `swap` or `duplicate` fault.
fn next_events(stream: &mut EventStream) -> String {
    let number = stream.sent + 1;
    stream.sent = number;
    let numbers = match number {
        2 if stream.faults.swap && stream.generation.token(3).is_some() => {
            stream.sent = 3;
            vec![3, 2]
        }
        _ if stream.faults.duplicate => vec![number, number],
        _ => vec![number],
    };
    numbers.into_iter().map(|it| format_event(stream, it)).collect()
}

fn format_event(stream: &EventStream, number: u64) -> String {
    let text = stream.generation.token(number).unwrap_or_default();
    let choice = match stream.chat {
        true => serde_json::json!({ "index": 0, "delta": { "content": text } }),
        false => serde_json::json!({ "index": 0, "text": text }),
    };
    let object = if stream.chat { "chat.completion.chunk" } else { "text_completion" };
    let chunk = serde_json::json!({
        "id": stream.id, "object": object, "model": stream.engine.config.model, "choices": [choice],
    });
    format!("id: {number}\ndata: {chunk}\n\n")
}
