//! Proofs of the shared secret.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Which side proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Side {
    Opener,
    Acceptor,
}

/// The proof that `side` knows the secret, over both nonces.
pub(crate) fn proof(secret: &str, side: Side, opener_nonce: u64, acceptor_nonce: u64) -> [u8; 32] {
    keyed(secret, side, opener_nonce, acceptor_nonce).finalize().into_bytes().into()
}

/// Whether `given` is that proof, compared in constant time.
pub(crate) fn is_proof(
    secret: &str,
    side: Side,
    opener_nonce: u64,
    acceptor_nonce: u64,
    given: &[u8; 32],
) -> bool {
    keyed(secret, side, opener_nonce, acceptor_nonce).verify_slice(given).is_ok()
}

fn keyed(secret: &str, side: Side, opener_nonce: u64, acceptor_nonce: u64) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(secret.as_bytes())
        .expect("this digest takes keys of any length");
    mac.update(match side {
        Side::Opener => b"opener",
        Side::Acceptor => b"accept",
    });
    mac.update(&opener_nonce.to_le_bytes());
    mac.update(&acceptor_nonce.to_le_bytes());
    mac
}
