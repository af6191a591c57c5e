//! Catalog files of operators, and the change that brings a catalog to the content of a file.

use ids::PoolId;
use indexmap::IndexMap;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::change::{ChangeSet, Operation};
use crate::entity::{Customer, Pool, Route, Target, Version};
use crate::state::CatalogState;

/// The content of a catalog file. Keys and moves are not in it: they are created by commands. A
/// list that is left out leaves the catalog's entities of that kind as they are; a list that is
/// given replaces them all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct CatalogDocument {
    /// All customers of the catalog, if given.
    pub customers: Option<Vec<Customer>>,
    /// All pools of the catalog, if given.
    pub pools: Option<Vec<Pool>>,
    /// All versions of the catalog, if given.
    pub versions: Option<Vec<Version>>,
    /// All targets of the catalog, if given.
    pub targets: Option<Vec<Target>>,
    /// All routes of the catalog, if given.
    pub routes: Option<Vec<Route>>,
}

impl CatalogDocument {
    /// Returns the change that turns `state` into this document; empty if there is nothing to do.
    /// Operations are ordered so that each reference is valid at every step.
    pub fn changes_from(&self, state: &CatalogState) -> ChangeSet {
        let mut operations = Vec::new();
        let mut removals = Vec::new();
        if let Some(wanted) = &self.customers {
            let wanted = index_by_id(wanted, |it| it.id.clone());
            push_puts(&wanted, &state.customers, Operation::PutCustomer, &mut operations);
            removals.push(build_drops(&wanted, &state.customers, Operation::DropCustomer));
        }
        if let Some(wanted) = &self.pools {
            let wanted = index_by_id(wanted, |it| it.id.clone());
            push_puts(&wanted, &state.pools, Operation::PutPool, &mut operations);
            removals.push(build_drops(&wanted, &state.pools, Operation::DropPool));
        }
        if let Some(wanted) = &self.versions {
            let changed = wanted.iter().filter(|it| !state.versions.contains(it));
            operations.extend(changed.cloned().map(Operation::PutVersion));
            // Dropping a pool drops its versions too, so these need no operation of their own.
            let pool_stays = |pool: &PoolId| {
                self.pools.as_ref().is_none_or(|it| it.iter().any(|it| it.id == *pool))
            };
            let removed = state.versions.iter().filter(|old| {
                let listed =
                    wanted.iter().any(|it| (&it.pool, it.number) == (&old.pool, old.number));
                !listed && pool_stays(&old.pool)
            });
            let drop =
                |it: &Version| Operation::DropVersion { pool: it.pool.clone(), number: it.number };
            removals.push(removed.map(drop).collect());
        }
        if let Some(wanted) = &self.targets {
            let wanted = index_by_id(wanted, |it| it.id.clone());
            push_puts(&wanted, &state.targets, Operation::PutTarget, &mut operations);
            removals.push(build_drops(&wanted, &state.targets, Operation::DropTarget));
        }
        if let Some(wanted) = &self.routes {
            let wanted = index_by_id(wanted, |it| it.id.clone());
            removals.push(build_drops(&wanted, &state.routes, Operation::DropRoute));
            push_puts(&wanted, &state.routes, Operation::PutRoute, &mut operations);
        }
        // Removals in reverse order: an entity goes before the ones that it refers to.
        operations.extend(removals.into_iter().rev().flatten());
        ChangeSet { operations }
    }
}

fn index_by_id<Id: std::hash::Hash + Eq, Entity: Clone>(
    entities: &[Entity],
    id: impl Fn(&Entity) -> Id,
) -> IndexMap<Id, Entity> {
    entities.iter().map(|it| (id(it), it.clone())).collect()
}

fn push_puts<Id: std::hash::Hash + Eq, Entity: Clone + PartialEq>(
    wanted: &IndexMap<Id, Entity>,
    present: &IndexMap<Id, Entity>,
    put: impl Fn(Entity) -> Operation,
    operations: &mut Vec<Operation>,
) {
    let changed = wanted.iter().filter(|(id, it)| present.get(*id) != Some(it));
    operations.extend(changed.map(|(_, it)| put(it.clone())));
}

fn build_drops<Id: std::hash::Hash + Eq + Clone, Entity>(
    wanted: &IndexMap<Id, Entity>,
    present: &IndexMap<Id, Entity>,
    drop: impl Fn(Id) -> Operation,
) -> Vec<Operation> {
    present.keys().filter(|id| !wanted.contains_key(*id)).cloned().map(drop).collect()
}
