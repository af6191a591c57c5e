//! The law of rates: over every window, what a customer was admitted by all instances together
//! is at most its burst plus its rate times the window's length.

mod fakes;
mod rate_world;

use std::time::Duration;

use control::{SyncInput, TakeResult};
use fakes::StoreFault;
use ids::Millionths;
use policy::rate_shares::RATE_HOMES;
use rand::Rng;
use rate_world::{BURST, Process, RATE, World, customer_id};
use rstest::rstest;

/// One random event of the schedule.
fn strike(world: &mut World) {
    let index = world.random.random_range(0..world.instances.len());
    let it = &mut world.instances[index];
    match world.random.random_range(0..9) {
        0 if it.process == Process::Running => it.process = Process::Dead,
        1 if it.process == Process::Running => it.process = Process::Frozen,
        2 if it.process == Process::Frozen => it.process = Process::Running,
        3 if it.process == Process::Dead => world.restart(index),
        4 => {
            world.platform_down = !world.platform_down;
            let fault = if world.platform_down { StoreFault::Down } else { StoreFault::Healthy };
            world.instances.iter().for_each(|it| it.store.set(fault));
        }
        5 if !world.platform_down => {
            it.cut = true;
            it.store.set(StoreFault::Down);
        }
        6 if !world.platform_down => {
            (it.cut, it.deaf) = (true, true);
            it.store.set(StoreFault::Down);
        }
        7 if !world.platform_down => {
            (it.cut, it.deaf) = (false, false);
            let faults = [StoreFault::Healthy, StoreFault::LoseAnswers, StoreFault::StaleReads];
            it.store.set(faults[world.random.random_range(0..3)]);
        }
        _ => {
            (it.cut, it.deaf) = (false, false);
            if !world.platform_down {
                it.store.set(StoreFault::Healthy);
            }
        }
    }
}

#[tokio::test]
async fn no_window_exceeds_rate_and_burst_under_random_schedules() {
    for seed in 0..200 {
        // With the slow rate a bucket takes longer to fill than a part to change hands.
        let rate = if seed % 2 == 0 { RATE } else { RATE / 20 };
        let mut world = World::with_rate(5, seed, rate);
        for step in 0..3_000 {
            world.pass().await;
            if step % 40 == 0 {
                strike(&mut world);
            }
            // The balancer is skewed, and the customer sends five times its rate.
            for _ in 0..5 {
                let skewed = world.random.random_bool(0.5);
                let index = if skewed { 0 } else { world.random.random_range(0..5) };
                let tokens = world.random.random_range(1..=2 * RATE / 10);
                world.ask(index, tokens);
            }
        }
        world.check(seed);
    }
}

#[rstest]
#[case::killed(Process::Dead)]
#[case::frozen_thirty_seconds(Process::Frozen)]
#[tokio::test]
async fn a_lost_holders_part_is_taken_once_and_not_spent_by_it_again(#[case] fate: Process) {
    let mut world = World::new(4, 1);
    world.settle().await;
    let lost = world.holder_index();
    assert!(world.ask(lost, BURST), "the part began full");
    world.instances[lost].process = fate;
    for _ in 0..300 {
        world.pass().await;
    }
    let id = world.instances[lost].id.clone();
    let other = (lost + 1) % 4;
    let parts = world.instances[other].holder.table().shares[&customer_id()].clone();
    assert!(parts.iter().all(|it| it.holder != id), "its part was taken: {parts:?}");
    // It wakes and is asked before it has ticked or polled.
    world.instances[lost].process = Process::Running;
    if fate == Process::Frozen {
        assert!(!world.ask(lost, 1), "a paused holder confirms before it spends");
    }
    for index in (0..4).filter(|it| *it != lost) {
        while world.ask(index, BURST) {}
    }
    world.check(1);
}

#[tokio::test]
async fn a_lone_holder_shares_with_one_that_joins() {
    let mut world = World::new(3, 1);
    // Only the first is listed when the customer is made.
    for index in 1..3 {
        world.instances[index].process = Process::Dead;
        world.instances[index].seen_at = Duration::ZERO;
    }
    world.settle().await;
    assert_eq!(world.instances[0].holder.table().shares[&customer_id()].len(), 1);
    while world.ask(0, BURST) {}
    for index in 1..3 {
        world.restart(index);
    }
    for _ in 0..200 {
        world.pass().await;
        for index in 0..3 {
            while world.ask(index, BURST) {}
        }
    }
    let parts = world.instances[0].holder.table().shares[&customer_id()].clone();
    assert_eq!(parts.len(), RATE_HOMES, "{parts:?}");
    let due = Millionths::ONE.0 / RATE_HOMES as u64;
    assert!(parts.iter().all(|it| it.fraction.0 <= due + 1), "{parts:?}");
    world.check(1);
}

#[tokio::test]
async fn a_giver_whose_answer_is_lost_spends_only_what_it_keeps() {
    let mut world = World::with_rate(3, 1, 10);
    for index in 1..3 {
        world.instances[index].process = Process::Dead;
        world.instances[index].seen_at = Duration::ZERO;
    }
    world.settle().await;
    for index in 1..3 {
        world.restart(index);
    }
    // The write that gives a part away has no answer yet, nor has any read after it.
    let listed = world.listed();
    world.instances[0].store.set(StoreFault::LoseAnswers);
    let view = SyncInput { members: Some(&listed), catalog: &world.catalog };
    assert!(world.instances[0].holder.sync(view).await.is_err());
    world.instances[0].store.set(StoreFault::Down);
    let customer = world.catalog.customers[&customer_id()].clone();
    let taken = world.instances[0].holder.take(&customer, BURST, 1, 1);
    let kept = BURST * (Millionths::ONE.0 / RATE_HOMES as u64) / Millionths::ONE.0;
    assert_eq!(taken, TakeResult::Taken(kept), "the rest is another's by now");
}

#[tokio::test]
async fn a_stale_read_proves_nothing() {
    let mut world = World::new(4, 1);
    world.settle().await;
    let lost = world.holder_index();
    world.instances[lost].process = Process::Frozen;
    for _ in 0..300 {
        world.pass().await;
    }
    // It wakes, and its reads show what stood before its part was taken.
    world.instances[lost].process = Process::Running;
    world.instances[lost].store.set(StoreFault::StaleReads);
    for _ in 0..30 {
        world.pass().await;
        assert!(!world.ask(lost, 1), "its part is another's");
    }
}

#[tokio::test]
async fn holders_go_on_through_a_long_outage_of_the_table() {
    let mut world = World::new(4, 1);
    world.settle().await;
    world.platform_down = true;
    world.instances.iter().for_each(|it| it.store.set(StoreFault::Down));
    let mut served = 0;
    for _ in 0..6_000 {
        world.pass().await;
        let index = world.holder_index();
        served += u64::from(world.ask(index, RATE / 20));
    }
    assert!(served > 5_000, "only {served} of 6000 within the rate were served");
    world.check(1);
}

#[tokio::test]
async fn a_holder_cut_off_from_everything_stops_before_its_part_is_taken() {
    let mut world = World::new(4, 1);
    world.settle().await;
    let lost = world.holder_index();
    (world.instances[lost].cut, world.instances[lost].deaf) = (true, true);
    world.instances[lost].store.set(StoreFault::Down);
    for _ in 0..600 {
        world.pass().await;
        for index in 0..4 {
            world.ask(index, RATE / 10);
        }
    }
    assert!(!world.ask(lost, 1), "cut off, it must have stopped");
    world.check(1);
}

#[tokio::test]
async fn a_right_that_lapsed_is_not_revived_by_peers_in_an_outage() {
    let mut world = World::new(4, 1);
    world.settle().await;
    let lost = world.holder_index();
    (world.instances[lost].cut, world.instances[lost].deaf) = (true, true);
    world.instances[lost].store.set(StoreFault::Down);
    for _ in 0..400 {
        world.pass().await;
    }
    // Its part is another's by now; the new holder dies, and only then the cut ends.
    world.platform_down = true;
    world.instances.iter().for_each(|it| it.store.set(StoreFault::Down));
    let other = (lost + 1) % 4;
    let parts = world.instances[other].holder.table().shares[&customer_id()].clone();
    let id = world.instances[lost].id.clone();
    assert!(parts.iter().all(|it| it.holder != id));
    // The others start anew and know nothing of the row.
    for index in (0..4).filter(|it| *it != lost) {
        world.restart(index);
        world.instances[index].store.set(StoreFault::Down);
    }
    (world.instances[lost].cut, world.instances[lost].deaf) = (false, false);
    for _ in 0..60 {
        world.pass().await;
    }
    assert!(!world.ask(lost, 1), "its right has lapsed");
}

#[tokio::test]
async fn a_customer_seen_late_by_one_instance_gets_no_second_burst() {
    // So slow a rate that a second burst is far beyond it.
    let mut world = World::with_rate(2, 1, 10);
    world.settle().await;
    for index in 0..2 {
        while world.ask(index, BURST) {}
    }
    // An instance whose catalog lags does not know the customer, again and again.
    for _ in 0..3 {
        let known = std::mem::take(&mut world.catalog);
        for _ in 0..20 {
            world.pass().await;
        }
        world.catalog = known;
        for _ in 0..60 {
            world.pass().await;
            for index in 0..2 {
                while world.ask(index, BURST) {}
            }
        }
    }
    world.check(1);
}

#[tokio::test]
async fn two_that_take_the_same_part_at_once_do_not_both_get_it() {
    let mut world = World::new(6, 1);
    world.settle().await;
    let lost = world.holder_index();
    world.instances[lost].process = Process::Dead;
    for _ in 0..170 {
        world.pass().await;
    }
    // All read the same row, then all write.
    let listed = world.listed();
    for round in 0..3 {
        for index in (0..6).filter(|it| *it != lost) {
            let view = SyncInput { members: Some(&listed), catalog: &world.catalog };
            let lose = if round == 0 { StoreFault::LoseAnswers } else { StoreFault::Healthy };
            world.instances[index].store.set(lose);
            let _ = world.instances[index].holder.sync(view).await;
        }
        world.pass().await;
    }
    for index in 0..6 {
        while world.ask(index, BURST) {}
    }
    world.check(1);
}
