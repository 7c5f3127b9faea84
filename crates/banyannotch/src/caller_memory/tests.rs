//! Guards against callers that make a process hold more memory than its limit, against the loss of a request that an endpoint
//! works on while another could be dropped, and against large requests that leave no room for small ones.

use std::net::{TcpListener, TcpStream};

use socket2::SockRef;

use super::{
    Account, AccountSettings, BufferSettings, Direction, Grant, PageBuffer, SocketBuffers, Stage, is_sent,
};
use crate::random::Random;

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;
const SECOND_US: u64 = 1_000_000;

/// An account of 8 MiB, of which 2 MiB are reserved for small requests.
fn account(connection_limit: usize) -> Account {
    Account::new(AccountSettings {
        limit_bytes: 8 * MIB,
        reserved_bytes: 2 * MIB,
        connection_limit,
        ..AccountSettings::default()
    })
}

/// Opens a connection on which a request of the given size has arrived, without victims.
fn hold(account: &mut Account, held_bytes: usize, now_us: u64) -> usize {
    let mut victims = Vec::new();
    let id = account.open(now_us, &mut victims).expect("the connection is accepted");
    account.set_stage(id, Stage::Arriving, now_us);
    assert_eq!(account.resize(id, held_bytes, now_us, &mut victims), Grant::Granted);
    assert_eq!(victims, Vec::<usize>::new());
    id
}

/// Asks for memory and returns the decision with the victims.
fn ask(account: &mut Account, id: usize, held_bytes: usize, now_us: u64) -> (Grant, Vec<usize>) {
    let mut victims = Vec::new();
    let grant = account.resize(id, held_bytes, now_us, &mut victims);
    (grant, victims)
}

/// A request that began long ago with little memory has cost less than a large one that began later.
#[test]
fn the_request_with_the_most_memory_for_the_longest_time_is_dropped_first() {
    let mut account = account(100);
    let old_and_small = hold(&mut account, 100 * KIB, 0);
    let large = hold(&mut account, 3 * MIB, 2 * SECOND_US);
    let newer = hold(&mut account, 2 * MIB, 3 * SECOND_US);
    let newest = hold(&mut account, 100 * KIB, 4 * SECOND_US);
    assert_eq!(ask(&mut account, newest, 3 * MIB, 4 * SECOND_US), (Grant::Wait, vec![large]));
    assert!(account.is_dropped(large) && !account.is_dropped(old_and_small) && !account.is_dropped(newer));
}

/// Memory of a dropped request is granted to another one only when it is free, and no further request is dropped meanwhile.
#[test]
fn memory_is_granted_after_its_release() {
    let mut account = account(100);
    let first = hold(&mut account, 4 * MIB, 0);
    let second = hold(&mut account, 100 * KIB, SECOND_US);
    assert_eq!(ask(&mut account, second, 4 * MIB, SECOND_US), (Grant::Wait, vec![first]));
    assert_eq!(ask(&mut account, second, 4 * MIB, SECOND_US), (Grant::Wait, Vec::new()));
    assert_eq!(ask(&mut account, first, 5 * MIB, SECOND_US), (Grant::Dropped, Vec::new()));
    account.close(first);
    assert_eq!(ask(&mut account, second, 4 * MIB, SECOND_US), (Grant::Granted, Vec::new()));
    account.close(second);
    assert_eq!((account.held_bytes(), account.connections()), (0, 0));
}

/// Work that an endpoint has done is not thrown away for a request that has not begun.
#[test]
fn requests_that_endpoints_work_on_are_dropped_last() {
    let mut account = account(100);
    let working = hold(&mut account, 4 * MIB, 0);
    account.set_stage(working, Stage::Working, 0);
    let arriving = hold(&mut account, MIB, SECOND_US);
    let answered = hold(&mut account, 100 * KIB, SECOND_US);
    account.set_stage(answered, Stage::Working, SECOND_US);
    account.set_stage(answered, Stage::Answered, SECOND_US);
    let newcomer = hold(&mut account, 100 * KIB, 2 * SECOND_US);
    let (grant, victims) = ask(&mut account, newcomer, 4 * MIB, 2 * SECOND_US);
    // The others are not dropped in vain.
    assert_eq!((grant, victims), (Grant::Dropped, Vec::new()));
    assert!([working, arriving, answered].iter().all(|id| !account.is_dropped(*id)));
    // Only the memory of a request that an endpoint works on itself can displace another such request.
    let growing = hold(&mut account, 100 * KIB, 3 * SECOND_US);
    account.set_stage(growing, Stage::Working, 3 * SECOND_US);
    let expected = vec![arriving, answered, working];
    assert_eq!(ask(&mut account, growing, 4 * MIB, 3 * SECOND_US), (Grant::Wait, expected));
}

/// Callers with large bodies cannot take the memory that ordinary requests need, nor displace them.
#[test]
fn small_requests_have_a_share_of_their_own() {
    let mut account = account(1_000);
    let large: Vec<_> = (0..3).map(|_| hold(&mut account, 2 * MIB, 0)).collect();
    let small: Vec<_> = (0..32).map(|_| hold(&mut account, 64 * KIB, SECOND_US)).collect();
    assert_eq!(account.held_bytes(), 8 * MIB);
    let first = large.first().copied().expect("there are large requests");
    assert_eq!(ask(&mut account, first, 3 * MIB, 2 * SECOND_US).0, Grant::Wait);
    assert!(small.iter().all(|id| !account.is_dropped(*id)));
    assert_eq!(large.iter().filter(|id| account.is_dropped(**id)).count(), 1);
}

/// Bytes that are read ahead never cause another request to be dropped.
#[test]
fn memory_that_can_wait_displaces_nothing() {
    let mut account = account(100);
    let first = hold(&mut account, 5 * MIB, 0);
    let second = hold(&mut account, 100 * KIB, 0);
    assert!(account.resize_if_free(second, 900 * KIB, SECOND_US));
    assert!(!account.resize_if_free(second, 2 * MIB, SECOND_US));
    assert!(!account.is_dropped(first) && !account.is_dropped(second));
}

/// A new connection takes the place of one that nobody needs, and never that of a request which an endpoint works on.
#[test]
fn a_connection_takes_the_place_of_the_longest_idle_one() {
    let mut account = account(4);
    let served = hold(&mut account, 8 * KIB, 0);
    account.set_stage(served, Stage::Idle, 0);
    let arriving = hold(&mut account, 8 * KIB, SECOND_US);
    let mut victims = Vec::new();
    let unused: Vec<_> = (2..4).filter_map(|second| account.open(second * SECOND_US, &mut victims)).collect();
    assert_eq!((unused.len(), victims.as_slice()), (2, [].as_slice()));
    let mut order = Vec::new();
    while let Some(id) = account.open(10 * SECOND_US, &mut order) {
        account.set_stage(id, Stage::Working, 10 * SECOND_US);
    }
    let expected = [unused, vec![served, arriving]].concat();
    assert_eq!(order, expected);
    assert_eq!(account.connections(), 4);
}

/// Connections without requests take memory too, however many descriptors the process has.
#[test]
fn connections_stay_within_the_memory() {
    let mut account = account(1_000_000);
    let mut victims = Vec::new();
    for number in 0..10_000 {
        account.open(number, &mut victims);
    }
    assert!(account.connections() * 4 * KIB <= 8 * MIB, "{} connections", account.connections());
}

/// The sums must agree with what the connections hold, whatever the order of the events; otherwise the account is full for
/// ever or has no limit.
#[test]
fn random_events_keep_the_account_within_its_limit() {
    const EVENTS: u64 = 200_000;
    let mut account = account(60);
    let mut random = Random::seeded(7);
    let mut open: Vec<usize> = Vec::new();
    for now_us in 0..EVENTS {
        let mut victims = Vec::new();
        let index = random.below(open.len());
        match (random.below(8), open.get(index).copied()) {
            (0, _) | (_, None) => open.extend(account.open(now_us, &mut victims)),
            (1, Some(id)) => {
                account.close(id);
                open.retain(|other| *other != id);
            }
            (2, Some(id)) => {
                let stages = [Stage::Idle, Stage::Arriving, Stage::Working, Stage::Answered];
                let stage = stages.get(random.below(4)).copied().unwrap_or_default();
                account.set_stage(id, stage, now_us);
            }
            (3, Some(id)) => {
                account.resize_if_free(id, random.below(200_000), now_us);
            }
            (_, Some(id)) => {
                account.resize(id, random.below(4_000_000), now_us, &mut victims);
            }
        }
        assert!(account.held_bytes() <= 8 * MIB + 60 * 4 * KIB, "{} bytes", account.held_bytes());
        assert!(account.connections() <= 60, "{} connections", account.connections());
        assert!(victims.iter().all(|victim| account.is_dropped(*victim)));
    }
    for id in open {
        account.close(id);
    }
    assert_eq!((account.held_bytes(), account.connections()), (0, 0));
}

/// Large buffers together stay within their limit, and each of them is small again after its message.
#[test]
fn large_socket_buffers_are_limited_together() {
    let settings =
        BufferSettings { buffer_bytes: 4 * KIB, large_buffer_bytes: 64 * KIB, large_limit_bytes: 300 * KIB };
    let buffers = SocketBuffers::new(settings);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    buffers.limit(&listener);
    let address = listener.local_addr().expect("an address");
    let sockets: Vec<_> = (0..3)
        .map(|_| {
            let client = TcpStream::connect(address).expect("a connection");
            (client, listener.accept().expect("a connection").0)
        })
        .collect();
    let size = |socket: &TcpStream| SockRef::from(socket).send_buffer_size().expect("the size is known");
    let mut large: Vec<_> =
        sockets.iter().map(|(_, socket)| buffers.enlarge(socket, Direction::Send)).collect();
    assert_eq!(large.iter().map(Option::is_some).collect::<Vec<_>>(), [true, true, false]);
    let sizes: Vec<_> = sockets.iter().map(|(_, socket)| size(socket) / KIB).collect();
    assert_eq!(sizes, [128, 128, 8]);
    let first = large.remove(0).expect("the first buffer is large");
    first.reduce(&sockets[0].1);
    assert_eq!((size(&sockets[0].1) / KIB, is_sent(&sockets[0].1).expect("the state is known")), (8, true));
    drop(first);
    assert!(buffers.enlarge(&sockets[2].1, Direction::Receive).is_some());
    drop(large);
    assert_eq!(buffers.large_bytes(), 0);
}

/// The bytes must be the same whether or not the buffer has pages of its own.
#[test]
fn page_buffers_hold_what_was_appended() {
    let mut random = Random::seeded(11);
    let (mut buffer, mut expected) = (PageBuffer::default(), Vec::new());
    for number in 0..2_000 {
        match random.below(6) {
            0 => {
                let size_bytes = random.below(expected.len() + 1);
                buffer.discard_front(size_bytes);
                expected.drain(..size_bytes);
            }
            1 => buffer.set_capacity(random.below(200 * KIB)),
            2 if number % 50 == 0 => {
                buffer.clear(16 * KIB);
                expected.clear();
            }
            _ => {
                let piece = vec![(number % 251) as u8; random.below(8 * KIB)];
                buffer.extend_from_slice(&piece);
                expected.extend_from_slice(&piece);
            }
        }
        assert!(buffer.as_slice() == expected, "after change {number}");
        assert!(buffer.capacity() >= expected.len());
    }
    assert!(*bytes::Bytes::from(buffer) == *expected);
}
