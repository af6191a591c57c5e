//! The catalog at one revision, and the checks that each change must pass.

use ids::{
    CustomerId, KeyDigest, KeyId, MoveId, PoolId, Revision, RouteId, TargetId, VersionNumber,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::change::{ChangeError, ChangeSet, Operation};
use crate::entity::{
    CallerKey, Customer, MoveStage, Pool, PoolKind, Route, RouteKind, Target, Version, VersionMove,
};

/// The whole catalog at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogState {
    /// Increases with each accepted change.
    pub revision: Revision,
    /// Customers by id.
    pub customers: IndexMap<CustomerId, Customer>,
    /// Keys by the digest of their secret, which is how requests are matched to them.
    pub keys: IndexMap<KeyDigest, CallerKey>,
    /// Pools by id.
    pub pools: IndexMap<PoolId, Pool>,
    /// Routes by id.
    pub routes: IndexMap<RouteId, Route>,
    /// Targets by id.
    pub targets: IndexMap<TargetId, Target>,
    /// Versions in the order in which they were last written.
    pub versions: Vec<Version>,
    /// Moves by id, finished ones included.
    pub moves: IndexMap<MoveId, VersionMove>,
}

impl CatalogState {
    /// Returns the catalog after `change`, at `revision`. `self` is not modified.
    ///
    /// # Errors
    ///
    /// The first operation that is refused; the whole change then has no effect.
    pub fn with_changes(
        &self,
        change: &ChangeSet,
        revision: Revision,
    ) -> Result<CatalogState, ChangeError> {
        let mut next = self.clone();
        next.revision = revision;
        for operation in &change.operations {
            next.apply(operation)?;
        }
        Ok(next)
    }

    /// Finds a key by its id; compares all keys.
    pub fn key_by_id(&self, id: &KeyId) -> Option<&CallerKey> {
        self.keys.values().find(|it| it.id == *id)
    }

    /// Finds the route of a model by the name that callers use.
    pub fn model_route(&self, model: &str) -> Option<&Route> {
        self.routes.values().find(
            |it| matches!(&it.kind, RouteKind::Model { model: found } if found.as_str() == model),
        )
    }

    /// Finds the plain-service route with the longest prefix that `path` is under.
    pub fn service_route(&self, path: &str) -> Option<&Route> {
        self.routes
            .values()
            .filter_map(|it| match &it.kind {
                RouteKind::Service { prefix, .. } if is_under(path, prefix) => Some((prefix, it)),
                _ => None,
            })
            .max_by_key(|(prefix, _)| prefix.len())
            .map(|(_, it)| it)
    }

    /// The targets of a pool, leaving ones included.
    pub fn pool_targets<'a>(&'a self, pool: &'a PoolId) -> impl Iterator<Item = &'a Target> {
        self.targets.values().filter(move |it| it.pool == *pool)
    }

    /// The unfinished move of a pool; there is at most one.
    pub fn open_move(&self, pool: &PoolId) -> Option<&VersionMove> {
        self.moves.values().find(|it| it.pool == *pool && !it.stage.is_finished())
    }

    fn apply(&mut self, operation: &Operation) -> Result<(), ChangeError> {
        match operation {
            Operation::PutCustomer(it) => self.put_customer(it),
            Operation::DropCustomer(id) => self.drop_customer(id),
            Operation::PutKey(it) => self.put_key(it),
            Operation::DropKey(id) => self.drop_key(id),
            Operation::PutPool(it) => self.put_pool(it),
            Operation::DropPool(id) => self.drop_pool(id),
            Operation::PutRoute(it) => self.put_route(it),
            Operation::DropRoute(id) => {
                self.routes.shift_remove(id).map(drop).ok_or(missing("route", id.as_str()))
            }
            Operation::PutTarget(it) => self.put_target(it),
            Operation::DropTarget(id) => {
                self.targets.shift_remove(id).map(drop).ok_or(missing("target", id.as_str()))
            }
            Operation::PutVersion(it) => self.put_version(it),
            Operation::DropVersion { pool, number } => self.drop_version(pool, *number),
            Operation::PutMove(it) => self.put_move(it),
            Operation::DropMove(id) => self.drop_move(id),
        }
    }

    fn put_customer(&mut self, customer: &Customer) -> Result<(), ChangeError> {
        let id = customer.id.as_str();
        check_positive("rate", id, customer.rate.0)?;
        check_positive("burst", id, customer.burst.0)?;
        check_positive("weight", id, customer.weight.into())?;
        self.customers.insert(customer.id.clone(), customer.clone());
        Ok(())
    }

    fn drop_customer(&mut self, id: &CustomerId) -> Result<(), ChangeError> {
        if let Some(route) = self.routes.values().find(|it| it.customers.contains(id)) {
            return Err(in_use("customer", id.as_str(), format!("route {}", route.id)));
        }
        self.customers.shift_remove(id).ok_or(missing("customer", id.as_str()))?;
        self.keys.retain(|_, it| it.customer != *id);
        Ok(())
    }

    fn put_key(&mut self, key: &CallerKey) -> Result<(), ChangeError> {
        if !self.customers.contains_key(&key.customer) {
            return Err(missing("customer", key.customer.as_str()));
        }
        if self.keys.get(&key.digest).is_some_and(|it| it.id != key.id) {
            return Err(in_use("key digest", key.id.as_str(), "another key".into()));
        }
        self.keys.retain(|_, it| it.id != key.id);
        self.keys.insert(key.digest.clone(), key.clone());
        Ok(())
    }

    fn drop_key(&mut self, id: &KeyId) -> Result<(), ChangeError> {
        let digest = self.key_by_id(id).map(|it| it.digest.clone());
        let digest = digest.ok_or(missing("key", id.as_str()))?;
        self.keys.shift_remove(&digest);
        Ok(())
    }

    fn put_pool(&mut self, pool: &Pool) -> Result<(), ChangeError> {
        check_positive("concurrency", pool.id.as_str(), pool.concurrency.into())?;
        self.pools.insert(pool.id.clone(), pool.clone());
        Ok(())
    }

    fn drop_pool(&mut self, id: &PoolId) -> Result<(), ChangeError> {
        if let Some(it) = self.routes.values().find(|it| it.pool == *id) {
            return Err(in_use("pool", id.as_str(), format!("route {}", it.id)));
        }
        if let Some(it) = self.pool_targets(id).next() {
            return Err(in_use("pool", id.as_str(), format!("target {}", it.id)));
        }
        self.pools.shift_remove(id).ok_or(missing("pool", id.as_str()))?;
        self.versions.retain(|it| it.pool != *id);
        self.moves.retain(|_, it| it.pool != *id);
        Ok(())
    }

    fn put_route(&mut self, route: &Route) -> Result<(), ChangeError> {
        let pool = self.pools.get(&route.pool).ok_or(missing("pool", route.pool.as_str()))?;
        if let Some(id) = route.customers.iter().find(|it| !self.customers.contains_key(*it)) {
            return Err(missing("customer", id.as_str()));
        }
        let kind_matches = match &route.kind {
            RouteKind::Model { .. } => pool.kind == PoolKind::Engine,
            RouteKind::Service { prefix, .. } => {
                check_prefix(route.id.as_str(), prefix)?;
                pool.kind == PoolKind::Service
            }
        };
        if !kind_matches {
            let value = route.pool.as_str().into();
            let allowed = "a model route needs an engine pool, a service route a service pool";
            return Err(invalid("pool", route.id.as_str(), value, allowed));
        }
        if let Some(other) = self.conflicting_route(route) {
            let kind = "the model or prefix of route";
            return Err(in_use(kind, route.id.as_str(), format!("route {}", other.id)));
        }
        self.routes.insert(route.id.clone(), route.clone());
        Ok(())
    }

    /// Finds another route for the same model or with the same prefix.
    fn conflicting_route(&self, route: &Route) -> Option<&Route> {
        self.routes.values().filter(|it| it.id != route.id).find(|it| {
            match (&it.kind, &route.kind) {
                (RouteKind::Model { model: left }, RouteKind::Model { model: right }) => {
                    left == right
                }
                (
                    RouteKind::Service { prefix: left, .. },
                    RouteKind::Service { prefix: right, .. },
                ) => left == right,
                _ => false,
            }
        })
    }

    fn put_target(&mut self, target: &Target) -> Result<(), ChangeError> {
        if !self.pools.contains_key(&target.pool) {
            return Err(missing("pool", target.pool.as_str()));
        }
        self.targets.insert(target.id.clone(), target.clone());
        Ok(())
    }

    fn put_version(&mut self, version: &Version) -> Result<(), ChangeError> {
        if !self.pools.contains_key(&version.pool) {
            return Err(missing("pool", version.pool.as_str()));
        }
        self.versions.retain(|it| (&it.pool, it.number) != (&version.pool, version.number));
        self.versions.push(version.clone());
        Ok(())
    }

    fn drop_version(&mut self, pool: &PoolId, number: VersionNumber) -> Result<(), ChangeError> {
        let id = format!("{pool}/{number}");
        if self.pools.get(pool).is_some_and(|it| it.version == number) {
            return Err(in_use("version", &id, format!("pool {pool}")));
        }
        if let Some(it) = self.open_move(pool).filter(|it| it.from == number || it.to == number) {
            return Err(in_use("version", &id, format!("move {}", it.id)));
        }
        let count_before = self.versions.len();
        self.versions.retain(|it| (&it.pool, it.number) != (pool, number));
        if self.versions.len() == count_before {
            return Err(missing("version", &id));
        }
        Ok(())
    }

    fn put_move(&mut self, update: &VersionMove) -> Result<(), ChangeError> {
        let exists =
            |number| self.versions.iter().any(|it| it.pool == update.pool && it.number == number);
        if !exists(update.to) {
            return Err(missing("version", &format!("{}/{}", update.pool, update.to)));
        }
        if let Some(it) = self.open_move(&update.pool).filter(|it| it.id != update.id) {
            return Err(in_use("pool", update.pool.as_str(), format!("move {}", it.id)));
        }
        let allowed = match self.moves.get(&update.id) {
            Some(old) => old.stage.can_transition_to(update.stage),
            None => update.stage == MoveStage::Trial,
        };
        if !allowed {
            let value = format!("{:?}", update.stage).into();
            let allowed = "trial, then rollout, then done; or taking_back, then taken_back";
            return Err(invalid("stage", update.id.as_str(), value, allowed));
        }
        if update.stage == MoveStage::Done {
            let pool = self.pools.get_mut(&update.pool);
            pool.ok_or(missing("pool", update.pool.as_str()))?.version = update.to;
        }
        self.moves.insert(update.id.clone(), update.clone());
        Ok(())
    }

    fn drop_move(&mut self, id: &MoveId) -> Result<(), ChangeError> {
        let found = self.moves.get(id).ok_or(missing("move", id.as_str()))?;
        if !found.stage.is_finished() {
            return Err(in_use("move", id.as_str(), format!("pool {}", found.pool)));
        }
        self.moves.shift_remove(id);
        Ok(())
    }
}

/// Whether `path` is `prefix` itself or lies below it, by whole path segments.
fn is_under(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|it| it.is_empty() || it.starts_with('/'))
}

/// Checks a service prefix; paths under `/v1` belong to the model API.
fn check_prefix(id: &str, prefix: &str) -> Result<(), ChangeError> {
    let well_formed = prefix.len() > 1 && prefix.starts_with('/') && !prefix.ends_with('/');
    if well_formed && !is_under(prefix, "/v1") {
        return Ok(());
    }
    let allowed = "a prefix starts with '/', does not end with it, and is not under /v1";
    Err(invalid("prefix", id, prefix.into(), allowed))
}

fn check_positive(field: &'static str, id: &str, value: u64) -> Result<(), ChangeError> {
    if value > 0 {
        return Ok(());
    }
    Err(invalid(field, id, value.to_string().into(), "a number above 0"))
}

fn missing(kind: &'static str, id: &str) -> ChangeError {
    ChangeError::Missing { kind, id: id.into() }
}

fn in_use(kind: &'static str, id: &str, user: String) -> ChangeError {
    ChangeError::InUse { kind, id: id.into(), user: user.into() }
}

fn invalid(field: &'static str, id: &str, value: Box<str>, allowed: &'static str) -> ChangeError {
    ChangeError::Invalid { field, id: id.into(), value, allowed }
}
