//! The listener for the load balancer's health checks and for metrics.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use web::logs;

use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::front;
use crate::gateway::Gateway;

/// Answers health checks and `/metrics` until the process ends. Any other path answers 200 while
/// this daemon accepts callers, else 503.
pub(crate) async fn serve<D: Dialect, S: Directory>(
    gateway: Arc<Gateway<D, S>>,
    listener: TcpListener,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(front::ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let gateway = gateway.clone();
        tokio::spawn(async move {
            let handler = service::service_fn(|request| {
                let response = answer(&gateway, &request);
                async { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), handler);
            if let Err(error) = served.await {
                tracing::debug!("readiness: connection ended: {error}");
            }
        });
    }
}

fn answer<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    if request.uri().path() == "/metrics" {
        let text = gateway.metrics.encode(gateway.sample_gauges(), logs::dropped_lines());
        return Response::new(Full::new(text.into()));
    }
    let mut response = Response::new(Full::new(Bytes::new()));
    if !gateway.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
