//! The rate limit over all instances: in every window, the tokens taken from a customer's shares
//! are at most its burst plus its rate times the length of the window.

mod fakes;
mod rate_simulation;

use std::time::Duration;

use control::{SyncInput, TakeResult};
use fakes::StoreFault;
use ids::Millionths;
use policy::rate_shares::RATE_HOMES;
use rand::Rng;
use rate_simulation::{BURST, Process, RATE, Simulation, customer_id};
use rstest::rstest;

/// Injects one random event: a process or the platform fails or recovers, or a network cut begins
/// or ends.
fn inject_event(simulation: &mut Simulation) {
    let index = simulation.random.random_range(0..simulation.instances.len());
    let it = &mut simulation.instances[index];
    match simulation.random.random_range(0..9) {
        0 if it.process == Process::Running => it.process = Process::Killed,
        1 if it.process == Process::Running => it.process = Process::Suspended,
        2 if it.process == Process::Suspended => it.process = Process::Running,
        3 if it.process == Process::Killed => simulation.restart(index),
        4 => {
            simulation.platform_down = !simulation.platform_down;
            let fault =
                if simulation.platform_down { StoreFault::Down } else { StoreFault::Healthy };
            simulation.instances.iter().for_each(|it| it.store.set_fault(fault));
        }
        5 if !simulation.platform_down => {
            it.platform_cut = true;
            it.store.set_fault(StoreFault::Down);
        }
        6 if !simulation.platform_down => {
            (it.platform_cut, it.peers_cut) = (true, true);
            it.store.set_fault(StoreFault::Down);
        }
        7 if !simulation.platform_down => {
            (it.platform_cut, it.peers_cut) = (false, false);
            let faults = [StoreFault::Healthy, StoreFault::LoseAnswers, StoreFault::StaleReads];
            it.store.set_fault(faults[simulation.random.random_range(0..3)]);
        }
        _ => {
            (it.platform_cut, it.peers_cut) = (false, false);
            if !simulation.platform_down {
                it.store.set_fault(StoreFault::Healthy);
            }
        }
    }
}

#[tokio::test]
async fn no_window_exceeds_rate_and_burst_under_random_schedules() {
    for seed in 0..200 {
        // At the slow rate a bucket takes longer to fill than a share to change its holder.
        let rate = if seed % 2 == 0 { RATE } else { RATE / 20 };
        let mut simulation = Simulation::with_rate(5, seed, rate);
        for step in 0..3_000 {
            simulation.advance().await;
            if step % 40 == 0 {
                inject_event(&mut simulation);
            }
            // The load balancer prefers one instance, and the customer sends five times its rate.
            for _ in 0..5 {
                let skewed = simulation.random.random_bool(0.5);
                let index = if skewed { 0 } else { simulation.random.random_range(0..5) };
                let tokens = simulation.random.random_range(1..=2 * RATE / 10);
                simulation.take_tokens(index, tokens);
            }
        }
        simulation.assert_within_limit(seed);
    }
}

#[rstest]
#[case::killed(Process::Killed)]
#[case::suspended_thirty_seconds(Process::Suspended)]
#[tokio::test]
async fn a_lost_holders_share_is_reassigned_and_not_spent_by_it_again(#[case] process: Process) {
    let mut simulation = Simulation::new(4, 1);
    simulation.settle().await;
    let lost = simulation.holder_index();
    assert!(simulation.take_tokens(lost, BURST), "the share starts full");
    simulation.instances[lost].process = process;
    for _ in 0..300 {
        simulation.advance().await;
    }
    let id = simulation.instances[lost].id.clone();
    let other = (lost + 1) % 4;
    let shares = simulation.instances[other].holder.table().shares[&customer_id()].clone();
    assert!(shares.iter().all(|it| it.holder != id), "its share was reassigned: {shares:?}");
    // It resumes and is asked for tokens before it has polled the platform.
    simulation.instances[lost].process = Process::Running;
    if process == Process::Suspended {
        assert!(
            !simulation.take_tokens(lost, 1),
            "a holder that was suspended needs a proof before it spends"
        );
    }
    for index in (0..4).filter(|it| *it != lost) {
        while simulation.take_tokens(index, BURST) {}
    }
    simulation.assert_within_limit(1);
}

#[tokio::test]
async fn a_sole_holder_gives_shares_to_instances_that_join() {
    let mut simulation = Simulation::new(3, 1);
    // Only the first instance is listed when the customer is created.
    for index in 1..3 {
        simulation.instances[index].process = Process::Killed;
        simulation.instances[index].announced_at = Duration::ZERO;
    }
    simulation.settle().await;
    assert_eq!(simulation.instances[0].holder.table().shares[&customer_id()].len(), 1);
    while simulation.take_tokens(0, BURST) {}
    for index in 1..3 {
        simulation.restart(index);
    }
    for _ in 0..200 {
        simulation.advance().await;
        for index in 0..3 {
            while simulation.take_tokens(index, BURST) {}
        }
    }
    let shares = simulation.instances[0].holder.table().shares[&customer_id()].clone();
    assert_eq!(shares.len(), RATE_HOMES, "{shares:?}");
    let due = Millionths::ONE.0 / RATE_HOMES as u64;
    assert!(shares.iter().all(|it| it.fraction.0 <= due + 1), "{shares:?}");
    simulation.assert_within_limit(1);
}

#[tokio::test]
async fn a_holder_that_gives_up_a_share_spends_only_the_rest_when_the_answer_is_lost() {
    let mut simulation = Simulation::with_rate(3, 1, 10);
    for index in 1..3 {
        simulation.instances[index].process = Process::Killed;
        simulation.instances[index].announced_at = Duration::ZERO;
    }
    simulation.settle().await;
    for index in 1..3 {
        simulation.restart(index);
    }
    // The answer to the write that gives a share away is lost, and reads fail after it.
    let listed = simulation.listed();
    simulation.instances[0].store.set_fault(StoreFault::LoseAnswers);
    let input = SyncInput { members: Some(&listed), catalog: &simulation.catalog };
    assert!(simulation.instances[0].holder.sync(input).await.is_err());
    simulation.instances[0].store.set_fault(StoreFault::Down);
    let customer = simulation.catalog.customers[&customer_id()].clone();
    let taken = simulation.instances[0].holder.take(&customer, BURST, 1, 1);
    let kept = BURST * (Millionths::ONE.0 / RATE_HOMES as u64) / Millionths::ONE.0;
    assert_eq!(taken, TakeResult::Taken(kept), "the rest belongs to another holder");
}

#[tokio::test]
async fn a_stale_read_does_not_renew_the_right_to_spend() {
    let mut simulation = Simulation::new(4, 1);
    simulation.settle().await;
    let lost = simulation.holder_index();
    simulation.instances[lost].process = Process::Suspended;
    for _ in 0..300 {
        simulation.advance().await;
    }
    // It resumes, and its reads return the rows from before its share was reassigned.
    simulation.instances[lost].process = Process::Running;
    simulation.instances[lost].store.set_fault(StoreFault::StaleReads);
    for _ in 0..30 {
        simulation.advance().await;
        assert!(!simulation.take_tokens(lost, 1), "its share belongs to another holder");
    }
}

#[tokio::test]
async fn holders_keep_spending_during_a_long_table_outage() {
    let mut simulation = Simulation::new(4, 1);
    simulation.settle().await;
    simulation.platform_down = true;
    simulation.instances.iter().for_each(|it| it.store.set_fault(StoreFault::Down));
    let mut served = 0;
    for _ in 0..6_000 {
        simulation.advance().await;
        let index = simulation.holder_index();
        served += u64::from(simulation.take_tokens(index, RATE / 20));
    }
    assert!(served > 5_000, "only {served} of 6000 requests within the rate were served");
    simulation.assert_within_limit(1);
}

#[tokio::test]
async fn an_isolated_holder_stops_spending_before_its_share_is_reassigned() {
    let mut simulation = Simulation::new(4, 1);
    simulation.settle().await;
    let lost = simulation.holder_index();
    (simulation.instances[lost].platform_cut, simulation.instances[lost].peers_cut) = (true, true);
    simulation.instances[lost].store.set_fault(StoreFault::Down);
    for _ in 0..600 {
        simulation.advance().await;
        for index in 0..4 {
            simulation.take_tokens(index, RATE / 10);
        }
    }
    assert!(!simulation.take_tokens(lost, 1), "an isolated holder must have stopped spending");
    simulation.assert_within_limit(1);
}

#[tokio::test]
async fn peer_reports_in_an_outage_do_not_renew_an_expired_right() {
    let mut simulation = Simulation::new(4, 1);
    simulation.settle().await;
    let lost = simulation.holder_index();
    (simulation.instances[lost].platform_cut, simulation.instances[lost].peers_cut) = (true, true);
    simulation.instances[lost].store.set_fault(StoreFault::Down);
    for _ in 0..400 {
        simulation.advance().await;
    }
    // Its share was reassigned. The platform fails and the new holder restarts before the cut ends.
    simulation.platform_down = true;
    simulation.instances.iter().for_each(|it| it.store.set_fault(StoreFault::Down));
    let other = (lost + 1) % 4;
    let shares = simulation.instances[other].holder.table().shares[&customer_id()].clone();
    let id = simulation.instances[lost].id.clone();
    assert!(shares.iter().all(|it| it.holder != id));
    // The others restart and know nothing of the row.
    for index in (0..4).filter(|it| *it != lost) {
        simulation.restart(index);
        simulation.instances[index].store.set_fault(StoreFault::Down);
    }
    (simulation.instances[lost].platform_cut, simulation.instances[lost].peers_cut) =
        (false, false);
    for _ in 0..60 {
        simulation.advance().await;
    }
    assert!(!simulation.take_tokens(lost, 1), "its right to spend has expired");
}

#[tokio::test]
async fn a_customer_missing_from_a_lagging_catalog_gets_no_second_burst() {
    // At this slow rate a second burst would be far beyond the limit.
    let mut simulation = Simulation::with_rate(2, 1, 10);
    simulation.settle().await;
    for index in 0..2 {
        while simulation.take_tokens(index, BURST) {}
    }
    // A lagging catalog misses the customer several times.
    for _ in 0..3 {
        let known = std::mem::take(&mut simulation.catalog);
        for _ in 0..20 {
            simulation.advance().await;
        }
        simulation.catalog = known;
        for _ in 0..60 {
            simulation.advance().await;
            for index in 0..2 {
                while simulation.take_tokens(index, BURST) {}
            }
        }
    }
    simulation.assert_within_limit(1);
}

#[tokio::test]
async fn of_instances_that_take_over_a_share_at_once_only_one_gets_it() {
    let mut simulation = Simulation::new(6, 1);
    simulation.settle().await;
    let lost = simulation.holder_index();
    simulation.instances[lost].process = Process::Killed;
    for _ in 0..170 {
        simulation.advance().await;
    }
    // All instances read the same row, then all write.
    let listed = simulation.listed();
    for round in 0..3 {
        for index in (0..6).filter(|it| *it != lost) {
            let input = SyncInput { members: Some(&listed), catalog: &simulation.catalog };
            let fault = if round == 0 { StoreFault::LoseAnswers } else { StoreFault::Healthy };
            simulation.instances[index].store.set_fault(fault);
            let _ = simulation.instances[index].holder.sync(input).await;
        }
        simulation.advance().await;
    }
    for index in 0..6 {
        while simulation.take_tokens(index, BURST) {}
    }
    simulation.assert_within_limit(1);
}
