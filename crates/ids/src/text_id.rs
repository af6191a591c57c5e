//! Text ids: short ASCII texts that need no escaping in paths, row keys and logs.

use std::fmt;
use std::str;

use schemars::JsonSchema;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// The longest text id, in bytes.
const MAX_ID_BYTES: usize = 96;

/// Why a text is not a valid id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The text is empty or longer than 96 bytes; holds its length.
    #[error("an id has 1 to 96 bytes, found {0}")]
    Length(usize),
    /// The text holds a character outside the allowed set; holds the first one.
    #[error("an id holds letters, digits, '-', '_' and '.', found {0:?}")]
    Character(char),
}

fn check_id(text: &str) -> Result<(), IdError> {
    if text.is_empty() || text.len() > MAX_ID_BYTES {
        return Err(IdError::Length(text.len()));
    }
    let invalid = text.chars().find(|it| !it.is_ascii_alphanumeric() && !"-_.".contains(*it));
    match invalid {
        Some(it) => Err(IdError::Character(it)),
        None => Ok(()),
    }
}

/// Deserializes an id from a borrowed text, without an owned copy in between: every message
/// between peers holds ids.
struct IdVisitor;

impl de::Visitor<'_> for IdVisitor {
    type Value = Box<str>;

    fn expecting(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("an id of 1 to 96 letters, digits, '-', '_' and '.'")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Box<str>, E> {
        check_id(text).map_err(E::custom)?;
        Ok(text.into())
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, JsonSchema)]
        pub struct $name(Box<str>);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl str::FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_id(text)?;
                Ok(Self(text.into()))
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                deserializer.deserialize_str(IdVisitor).map(Self)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                out.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// A customer: the party whose rate and requests are kept separate from others'.
    CustomerId
);
text_id!(
    /// A failure domain: a set of instances and targets that may fail together.
    FailureDomain
);
text_id!(
    /// One daemon's place in the platform's list of instances.
    InstanceId
);
text_id!(
    /// A caller key, by the name that operators use; never the secret.
    KeyId
);
text_id!(
    /// One move of a pool from one version of its weights to another.
    MoveId
);
text_id!(
    /// A pool: the replicas that serve one model or one plain service.
    PoolId
);
text_id!(
    /// One attempt of one request; sent to the target as `x-request-id`.
    RequestId
);
text_id!(
    /// A route from callers to a pool.
    RouteId
);
text_id!(
    /// One target: a replica of a model engine or of a plain service.
    TargetId
);
