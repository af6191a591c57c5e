//! Which requests share cached prompts.
//!
//! The load pattern that this answers: customers share long prompts, and operators isolate some of the
//! customers, or take that back, while engines and KV stores hold what was cached before. The scope is
//! derived from the configuration alone, so that all daemons agree on it without any state of their
//! own, also after they restart.

use std::fmt;

use crate::rendezvous;

/// Distinguishes the digest of a group from that of a customer.
const GROUP_SEED: u64 = 0x5ca1_ab1e;

/// The requests that share cached prompts with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheScope {
    /// Those of the customers of a group, and on open routes.
    Group(SharingGroup),
    /// Those of this customer alone.
    Customer(Box<str>),
}

/// A set of customers that share cached prompts. Sets that differ have different groups: what a
/// customer caches stays in the group that it belongs to at that time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharingGroup(u64);

impl SharingGroup {
    /// The group of these customers, in any order.
    pub fn new<'a>(customers: impl Iterator<Item = &'a str>) -> SharingGroup {
        let digests =
            customers.map(|it| rendezvous::weight(rendezvous::hash_member(it), GROUP_SEED));
        SharingGroup(digests.fold(GROUP_SEED, u64::wrapping_add))
    }
}

impl fmt::Display for SharingGroup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl CacheScope {
    /// The cache salt for a version of the weights. Engines find cached prompts only under the same
    /// salt.
    pub fn salt(&self, version: u64) -> Box<str> {
        match self {
            CacheScope::Group(group) => format!("{version}+{group}").into(),
            CacheScope::Customer(customer) => format!("{version}/{customer}").into(),
        }
    }

    /// A digest that differs between scopes.
    pub fn digest(&self) -> u64 {
        match self {
            CacheScope::Group(group) => group.0,
            CacheScope::Customer(customer) => rendezvous::hash_member(customer),
        }
    }
}
