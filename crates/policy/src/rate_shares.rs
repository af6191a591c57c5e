//! Which instance holds which share of each customer's rate and burst.
//!
//! One table row maps each customer to its shares; their sum never exceeds the whole, which
//! compare-and-swap on the row ensures. An instance changes the row only to take shares for itself
//! or to give away its own: when it leaves, or when it holds more than one home's share. It takes a
//! share from another holder only on proof that the holder has stopped: a successor process on the
//! same instance, or an absence from the platform's list of at least `UNLISTED_WAIT`.

use std::time::Duration;

use ids::{CustomerId, Incarnation, InstanceId, Millionths};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::rendezvous;

/// Number of instances (homes) that one customer's rate is divided among.
pub const RATE_HOMES: usize = 3;
/// How long the platform must not have listed a holder before its shares may be taken. Longer
/// than `PROOF_VALIDITY`, the time for which a holder spends without a new proof.
pub const UNLISTED_WAIT: Duration = Duration::from_secs(15);

/// One instance's share of one customer's rate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateShare {
    /// The instance that holds the share.
    pub holder: InstanceId,
    /// The holder's incarnation when it got the share or last took it over after a restart.
    pub incarnation: Incarnation,
    /// Fraction of the customer's rate and burst.
    #[serde(rename = "share")]
    pub fraction: Millionths,
    /// Number of the transfer by which the holder got the share. A share that was given away and
    /// came back has another number: what others spent of it in between is not known.
    #[serde(default)]
    pub transfer: u64,
}

/// The table row: shares by customer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareTable {
    /// The shares of each customer.
    #[serde(rename = "parts")]
    pub shares: IndexMap<CustomerId, Vec<RateShare>>,
    /// Number of transfers so far; the next one gets this plus one.
    #[serde(default)]
    pub transfers: u64,
}

/// An instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedMember {
    /// The instance.
    pub id: InstanceId,
    /// The incarnation of the process that runs there.
    pub incarnation: Incarnation,
    /// The instance drains: it finishes its requests and takes no shares.
    pub leaving: bool,
}

/// What one instance knows when it plans changes of the row.
#[derive(Debug, Clone, Copy)]
pub struct PlanView<'a> {
    /// The instance that plans.
    pub own: &'a InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The instances that the platform lists.
    pub members: &'a [ListedMember],
    /// For each holder that the platform does not list: for how long it has not.
    pub unlisted: &'a IndexMap<InstanceId, Duration>,
    /// All customers of the catalog.
    pub customers: &'a [CustomerId],
    /// More than half of the instances known lately are still listed. If not, the missing ones may
    /// be alive on the other side of a network partition, and nothing is taken from them.
    pub majority_listed: bool,
}

impl ShareTable {
    /// The share of `customer` that `own` holds in this incarnation.
    pub fn held(
        &self,
        customer: &CustomerId,
        own: &InstanceId,
        incarnation: Incarnation,
    ) -> Option<&RateShare> {
        let shares = self.shares.get(customer)?;
        shares.iter().find(|it| it.holder == *own && it.incarnation == incarnation)
    }

    /// The sum of a customer's shares; zero if it has none.
    pub fn sum(&self, customer: &CustomerId) -> Millionths {
        let shares = self.shares.get(customer).map_or(&[][..], |it| it);
        Millionths(shares.iter().map(|it| it.fraction.0).sum())
    }

    /// The row that this instance should write, or `None` if it has nothing to change. The second
    /// value lists the customers that never had shares before: their shares may start full.
    ///
    /// Shares of deleted customers stay in the row: an instance whose catalog lags must not take a
    /// customer for deleted, and one that is created again must not get a second initial burst.
    pub fn plan(&self, view: PlanView<'_>) -> Option<(ShareTable, Vec<CustomerId>)> {
        let mut next = self.clone();
        let mut new_customers = Vec::new();
        for customer in view.customers {
            match next.shares.get_mut(customer) {
                Some(shares) => {
                    take_over(customer, shares, view, &mut next.transfers);
                    give_excess(customer, shares, view, &mut next.transfers);
                }
                None if first_home(customer, view).as_ref() == Some(view.own) => {
                    next.shares.insert(customer.clone(), initial_shares(customer, view));
                    new_customers.push(customer.clone());
                }
                None => {}
            }
        }
        (next != *self).then_some((next, new_customers))
    }

    /// The row after `own` has given each of its shares to the next home that is not leaving, or
    /// `None` if there is nothing to give or nobody to give it to.
    pub fn hand_over(&self, view: PlanView<'_>) -> Option<ShareTable> {
        let mut next = self.clone();
        for (customer, shares) in &mut next.shares {
            let homes = live_homes(customer, view, view.members.len());
            let holders: Vec<InstanceId> = shares.iter().map(|it| it.holder.clone()).collect();
            let receiver = homes
                .iter()
                .find(|it| !holders.contains(&it.id))
                .or_else(|| homes.iter().find(|it| it.id != *view.own));
            let Some(receiver) = receiver.filter(|it| it.id != *view.own) else { continue };
            for share in shares.iter_mut().filter(|it| it.holder == *view.own) {
                share.holder = receiver.id.clone();
                share.incarnation = receiver.incarnation;
                next.transfers += 1;
                share.transfer = next.transfers;
            }
            merge_by_holder(shares);
        }
        (next != *self).then_some(next)
    }
}

/// Takes over the shares of this instance's earlier incarnations, and those of holders that have
/// been unlisted for long enough if this instance is next in line for them.
fn take_over(
    customer: &CustomerId,
    shares: &mut Vec<RateShare>,
    view: PlanView<'_>,
    transfers: &mut u64,
) {
    let homes = live_homes(customer, view, RATE_HOMES + 1);
    let holders: Vec<InstanceId> = shares.iter().map(|it| it.holder.clone()).collect();
    for share in shares.iter_mut() {
        if share.holder == *view.own {
            // On the same instance, this process is the proof that the one before it has ended.
            share.incarnation = share.incarnation.max(view.incarnation);
            continue;
        }
        let expired = view.unlisted.get(&share.holder).is_some_and(|it| *it >= UNLISTED_WAIT);
        let receiver = homes.iter().find(|it| !holders.contains(&it.id)).or(homes.first());
        if expired && view.majority_listed && receiver.is_some_and(|it| it.id == *view.own) {
            share.holder = view.own.clone();
            share.incarnation = view.incarnation;
            *transfers += 1;
            share.transfer = *transfers;
        }
    }
    merge_by_holder(shares);
}

/// Gives what this instance holds beyond one home's share to a home that holds none, so that a
/// customer's rate does not depend on one instance for ever.
fn give_excess(
    customer: &CustomerId,
    shares: &mut Vec<RateShare>,
    view: PlanView<'_>,
    transfers: &mut u64,
) {
    let kept = Millionths::ONE.0 / RATE_HOMES as u64;
    let holders: Vec<InstanceId> = shares.iter().map(|it| it.holder.clone()).collect();
    if holders.len() >= RATE_HOMES {
        return;
    }
    let homes = live_homes(customer, view, RATE_HOMES + 1);
    let Some(receiver) = homes.into_iter().find(|it| !holders.contains(&it.id)) else { return };
    let own = |it: &&mut RateShare| it.holder == *view.own && it.incarnation == view.incarnation;
    let Some(share) = shares.iter_mut().find(own).filter(|it| it.fraction.0 > kept) else { return };
    let given = share.fraction.0 - kept;
    share.fraction = Millionths(kept);
    *transfers += 1;
    shares.push(RateShare {
        holder: receiver.id.clone(),
        incarnation: receiver.incarnation,
        fraction: Millionths(given),
        transfer: *transfers,
    });
}

/// Adds up the shares that the same incarnation of an instance holds.
fn merge_by_holder(shares: &mut Vec<RateShare>) {
    let mut merged: Vec<RateShare> = Vec::with_capacity(shares.len());
    for share in shares.drain(..) {
        let same = merged
            .iter_mut()
            .find(|it| it.holder == share.holder && it.incarnation == share.incarnation);
        match same {
            Some(it) => it.fraction.0 += share.fraction.0,
            None => merged.push(share),
        }
    }
    *shares = merged;
}

/// Equal shares for the homes of a customer that has none yet.
fn initial_shares(customer: &CustomerId, view: PlanView<'_>) -> Vec<RateShare> {
    let homes = live_homes(customer, view, RATE_HOMES);
    let count = homes.len() as u64;
    homes
        .into_iter()
        .map(|it| RateShare {
            holder: it.id.clone(),
            incarnation: it.incarnation,
            fraction: Millionths(Millionths::ONE.0 / count),
            transfer: 0,
        })
        .collect()
}

fn first_home(customer: &CustomerId, view: PlanView<'_>) -> Option<InstanceId> {
    live_homes(customer, view, 1).first().map(|it| it.id.clone())
}

/// Up to `count` listed instances that are not leaving, in the customer's rendezvous order.
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
