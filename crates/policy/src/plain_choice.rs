//! Which replica of a plain service gets a call: the least loaded against its slots.

/// Added for a replica in another failure domain, as a share of its slots.
const FAR_LOAD: f64 = 0.2;

/// What is known of one replica when a call is placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlainView {
    /// Calls it handles at once.
    pub slots: u32,
    /// Calls on it, of all daemons.
    pub running: u32,
    /// It is in the daemon's own failure domain.
    pub same_domain: bool,
    /// What else speaks against it, as a share of its slots.
    pub penalty: f64,
}

/// The least loaded replica; `spread` breaks ties so that daemons do not all choose the same.
pub fn choose(views: &[PlainView], spread: u64) -> Option<usize> {
    let count = views.len();
    let load = |it: &PlainView| {
        let far = if it.same_domain { 0.0 } else { FAR_LOAD };
        f64::from(it.running) / f64::from(it.slots.max(1)) + far + it.penalty
    };
    let first = spread as usize % count.max(1);
    let turned = (0..count).map(|it| (it + first) % count);
    turned.min_by(|left, right| load(&views[*left]).total_cmp(&load(&views[*right])))
}
