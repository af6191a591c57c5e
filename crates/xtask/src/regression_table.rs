//! Compares the scores of sites with those of earlier runs, as recorded in the bench's journal.

use std::fmt::Write;

use serde::Deserialize;

/// The recorded result of one run of the bench. Other fields of an entry are ignored.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub(crate) struct JournalEntry {
    /// The command of the bench, such as `score`.
    pub(crate) cmd: Option<String>,
    /// The name of the site.
    pub(crate) site: Option<String>,
    /// The score on the site's standard days.
    pub(crate) score: Option<f64>,
    /// The days that were played.
    #[serde(default)]
    pub(crate) days: Vec<DayResult>,
}

/// The result of one day.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub(crate) struct DayResult {
    /// The name of the day in its site.
    pub(crate) name: String,
    /// The day's worth after prices, which the bench calls G.
    #[serde(rename = "G")]
    pub(crate) worth: Option<f64>,
    /// Whether the day passed the gate.
    pub(crate) gate: Option<bool>,
}

impl JournalEntry {
    /// Parses an entry; `None` if it is not one, such as a run that was ended early.
    pub(crate) fn parse(text: &str) -> Option<JournalEntry> {
        serde_json::from_str(text).ok()
    }

    fn is_score_of(&self, site: &str) -> bool {
        self.cmd.as_deref() == Some("score") && self.site.as_deref() == Some(site)
    }

    fn passes_gate(&self) -> bool {
        !self.days.is_empty() && self.days.iter().all(|it| it.gate == Some(true))
    }
}

/// The newest score of each site, in the order in which the sites were last scored, with the score
/// before it if there is one. `entries` are in the order of their times.
pub(crate) fn newest_scores(
    entries: &[JournalEntry],
) -> Vec<(&JournalEntry, Option<&JournalEntry>)> {
    let mut found: Vec<(&JournalEntry, Option<&JournalEntry>)> = Vec::new();
    for entry in entries.iter().filter(|it| it.score.is_some()) {
        let Some(site) = entry.site.as_deref().filter(|it| entry.is_score_of(it)) else { continue };
        let known = found.iter().position(|it| it.0.is_score_of(site));
        let before = known.map(|it| found.remove(it).0);
        found.push((entry, before));
    }
    found
}

/// One table of all sites: score, gate, the worth of each day, and by how much each differs from the
/// score before. Days that were drawn for one run have no earlier result.
pub(crate) fn format_table(scores: &[(&JournalEntry, Option<&JournalEntry>)]) -> String {
    let mut text = format!("{:<24} {:<12} {:>8} {:>8}  gate\n", "site", "day", "value", "change");
    for (entry, before) in scores {
        let site = entry.site.as_deref().unwrap_or_default();
        let gate = if entry.passes_gate() { "passed" } else { "FAILED" };
        let earlier = before.and_then(|it| it.score);
        push_row(&mut text, [site, "score"], entry.score, earlier, gate);
        for day in &entry.days {
            let known = before.iter().flat_map(|it| &it.days).find(|it| it.name == day.name);
            let gate = if day.gate == Some(true) { "" } else { "FAILED" };
            push_row(&mut text, ["", &day.name], day.worth, known.and_then(|it| it.worth), gate);
        }
    }
    text
}

fn push_row(
    text: &mut String,
    [site, day]: [&str; 2],
    value: Option<f64>,
    before: Option<f64>,
    gate: &str,
) {
    let shown = value.map_or("-".into(), |it| format!("{it:.3}"));
    let change = value.zip(before).map_or("-".into(), |it| format!("{:+.3}", it.0 - it.1));
    let row = format!("{site:<24} {day:<12} {shown:>8} {change:>8}  {gate}");
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{}", row.trim_end());
}
