//! Passes on what daemons learn of replicas' weights.

use std::net::IpAddr;

use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::gateway::{Gateway, lock};
use crate::peer_message::{ModelWeightStatus, PeerMessage, WeightStatus};

/// Merges weight statuses, wakes the tasks that wait for them and forwards those that changed
/// anything.
pub(crate) fn publish<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    statuses: &[WeightStatus],
    source: Option<IpAddr>,
) {
    let now = gateway.now();
    let changed: Vec<WeightStatus> = {
        let mut fleet = lock(&gateway.fleet);
        statuses.iter().filter(|it| fleet.merge_weight_status(now, **it)).copied().collect()
    };
    if !changed.is_empty() {
        forward(gateway, PeerMessage::Weights(changed), source);
    }
}

/// The same for models of replicas with several.
pub(crate) fn publish_models<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    statuses: &[ModelWeightStatus],
    source: Option<IpAddr>,
) {
    let now = gateway.now();
    let changed: Vec<ModelWeightStatus> = {
        let mut fleet = lock(&gateway.fleet);
        statuses.iter().filter(|it| fleet.merge_model_status(now, it)).cloned().collect()
    };
    if !changed.is_empty() {
        forward(gateway, PeerMessage::ModelWeights(changed), source);
    }
}

fn forward<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    message: PeerMessage,
    source: Option<IpAddr>,
) {
    gateway.view_changed.notify_waiters();
    gateway.capacity_freed.notify_waiters();
    let now = gateway.now();
    let to = lock(&gateway.members).gossip_peers(now).forward_targets(source);
    gateway.peer_socket.send(now, &to, &message);
}

/// Sends the weights of replicas with several models, behind a report with the weights of all.
pub(crate) fn send_model_weights<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, to: &[IpAddr]) {
    let statuses = lock(&gateway.fleet).model_weight_statuses();
    if !statuses.is_empty() {
        gateway.peer_socket.send(gateway.now(), to, &PeerMessage::ModelWeights(statuses));
    }
}
