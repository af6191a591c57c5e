//! The names of cache scopes: equal only for requests that may share cached prompts.

use policy::cache_scope::{CacheScope, SharingGroup};
use rstest::rstest;

fn group(customers: &[&str]) -> CacheScope {
    CacheScope::Group(SharingGroup::new(customers.iter().copied()))
}

fn customer(name: &str) -> CacheScope {
    CacheScope::Customer(name.into())
}

#[rstest]
#[case::another_order(group(&["a", "b"]), group(&["b", "a"]), true)]
#[case::one_left(group(&["a", "b"]), group(&["b"]), false)]
#[case::one_joined(group(&["a"]), group(&["a", "b"]), false)]
#[case::one_replaced(group(&["a", "b"]), group(&["a", "c"]), false)]
#[case::nobody(group(&[]), group(&["a"]), false)]
#[case::names_joined(group(&["ab"]), group(&["a", "b"]), false)]
#[case::one_customer_alone(group(&["a"]), customer("a"), false)]
#[case::same_customer(customer("a"), customer("a"), true)]
#[case::other_customer(customer("a"), customer("b"), false)]
fn scopes_have_one_name_only_if_they_are_equal(
    #[case] one: CacheScope,
    #[case] other: CacheScope,
    #[case] is_equal: bool,
) {
    assert_eq!(one.salt(3) == other.salt(3), is_equal, "{} {}", one.salt(3), other.salt(3));
    assert_eq!(one.digest() == other.digest(), is_equal);
}

#[rstest]
#[case::group(group(&["a", "b"]))]
#[case::customer(customer("a"))]
fn each_version_has_a_salt_of_its_own(#[case] scope: CacheScope) {
    assert_ne!(scope.salt(1), scope.salt(2));
}
