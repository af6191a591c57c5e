//! The memory of message bodies stays within its share, short messages always pass, and what a
//! message used is given back.

use policy::buffer_budget::{BufferBudget, UNCOUNTED_BYTES};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const INSTANCE_BYTES: usize = 88 << 20;

#[test]
fn long_messages_together_stay_within_a_share_of_the_memory() {
    let mut budget = BufferBudget::new(INSTANCE_BYTES);
    let mut held = vec![0; 200];
    let mut random = StdRng::seed_from_u64(1);
    for _ in 0..200_000 {
        let index = random.random_range(0..held.len());
        let wanted = held[index] + random.random_range(0..64 << 10);
        if budget.grow(held[index], wanted) {
            held[index] = wanted;
        } else if random.random_bool(0.2) {
            budget.release(held[index]);
            held[index] = 0;
        }
        assert!(budget.used() <= INSTANCE_BYTES / 8);
    }
    held.into_iter().for_each(|it| budget.release(it));
    assert_eq!(budget.used(), 0);
}

#[test]
fn short_messages_pass_beside_a_flood() {
    let mut budget = BufferBudget::new(INSTANCE_BYTES);
    let mut flood = 0;
    while budget.grow(flood, flood + 4_096) {
        flood += 4_096;
    }
    assert!(flood >= INSTANCE_BYTES / 9, "{flood}");
    assert!(budget.grow(0, UNCOUNTED_BYTES));
    assert!(!budget.grow(0, UNCOUNTED_BYTES + 4_096));
    budget.release(flood);
    assert!(budget.grow(0, 4 << 20), "the flood has ended");
}
