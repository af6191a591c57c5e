//! Newtypes of integers: counts, rates, revisions and incarnations.

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
            /// The value, in the unit of the type.
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
    /// One run of a process; each restart takes a greater number.
    Incarnation
);
number!(
    /// A fraction of a whole, in millionths.
    Millionths
);
number!(
    /// A revision of the configuration or of a table row; never decreases.
    Revision
);
number!(
    /// A number of model tokens.
    TokenCount
);
number!(
    /// Model tokens per second.
    TokenRate
);
number!(
    /// The number of a version of a pool's weights, unique within the pool.
    VersionNumber
);

impl Millionths {
    /// The whole: one million millionths.
    pub const ONE: Millionths = Millionths(1_000_000);

    /// The fraction as a factor, 1.0 for the whole.
    pub fn factor(self) -> f64 {
        self.0 as f64 / Self::ONE.0 as f64
    }
}
