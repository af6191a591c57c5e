//! The memory that one message body takes of the budget for all of them.

use std::sync::{Arc, Mutex};

use policy::buffer_budget::BufferBudget;

use crate::gateway::lock;

/// The budget that all messages of a process share.
pub(crate) type SharedBudget = Arc<Mutex<BufferBudget>>;

/// There is no memory left for a longer message.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the memory for message bodies is used up")]
pub(crate) struct BufferExhausted;

/// What one message holds; given back when this is dropped.
#[derive(Debug)]
pub(crate) struct BufferShare {
    budget: SharedBudget,
    held: usize,
}

impl BufferShare {
    /// A share of a message without any bytes.
    pub(crate) fn new(budget: &SharedBudget) -> BufferShare {
        BufferShare { budget: budget.clone(), held: 0 }
    }

    /// The bytes that the message holds.
    pub(crate) fn held(&self) -> usize {
        self.held
    }

    /// Records that the message holds `bytes` now; fails if there is no memory for a longer one.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), BufferExhausted> {
        if bytes < self.held {
            let mut budget = lock(&self.budget);
            budget.release(self.held);
            self.held = 0;
            // It held more just now.
            budget.grow(0, bytes);
            self.held = bytes;
            return Ok(());
        }
        if !lock(&self.budget).grow(self.held, bytes) {
            return Err(BufferExhausted);
        }
        self.held = bytes;
        Ok(())
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        lock(&self.budget).release(self.held);
    }
}
