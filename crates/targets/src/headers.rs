//! Selects the headers that are forwarded between callers and targets.

use http::header::{self, HeaderName};
use http::{HeaderMap, HeaderValue};
use web::hop_by_hop;

/// Headers of a caller that are never forwarded to a target, besides hop-by-hop headers and those
/// that the router sets itself.
const NOT_FORWARDED: [HeaderName; 8] = [
    header::AUTHORIZATION,
    header::PROXY_AUTHORIZATION,
    header::COOKIE,
    header::HOST,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::FORWARDED,
    HeaderName::from_static("x-api-key"),
];

/// The headers of a caller's request that are forwarded to a target. A header whose value contains
/// the caller's key is left out, whatever its name.
pub fn target_headers(caller: &HeaderMap, key: Option<&str>) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for (name, value) in caller {
        let excluded = NOT_FORWARDED.contains(name) || is_router_header(name);
        if !excluded && !hop_by_hop::is_hop_by_hop(caller, name) && !contains_key(value, key) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// The headers of a target's answer that are forwarded to the caller.
pub fn caller_headers(target: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for (name, value) in target {
        let excluded = *name == header::CONTENT_LENGTH || is_router_header(name);
        if !excluded && !hop_by_hop::is_hop_by_hop(target, name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Whether the router sets or reads this header itself, so that it is not forwarded.
fn is_router_header(name: &HeaderName) -> bool {
    name == "x-request-id" || name == "idempotency-key" || name.as_str().starts_with("x-engine-")
}

fn contains_key(value: &HeaderValue, key: Option<&str>) -> bool {
    let Some(key) = key.filter(|it| !it.is_empty()) else { return false };
    let key = key.as_bytes();
    value.as_bytes().windows(key.len()).any(|it| it == key)
}
