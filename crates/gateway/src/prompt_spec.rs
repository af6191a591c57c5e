//! What placement needs to know of a prompt: prefixes, token counts and cache salt.

use policy::cache_scope::CacheScope;
use policy::engine_choice::PromptSize;
use policy::prefix_table::PromptPrefix;
use policy::rendezvous;

/// The prompt of a request, as placement sees it.
#[derive(Debug, Clone)]
pub struct PromptSpec {
    /// The model that it is for.
    pub model: Box<str>,
    /// Its prefixes without the salt: a chained digest and the token count up to each part's end.
    pub prefixes: Vec<PromptPrefix>,
    /// How many of the prefixes other prompts may share: all but the last.
    pub shared_prefixes: usize,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Limit of output tokens.
    pub output_tokens: u64,
    /// The smallest gap between tokens that an objective in the pool allows, in seconds.
    pub token_gap_s: Option<f64>,
    /// Whose cached prompts it may use.
    pub cache_scope: CacheScope,
}

impl PromptSpec {
    /// Tokens of the longest shared prefix; 0 without one.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_prefixes.checked_sub(1).map_or(0, |it| self.prefixes[it].tokens)
    }

    /// Its size, with a random key if it shares no prefix.
    pub(crate) fn size(&self) -> PromptSize {
        PromptSize {
            tokens: self.prompt_tokens,
            shared_tokens: self.shared_tokens(),
            key: self.affinity_key().unwrap_or_else(rand::random),
            token_gap_s: self.token_gap_s,
        }
    }

    /// The prefixes with digests that depend on the model, the version and the cache scope.
    pub fn salted_prefixes(&self, version: u64) -> Vec<PromptPrefix> {
        let seed = rendezvous::weight(version, self.model_seed()) ^ self.cache_scope.digest();
        let salt = |it: &PromptPrefix| PromptPrefix {
            digest: rendezvous::weight(it.digest, seed),
            tokens: it.tokens,
        };
        self.prefixes.iter().map(salt).collect()
    }

    fn model_seed(&self) -> u64 {
        rendezvous::hash_member(&self.model)
    }

    /// The digest of the longest shared prefix, by which all daemons rank the same replica first.
    pub(crate) fn affinity_key(&self) -> Option<u64> {
        self.shared_prefixes.checked_sub(1).map(|it| self.prefixes[it].digest)
    }
}
