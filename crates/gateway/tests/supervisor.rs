//! A background task that panics is started again; one that ends is not.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use gateway::supervisor;

#[tokio::test]
async fn a_task_that_panics_is_started_again_until_it_ends() {
    let starts = Arc::new(AtomicUsize::new(0));
    let counter = starts.clone();
    let task = move || {
        let number = counter.fetch_add(1, Ordering::Relaxed);
        async move {
            tokio::time::sleep(Duration::from_millis(10)).await;
            assert!(number >= 3, "a value that nobody expected");
        }
    };
    let supervised = supervisor::run_restarting("test", task);
    tokio::time::timeout(Duration::from_secs(5), supervised).await.expect("it ends");
    assert_eq!(starts.load(Ordering::Relaxed), 4);
}
