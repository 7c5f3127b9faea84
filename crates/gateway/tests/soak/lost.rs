//! Finds requests that a gateway accepted and did not answer, from what the callers received and the endpoints ran.

use std::time::{Duration, Instant};

use crate::SentRequest;
use crate::world::{GRACE, World};

/// A connection that ends this soon after the request was sent may have crossed the request, which was then not read.
const CROSSING_LIMIT: Duration = Duration::from_millis(200);
/// Time after a disruption in which it may still have effects: data that was held back, and processes that catch up.
const AFTER_EFFECTS: Duration = Duration::from_millis(500);
/// A response that is still being sent in the last part of the grace period may be cut if the request was sent within this
/// time after SIGTERM.
const ACCEPTED_AFTER_SIGTERM: Duration = Duration::from_secs(3);
/// A request that ends this long before the end of its time counts as ended by it.
const TIME_LIMIT_MARGIN: Duration = Duration::from_millis(100);

/// A part of the deployment that may be disrupted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// A gateway that was killed or stopped, or whose callers were cut off. Its shutdown by SIGTERM is no disruption.
    Gateway(usize),
    /// An endpoint that broke off responses. Silence for about a second is no disruption.
    Endpoint(usize),
}

/// A disruption and the time in which it acts.
#[derive(Clone, Copy, Debug)]
pub struct Disruption {
    pub part: Part,
    pub from: Instant,
    pub until: Instant,
}

/// Returns the requests that were lost: the connection ended without a complete response, after the request was passed
/// on or long after it was sent, and neither a disruption nor the time limit of the request explains that.
pub fn check(world: &World, sent: &[SentRequest]) -> Vec<String> {
    let disruptions = world.disruptions.borrow();
    let is_disrupted = |part: Part, request: &SentRequest| {
        disruptions.iter().any(|disruption| {
            disruption.part == part
                && disruption.from <= request.ended_at
                && request.sent_at <= disruption.until + AFTER_EFFECTS
        })
    };
    let mut lost = Vec::new();
    for request in sent.iter().filter(|request| !request.got.complete) {
        let runs: Vec<usize> = world
            .endpoints
            .iter()
            .enumerate()
            .filter(|(_, (endpoint, _))| endpoint.runs().iter().any(|run| run.id == request.id))
            .map(|(number, _)| number)
            .collect();
        let duration = request.ended_at - request.sent_at;
        let may_be_unread = runs.is_empty() && duration <= CROSSING_LIMIT && request.got.status.is_none();
        let is_expired = duration + TIME_LIMIT_MARGIN >= world.shortest_time_limit();
        // Only a response that has begun cannot be replaced by a failure when its endpoint breaks off.
        let is_broken_off = request.got.status == Some(200)
            && runs.iter().any(|number| is_disrupted(Part::Endpoint(*number), request));
        let is_cut_at_end_of_grace = request.got.status == Some(200)
            && !runs.is_empty()
            && world.members[request.gateway].stops.borrow().iter().any(|stopped_at| {
                request.sent_at <= *stopped_at + ACCEPTED_AFTER_SIGTERM
                    && (*stopped_at + GRACE * 5 / 6..=*stopped_at + GRACE).contains(&request.ended_at)
            });
        if !may_be_unread
            && !is_expired
            && !is_cut_at_end_of_grace
            && !is_broken_off
            && !is_disrupted(Part::Gateway(request.gateway), request)
        {
            lost.push(format!("LOST after {duration:?}: {request:?}, run by endpoints {runs:?}"));
        }
    }
    lost
}
