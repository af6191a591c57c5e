//! Addresses for started processes are free while other threads start processes too.

use std::env;
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use stand_ins::loopback;

const STARTING_THREADS: usize = 8;
const ADDRESSES: usize = 10_000;

#[test]
fn an_address_can_be_bound_at_once_while_processes_start() {
    let program = env::current_exe().unwrap();
    let stop = AtomicBool::new(false);
    let refused = thread::scope(|scope| {
        for _ in 0..STARTING_THREADS {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    let mut command = Command::new(&program);
                    command.arg("--list").stdin(Stdio::null()).stdout(Stdio::null());
                    assert!(command.status().unwrap().success());
                }
            });
        }
        let addresses = (0..ADDRESSES).map(|_| loopback::free_address());
        let refused = addresses.filter(|it| TcpListener::bind(it).is_err()).count();
        stop.store(true, Ordering::Relaxed);
        refused
    });
    assert_eq!(refused, 0, "addresses of {ADDRESSES} that could not be bound");
}
