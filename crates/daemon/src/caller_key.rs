//! Identifies a request's customer by its bearer key.

use catalog::{CatalogState, Customer, Route, RouteAccess};
use http::HeaderMap;
use http::header::AUTHORIZATION;
use ids::{ErrorKind, KeyDigest, Refusal};

/// The caller's key in plain text; dropped once the request is checked.
pub(crate) struct BearerKey<'a>(pub(crate) Option<&'a str>);

/// Parses the `authorization` header. A request without one has no key; a malformed one is
/// refused.
pub(crate) fn parse_bearer_key(headers: &HeaderMap) -> Result<BearerKey<'_>, Refusal> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let Some(value) = values.next() else { return Ok(BearerKey(None)) };
    if values.next().is_some() {
        let refusal = Refusal::not_run(ErrorKind::BadRequest);
        return Err(refusal.detail("more than one authorization header"));
    }
    let refused = || Refusal::not_run(ErrorKind::KeyRefused);
    let text = value.to_str().map_err(|_| refused())?;
    let (scheme, key) = text.split_once(' ').ok_or_else(refused)?;
    if !scheme.eq_ignore_ascii_case("bearer") || key.trim().is_empty() {
        return Err(refused());
    }
    Ok(BearerKey(Some(key.trim())))
}

/// Returns the customer that owns the key, if the route admits it. An unknown key is refused on
/// open routes too, because its sender expects to be identified.
pub(crate) fn resolve_customer<'a>(
    catalog: &'a CatalogState,
    route: &Route,
    digest: Option<&KeyDigest>,
) -> Result<Option<&'a Customer>, Refusal> {
    let Some(digest) = digest else {
        return match route.access {
            RouteAccess::Open => Ok(None),
            RouteAccess::Keyed => Err(Refusal::not_run(ErrorKind::KeyMissing)),
        };
    };
    let key = catalog.keys.get(digest).ok_or(Refusal::not_run(ErrorKind::KeyRefused))?;
    let customer = catalog.customers.get(&key.customer);
    let customer = customer.ok_or(Refusal::not_run(ErrorKind::KeyRefused))?;
    let allowed = route.customers.is_empty() || route.customers.contains(&customer.id);
    if route.access == RouteAccess::Keyed && !allowed {
        return Err(Refusal::not_run(ErrorKind::RouteForbidden));
    }
    Ok(Some(customer))
}
