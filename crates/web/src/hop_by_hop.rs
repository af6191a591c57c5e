//! Hop-by-hop headers: those that concern one connection only and must not be forwarded
//! (RFC 9110, section 7.6.1).

use http::HeaderMap;
use http::header::{self, HeaderName};

/// Hop-by-hop headers by their names alone.
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

/// Whether a header of a message is hop-by-hop: by its name, or because the message's `Connection`
/// header lists it.
pub fn is_hop_by_hop(headers: &HeaderMap, name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(name) || is_listed_in_connection(headers, name)
}

/// Removes all hop-by-hop headers.
pub fn remove(headers: &mut HeaderMap) {
    let names: Vec<HeaderName> =
        headers.keys().filter(|it| is_hop_by_hop(headers, it)).cloned().collect();
    for name in names {
        headers.remove(name);
    }
}

fn is_listed_in_connection(headers: &HeaderMap, name: &HeaderName) -> bool {
    let values = headers.get_all(header::CONNECTION).into_iter();
    values
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .any(|it| it.trim().eq_ignore_ascii_case(name.as_str()))
}
