//! Starting dropshot servers.

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, Body, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder, ServerContext,
};
use http::{Method, Response, StatusCode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The path segments of a request that one handler serves whatever its path.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct AnyPath {
    /// The segments.
    #[allow(dead_code, reason = "declares the wildcard to the router")]
    pub path: Vec<String>,
}

/// Why a server did not start.
#[derive(Debug, thiserror::Error)]
#[error("cannot serve on {address}: {cause}")]
pub struct StartError {
    /// Where it was to listen.
    pub address: SocketAddr,
    /// What went wrong.
    pub cause: Box<str>,
}

/// The methods that [`register_any`](crate::register_any) registers.
pub const ANY_METHODS: [Method; 7] = [
    Method::GET,
    Method::HEAD,
    Method::POST,
    Method::PUT,
    Method::PATCH,
    Method::DELETE,
    Method::OPTIONS,
];

/// Registers a handler for every method on every path. A macro, because the trait of handlers is
/// private to dropshot.
#[macro_export]
macro_rules! register_any {
    ($api:expr, $handler:path) => {
        for method in $crate::server::ANY_METHODS {
            let endpoint = dropshot::ApiEndpoint::new(
                format!("any_{method}"),
                $handler,
                method,
                "application/octet-stream",
                "/{path:.*}",
                dropshot::ApiEndpointVersions::All,
            );
            $api.register(endpoint.visible(false))
                .expect("methods differ, so endpoints cannot clash");
        }
    };
}

/// Starts a server.
pub fn start<Context: ServerContext>(
    address: SocketAddr,
    api: ApiDescription<Context>,
    context: Context,
    max_body_bytes: usize,
) -> Result<HttpServer<Context>, StartError> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: max_body_bytes,
        // Work goes on when a caller leaves: a claimed call must record its outcome.
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, context, bridge())
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

/// A slog logger that hands warnings and errors to tracing.
fn bridge() -> slog::Logger {
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
