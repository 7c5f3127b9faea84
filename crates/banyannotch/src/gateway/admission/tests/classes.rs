//! Tests of classes. A service that is classed by mistake would be served differently from before, and a wrong rank would
//! make urgent requests yield to others.

use crate::gateway::admission::{Class, Classes};
use crate::gateway::dispatch::fixtures::configuration;
use crate::gateway::{Configuration, Route, Team};
use crate::ids::{ServiceId, TeamId};

/// Returns a configuration with routes of the given priorities to the model, and teams with theirs.
fn with_priorities(routes: &[u8], teams: &[Option<u8>], keyed: bool) -> Configuration {
    let usual = configuration(5);
    let model_route = usual.routes.last().cloned().expect("a route to the model");
    let route = |priority: &u8| Route { priority: *priority, ..model_route.clone() };
    let team = |(number, priority): (usize, &Option<u8>)| Team {
        id: TeamId::from(&*format!("team-{number}")),
        priority: *priority,
    };
    Configuration {
        routes: routes.iter().map(route).collect(),
        teams: teams.iter().enumerate().map(team).collect(),
        keyed,
        ..usual
    }
}

/// Lists the rank of each team, and of a caller without one, on each route.
fn ranks(configuration: &Configuration) -> String {
    let classes = Classes::of(configuration);
    let model = ServiceId::from("model");
    let of_route = |route: &Route| {
        let rank = |team: Option<&Team>| match classes.class(&model, route, team) {
            Some(class) => class.rank.to_string(),
            None => "-".to_owned(),
        };
        let of_teams: Vec<_> = configuration.teams.iter().map(|team| rank(Some(team))).collect();
        format!("{}:{}", rank(None), of_teams.join(","))
    };
    let of_routes: Vec<_> = configuration.routes.iter().map(of_route).collect();
    format!("{} clamped {:?}", of_routes.join(" "), classes.clamped_priority())
}

#[test]
fn ranks_are_positions_among_the_priorities_of_the_service() {
    let cases = [
        ("three routes", with_priorities(&[0, 1, 2], &[None], true)),
        ("the same priority everywhere", with_priorities(&[1, 1], &[Some(1), None], true)),
        ("teams with other priorities", with_priorities(&[1], &[Some(0), Some(7), None], true)),
        ("teams without keys", with_priorities(&[1], &[Some(0), Some(7)], false)),
        ("a team overrides its route", with_priorities(&[0, 4, 8], &[Some(2), None], true)),
        ("above the range", with_priorities(&[3, 9, 200], &[None], true)),
        ("equal after clamping", with_priorities(&[10, 11], &[None], true)),
        ("no route", with_priorities(&[], &[Some(3)], true)),
    ];
    let lines: Vec<_> =
        cases.iter().map(|(name, configuration)| format!("{name}: {}", ranks(configuration))).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// A request that is late for its objective, but not hopeless, must precede others of its rank at the engines, and no
/// request may overtake one of a more urgent rank in the same situation.
#[test]
fn engines_are_told_the_rank_and_the_urgency_within_it() {
    let values = |rank| {
        let class = Class { rank };
        [(0, false), (249, false), (250, false), (499, false), (500, false), (900, true)]
            .map(|(elapsed_ms, is_continued)| class.wire_priority(elapsed_ms, 500, is_continued))
    };
    assert_eq!(values(0), [1, 1, 0, 0, 2, 0]);
    assert_eq!(values(1), [3, 3, 2, 2, 4, 2]);
    assert_eq!(values(2), [5, 5, 4, 4, 6, 4]);
    assert_eq!(values(9), [8, 8, 7, 7, 9, 7]);
}
