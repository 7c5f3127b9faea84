//! The two ends of a ring.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use super::{Doorbell, Full, Result};

/// Sending end of a ring. Items that do not fit into the ring wait in a bounded queue of the sender until
/// [`Sender::flush`].
#[derive(Debug)]
pub struct Sender<T> {
    producer: rtrb::Producer<T>,
    receiver_bell: Doorbell,
    sender_bell: Doorbell,
    sender_waits: Arc<AtomicBool>,
    held: VecDeque<T>,
    held_limit: usize,
    held_count: HeldCount,
}

/// Number of items in the queue of a sender, readable from any thread.
#[derive(Clone, Debug, Default)]
pub struct HeldCount(Arc<AtomicUsize>);

impl HeldCount {
    /// Returns the number of items that were held when the sender's queue last changed.
    pub fn held(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Receiving end of a ring.
#[derive(Debug)]
pub struct Receiver<T> {
    consumer: rtrb::Consumer<T>,
    sender_bell: Doorbell,
    sender_waits: Arc<AtomicBool>,
}

/// Creates a ring with room for `capacity` items; the sender holds up to `held_limit` more in its queue.
pub fn link<T>(
    capacity: usize,
    held_limit: usize,
    sender_bell: &Doorbell,
    receiver_bell: &Doorbell,
) -> (Sender<T>, Receiver<T>) {
    let (producer, consumer) = rtrb::RingBuffer::new(capacity);
    let sender_waits = Arc::new(AtomicBool::new(false));
    let sender = Sender {
        producer,
        receiver_bell: receiver_bell.clone(),
        sender_bell: sender_bell.clone(),
        sender_waits: Arc::clone(&sender_waits),
        held: VecDeque::new(),
        held_limit,
        held_count: HeldCount::default(),
    };
    let receiver = Receiver { consumer, sender_bell: sender_bell.clone(), sender_waits };
    (sender, receiver)
}

impl<T> Sender<T> {
    /// Sends one item without blocking.
    ///
    /// # Errors
    /// Returns [`Full`] with the item when neither the ring nor the sender's queue has room.
    pub fn send(&mut self, item: T) -> Result<(), T> {
        self.flush();
        if self.held.is_empty() {
            match self.producer.push(item) {
                Ok(()) => self.receiver_bell.ring(),
                Err(rtrb::PushError::Full(item)) => return self.hold(item),
            }
            return Ok(());
        }
        self.hold(item)
    }

    /// Sends one item into a ring whose limits cover all items that can be in flight, so that it is full only when the
    /// receiving thread hangs. The process then exits, because a lost message would break a guarantee.
    pub fn send_or_fail(&mut self, item: T, ring: &'static str, supervisor: &crate::duty::Supervisor) {
        if self.send(item).is_err() {
            log::error!("event=ring_full ring={ring} action=exit");
            supervisor.fail();
        }
    }

    /// Moves held items into the ring. The event loop calls this in each iteration.
    pub fn flush(&mut self) {
        let mut moved = false;
        while let Some(item) = self.held.pop_front() {
            if let Err(rtrb::PushError::Full(item)) = self.producer.push(item) {
                self.held.push_front(item);
                break;
            }
            moved = true;
        }
        if moved {
            self.receiver_bell.ring();
        }
        if moved {
            self.update_held_count();
        }
        if !self.held.is_empty() {
            self.request_wake_up();
        }
    }

    /// Returns a handle to the number of held items, for metrics.
    pub fn held_count(&self) -> HeldCount {
        self.held_count.clone()
    }

    /// Returns the number of items in the sender's queue.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Returns whether the receiver was dropped.
    pub fn is_abandoned(&self) -> bool {
        self.producer.is_abandoned()
    }

    fn hold(&mut self, item: T) -> Result<(), T> {
        if self.held.len() >= self.held_limit {
            return Err(Full(item));
        }
        self.held.push_back(item);
        self.update_held_count();
        self.request_wake_up();
        Ok(())
    }

    fn update_held_count(&self) {
        self.held_count.0.store(self.held.len(), Ordering::Relaxed);
    }

    fn request_wake_up(&mut self) {
        self.sender_waits.store(true, Ordering::SeqCst);
        // The receiver may have emptied the ring before the flag was set, and would then not ring the doorbell of the
        // sender.
        if !self.producer.is_full() {
            self.sender_bell.ring();
        }
    }
}

impl<T> Receiver<T> {
    /// Removes and returns the oldest item, if there is one.
    pub fn receive(&mut self) -> Option<T> {
        let item = self.consumer.pop().ok();
        if item.is_some() && self.sender_waits.swap(false, Ordering::SeqCst) {
            self.sender_bell.ring();
        }
        item
    }

    /// Returns the number of items in the ring.
    pub fn waiting(&self) -> usize {
        self.consumer.slots()
    }
}

/// Removes and returns the items of several rings, at most `batch` from each, so that a busy ring does not starve the
/// others.
pub fn receive_batch<T>(rings: &mut [Receiver<T>], batch: usize) -> impl Iterator<Item = T> {
    rings.iter_mut().flat_map(move |ring| std::iter::from_fn(move || ring.receive()).take(batch))
}
