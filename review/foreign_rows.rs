//! Another writer leaves rows in the table of the replicas, more than fit into one answer of the store.
//! The daemon asks for the rows after the last one it got, and does not encode that row's key.

use std::io;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::{Daemons, MEMORY_MB, OrderDesk, ROW_BYTES, Runs, Site};
use crate::{config_text, lost_orders, start_plain_replica, wait_ready};

const DAEMONS: usize = 3;
const CALLERS_EACH: usize = 4;
const KEY: &str = "wu3fexd9dnn2ctnfzs98";
/// Rows of the other writer, of the largest size that the platform allows.
const FOREIGN_ROWS: usize = 20;
/// More orders than this, lost at any time, break the rule.
const MAX_LOST: usize = 3;

pub fn run(site: &Site) -> io::Result<Vec<String>> {
    let runs = Runs::default();
    for index in 1..=2 {
        let work = Duration::from_millis(100);
        start_plain_replica(site, &format!("i-orders{index}"), "orders", work, &runs)?;
    }
    let tenants = format!(
        r#"{{"name":"shops","apiKeys":["{KEY}"],"priority":1,"unit":"tokens","uncachedTokens":200,"isolated":false,"ratePerS":0,"burst":0}}"#
    );
    site.write_config(&config_text(1, &tenants));
    let mut daemons = Daemons::start(site, DAEMONS)?;
    if !wait_ready(site, DAEMONS) {
        return Err(io::Error::other("the daemons are not ready"));
    }
    let mut desk = OrderDesk::start(site, DAEMONS, CALLERS_EACH, KEY);
    thread::sleep(Duration::from_secs(5));
    if site.trouble {
        for index in 1..=FOREIGN_ROWS {
            let bytes: Vec<u8> = (0..ROW_BYTES).map(|it| (it * 31 + index * 7) as u8).collect();
            site.store.put("servers", &format!("backup#{index}"), &bytes);
        }
        site.record.add(format!("another writer has left {FOREIGN_ROWS} rows in servers"));
    }
    let reads_before = site.store.reads.load(Ordering::Relaxed);
    thread::sleep(Duration::from_secs(15));
    let reads = site.store.reads.load(Ordering::Relaxed) - reads_before;
    let orders = desk.stop();
    let ready = (0..DAEMONS).filter(|it| site.is_ready(*it)).count();
    let ends = daemons.ends();
    let peaks = daemons.peaks_mb();
    daemons.stop();
    let lost = lost_orders(&orders, &runs);
    let served =
        orders.iter().filter(|it| it.outcome == crate::Outcome::Answered(200, true)).count();
    let summary = format!(
        "{} orders sent, {served} served, {} lost; most memory of the daemons {peaks:?} MiB of {MEMORY_MB}; \
         {} processes killed for it; {reads} reads of the store in 15 s; {ready} daemons ready at the end",
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
