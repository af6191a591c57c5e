//! Seeds of runs that once failed; `cargo xtask soak` without a seed repeats them.

/// Pairs of a seed and the cause of its failure.
pub(crate) const REGRESSION_SEEDS: &[(u64, &str)] = &[];
