//! Histories of rollouts agree, in whatever order their findings arrive.

use ids::Revision;
use policy::release_history::{ReleaseHistory, RolloutOutcome};
use proptest::prelude::*;

proptest! {
    #[test]
    fn findings_may_arrive_in_any_order_and_more_than_once(
        findings in prop::collection::vec((0_u8..4, 1_u64..9, any::<bool>()), 0..12),
        rotation in 0_usize..12,
    ) {
        let outcome = |it| match it {
            true => RolloutOutcome::Completed,
            false => RolloutOutcome::Rejected,
        };
        let histories = [0, rotation].map(|start| {
            let mut history = ReleaseHistory::default();
            for (release, order, completed) in findings.iter().cycle().skip(start).take(2 * findings.len()) {
                history.record(&format!("v{release}"), Revision(*order), outcome(*completed));
            }
            history
        });
        prop_assert_eq!(&histories[0], &histories[1]);
        for release in 0..4 {
            let of_release = findings.iter().filter(|it| it.0 == release);
            let last = of_release.map(|it| (it.1, it.2)).max();
            let rejected = last.is_some_and(|it| !it.1);
            prop_assert_eq!(histories[0].is_rejected(&format!("v{release}")), rejected);
        }
    }

    #[test]
    fn the_releases_that_were_ordered_last_are_remembered(orders in prop::collection::vec(1_u64..1_000, 1..60)) {
        let mut history = ReleaseHistory::default();
        for order in &orders {
            history.record(&format!("v{order}"), Revision(*order), RolloutOutcome::Rejected);
        }
        let last = orders.iter().max().expect("some");
        let known = orders.iter().filter(|it| history.is_rejected(&format!("v{it}"))).count();
        let is_known = history.is_rejected(&format!("v{last}"));
        prop_assert!(is_known && known <= orders.len());
    }
}
