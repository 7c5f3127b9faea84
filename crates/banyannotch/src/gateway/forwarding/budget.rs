//! Limits the memory that buffered response bodies take together.
//!
//! A body that is not a stream is buffered until it is complete. The limit on a single body does not protect the process,
//! because a faulty endpoint can send that much for each of its requests at the same time.

use std::cell::Cell;
use std::rc::Rc;

use crate::gateway::http1::{BodyQuota, HttpError, Result};

/// Maximum size of a body. An instance with little memory may buffer several.
const BODY_LIMIT_BYTES: usize = 4 << 20;
/// Size up to which a body is always accepted, so that large bodies do not displace ordinary ones.
const UNSHARED_BYTES: usize = 64 << 10;
/// Maximum size of all bodies together, without the first [`UNSHARED_BYTES`] of each.
const SHARED_LIMIT_BYTES: usize = 32 << 20;

/// Size of the buffered bodies together, without the first [`UNSHARED_BYTES`] of each.
#[derive(Clone, Debug, Default)]
pub(super) struct BodyBudget(Rc<Cell<usize>>);

impl BodyBudget {
    /// Returns the share of a body that is still empty.
    pub fn share(&self) -> BodyShare {
        BodyShare { budget: self.clone(), size_bytes: 0 }
    }
}

/// The share of one body in the budget, which is given back when the value is dropped.
#[derive(Debug)]
pub(super) struct BodyShare {
    budget: BodyBudget,
    size_bytes: usize,
}

impl BodyShare {
    fn shared_bytes(&self) -> usize {
        self.size_bytes.saturating_sub(UNSHARED_BYTES)
    }
}

impl BodyQuota for BodyShare {
    fn take(&mut self, size_bytes: usize) -> Result<()> {
        let others_bytes = self.budget.0.get() - self.shared_bytes();
        let grown_bytes = self.size_bytes.saturating_add(size_bytes);
        if grown_bytes > BODY_LIMIT_BYTES {
            return Err(HttpError::BodyTooLarge(BODY_LIMIT_BYTES));
        }
        let shared_bytes = grown_bytes.saturating_sub(UNSHARED_BYTES);
        if shared_bytes > 0 && others_bytes + shared_bytes > SHARED_LIMIT_BYTES {
            return Err(HttpError::BuffersFull(SHARED_LIMIT_BYTES));
        }
        self.size_bytes = grown_bytes;
        self.budget.0.set(others_bytes + shared_bytes);
        Ok(())
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.budget.0.set(self.budget.0.get() - self.shared_bytes());
    }
}
