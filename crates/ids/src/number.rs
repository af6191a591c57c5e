//! Number newtypes: counts, rates, revisions.

use std::fmt;
use std::num;
use std::str;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize, JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(
            /// The plain number.
            pub u64,
        );

        impl fmt::Display for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(out)
            }
        }

        impl str::FromStr for $name {
            type Err = num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, num::ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

number!(
    /// One life of a process; a restart takes a greater number.
    Incarnation
);
number!(
    /// A part of a whole, in millionths.
    Millionths
);
number!(
    /// A revision of the configuration or of a table row; it only grows.
    Revision
);
number!(
    /// A number of model tokens.
    TokenCount
);
number!(
    /// Model tokens a second.
    TokenRate
);
number!(
    /// The number of a version of a pool's weights.
    VersionNumber
);

impl Millionths {
    /// The whole.
    pub const ONE: Millionths = Millionths(1_000_000);

    /// The part as a factor between 0 and 1.
    pub fn factor(self) -> f64 {
        self.0 as f64 / Self::ONE.0 as f64
    }
}
