//! A catalog as operators keep it in a file, and what must change to get there.

use ids::PoolId;
use indexmap::IndexMap;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::change::{ChangeSet, Operation};
use crate::entity::{Customer, Pool, Route, Target, Version};
use crate::state::CatalogState;

/// The parts of a catalog that a file may hold. Keys and moves are made by commands; a part that
/// is left out stays as it is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct CatalogDocument {
    /// All customers.
    pub customers: Option<Vec<Customer>>,
    /// All pools.
    pub pools: Option<Vec<Pool>>,
    /// All versions.
    pub versions: Option<Vec<Version>>,
    /// All targets.
    pub targets: Option<Vec<Target>>,
    /// All routes.
    pub routes: Option<Vec<Route>>,
}

impl CatalogDocument {
    /// What turns `state` into this document, in an order that never breaks a reference.
    pub fn changes_from(&self, state: &CatalogState) -> ChangeSet {
        let mut operations = Vec::new();
        let mut removals = Vec::new();
        if let Some(wanted) = &self.customers {
            let wanted = by_id(wanted, |it| it.id.clone());
            puts(&wanted, &state.customers, Operation::PutCustomer, &mut operations);
            removals.push(drops(&wanted, &state.customers, Operation::DropCustomer));
        }
        if let Some(wanted) = &self.pools {
            let wanted = by_id(wanted, |it| it.id.clone());
            puts(&wanted, &state.pools, Operation::PutPool, &mut operations);
            removals.push(drops(&wanted, &state.pools, Operation::DropPool));
        }
        if let Some(wanted) = &self.versions {
            let fresh = wanted.iter().filter(|it| !state.versions.contains(it));
            operations.extend(fresh.cloned().map(Operation::PutVersion));
            // Versions of a pool that goes, go with it.
            let stays = |pool: &PoolId| {
                self.pools.as_ref().is_none_or(|it| it.iter().any(|it| it.id == *pool))
            };
            let gone = state.versions.iter().filter(|old| {
                let named =
                    wanted.iter().any(|it| (&it.pool, it.number) == (&old.pool, old.number));
                !named && stays(&old.pool)
            });
            let drop =
                |it: &Version| Operation::DropVersion { pool: it.pool.clone(), number: it.number };
            removals.push(gone.map(drop).collect());
        }
        if let Some(wanted) = &self.targets {
            let wanted = by_id(wanted, |it| it.id.clone());
            puts(&wanted, &state.targets, Operation::PutTarget, &mut operations);
            removals.push(drops(&wanted, &state.targets, Operation::DropTarget));
        }
        if let Some(wanted) = &self.routes {
            let wanted = by_id(wanted, |it| it.id.clone());
            removals.push(drops(&wanted, &state.routes, Operation::DropRoute));
            puts(&wanted, &state.routes, Operation::PutRoute, &mut operations);
        }
        // What names others goes before what it names.
        operations.extend(removals.into_iter().rev().flatten());
        ChangeSet { operations }
    }
}

fn by_id<Id: std::hash::Hash + Eq, Entity: Clone>(
    entities: &[Entity],
    id: impl Fn(&Entity) -> Id,
) -> IndexMap<Id, Entity> {
    entities.iter().map(|it| (id(it), it.clone())).collect()
}

fn puts<Id: std::hash::Hash + Eq, Entity: Clone + PartialEq>(
    wanted: &IndexMap<Id, Entity>,
    present: &IndexMap<Id, Entity>,
    put: impl Fn(Entity) -> Operation,
    operations: &mut Vec<Operation>,
) {
    let changed = wanted.iter().filter(|(id, it)| present.get(*id) != Some(it));
    operations.extend(changed.map(|(_, it)| put(it.clone())));
}

fn drops<Id: std::hash::Hash + Eq + Clone, Entity>(
    wanted: &IndexMap<Id, Entity>,
    present: &IndexMap<Id, Entity>,
    drop: impl Fn(Id) -> Operation,
) -> Vec<Operation> {
    present.keys().filter(|id| !wanted.contains_key(*id)).cloned().map(drop).collect()
}
