//! The answers of an engine: whole, or as a stream that fails as told.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dropshot::Body;
use futures::stream;
use http::{HeaderValue, Response, StatusCode};
use web::server::json_answer;

use crate::engine::{EngineFaults, EngineStandIn};
use crate::engine_run::{EngineRun, RunStage};
use crate::faulty_body;

pub(crate) async fn whole_answer(
    engine: &EngineStandIn,
    run: &EngineRun,
    id: &str,
    chat: bool,
) -> Response<Body> {
    let mut stage = run.watch();
    let ended = stage.wait_for(|it| !matches!(it, RunStage::Running(_))).await;
    let ended = ended.map_or(RunStage::Stopped, |it| *it);
    let RunStage::Whole(count) = ended else { return faulty_body::broken_answer() };
    let text: String = (1..=count).filter_map(|it| run.piece(it)).map(String::from).collect();
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
        "usage": usage(run, count),
    });
    json_answer(StatusCode::OK, &answer)
}

fn usage(run: &EngineRun, count: u64) -> serde_json::Value {
    serde_json::json!({
        "prompt_tokens": run.prompt_tokens,
        "completion_tokens": count,
        "total_tokens": run.prompt_tokens + count,
        "prompt_tokens_details": { "cached_tokens": run.cached_tokens },
    })
}

struct StreamState {
    engine: Arc<EngineStandIn>,
    run: Arc<EngineRun>,
    stage: tokio::sync::watch::Receiver<RunStage>,
    id: String,
    chat: bool,
    sent: u64,
    ended: bool,
    faults: EngineFaults,
    faulty: bool,
}

pub(crate) fn stream_answer(
    engine: &Arc<EngineStandIn>,
    run: Arc<EngineRun>,
    id: &str,
    chat: bool,
    after: u64,
) -> Response<Body> {
    let (faults, faulty) = engine.take_stream_fault();
    let stage = run.watch();
    let state = StreamState {
        engine: engine.clone(),
        run,
        stage,
        id: id.into(),
        chat,
        sent: after,
        ended: false,
        faults,
        faulty,
    };
    let pieces = stream::unfold(state, |state| Box::pin(next_piece(state)));
    let mut answer = Response::new(web::stream_body(Box::pin(pieces)));
    let kind = HeaderValue::from_static("text/event-stream");
    answer.headers_mut().insert(http::header::CONTENT_TYPE, kind);
    answer
}

async fn next_piece(mut state: StreamState) -> Option<(io::Result<Bytes>, StreamState)> {
    if state.ended {
        return None;
    }
    if state.faulty && state.faults.cut_after == Some(state.sent) {
        state.ended = true;
        return Some((Err(faulty_body::cut()), state));
    }
    if state.faulty && state.faults.silent_after == Some(state.sent) {
        tokio::time::sleep(Duration::from_secs(3_600)).await;
    }
    let sent = state.sent;
    // The swapped piece is waited for, so that it can go first.
    let ahead = u64::from(state.faults.swap && sent == 1);
    let ready = state.stage.wait_for(|it| match it {
        RunStage::Running(count) => *count > sent + ahead,
        _ => true,
    });
    let stage = ready.await.map_or(RunStage::Stopped, |it| *it);
    let text = match stage {
        RunStage::Stopped => {
            state.ended = true;
            return Some((Err(faulty_body::cut()), state));
        }
        RunStage::Whole(count) if sent >= count => {
            state.ended = true;
            let usage = usage(&state.run, count);
            format!("data: {{\"choices\":[],\"usage\":{usage}}}\n\ndata: [DONE]\n\n")
        }
        _ => numbered(&mut state),
    };
    Some((Ok(text.into()), state))
}

fn numbered(state: &mut StreamState) -> String {
    let number = state.sent + 1;
    state.sent = number;
    let order = match number {
        2 if state.faults.swap && state.run.piece(3).is_some() => {
            state.sent = 3;
            vec![3, 2]
        }
        _ if state.faults.duplicate => vec![number, number],
        _ => vec![number],
    };
    order.into_iter().map(|it| event(state, it)).collect()
}

fn event(state: &StreamState, number: u64) -> String {
    let text = state.run.piece(number).unwrap_or_default();
    let choice = match state.chat {
        true => serde_json::json!({ "index": 0, "delta": { "content": text } }),
        false => serde_json::json!({ "index": 0, "text": text }),
    };
    let object = if state.chat { "chat.completion.chunk" } else { "text_completion" };
    let chunk = serde_json::json!({
        "id": state.id, "object": object, "model": state.engine.config.model, "choices": [choice],
    });
    format!("id: {number}\ndata: {chunk}\n\n")
}
