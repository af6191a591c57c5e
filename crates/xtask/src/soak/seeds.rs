//! Seeds of runs that failed once, with the cause; each is played again as a regression case.

/// Seed and cause.
pub(crate) const REGRESSIONS: &[(u64, &str)] = &[];
