//! The settings of one daemon, most of which stay the same until its next start.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use ids::{FailureDomain, InstanceId};
use policy::cold_pace::ColdAllowance;
use policy::home_areas::DomainRegions;
use policy::peer_tree::InstanceCapacity;

/// A source of settings, such as a file, that can be read again while the daemon runs.
pub trait SettingsSource: Send + Sync + 'static {
    /// Reads and checks the settings. The error lists what is wrong, one line each.
    fn read(&self) -> Result<GatewaySettings, Box<str>>;
}

/// The settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// This daemon's instance.
    pub instance: InstanceId,
    /// The failure domain that it runs in.
    pub domain: FailureDomain,
    /// The address at which peers reach it.
    pub peer_address: IpAddr,
    /// The listen address for callers.
    pub caller_address: SocketAddr,
    /// The listen address for health checks of the load balancer and for metrics.
    pub readiness_address: SocketAddr,
    /// The UDP port for messages between daemons, the same for all of them.
    pub peer_port: u16,
    /// Addresses of daemons that a new daemon asks for the others.
    pub seeds: Vec<IpAddr>,
    /// The capacity of its instance; daemons with more become hubs first.
    pub capacity: InstanceCapacity,
    /// Number of worker threads.
    pub worker_threads: usize,
    /// Maximum number of file descriptors used for sockets.
    pub max_sockets: usize,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// The region of each failure domain.
    pub domain_regions: DomainRegions,
    /// Time limits and allowances of this deployment.
    pub bounds: GatewayBounds,
}

impl GatewaySettings {
    /// These settings with those values of `fresh` that may change while a daemon runs: seeds,
    /// regions and bounds. Identity, addresses and capacity stay until the next start.
    pub fn reloaded(&self, fresh: &GatewaySettings) -> GatewaySettings {
        GatewaySettings {
            seeds: fresh.seeds.clone(),
            domain_regions: fresh.domain_regions.clone(),
            bounds: fresh.bounds.clone(),
            ..self.clone()
        }
    }
}

/// Time limits and allowances of one deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewayBounds {
    /// Time after which a leaving replica gets no requests.
    pub drain: Duration,
    /// Time that a shutdown may take.
    pub grace: Duration,
    /// Time without faults after which a daemon is expected to be in contact with the store and its
    /// peers.
    pub contact: Duration,
    /// Time within which a new configuration is in force on all daemons.
    pub config_apply: Duration,
    /// Time within which an evacuation is in force on all daemons; `None` if that of a new
    /// configuration is soon enough.
    pub evacuate: Option<Duration>,
    /// Retries allowed as a share of requests.
    pub retry_ratio: f64,
    /// Retries allowed beyond that share, over all daemons.
    pub retry_slack: f64,
    /// The window over which a customer's tokens are counted.
    pub quota_window: Duration,
    /// The share by which a customer may exceed its rate in a window.
    pub quota_overage: f64,
    /// Tokens by which a customer may exceed its rate in a window, in addition to that share.
    pub quota_slack: f64,
    /// Minimum time between commands that different lease holders send to one replica.
    pub lease: Duration,
    /// Time within which published weights are loaded on all replicas.
    pub version: Duration,
    /// Share of a pool's requests that a bad release may get while it is rolled out.
    pub rollout_exposure: f64,
    /// Whether engines get no more prompts than they can begin in time; the others wait or are
    /// refused.
    pub limits_engine_load: bool,
    /// By how much requests to a cold replica may exceed its rate in any one second.
    pub cold: ColdAllowance,
    /// Whether replicas that start or recover are paced by how they answer.
    pub paces_recovery: bool,
}

impl GatewayBounds {
    /// Time within which what operators set must be in force on all daemons.
    pub(crate) fn control_bound(&self) -> Duration {
        self.evacuate.map_or(self.config_apply, |it| it.min(self.config_apply))
    }
}
