//! What daemons tell each other of the weights of replicas with several models.

mod fixtures;

use std::time::Duration;

use gateway::fleet::FleetTable;
use gateway::peer_message::{self, ModelWeightStatus, PeerMessage, WeightStatus};
use policy::rendezvous;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(10);

/// A daemon that knows one replica with these models.
fn fleet_with(models: &[(&str, u64)]) -> FleetTable {
    let mut fleet = FleetTable::new("a".parse().expect("an id"), fixtures::TIMEOUTS);
    let mut entry = fixtures::entry("r", false);
    entry.weights = models.iter().map(|it| (it.0.into(), it.1)).collect();
    fleet.apply_listing(NOW, &[entry]);
    fleet
}

fn status(loaded: u64, commanded: u64, accepted: u64) -> WeightStatus {
    let member = rendezvous::hash_member("r");
    WeightStatus { member, incarnation: 1, loaded, commanded, accepted }
}

fn model_status(model: &str, loaded: u64, commanded: u64) -> ModelWeightStatus {
    let WeightStatus { member, incarnation, .. } = status(0, 0, 0);
    ModelWeightStatus { member, incarnation, model: model.into(), loaded, commanded }
}

/// Daemons of the version before name one version for a replica. It is that of its only model; of
/// several models it says nothing, but the number of accepted commands counts.
#[rstest]
#[case::one_model(&[("m", 1)], 5)]
#[case::several_models(&[("m", 1), ("n", 4)], 1)]
fn versions_of_a_whole_replica_count_for_an_only_model(
    #[case] models: &[(&str, u64)],
    #[case] loaded: u64,
) {
    let mut fleet = fleet_with(models);
    assert!(fleet.merge_weight_status(NOW, status(5, 6, 2)));
    let replica = fleet.replicas().next().expect("one is listed");
    assert_eq!(replica.weights.loaded("m"), loaded);
    assert_eq!(replica.is_any_loading(NOW), models.len() == 1);
    assert_eq!((replica.accepted_commands, replica.last_command_at), (2, Some(NOW)));
}

#[test]
fn daemons_with_the_same_weights_of_each_model_have_the_same_digest() {
    let models = [("m", 7), ("n", 1)];
    let (mut left, mut right) = (fleet_with(&models), fleet_with(&models));
    left.merge_model_status(NOW, &model_status("n", 1, 2));
    assert!(left.replicas().all(|it| it.is_loading(NOW, "n") && !it.is_loading(NOW, "m")));
    assert!(left.replicas().all(|it| it.accepts_requests(NOW)));
    assert_ne!(left.weights_digest(), right.weights_digest());
    left.merge_model_status(NOW, &model_status("n", 2, 2));
    left.merge_weight_status(NOW, status(7, 2, 1));
    assert_ne!(left.weights_digest(), right.weights_digest());
    // All that a full report tells.
    for it in left.weight_statuses() {
        right.merge_weight_status(NOW, it);
    }
    for it in left.model_weight_statuses() {
        right.merge_model_status(NOW, &it);
    }
    assert_eq!(left.weights_digest(), right.weights_digest());
}

#[test]
fn weights_that_were_reported_before_the_replica_is_listed_count_by_model() {
    let mut fleet = fleet_with(&[]);
    fleet.apply_listing(NOW, &[]);
    fleet.merge_model_status(NOW, &model_status("n", 3, 3));
    fleet.merge_weight_status(NOW, status(9, 0, 2));
    let mut entry = fixtures::entry("r", false);
    entry.weights = [("m".into(), 1), ("n".into(), 1)].into();
    fleet.apply_listing(NOW, &[entry]);
    let replica = fleet.replicas().next().expect("one is listed");
    assert_eq!((replica.weights.loaded("m"), replica.weights.loaded("n")), (1, 3));
    assert_eq!(replica.accepted_commands, 2);
}

/// The version before reads and writes the message on whole replicas as these bytes. It drops a
/// message of a kind that it does not know, as this one does with the first number that is free.
#[test]
fn the_version_before_reads_whole_replicas_and_drops_single_models() {
    let weights = PeerMessage::Weights(vec![status(2, 3, 4)]);
    let member = rendezvous::hash_member("r").to_le_bytes();
    let before = [&[4, 1, 253], &member[..], &[1, 2, 3, 4]].concat();
    assert_eq!(peer_message::encode(&weights).expect("encodes"), before);
    assert_eq!(peer_message::decode(&before).expect("decodes").0, weights);
    let models = PeerMessage::ModelWeights(vec![model_status("n", 2, 3)]);
    let mut bytes = peer_message::encode(&models).expect("encodes");
    assert_eq!(peer_message::decode(&bytes).expect("decodes").0, models);
    // The version before knows the kinds up to 16.
    assert_eq!(bytes[0], 17);
    bytes[0] += 1;
    assert!(peer_message::decode(&bytes).is_none());
}
