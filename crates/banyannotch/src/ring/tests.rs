//! Guards against lost items, lost wake-ups and blocking sends.

use super::{Doorbell, Full, link};

#[test]
fn a_full_ring_gives_the_item_back() {
    let (mut sender, mut receiver) = link(2, 1, &Doorbell::default(), &Doorbell::default());
    let results: Vec<_> = (1..=4).map(|item| sender.send(item)).collect();
    assert_eq!(results, [Ok(()), Ok(()), Ok(()), Err(Full(4))]);
    assert_eq!(receiver.receive(), Some(1));
    sender.flush();
    let rest: Vec<_> = std::iter::from_fn(|| receiver.receive()).collect();
    assert_eq!(rest, [2, 3]);
}

#[test]
fn items_cross_threads_in_order_through_a_small_ring() {
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
    producer.join().expect("the producer ends");
    assert!(received.iter().copied().eq(0..ITEMS));
}

/// Guards against a metric that shows an empty queue while items are held back, or a full one after they have moved.
#[test]
fn the_fill_follows_the_held_items() {
    let (mut sender, mut receiver) = link(1, 2, &Doorbell::default(), &Doorbell::default());
    let fill = sender.fill();
    let mut seen = vec![fill.held()];
    for item in 1..=4 {
        let _ = sender.send(item);
        seen.push(fill.held());
    }
    while receiver.receive().is_some() {
        sender.flush();
        seen.push(fill.held());
    }
    assert_eq!(seen, [0, 0, 1, 2, 2, 1, 0, 0]);
}
