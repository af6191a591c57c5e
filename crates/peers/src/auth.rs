//! HMAC proofs that both ends of a connection know the shared secret.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// The end of a connection that computes a proof. The proofs of both roles differ, so that neither
/// end can pass by sending the other's proof back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    Initiator,
    Responder,
}

/// The HMAC-SHA-256 of the role and both nonces, keyed with the secret.
pub(crate) fn compute_proof(
    secret: &str,
    role: Role,
    initiator_nonce: u64,
    responder_nonce: u64,
) -> [u8; 32] {
    build_mac(secret, role, initiator_nonce, responder_nonce).finalize().into_bytes().into()
}

/// Whether `given` is the proof that [`compute_proof`] returns, compared in constant time.
pub(crate) fn verify_proof(
    secret: &str,
    role: Role,
    initiator_nonce: u64,
    responder_nonce: u64,
    given: &[u8; 32],
) -> bool {
    build_mac(secret, role, initiator_nonce, responder_nonce).verify_slice(given).is_ok()
}

fn build_mac(secret: &str, role: Role, initiator_nonce: u64, responder_nonce: u64) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(secret.as_bytes())
        .expect("HMAC takes keys of any length");
    // These texts are part of the protocol: daemons of other releases compute the same proofs.
    mac.update(match role {
        Role::Initiator => b"opener",
        Role::Responder => b"accept",
    });
    mac.update(&initiator_nonce.to_le_bytes());
    mac.update(&responder_nonce.to_le_bytes());
    mac
}
