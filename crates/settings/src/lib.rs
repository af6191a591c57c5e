//! Settings of one daemon: a base file, overlays, and single values from the command line, in
//! JSON with comments, merged and validated as a whole.
//!
//! This crate reads files and nothing else; it never uses the network. Each error names the file,
//! the line, the field, the value found and the values allowed, and all errors are reported at
//! once.

mod field_errors;
mod fields;
mod layers;

pub use field_errors::{FieldError, deserialize_value};
pub use fields::{
    InstanceSettings, LimitSettings, LogFormat, LogSettings, Millis, PeerSettings,
    PlatformSettings, SecretSettings, Settings, TimeoutSettings, TrafficSettings,
};
pub use layers::{Layer, SettingsError, SettingsErrors, load, merge};
