//! The two ends of a ring.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use super::{Doorbell, Full, Result};

/// Sending end. Items that find the ring full wait in a bounded queue of the sender until [`Sender::flush`].
#[derive(Debug)]
pub struct Sender<T> {
    producer: rtrb::Producer<T>,
    receiver_bell: Doorbell,
    sender_bell: Doorbell,
    starved: Arc<AtomicBool>,
    held: VecDeque<T>,
    held_limit: usize,
    fill: Fill,
}

/// How many items wait in the queue of a sender, readable from any thread.
#[derive(Clone, Debug, Default)]
pub struct Fill(Arc<AtomicUsize>);

impl Fill {
    /// Returns how many items waited when the sender last sent or flushed.
    pub fn held(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Receiving end.
#[derive(Debug)]
pub struct Receiver<T> {
    consumer: rtrb::Consumer<T>,
    sender_bell: Doorbell,
    starved: Arc<AtomicBool>,
}

/// Creates a ring of `capacity` items; the sender may hold back up to `held_limit` more.
pub fn link<T>(
    capacity: usize,
    held_limit: usize,
    sender_bell: &Doorbell,
    receiver_bell: &Doorbell,
) -> (Sender<T>, Receiver<T>) {
    let (producer, consumer) = rtrb::RingBuffer::new(capacity);
    let starved = Arc::new(AtomicBool::new(false));
    let sender = Sender {
        producer,
        receiver_bell: receiver_bell.clone(),
        sender_bell: sender_bell.clone(),
        starved: Arc::clone(&starved),
        held: VecDeque::new(),
        held_limit,
        fill: Fill::default(),
    };
    let receiver = Receiver { consumer, sender_bell: sender_bell.clone(), starved };
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

    /// Sends one item into a ring whose limits cover all that can be under way, so that it is full only when the
    /// receiving thread hangs. The process then ends, because a lost message would break a promise.
    pub fn send_or_fail(&mut self, item: T, ring: &'static str, supervisor: &crate::duty::Supervisor) {
        if self.send(item).is_err() {
            log::error!("event=ring_full ring={ring} action=exit");
            supervisor.fail();
        }
    }

    /// Moves held items into the ring. The run loop calls this after each wake-up.
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
            self.note_fill();
        }
        if !self.held.is_empty() {
            self.ask_for_room();
        }
    }

    /// Returns a handle on the number of items that wait, for metrics.
    pub fn fill(&self) -> Fill {
        self.fill.clone()
    }

    /// Returns how many items wait in the sender's queue.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Returns whether the receiving thread has ended.
    pub fn is_abandoned(&self) -> bool {
        self.producer.is_abandoned()
    }

    fn hold(&mut self, item: T) -> Result<(), T> {
        if self.held.len() >= self.held_limit {
            return Err(Full(item));
        }
        self.held.push_back(item);
        self.note_fill();
        self.ask_for_room();
        Ok(())
    }

    fn note_fill(&self) {
        self.fill.0.store(self.held.len(), Ordering::Relaxed);
    }

    fn ask_for_room(&mut self) {
        self.starved.store(true, Ordering::SeqCst);
        // The receiver may have emptied the ring before the flag was set, and would then ring nobody.
        if !self.producer.is_full() {
            self.sender_bell.ring();
        }
    }
}

impl<T> Receiver<T> {
    /// Takes the oldest item, if there is one.
    pub fn receive(&mut self) -> Option<T> {
        let item = self.consumer.pop().ok();
        if item.is_some() && self.starved.swap(false, Ordering::SeqCst) {
            self.sender_bell.ring();
        }
        item
    }

    /// Returns how many items wait in the ring.
    pub fn waiting(&self) -> usize {
        self.consumer.slots()
    }
}

/// Takes the waiting items of several rings, at most `batch` of each, so that a busy ring does not starve the others.
pub fn receive_batch<T>(rings: &mut [Receiver<T>], batch: usize) -> impl Iterator<Item = T> {
    rings.iter_mut().flat_map(move |ring| std::iter::from_fn(move || ring.receive()).take(batch))
}
