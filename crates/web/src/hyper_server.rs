//! An HTTP server directly on hyper-util, for streams and for programs that must control every
//! header.
//!
//! dropshot leaves Nagle's algorithm on, which delays each small chunk of a stream until the
//! previous one is acknowledged, about 40 ms; and it sets an `x-request-id` of its own on answers.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dropshot::Body;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::body_reader;
use crate::server::StartError;

/// The longest time that a caller may take to send its headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// The delay before the next accept after one that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Connections that the kernel queues until they are accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// A running server. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct HyperServer<C> {
    address: SocketAddr,
    context: Arc<C>,
    stop: watch::Sender<()>,
}

impl<C> HyperServer<C> {
    /// The address that the server listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// The state that the server shares with its handler.
    pub fn context(&self) -> &Arc<C> {
        &self.context
    }

    /// Waits until all tasks of the server have ended. They end only when it is dropped, so while
    /// it is borrowed here this never returns.
    pub async fn wait(&self) {
        self.stop.closed().await;
    }
}

/// Starts a server whose handler gets each request with its body read to the end. A body that is
/// longer than `max_body_bytes` or breaks off is answered with status 400.
pub fn start<C, F, Fut>(
    address: SocketAddr,
    context: Arc<C>,
    max_body_bytes: usize,
    handler: F,
) -> Result<HyperServer<C>, StartError>
where
    C: Send + Sync + 'static,
    F: Fn(Arc<C>, Parts, Bytes) -> Fut + Copy + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    start_streaming(address, context, move |context, request: Request<Incoming>| async move {
        let (parts, body) = request.into_parts();
        match body_reader::read_body(body, max_body_bytes).await {
            Ok(body) => handler(context, parts, body).await,
            Err(_) => {
                let mut answer = Response::new(Body::empty());
                *answer.status_mut() = StatusCode::BAD_REQUEST;
                answer
            }
        }
    })
}

/// Starts a server whose handler reads each request's body itself. The handler's future is dropped
/// when its caller's connection closes.
pub fn start_streaming<C, F, Fut>(
    address: SocketAddr,
    context: Arc<C>,
    handler: F,
) -> Result<HyperServer<C>, StartError>
where
    C: Send + Sync + 'static,
    F: Fn(Arc<C>, Request<Incoming>) -> Fut + Copy + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let listener =
        listen(address).map_err(|error| StartError { address, cause: error.to_string().into() })?;
    let address = listener.local_addr().unwrap_or(address);
    let (stop, stopped) = watch::channel(());
    let shared = context.clone();
    tokio::spawn(async move {
        let mut stopping = stopped.clone();
        loop {
            let accepted = tokio::select! {
                res = listener.accept() => res,
                _ = stopping.changed() => return,
            };
            let Ok((stream, _)) = accepted else {
                // Most likely the process is out of file descriptors until some connection closes.
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let connection = serve_connection(stream, shared.clone(), handler);
            let mut stopping = stopped.clone();
            tokio::spawn(async move {
                tokio::select! {
                    () = connection => {}
                    _ = stopping.changed() => {}
                }
            });
        }
    });
    Ok(HyperServer { address, context, stop })
}

/// Listens on an address, also while closed connections of an earlier server on it are in
/// TIME_WAIT.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

async fn serve_connection<C, F, Fut>(stream: TcpStream, context: Arc<C>, handler: F)
where
    C: Send + Sync + 'static,
    F: Fn(Arc<C>, Request<Incoming>) -> Fut + Copy + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = hyper::service::service_fn(move |request: Request<Incoming>| {
        let answer = handler(context.clone(), request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder.http1().timer(rt::TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    builder.http2().timer(rt::TokioTimer::new());
    // The handlers of a broken connection are dropped with it, so its error needs no handling.
    let _ = builder.serve_connection(rt::TokioIo::new(stream), service).await;
}
