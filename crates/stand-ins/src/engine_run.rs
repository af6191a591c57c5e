//! One generation of an engine: it runs on when its reader goes, so that it can be resumed.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch;
use xxhash_rust::xxh3;

/// How long a generation that nobody reads is kept.
pub(crate) const ORPHAN_TIME: Duration = Duration::from_secs(10);

/// How far a generation is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunStage {
    Running(u64),
    Whole(u64),
    Stopped,
}

/// A generation and its pieces.
#[derive(Debug)]
pub(crate) struct EngineRun {
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    pieces: Mutex<Vec<Box<str>>>,
    stage: watch::Sender<RunStage>,
}

impl EngineRun {
    pub(crate) fn new(prompt_tokens: u64, cached_tokens: u64) -> Arc<EngineRun> {
        let (stage, _) = watch::channel(RunStage::Running(0));
        Arc::new(EngineRun { prompt_tokens, cached_tokens, pieces: Mutex::default(), stage })
    }

    /// Generates `count` pieces of an answer that depends only on prompt and version.
    pub(crate) async fn generate(&self, prompt: &[u8], version: u64, count: u64, pace: Duration) {
        for number in 1..=count {
            tokio::time::sleep(pace).await;
            if self.is_stopped() {
                return;
            }
            let text = token_text(prompt, version, number);
            self.pieces.lock().unwrap_or_else(|it| it.into_inner()).push(text);
            self.advance(RunStage::Running(number));
        }
        self.advance(RunStage::Whole(count));
    }

    pub(crate) fn stop(&self) {
        self.stage.send_replace(RunStage::Stopped);
    }

    pub(crate) fn is_stopped(&self) -> bool {
        *self.stage.borrow() == RunStage::Stopped
    }

    pub(crate) fn is_over(&self) -> bool {
        !matches!(*self.stage.borrow(), RunStage::Running(_))
    }

    pub(crate) fn readers(&self) -> usize {
        self.stage.receiver_count()
    }

    pub(crate) fn watch(&self) -> watch::Receiver<RunStage> {
        self.stage.subscribe()
    }

    pub(crate) fn piece(&self, number: u64) -> Option<Box<str>> {
        let pieces = self.pieces.lock().unwrap_or_else(|it| it.into_inner());
        pieces.get(number as usize - 1).cloned()
    }

    fn advance(&self, next: RunStage) {
        self.stage.send_if_modified(|it| {
            let runs = *it != RunStage::Stopped;
            if runs {
                *it = next;
            }
            runs
        });
    }
}

/// A piece of the answer to `prompt`; the first one names the prompt.
pub fn token_text(prompt: &[u8], version: u64, number: u64) -> Box<str> {
    let digest = xxh3::xxh3_64(prompt);
    if number == 1 {
        return format!("[{digest:016x} v{version}]").into();
    }
    format!(" w{}", xxh3::xxh3_64_with_seed(&number.to_le_bytes(), digest ^ version) % 1_000).into()
}
