//! Which version of each model's weights an engine has, and which one it was commanded to load.
//!
//! Load pattern: several models on the same engines get new weights at different times, and their
//! versions count up independently. While an engine loads one model, it serves the others.

use std::time::Duration;

use indexmap::IndexMap;

/// The weights of one incarnation of an engine, by model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineWeights {
    /// Never empty: an engine that names no models has one entry, which stands for any model.
    models: IndexMap<Box<str>, ModelWeights>,
}

/// The weights of one model on one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ModelWeights {
    /// The version that is loaded, by the newest report.
    pub loaded: u64,
    /// The newest version that the engine was commanded to load, and when this was learned.
    command: Option<(u64, Duration)>,
}

/// The name under which the weights of an engine are kept that names no models.
const ANY_MODEL: &str = "";

impl EngineWeights {
    /// The weights of an engine with these versions by model.
    pub fn new(listed: &IndexMap<Box<str>, u64>) -> EngineWeights {
        let mut weights = EngineWeights { models: IndexMap::new() };
        weights.apply_listing(listed);
        weights
    }

    /// Merges the versions of a newer listing, which may be older than reports. Models that it does
    /// not name are not served any more.
    pub fn apply_listing(&mut self, listed: &IndexMap<Box<str>, u64>) {
        if !listed.is_empty() {
            self.models.retain(|model, _| listed.contains_key(model));
        } else if !self.models.contains_key(ANY_MODEL) {
            self.models = IndexMap::from([(ANY_MODEL.into(), self.newest())]);
        }
        for (model, version) in listed {
            match self.models.get_mut(model) {
                Some(known) => known.loaded = known.loaded.max(*version),
                None => {
                    let weights = ModelWeights { loaded: *version, command: None };
                    self.models.insert(model.clone(), weights);
                }
            }
        }
    }

    fn newest(&self) -> ModelWeights {
        self.models.values().copied().max_by_key(|it| it.loaded).unwrap_or_default()
    }

    /// Whether the engine may serve this model.
    pub fn serves(&self, model: &str) -> bool {
        self.get(model).is_some()
    }

    /// The loaded version of a model; 0 if it is not known or not served.
    pub fn loaded(&self, model: &str) -> u64 {
        self.get(model).map_or(0, |it| it.loaded)
    }

    /// The highest loaded version of all models.
    pub fn highest_loaded(&self) -> u64 {
        self.newest().loaded
    }

    /// The highest version that the engine was commanded to load.
    pub fn highest_commanded(&self) -> u64 {
        self.models.values().map(|it| it.commanded()).max().unwrap_or(0)
    }

    /// The only model, if there are not several.
    pub fn only_model(&self) -> Option<&str> {
        let (model, _) = self.models.first()?;
        (self.models.len() == 1).then_some(&**model)
    }

    /// The weights of each model.
    pub fn models(&self) -> impl Iterator<Item = (&str, &ModelWeights)> {
        self.models.iter().map(|(model, it)| (&**model, it))
    }

    /// Whether the engine takes no requests for this model, or for any if there is none, because it
    /// was commanded to load weights less than `timeout` ago and has not done so.
    pub fn is_loading(&self, now: Duration, model: Option<&str>, timeout: Duration) -> bool {
        match model.and_then(|it| self.get(it)) {
            Some(it) => it.is_loading(now, timeout),
            None => self.models.values().all(|it| it.is_loading(now, timeout)),
        }
    }

    /// Whether the engine is loading any model.
    pub fn is_any_loading(&self, now: Duration, timeout: Duration) -> bool {
        self.models.values().any(|it| it.is_loading(now, timeout))
    }

    /// Whether the engine was commanded less than `time` ago, as far as known.
    pub fn was_commanded_within(&self, now: Duration, time: Duration) -> bool {
        self.models.values().any(|it| it.command.is_some_and(|(_, at)| now < at + time))
    }

    /// Merges the loaded and the last commanded version of a model as reported. Returns whether this
    /// ends the load of a commanded version.
    pub fn merge(&mut self, now: Duration, model: &str, loaded: u64, commanded: u64) -> bool {
        let Some(known) = self.get_mut(model) else { return false };
        let ends_load =
            known.command.is_some_and(|(version, _)| version > known.loaded && version <= loaded);
        known.loaded = known.loaded.max(loaded);
        if known.command.is_none_or(|it| it.0 < commanded) && commanded > known.loaded {
            known.command = Some((commanded, now));
        }
        ends_load
    }

    /// Records the version of a model that the engine itself named; it holds also if it is lower
    /// than the known one.
    pub fn record_stated(&mut self, model: &str, version: u64) {
        if let Some(known) = self.get_mut(model) {
            known.loaded = version;
        }
    }

    fn get(&self, model: &str) -> Option<&ModelWeights> {
        self.models.get(model).or_else(|| self.models.get(ANY_MODEL))
    }

    fn get_mut(&mut self, model: &str) -> Option<&mut ModelWeights> {
        let key = if self.models.contains_key(model) { model } else { ANY_MODEL };
        self.models.get_mut(key)
    }
}

impl ModelWeights {
    /// The version that the engine was last commanded to load; 0 without a command.
    pub fn commanded(&self) -> u64 {
        self.command.map_or(0, |it| it.0)
    }

    /// A command that counts as lost is sent again.
    fn is_loading(&self, now: Duration, timeout: Duration) -> bool {
        self.command.is_some_and(|(version, at)| version > self.loaded && now < at + timeout)
    }
}
