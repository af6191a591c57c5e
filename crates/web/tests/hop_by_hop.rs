//! Which headers are not passed on.

use http::{HeaderMap, HeaderName, HeaderValue};
use web::hop_by_hop;

#[test]
fn headers_of_the_connection_and_those_it_names_go_and_others_stay() {
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
    let mut left: Vec<&str> = headers.keys().map(HeaderName::as_str).collect();
    left.sort();
    assert_eq!(left, ["content-type", "x-other"]);
}
