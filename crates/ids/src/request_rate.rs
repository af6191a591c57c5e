//! A rate of requests.

use std::fmt;
use std::str;

/// Requests per second, zero or more.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// Why a text or number is no rate of requests.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a rate of requests must be a finite number of zero or more")]
pub struct RequestRateError;

impl RequestRate {
    /// A rate of this many requests per second; fails if the number is negative or not finite.
    pub fn new(per_s: f64) -> Result<RequestRate, RequestRateError> {
        let is_valid = per_s.is_finite() && per_s >= 0.0;
        is_valid.then_some(RequestRate(per_s)).ok_or(RequestRateError)
    }

    /// Requests per second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(out)
    }
}

impl str::FromStr for RequestRate {
    type Err = RequestRateError;

    fn from_str(text: &str) -> Result<RequestRate, RequestRateError> {
        RequestRate::new(text.parse().map_err(|_| RequestRateError)?)
    }
}
