//! Counts requests in flight and callers' open connections, which a stop waits for.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::gateway::Gateway;

/// Counts a request as in flight until this is dropped.
pub(crate) struct InFlightGuard<D, S> {
    gateway: Arc<Gateway<D, S>>,
}

/// Counts a caller's connection as open until this is dropped.
pub(crate) struct ConnectionGuard(Arc<AtomicUsize>);

impl<D, S> Gateway<D, S> {
    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn track_request(self: &Arc<Self>) -> InFlightGuard<D, S> {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { gateway: self.clone() }
    }

    /// Counts a caller's connection as open until the returned guard is dropped.
    pub(crate) fn track_connection(&self) -> ConnectionGuard {
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self.open_connections.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl<D, S> Drop for InFlightGuard<D, S> {
    fn drop(&mut self) {
        self.gateway.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
