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
    /// A revision of the configuration or of a table row; never decreases. A store that may come
    /// back from an older copy numbers its revisions by era and counter ([`Revision::in_era`]).
    Revision
);
number!(
    /// The number of times that a store has come back from an older copy.
    StoreEra
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

/// Bits of a revision that hold the counter of its era.
const COUNTER_BITS: u32 = 40;

impl Revision {
    /// The revision of a store that had this counter in this era. Revisions of a later era are
    /// greater than all earlier ones, whatever their counters. `None` if a number is too large.
    pub fn in_era(era: StoreEra, counter: u64) -> Option<Revision> {
        let fits = counter >> COUNTER_BITS == 0 && era.0 >> (u64::BITS - COUNTER_BITS) == 0;
        fits.then_some(Revision(era.0 << COUNTER_BITS | counter))
    }

    /// The era of a revision that [`Revision::in_era`] returned.
    pub fn era(self) -> StoreEra {
        StoreEra(self.0 >> COUNTER_BITS)
    }

    /// The counter of a revision that [`Revision::in_era`] returned.
    pub fn counter(self) -> u64 {
        self.0 & ((1 << COUNTER_BITS) - 1)
    }
}
