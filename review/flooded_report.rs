//! A replica in trouble answers without end. The daemon that asks it for its state before it orders
//! new weights reads that answer without a limit.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::engine::{Engine, MODEL};
use crate::{Daemons, MEMORY_MB, OrderDesk, Runs, Site};
use crate::{config_text, lost_orders, start_plain_replica, wait_ready};

const DAEMONS: usize = 3;
const CALLERS_EACH: usize = 4;
const KEY: &str = "wu3fexd9dnn2ctnfzs98";
/// More orders than this, lost at any time, break the rule.
const MAX_LOST: usize = 3;

pub fn run(site: &Site) -> io::Result<Vec<String>> {
    let hits = Arc::default();
    let engines: Vec<Arc<Engine>> = (1..=4)
        .map(|it| Engine::start(site, &format!("i-desk{it}"), &hits))
        .collect::<Result<_, _>>()?;
    let runs = Runs::default();
    for index in 1..=2 {
        let work = Duration::from_millis(100);
        start_plain_replica(site, &format!("i-orders{index}"), "orders", work, &runs)?;
    }
    let tenants = format!(
        r#"{{"name":"shops","apiKeys":["{KEY}"],"priority":1,"unit":"tokens","uncachedTokens":200,"isolated":false,"ratePerS":0,"burst":0}}"#
    );
    site.write_config(&config_text(1, &tenants));
    site.name_version(MODEL, 1);
    let mut daemons = Daemons::start(site, DAEMONS)?;
    if !wait_ready(site, DAEMONS) {
        return Err(io::Error::other("the daemons are not ready"));
    }
    let mut desk = OrderDesk::start(site, DAEMONS, CALLERS_EACH, KEY);
    thread::sleep(Duration::from_secs(5));
    if site.trouble {
        site.record.add("i-desk1 is in trouble: it answers without end");
        engines[0].floods.store(true, Ordering::Relaxed);
    }
    thread::sleep(Duration::from_millis(500));
    site.name_version(MODEL, 2);
    thread::sleep(Duration::from_secs(15));
    let orders = desk.stop();
    let ends = daemons.ends();
    let peaks = daemons.peaks_mb();
    daemons.stop();
    let lost = lost_orders(&orders, &runs);
    let served =
        orders.iter().filter(|it| it.outcome == crate::Outcome::Answered(200, true)).count();
    let flooded = engines[0].flooded_bytes.load(Ordering::Relaxed) >> 20;
    let summary = format!(
        "{} orders sent, {served} served, {} lost; most memory of the daemons {peaks:?} MiB of {MEMORY_MB}; \
         {} processes killed for it; {flooded} MiB written by the replica in trouble",
        orders.len(),
        lost.len(),
        ends.iter().filter(|it| it.over_memory).count(),
    );
    site.record.add(&summary);
    println!("{summary}");
    if served == 0 {
        return Err(io::Error::other("no order was served"));
    }
    let mut broken = Vec::new();
    if lost.len() > MAX_LOST {
        let first = lost[0];
        broken.push(format!(
            "LOST: {} orders from kept channels were passed on to sound replicas, and their channels \
             closed without an answer; the first is {}, sent at {:.3} s and cut at {:.3} s",
            lost.len(),
            first.attempt,
            first.sent_at.as_secs_f64(),
            first.ended_at.as_secs_f64()
        ));
    }
    Ok(broken)
}
