//! Bounds the memory of message bodies that are held at the same time.
//!
//! The load pattern that this answers: replicas in trouble, or callers, send bytes without end on
//! many connections at once. A limit for each message alone would let a hundred of them exhaust a
//! small instance. Short messages always pass, so that sound ones are served beside a flood.

/// Share of the instance's memory that long messages may take together.
const MEMORY_SHARE: usize = 8;
/// The part of each message that is not counted, in bytes.
pub const UNCOUNTED_BYTES: usize = 16 << 10;

/// The memory of all message bodies of a process.
#[derive(Debug)]
pub struct BufferBudget {
    limit: usize,
    used: usize,
}

impl BufferBudget {
    /// A budget for an instance with this much memory, in bytes.
    pub fn new(memory_bytes: usize) -> BufferBudget {
        BufferBudget { limit: memory_bytes / MEMORY_SHARE, used: 0 }
    }

    /// Whether a message that holds `held` bytes may hold `wanted`. If so, the difference counts as
    /// used.
    pub fn grow(&mut self, held: usize, wanted: usize) -> bool {
        let more = counted(wanted).saturating_sub(counted(held));
        if self.used.saturating_add(more) > self.limit && more > 0 {
            return false;
        }
        self.used += more;
        true
    }

    /// Gives back what a message of `held` bytes used.
    pub fn release(&mut self, held: usize) {
        self.used = self.used.saturating_sub(counted(held));
    }

    /// The bytes in use that count.
    pub fn used(&self) -> usize {
        self.used
    }
}

fn counted(bytes: usize) -> usize {
    bytes.saturating_sub(UNCOUNTED_BYTES)
}
