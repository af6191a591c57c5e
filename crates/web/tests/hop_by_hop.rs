//! Hop-by-hop headers are removed and all others are kept.

use http::{HeaderMap, HeaderName, HeaderValue};
use web::hop_by_hop;

#[test]
fn hop_by_hop_headers_and_those_listed_in_connection_are_removed() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "close, X-Of-This-Hop"),
        ("x-of-this-hop", "1"),
        ("keep-alive", "timeout=5"),
        ("proxy-connection", "close"),
        ("proxy-authenticate", "basic"),
        ("te", "trailers"),
        ("trailer", "x-end"),
        ("transfer-encoding", "chunked"),
        ("upgrade", "h2c"),
        ("content-type", "text/plain"),
        ("x-other", "2"),
    ] {
        headers.insert(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    hop_by_hop::remove(&mut headers);
    let mut remaining: Vec<&str> = headers.keys().map(HeaderName::as_str).collect();
    remaining.sort();
    assert_eq!(remaining, ["content-type", "x-other"]);
}
