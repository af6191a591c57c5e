//! One generation of an engine. It continues when its reader disconnects, so that the stream can be
//! resumed.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch;
use xxhash_rust::xxh3;

/// How long an ended generation is kept for a resumption, unless somebody still reads it then.
pub(crate) const UNREAD_RETENTION: Duration = Duration::from_secs(10);

/// The progress of a generation; the counts are tokens generated so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GenerationState {
    Running(u64),
    Complete(u64),
    Stopped,
}

/// A generation: the size of its prompt and the tokens generated so far.
#[derive(Debug)]
pub(crate) struct EngineGeneration {
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    tokens: Mutex<Vec<Box<str>>>,
    state: watch::Sender<GenerationState>,
}

impl EngineGeneration {
    pub(crate) fn new(prompt_tokens: u64, cached_tokens: u64) -> Arc<EngineGeneration> {
        let (state, _) = watch::channel(GenerationState::Running(0));
        Arc::new(EngineGeneration { prompt_tokens, cached_tokens, tokens: Mutex::default(), state })
    }

    /// Generates `count` tokens, one each `token_interval`, until stopped. They depend only on the
    /// prompt and the version.
    pub(crate) async fn generate(
        &self,
        prompt: &[u8],
        version: u64,
        count: u64,
        token_interval: Duration,
    ) {
        for number in 1..=count {
            tokio::time::sleep(token_interval).await;
            if self.is_stopped() {
                return;
            }
            let text = token_text(prompt, version, number);
            self.tokens.lock().unwrap_or_else(|it| it.into_inner()).push(text);
            self.set_unless_stopped(GenerationState::Running(number));
        }
        self.set_unless_stopped(GenerationState::Complete(count));
    }

    pub(crate) fn stop(&self) {
        self.state.send_replace(GenerationState::Stopped);
    }

    pub(crate) fn is_stopped(&self) -> bool {
        *self.state.borrow() == GenerationState::Stopped
    }

    pub(crate) fn has_ended(&self) -> bool {
        !matches!(*self.state.borrow(), GenerationState::Running(_))
    }

    pub(crate) fn reader_count(&self) -> usize {
        self.state.receiver_count()
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<GenerationState> {
        self.state.subscribe()
    }

    pub(crate) fn token(&self, number: u64) -> Option<Box<str>> {
        let tokens = self.tokens.lock().unwrap_or_else(|it| it.into_inner());
        tokens.get(number as usize - 1).cloned()
    }

    fn set_unless_stopped(&self, next: GenerationState) {
        self.state.send_if_modified(|it| {
            let running = *it != GenerationState::Stopped;
            if running {
                *it = next;
            }
            running
        });
    }
}

/// Token `number` (from 1) of the answer to `prompt`. The first token contains the prompt's hash,
/// so that a test can tell answers to different prompts apart.
pub fn token_text(prompt: &[u8], version: u64, number: u64) -> Box<str> {
    let prompt_hash = xxh3::xxh3_64(prompt);
    if number == 1 {
        return format!("[{prompt_hash:016x} v{version}]").into();
    }
    format!(" w{}", xxh3::xxh3_64_with_seed(&number.to_le_bytes(), prompt_hash ^ version) % 1_000)
        .into()
}
