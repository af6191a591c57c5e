//! Restarts background tasks that panic. One unexpected value must not leave a daemon that accepts
//! callers without its peers, its reading of the store or its commands.

use std::time::Duration;

use tokio::time;

/// The pause before a task that panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Runs the task that `start` begins until it ends; begins another one each time it panics.
pub async fn run_restarting<T>(name: &'static str, start: impl Fn() -> T)
where
    T: Future<Output = ()> + Send + 'static,
{
    loop {
        match tokio::spawn(start()).await {
            Err(error) if error.is_panic() => {
                tracing::error!(task = name, "daemon: background task panicked, restarting it");
            }
            _ => return,
        }
        time::sleep(RESTART_DELAY).await;
    }
}
