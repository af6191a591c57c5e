//! Who holds which part of each customer's rate and burst.
//!
//! One table row maps each customer to its parts; their sum never exceeds the whole, kept by
//! compare-and-swap. An instance only ever changes the row to take parts for itself or to give
//! its own away: when it leaves, or when it holds more than one home's part. A part is taken from another only on proof that its holder
//! stopped: a successor on the same place, or the platform not listing it for some time.

use std::time::Duration;

use ids::{CustomerId, Incarnation, InstanceId, Millionths};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::rendezvous;

/// Homes of one customer's rate.
pub const RATE_HOMES: usize = 3;
/// How long the platform must not have listed a holder before its parts may be taken. Longer
/// than any holder spends without a proof that it still holds them.
pub const UNLISTED_WAIT: Duration = Duration::from_secs(15);

/// One instance's part of one customer's rate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatePart {
    /// Who holds it.
    pub holder: InstanceId,
    /// The holder's life.
    pub incarnation: Incarnation,
    /// How much of the whole.
    pub share: Millionths,
    /// The transfer by which the holder got it. A part that went away and came back is another
    /// part: what others spent of it meanwhile is not known.
    #[serde(default)]
    pub transfer: u64,
}

/// The row: parts by customer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartTable {
    /// The parts of each customer.
    pub parts: IndexMap<CustomerId, Vec<RatePart>>,
    /// Transfers so far.
    #[serde(default)]
    pub transfers: u64,
}

/// An instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedMember {
    /// The instance.
    pub id: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// It finishes what it has and takes no parts.
    pub leaving: bool,
}

/// What one instance knows when it plans.
#[derive(Debug, Clone, Copy)]
pub struct PlanView<'a> {
    /// The instance that plans.
    pub own: &'a InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The platform's list.
    pub members: &'a [ListedMember],
    /// How long each instance that holds parts has not been listed.
    pub unlisted: &'a IndexMap<InstanceId, Duration>,
    /// All customers.
    pub customers: &'a [CustomerId],
    /// More than half of the instances known lately are still listed. If not, those missing may
    /// be alive on the other side of a cut, and nothing is taken from them.
    pub majority_listed: bool,
}

impl PartTable {
    /// The part that `own` holds of `customer`, in this life.
    pub fn held(
        &self,
        customer: &CustomerId,
        own: &InstanceId,
        life: Incarnation,
    ) -> Option<&RatePart> {
        let parts = self.parts.get(customer)?;
        parts.iter().find(|it| it.holder == *own && it.incarnation == life)
    }

    /// The sum of a customer's parts.
    pub fn sum(&self, customer: &CustomerId) -> Millionths {
        let parts = self.parts.get(customer).map_or(&[][..], |it| it);
        Millionths(parts.iter().map(|it| it.share.0).sum())
    }

    /// Parts of customers that are gone stay: an instance whose catalog lags must not take a
    /// customer for gone, and one that is created again must not get a second first burst.
    ///
    /// The row this instance would write, or `None` if it has nothing to change. The second
    /// value lists customers that never had parts before: their part may start full.
    pub fn plan(&self, view: PlanView<'_>) -> Option<(PartTable, Vec<CustomerId>)> {
        let mut next = self.clone();
        let mut fresh = Vec::new();
        for customer in view.customers {
            match next.parts.get_mut(customer) {
                Some(parts) => {
                    take_over(customer, parts, view, &mut next.transfers);
                    spread(customer, parts, view, &mut next.transfers);
                }
                None if first_home(customer, view).as_ref() == Some(view.own) => {
                    next.parts.insert(customer.clone(), new_parts(customer, view));
                    fresh.push(customer.clone());
                }
                None => {}
            }
        }
        (next != *self).then_some((next, fresh))
    }

    /// The row after `own` gave all its parts to the next homes that stay.
    pub fn hand_over(&self, view: PlanView<'_>) -> Option<PartTable> {
        let mut next = self.clone();
        for (customer, parts) in &mut next.parts {
            let heirs = live_homes(customer, view, view.members.len());
            let held: Vec<InstanceId> = parts.iter().map(|it| it.holder.clone()).collect();
            let heir = heirs
                .iter()
                .find(|it| !held.contains(&it.id))
                .or_else(|| heirs.iter().find(|it| it.id != *view.own));
            let Some(heir) = heir.filter(|it| it.id != *view.own) else { continue };
            for part in parts.iter_mut().filter(|it| it.holder == *view.own) {
                part.holder = heir.id.clone();
                part.incarnation = heir.incarnation;
                next.transfers += 1;
                part.transfer = next.transfers;
            }
            merge(parts);
        }
        (next != *self).then_some(next)
    }
}

fn take_over(
    customer: &CustomerId,
    parts: &mut Vec<RatePart>,
    view: PlanView<'_>,
    transfers: &mut u64,
) {
    let homes = live_homes(customer, view, RATE_HOMES + 1);
    let held: Vec<InstanceId> = parts.iter().map(|it| it.holder.clone()).collect();
    for part in parts.iter_mut() {
        if part.holder == *view.own {
            // The same place: this process is the proof that the life before it ended.
            part.incarnation = part.incarnation.max(view.incarnation);
            continue;
        }
        let gone = view.unlisted.get(&part.holder).is_some_and(|it| *it >= UNLISTED_WAIT);
        let heir = homes.iter().find(|it| !held.contains(&it.id)).or(homes.first());
        if gone && view.majority_listed && heir.is_some_and(|it| it.id == *view.own) {
            part.holder = view.own.clone();
            part.incarnation = view.incarnation;
            *transfers += 1;
            part.transfer = *transfers;
        }
    }
    merge(parts);
}

/// Gives what this instance holds beyond one home's part to a home that holds none, so that a
/// customer does not hang on one instance for ever.
fn spread(
    customer: &CustomerId,
    parts: &mut Vec<RatePart>,
    view: PlanView<'_>,
    transfers: &mut u64,
) {
    let due = Millionths::ONE.0 / RATE_HOMES as u64;
    let held: Vec<InstanceId> = parts.iter().map(|it| it.holder.clone()).collect();
    if held.len() >= RATE_HOMES {
        return;
    }
    let homes = live_homes(customer, view, RATE_HOMES + 1);
    let Some(heir) = homes.into_iter().find(|it| !held.contains(&it.id)) else { return };
    let own = |it: &&mut RatePart| it.holder == *view.own && it.incarnation == view.incarnation;
    let Some(part) = parts.iter_mut().find(own).filter(|it| it.share.0 > due) else { return };
    let given = part.share.0 - due;
    part.share = Millionths(due);
    *transfers += 1;
    parts.push(RatePart {
        holder: heir.id.clone(),
        incarnation: heir.incarnation,
        share: Millionths(given),
        transfer: *transfers,
    });
}

fn merge(parts: &mut Vec<RatePart>) {
    let mut merged: Vec<RatePart> = Vec::with_capacity(parts.len());
    for part in parts.drain(..) {
        let same = merged
            .iter_mut()
            .find(|it| it.holder == part.holder && it.incarnation == part.incarnation);
        match same {
            Some(it) => it.share.0 += part.share.0,
            None => merged.push(part),
        }
    }
    *parts = merged;
}

fn new_parts(customer: &CustomerId, view: PlanView<'_>) -> Vec<RatePart> {
    let homes = live_homes(customer, view, RATE_HOMES);
    let count = homes.len() as u64;
    homes
        .into_iter()
        .map(|it| RatePart {
            holder: it.id.clone(),
            incarnation: it.incarnation,
            share: Millionths(Millionths::ONE.0 / count),
            transfer: 0,
        })
        .collect()
}

fn first_home(customer: &CustomerId, view: PlanView<'_>) -> Option<InstanceId> {
    live_homes(customer, view, 1).first().map(|it| it.id.clone())
}

fn live_homes<'a>(
    customer: &CustomerId,
    view: PlanView<'a>,
    count: usize,
) -> Vec<&'a ListedMember> {
    let live: Vec<&ListedMember> = view.members.iter().filter(|it| !it.leaving).collect();
    let hashes: Vec<u64> = live.iter().map(|it| rendezvous::hash_member(it.id.as_str())).collect();
    let key = rendezvous::hash_member(customer.as_str());
    rendezvous::homes(key, &hashes, count).into_iter().map(|index| live[index]).collect()
}
