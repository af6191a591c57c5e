//! A change of the configuration isolates a tenant. What its requests had cached before lies under the
//! text that all tenants share, and other tenants' requests go on using it.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::engine::{CacheHit, Engine, MODEL};
use crate::{Caller, Daemons, Outcome, Site, config_text, lock, wait_ready};

const DAEMONS: usize = 3;
/// `configApplyMs` of the settings, and a second more.
const APPLY_TIME: Duration = Duration::from_millis(3_000);
const REQUESTS_EACH: usize = 12;
/// The prompt's parts that both tenants' requests share.
const SHARED_PARTS: &str = "5c1e07a2:800,91bd3f06:410";

fn tenants(first_is_isolated: bool) -> String {
    let tenant = |name: &str, key: &str, isolated: bool| {
        format!(
            r#"{{"name":"{name}","apiKeys":["{key}"],"priority":1,"unit":"tokens","uncachedTokens":200,"isolated":{isolated},"ratePerS":0,"burst":0}}"#
        )
    };
    let first = tenant("armor", "key-of-armor-5f1c", first_is_isolated);
    format!("{first},{}", tenant("glazik", "key-of-glazik-9b27", false))
}

/// Sends requests of a tenant to all daemons; returns how many were answered in full, and records
/// when each was sent.
fn send_requests(
    site: &Site,
    tenant: &str,
    key: &str,
    phase: usize,
    sent: &Mutex<BTreeMap<String, Duration>>,
) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS_EACH {
        let attempt = format!("{tenant}-{phase}-{number:04}");
        let head = format!(
            "POST /ask/{number} HTTP/1.1\r\nHost: desk.example\r\nKingcupshift-Attempt-Id: {attempt}\r\n\
             Kingcupshift-Model: {MODEL}\r\nKingcupshift-Token-Usage: 1460,3\r\n\
             Kingcupshift-Prompt-Prefix: {SHARED_PARTS},{phase:02x}{number:06x}:250\r\n\
             Kingcupshift-Deadline-Ms: 5000\r\nAuthorization: Bearer {key}\r\nContent-Length: 3\r\n\r\n"
        );
        let daemon = number % DAEMONS;
        site.record.add(format!("{tenant} sends {attempt} to daemon {}", daemon + 1));
        lock(sent).insert(attempt.clone(), site.record.now());
        let (outcome, _) =
            Caller::new(site.front(daemon)).send(&head, b"ask", Duration::from_secs(5));
        site.record.add(format!("{attempt} {outcome:?}"));
        served += usize::from(outcome == Outcome::Answered(200, true));
    }
    served
}

pub fn run(site: &Site) -> io::Result<Vec<String>> {
    let hits: Arc<Mutex<Vec<CacheHit>>> = Arc::default();
    for index in 1..=2 {
        Engine::start(site, &format!("i-desk{index}"), &hits)?;
    }
    site.write_config(&config_text(1, &tenants(false)));
    site.name_version(MODEL, 1);
    let mut daemons = Daemons::start(site, DAEMONS)?;
    if !wait_ready(site, DAEMONS) {
        return Err(io::Error::other("the daemons are not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    let sent = Mutex::default();
    let mut served = send_requests(site, "armor", "key-of-armor-5f1c", 1, &sent);
    let mut isolated_from = None;
    if site.trouble {
        site.write_config(&config_text(2, &tenants(true)));
        isolated_from = Some(site.record.now() + APPLY_TIME);
    }
    thread::sleep(APPLY_TIME);
    served += send_requests(site, "glazik", "key-of-glazik-9b27", 2, &sent);
    served += send_requests(site, "armor", "key-of-armor-5f1c", 3, &sent);
    daemons.stop();
    if served < 2 * REQUESTS_EACH {
        return Err(io::Error::other(format!("only {served} requests were answered")));
    }
    let hits = lock(&hits).clone();
    let sent = lock(&sent).clone();
    // The isolated tenant is one of the two; the request was sent when the change had to be in force.
    let is_broken = |it: &&CacheHit| {
        let sent_at = sent.get(&it.attempt).copied().unwrap_or_default();
        it.tenant != it.maker
            && (it.tenant == "armor" || it.maker == "armor")
            && isolated_from.is_some_and(|from| sent_at >= from)
    };
    let found: Vec<&CacheHit> = hits.iter().filter(is_broken).collect();
    let summary = format!(
        "{served} requests answered; {} cached parts used, {} across the wall",
        hits.len(),
        found.len()
    );
    site.record.add(&summary);
    println!("{summary}");
    let line = |it: &&CacheHit| {
        format!(
            "WALL: at {:.3} s {} of {} used part {}, which a request of the isolated tenant {} made",
            it.at.as_secs_f64(),
            it.attempt,
            it.tenant,
            it.part,
            it.maker
        )
    };
    Ok(found.iter().take(3).map(line).collect())
}
