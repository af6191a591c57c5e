//! Which headers pass between callers and targets.

use http::header::{self, HeaderName};
use http::{HeaderMap, HeaderValue};
use web::hop_by_hop;

/// Headers of a caller that never reach a target, besides hop-by-hop ones.
const HELD_BACK: [HeaderName; 8] = [
    header::AUTHORIZATION,
    header::PROXY_AUTHORIZATION,
    header::COOKIE,
    header::HOST,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::FORWARDED,
    HeaderName::from_static("x-api-key"),
];

/// The headers of a caller's request that a target gets. A header whose value holds the
/// caller's key is left out, whatever its name.
pub fn target_headers(caller: &HeaderMap, key: Option<&str>) -> HeaderMap {
    let mut passed = HeaderMap::new();
    for (name, value) in caller {
        let held = HELD_BACK.contains(name) || is_ours(name);
        if !held && !hop_by_hop::is_hop_by_hop(caller, name) && !holds(value, key) {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

/// The headers of a target's answer that a caller gets.
pub fn caller_headers(target: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::new();
    for (name, value) in target {
        let held = *name == header::CONTENT_LENGTH || is_ours(name);
        if !held && !hop_by_hop::is_hop_by_hop(target, name) {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

fn is_ours(name: &HeaderName) -> bool {
    name == "x-request-id" || name == "idempotency-key" || name.as_str().starts_with("x-engine-")
}

fn holds(value: &HeaderValue, key: Option<&str>) -> bool {
    let Some(key) = key.filter(|it| !it.is_empty()) else { return false };
    let key = key.as_bytes();
    value.as_bytes().windows(key.len()).any(|it| it == key)
}
