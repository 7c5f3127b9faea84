//! Guards against lost items, lost wake-ups and blocking sends.

use super::{Doorbell, Full, link};

#[test]
fn sending_into_a_full_ring_returns_the_item() {
    let (mut sender, mut receiver) = link(2, 1, &Doorbell::default(), &Doorbell::default());
    let results: Vec<_> = (1..=4).map(|item| sender.send(item)).collect();
    assert_eq!(results, [Ok(()), Ok(()), Ok(()), Err(Full(4))]);
    assert_eq!(receiver.receive(), Some(1));
    sender.flush();
    let rest: Vec<_> = std::iter::from_fn(|| receiver.receive()).collect();
    assert_eq!(rest, [2, 3]);
}

#[test]
fn items_arrive_in_order_on_another_thread_through_a_small_ring() {
    const ITEMS: u32 = 20_000;
    let (sender_bell, receiver_bell) = (Doorbell::default(), Doorbell::default());
    let (mut sender, mut receiver) = link(4, 8, &sender_bell, &receiver_bell);
    let producer = std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let mut item = 0;
            while item < ITEMS {
                match sender.send(item) {
                    Ok(()) => item += 1,
                    Err(Full(_)) => sender_bell.wait().await,
                }
            }
            while sender.held() > 0 {
                sender_bell.wait().await;
                sender.flush();
            }
        });
    });
    let received = actix_rt::System::new().block_on(async move {
        let mut received = Vec::new();
        while received.len() < ITEMS as usize {
            match receiver.receive() {
                Some(item) => received.push(item),
                None => receiver_bell.wait().await,
            }
        }
        received
    });
    producer.join().expect("the producer thread panicked");
    assert!(received.iter().copied().eq(0..ITEMS), "received other items than 0..{ITEMS} in order");
}

/// Guards against a metric that shows an empty queue while items are held, or held items after they were sent.
#[test]
fn held_count_is_updated_on_send_and_flush() {
    let (mut sender, mut receiver) = link(1, 2, &Doorbell::default(), &Doorbell::default());
    let held_count = sender.held_count();
    let mut seen = vec![held_count.held()];
    for item in 1..=4 {
        let _ = sender.send(item);
        seen.push(held_count.held());
    }
    while receiver.receive().is_some() {
        sender.flush();
        seen.push(held_count.held());
    }
    assert_eq!(seen, [0, 0, 1, 2, 2, 1, 0, 0]);
}
