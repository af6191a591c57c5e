//! Headers that concern one connection only and are not passed on.

use http::HeaderMap;
use http::header::{self, HeaderName};

const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Whether a header of a message concerns its connection only: by its name, or since the
/// message's `Connection` header names it.
pub fn is_hop_by_hop(headers: &HeaderMap, name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(name) || is_named(headers, name)
}

/// Removes all headers that concern the connection only.
pub fn remove(headers: &mut HeaderMap) {
    let gone: Vec<HeaderName> =
        headers.keys().filter(|it| is_hop_by_hop(headers, it)).cloned().collect();
    for name in gone {
        headers.remove(name);
    }
}

fn is_named(headers: &HeaderMap, name: &HeaderName) -> bool {
    let values = headers.get_all(header::CONNECTION).into_iter();
    values
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .any(|it| it.trim().eq_ignore_ascii_case(name.as_str()))
}
