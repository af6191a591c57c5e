//! Starts dropshot servers, and builds JSON answers.

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, Body, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder, ServerContext,
};
use http::{Response, StatusCode};
use serde::Serialize;

/// Why a server did not start.
#[derive(Debug, thiserror::Error)]
#[error("cannot serve on {address}: {cause}")]
pub struct StartError {
    /// The address that it was to listen on.
    pub address: SocketAddr,
    /// The error of the socket or of dropshot.
    pub cause: Box<str>,
}

/// Starts a server of `api` on `address`. Request bodies may have at most `max_body_bytes`.
pub fn start<Context: ServerContext>(
    address: SocketAddr,
    api: ApiDescription<Context>,
    context: Context,
    max_body_bytes: usize,
) -> Result<HttpServer<Context>, StartError> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: max_body_bytes,
        // A handler runs on when its caller disconnects: a claimed call must record its outcome.
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, context, tracing_logger())
        .config(config)
        .start()
        .map_err(|error| StartError { address, cause: error.to_string().into() })
}

/// An answer with a JSON body.
pub fn json_answer(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(Body::with_content(text));
    *answer.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(http::header::CONTENT_TYPE, json);
    answer
}

/// A slog logger for dropshot that forwards warnings and errors to tracing, all as warnings.
fn tracing_logger() -> slog::Logger {
    slog::Logger::root(TracingDrain, slog::o!())
}

struct TracingDrain;

impl slog::Drain for TracingDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        _values: &slog::OwnedKVList,
    ) -> Result<(), slog::Never> {
        if record.level().is_at_least(slog::Level::Warning) {
            tracing::warn!("http: {}", record.msg());
        }
        Ok(())
    }
}
