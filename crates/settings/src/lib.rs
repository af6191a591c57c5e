//! Settings of one daemon: a base file, overlays, and single values from the command line, in
//! JSON with comments, merged and checked as a whole.
//!
//! This crate reads files and nothing else; it never reaches the network. Every error names
//! file, line, field, what was found and what is allowed, and all errors are told at once.

mod field_errors;
mod fields;
mod layers;

pub use field_errors::{FieldError, deserialize_value};
pub use fields::{
    InstanceSettings, LimitSettings, LogFormat, LogSettings, Millis, PeerSettings,
    PlatformSettings, SecretSettings, Settings, TimeoutSettings, TrafficSettings,
};
pub use layers::{Layer, SettingsError, SettingsErrors, load, merge};
