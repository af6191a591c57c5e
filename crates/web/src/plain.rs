//! A bare HTTP server, for programs that must control every header: dropshot puts an
//! `x-request-id` of its own on each answer.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use dropshot::Body;
use http::request::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::server::StartError;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// A running server; dropped, it closes its listener and all connections.
#[derive(Debug)]
pub struct PlainServer<C> {
    address: SocketAddr,
    context: Arc<C>,
    stop: watch::Sender<()>,
}

impl<C> PlainServer<C> {
    /// Where it listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// What its handler shares.
    pub fn context(&self) -> &Arc<C> {
        &self.context
    }

    /// Waits until the server is dropped elsewhere, that is for ever.
    pub async fn wait(&self) {
        self.stop.closed().await;
    }
}

/// Starts a server whose handler gets each request read whole.
pub fn start<C, F, Fut>(
    address: SocketAddr,
    context: Arc<C>,
    max_body_bytes: usize,
    handler: F,
) -> Result<PlainServer<C>, StartError>
where
    C: Send + Sync + 'static,
    F: Fn(Arc<C>, Parts, Bytes) -> Fut + Copy + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let listener =
        listen(address).map_err(|error| StartError { address, cause: error.to_string().into() })?;
    let address = listener.local_addr().unwrap_or(address);
    let (stop, stopped) = watch::channel(());
    let shared = context.clone();
    tokio::spawn(async move {
        let mut ending = stopped.clone();
        loop {
            let accepted = tokio::select! {
                res = listener.accept() => res,
                _ = ending.changed() => return,
            };
            let Ok((stream, _)) = accepted else { continue };
            let connection = serve_connection(stream, shared.clone(), max_body_bytes, handler);
            let mut ending = stopped.clone();
            tokio::spawn(async move {
                tokio::select! {
                    () = connection => {}
                    _ = ending.changed() => {}
                }
            });
        }
    });
    Ok(PlainServer { address, context, stop })
}

/// Listens on an address again even if connections of an earlier server linger on it.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn serve_connection<C, F, Fut>(
    stream: TcpStream,
    context: Arc<C>,
    max_body_bytes: usize,
    handler: F,
) where
    C: Send + Sync + 'static,
    F: Fn(Arc<C>, Parts, Bytes) -> Fut + Copy + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = hyper::service::service_fn(move |request: Request<Incoming>| {
        let context = context.clone();
        async move {
            let (parts, body) = request.into_parts();
            let whole = Limited::new(body, max_body_bytes).collect().await;
            let body = whole.map_err(|error| std::io::Error::other(error.to_string()))?.to_bytes();
            Ok::<_, std::io::Error>(handler(context, parts, body).await)
        }
    });
    let builder = auto::Builder::new(rt::TokioExecutor::new());
    // A connection that broke tells nobody here anything new.
    let _ = builder.serve_connection(rt::TokioIo::new(stream), service).await;
}
