//! Whose request it is.

use catalog::{CatalogState, Customer, Route, RouteAccess};
use http::HeaderMap;
use http::header::AUTHORIZATION;
use ids::{ErrorKind, KeyDigest, Refusal};

/// The caller's key as it came, kept only while the request is checked.
pub(crate) struct CallerKeyText<'a>(pub(crate) Option<&'a str>);

/// Reads the bearer key of a request.
pub(crate) fn caller_key(headers: &HeaderMap) -> Result<CallerKeyText<'_>, Refusal> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let Some(value) = values.next() else { return Ok(CallerKeyText(None)) };
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
    Ok(CallerKeyText(Some(key.trim())))
}

/// The customer whose key came, if the route lets it through. A wrong key is refused on open
/// routes too: its sender believes to be someone.
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
