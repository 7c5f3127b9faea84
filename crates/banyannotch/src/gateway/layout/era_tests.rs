//! Tests of the ordering group of a store that comes back from a backup.

use super::{Action, Decision, Event, Layout, LayoutSettings};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::gateway::Group;

/// Returns the actions of an event.
fn event(layout: &mut Layout, now_us: u64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    layout.on_event(now_us, event, &mut actions);
    actions
}

fn joined(era: u64, generation: u64, sent_us: u64) -> Event {
    Event::Joined { group: Group { era, generation, partitions: vec![0] }, sent_us }
}

fn owner_changes(actions: &[Action]) -> Vec<bool> {
    let changes = actions.iter().filter_map(|action| match action {
        Action::Decide(Decision::Owner { owner, .. }) => Some(*owner),
        _ => None,
    });
    changes.collect()
}

/// The restored store knows nothing of the group. An owner that went on with its generation would neither be refused nor be a
/// member, and two gateways would give orders for as long as the membership lasts.
#[test]
fn the_group_is_joined_anew_after_the_store_came_back() {
    for by_response in [true, false] {
        let mut layout = Layout::new(LayoutSettings::default());
        let mut now_us = 10_000_000;
        event(&mut layout, now_us, Event::Rank(0));
        event(&mut layout, now_us, Event::StoreEra(1));
        let sent = event(&mut layout, now_us, joined(1, 7, now_us));
        assert_eq!(owner_changes(&sent), [true]);
        now_us += 100 * US_PER_MS;
        layout.on_timer(now_us, &mut Vec::new());
        let told = if by_response { joined(2, 7, now_us) } else { Event::StoreEra(2) };
        let actions = event(&mut layout, now_us, told);
        assert_eq!(owner_changes(&actions), [false]);
        // The catalog learns of the era from layout, unless it told layout.
        assert_eq!(actions.contains(&Action::StoreEra(2)), by_response);
        // A response to the call from before is late.
        assert_eq!(owner_changes(&event(&mut layout, now_us, joined(1, 8, now_us))), [false; 0]);
        let mut actions = Vec::new();
        assert!(layout.next_timer_us() <= Some(now_us), "the group is joined at once");
        layout.on_timer(now_us, &mut actions);
        let generation = actions.iter().find_map(|action| match action {
            Action::Join { generation, .. } => Some(*generation),
            _ => None,
        });
        assert_eq!(generation, Some(0));
        assert_eq!(owner_changes(&event(&mut layout, now_us, joined(2, 1, now_us))), [true]);
        let failed = Event::NotJoined { fault: "410".to_owned(), era: Some(3) };
        assert_eq!(owner_changes(&event(&mut layout, now_us, failed)), [false]);
    }
}
