//! A prompt as placement sees it: its parts, their digests, and the salt they lie under.

use policy::prefix_table::PromptPrefix;
use policy::rendezvous;

/// A request for an engine, as placement sees it.
#[derive(Debug, Clone)]
pub struct PromptSpec {
    /// The model.
    pub model: Box<str>,
    /// Its parts without the salt, as digests with running token counts.
    pub parts: Vec<PromptPrefix>,
    /// Shared parts: all but the last.
    pub shared: usize,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Most output tokens.
    pub output_tokens: u64,
    /// The shortest pause that streams of the pool are allowed, in seconds.
    pub token_gap_s: Option<f64>,
    /// The customer whose cache is kept apart, if it is.
    pub cache_scope: Option<Box<str>>,
}

impl PromptSpec {
    /// Tokens of the shared parts.
    pub fn shared_tokens(&self) -> u64 {
        self.shared.checked_sub(1).map_or(0, |it| self.parts[it].tokens)
    }

    /// The salt under which the parts lie on a replica with this version of the weights.
    pub fn salt(&self, version: u64) -> Box<str> {
        match &self.cache_scope {
            Some(customer) => format!("{version}/{customer}").into(),
            None => format!("{version}").into(),
        }
    }

    /// The beginnings of the prompt as they lie under a version's salt.
    pub fn salted(&self, version: u64) -> Vec<PromptPrefix> {
        let mut seed = rendezvous::weight(version, self.home_seed());
        if let Some(customer) = &self.cache_scope {
            seed ^= rendezvous::hash_member(customer);
        }
        let salt = |it: &PromptPrefix| PromptPrefix {
            digest: rendezvous::weight(it.digest, seed),
            tokens: it.tokens,
        };
        self.parts.iter().map(salt).collect()
    }

    fn home_seed(&self) -> u64 {
        rendezvous::hash_member(&self.model)
    }

    /// By which daemons agree on a first replica for the shared parts.
    pub(crate) fn home_key(&self) -> Option<u64> {
        self.shared.checked_sub(1).map(|it| self.parts[it].digest)
    }
}
