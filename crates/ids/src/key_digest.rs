//! Digests of caller keys. Only digests are stored, never the secrets.

use std::fmt;
use std::str;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 of a caller key, as 64 hexadecimal digits.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(transparent)]
pub struct KeyDigest(Box<str>);

impl KeyDigest {
    /// The digest of the secret that a caller sent.
    pub fn from_secret(secret: &str) -> KeyDigest {
        let bytes = Sha256::digest(secret.as_bytes());
        KeyDigest(bytes.iter().map(|it| format!("{it:02x}")).collect::<String>().into())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.0)
    }
}

impl str::FromStr for KeyDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        if text.len() != 64 || !text.bytes().all(|it| it.is_ascii_hexdigit()) {
            return Err(DigestError);
        }
        Ok(KeyDigest(text.to_ascii_lowercase().into()))
    }
}

/// The error of a text that is not 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a key digest has 64 hexadecimal digits")]
pub struct DigestError;
