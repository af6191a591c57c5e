//! What one daemon is told at its start.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use ids::{FailureDomain, InstanceId};
use policy::peer_tree::InstanceCapacity;

/// Where settings come from.
pub trait SettingsSource: Send + Sync + 'static {
    /// Reads and checks them; what is wrong with them, one line each.
    fn read(&self) -> Result<GatewaySettings, Box<str>>;
}

/// The settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// This daemon.
    pub instance: InstanceId,
    /// Where it fails together with others.
    pub domain: FailureDomain,
    /// The address its peers reach it at.
    pub address: IpAddr,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this daemon takes callers, and metrics are read.
    pub readiness: SocketAddr,
    /// The UDP port of all daemons.
    pub peer_port: u16,
    /// Daemons that may know others.
    pub seeds: Vec<IpAddr>,
    /// How much its instance can carry.
    pub capacity: InstanceCapacity,
    /// Threads that serve.
    pub workers: usize,
    /// File descriptors for sockets.
    pub sockets: usize,
    /// Bounds that hold on this deployment.
    pub bounds: GatewayBounds,
}

impl GatewaySettings {
    /// These settings with all of `fresh` that may change while a daemon runs. Who and where it is,
    /// and how much its instance can carry, stays until its next start.
    pub fn reloaded(&self, fresh: &GatewaySettings) -> GatewaySettings {
        GatewaySettings { seeds: fresh.seeds.clone(), bounds: fresh.bounds.clone(), ..self.clone() }
    }
}

/// Bounds of one deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewayBounds {
    /// A leaving replica gets nothing after this time.
    pub drain: Duration,
    /// A stop may take this long.
    pub grace: Duration,
    /// A daemon counts as being in touch after this time without trouble.
    pub contact: Duration,
    /// A configuration is in force after this time.
    pub config_apply: Duration,
    /// Retries as a share of requests.
    pub retry_ratio: f64,
    /// Retries allowed beyond the share, over all daemons.
    pub retry_slack: f64,
    /// Window in which a customer's tokens are counted.
    pub quota_window: Duration,
    /// Share by which a customer may exceed its rate.
    pub quota_overage: f64,
    /// Tokens by which it may exceed its rate besides.
    pub quota_slack: f64,
    /// Orders of different holders keep this distance.
    pub lease: Duration,
    /// New weights are in place everywhere after this time.
    pub version: Duration,
}
