//! Failure detection: decides from signs of death whether an endpoint is live, suspected or removed.
//!
//! A refused connection is strong evidence, because a live process has a listener. A single one still leads
//! only to a suspicion: an overloaded listener with a full backlog refuses connections too, and so does every
//! address while this entry's own network is down. An endpoint counts as dead if it refuses connections for a
//! certain time without an answer, or for half of that time if another entry reports it dead too. Silence is
//! weak evidence, because a frozen, an overloaded and an unreachable endpoint cannot be told apart.
//!
//! Failures remove an endpoint only if it fails once more after another endpoint has answered, because
//! otherwise this entry's own network may be down. Any answer clears all signs. An endpoint that is leaving
//! is removed at the first refused connection or after long silence.

use super::policy::{Membership, PEER_REPORTS_IGNORED_US, decide};
use super::state::{EndpointRecord, Evidence, Standing};
use super::{Action, MissingReportReason, ObservedState, Role, Source, Verdict};
use crate::clock::US_PER_MS;
use crate::ids::EndpointId;

/// Number of consecutive unanswered fetches from which on an endpoint counts as silent. A single lost answer
/// is common under load.
const SILENCE_FETCHES: u32 = 2;

/// Strength of the signs of death of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Grade {
    None,
    /// Silent for a short time, or reported dead by another entry.
    Silent,
    /// Refused connections for a short time.
    Refused,
    /// Silent for `silent_ms`, or half of it if another entry reports it dead.
    DeadBySilence,
    /// Refused connections for `refusing_ms`, or half of it if another entry reports it dead.
    DeadByRefusal,
}

/// Numbers of replicas of one layer range or service. Leaving ones are not counted.
#[derive(Clone, Copy, Debug, Default)]
struct Replicas {
    all: usize,
    /// Suspected or removed without a refused connection.
    down_on_silence: usize,
    removed_on_silence: usize,
    without_signs: usize,
}

impl Membership {
    pub(super) fn on_no_report(
        &mut self,
        now_us: u64,
        id: &EndpointId,
        started_us: u64,
        reason: MissingReportReason,
        actions: &mut Vec<Action>,
    ) {
        if reason == MissingReportReason::UnexpectedAnswer {
            self.clear_evidence(now_us, id, actions);
            self.schedule_next_fetch(now_us, id, false);
            return;
        }
        let Some(record) = self.endpoints.get_mut(id) else { return };
        let evidence = &mut record.evidence;
        evidence.unanswered_fetches = evidence.unanswered_fetches.saturating_add(1);
        if reason == MissingReportReason::Refused {
            note_refusal(now_us, evidence);
        } else if evidence.unanswered_fetches >= SILENCE_FETCHES {
            note_silence(now_us, evidence);
        }
        self.evaluate(now_us, id, started_us, Source::Silence, actions);
        self.schedule_next_fetch(now_us, id, false);
    }

    pub(super) fn on_failed(
        &mut self,
        now_us: u64,
        id: &EndpointId,
        refused: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.endpoints.get_mut(id) else { return };
        if refused {
            note_refusal(now_us, &mut record.evidence);
        } else {
            note_silence(now_us, &mut record.evidence);
        }
        if record.standing == Standing::Live {
            // The next fetch is due at once, so that an endpoint that still answers is not suspected for
            // long.
            record.due_us = now_us;
        }
        // The start of the failed call is not known. With 0 the call does not count as a failure after the
        // answer of another endpoint, so it alone removes no endpoint that is not leaving.
        self.evaluate(now_us, id, 0, Source::Execution, actions);
    }

    pub(super) fn on_peer_reported_dead(&mut self, now_us: u64, id: &EndpointId, actions: &mut Vec<Action>) {
        let Some(record) = self.endpoints.get_mut(id) else { return };
        if now_us < record.peer_reports_ignored_until_us || record.evidence.reported_by_peer {
            return;
        }
        record.evidence.reported_by_peer = true;
        if record.standing == Standing::Live {
            record.due_us = now_us;
        }
        self.evaluate(now_us, id, 0, Source::Peer, actions);
    }

    /// Clears all signs of death, because the endpoint answered.
    pub(super) fn clear_evidence(&mut self, now_us: u64, id: &EndpointId, actions: &mut Vec<Action>) {
        let Some(record) = self.endpoints.get_mut(id) else { return };
        record.last_answer_us = Some(now_us);
        if record.evidence.reported_by_peer {
            record.peer_reports_ignored_until_us = now_us + PEER_REPORTS_IGNORED_US;
        }
        record.evidence = Evidence::default();
        self.note_other_answer(now_us, id);
        let Some(record) = self.endpoints.get_mut(id) else { return };
        let before = std::mem::replace(&mut record.standing, Standing::Live);
        let verdict = match before {
            Standing::Live => return,
            Standing::Suspected => Verdict::Cleared,
            Standing::Removed => {
                record.joined_us = now_us;
                Verdict::Returned
            }
        };
        decide(id, verdict, Source::Endpoint, actions);
        self.publish_now();
    }

    /// Records for all endpoints with signs of death that another endpoint answered, so this entry's network
    /// works.
    fn note_other_answer(&mut self, now_us: u64, answered: &EndpointId) {
        for (id, record) in self.endpoints.iter_mut() {
            if id != answered && record.evidence.has_own() {
                record.evidence.other_answered_us.get_or_insert(now_us);
            }
        }
    }

    /// Removes an endpoint from the table until it answers again.
    pub(super) fn remove(&mut self, now_us: u64, id: &EndpointId, source: Source, actions: &mut Vec<Action>) {
        let Some(record) = self.endpoints.get_mut(id) else { return };
        if std::mem::replace(&mut record.standing, Standing::Removed) != Standing::Removed {
            record.removed_us = now_us;
            decide(id, Verdict::Removed, source, actions);
            self.publish_now();
        }
    }

    /// Decides after a new sign of death. `started_us` is the start of the failed attempt, or 0 if it is not
    /// known.
    fn evaluate(
        &mut self,
        now_us: u64,
        id: &EndpointId,
        started_us: u64,
        source: Source,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.endpoints.get(id) else { return };
        let Some(role) = record.role.clone() else { return };
        if record.standing == Standing::Removed {
            return;
        }
        let grade = self.grade(&record.evidence);
        if record.leaving {
            // A leaving endpoint that refuses connections has exited. Its removal costs nothing, since it
            // gets no work.
            if matches!(grade, Grade::Refused | Grade::DeadByRefusal | Grade::DeadBySilence) {
                self.remove(now_us, id, source, actions);
            }
            return;
        }
        let replicas = self.replicas(&role);
        let dead = match grade {
            Grade::DeadByRefusal => true,
            Grade::DeadBySilence => self.may_remove_on_silence(replicas),
            Grade::None | Grade::Silent | Grade::Refused => false,
        };
        let network_works = record.evidence.other_answered_us.is_some_and(|at_us| at_us < started_us);
        if dead && network_works {
            self.remove(now_us, id, source, actions);
        } else if matches!(grade, Grade::Refused | Grade::DeadByRefusal) || may_suspect_on_silence(replicas) {
            self.suspect(now_us, id, source, actions);
        } else if replicas.without_signs == 0 {
            self.suspect_replicas(now_us, &role, source, actions);
        }
    }

    fn suspect(&mut self, now_us: u64, id: &EndpointId, source: Source, actions: &mut Vec<Action>) {
        let Some(record) = self.endpoints.get_mut(id) else { return };
        if record.standing != Standing::Live || !record.evidence.has_any() {
            return;
        }
        record.standing = Standing::Suspected;
        let own = record.evidence.has_own();
        decide(id, Verdict::Suspected, source, actions);
        if own {
            self.announce(now_us, id, ObservedState::Dead, actions);
        }
        self.publish_now();
    }

    fn suspect_replicas(&mut self, now_us: u64, role: &Role, source: Source, actions: &mut Vec<Action>) {
        let ids: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_, record)| is_replica(record, role))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.suspect(now_us, &id, source, actions);
        }
    }

    fn grade(&self, evidence: &Evidence) -> Grade {
        let needed_us = |alone_ms: u64| alone_ms * US_PER_MS / if evidence.reported_by_peer { 2 } else { 1 };
        if let Some(first_us) = evidence.first_refusal_us {
            let seen_us = evidence.last_refusal_us.saturating_sub(first_us);
            let dead = seen_us >= needed_us(self.settings.refusing_ms);
            return if dead { Grade::DeadByRefusal } else { Grade::Refused };
        }
        if let Some(since_us) = evidence.silent_since_us {
            let seen_us = evidence.last_silence_us.saturating_sub(since_us);
            let dead = seen_us >= needed_us(self.settings.silent_ms);
            return if dead { Grade::DeadBySilence } else { Grade::Silent };
        }
        if evidence.reported_by_peer { Grade::Silent } else { Grade::None }
    }

    fn replicas(&self, role: &Role) -> Replicas {
        let mut replicas = Replicas::default();
        for (_, record) in self.endpoints.iter().filter(|(_, record)| is_replica(record, role)) {
            let on_silence = record.evidence.first_refusal_us.is_none();
            replicas.all += 1;
            replicas.down_on_silence += usize::from(on_silence && record.standing != Standing::Live);
            replicas.removed_on_silence += usize::from(on_silence && record.standing == Standing::Removed);
            replicas.without_signs +=
                usize::from(record.standing == Standing::Live && !record.evidence.has_any());
        }
        replicas
    }

    fn may_remove_on_silence(&self, replicas: Replicas) -> bool {
        let percent = usize::try_from(self.settings.silence_share_percent.min(100)).unwrap_or(0);
        (replicas.removed_on_silence + 1) * 100 <= replicas.all * percent
    }
}

/// Returns whether one more replica may be suspected because of silence: fewer than two thirds of the
/// replicas, rounded up, are suspected or removed because of it. Above that, the few that still answer would
/// be overloaded by all of the work.
fn may_suspect_on_silence(replicas: Replicas) -> bool {
    replicas.down_on_silence < (replicas.all * 2).div_ceil(3)
}

fn is_replica(record: &EndpointRecord, role: &Role) -> bool {
    !record.leaving && record.role.as_ref() == Some(role)
}

fn note_refusal(now_us: u64, evidence: &mut Evidence) {
    evidence.first_refusal_us.get_or_insert(now_us);
    evidence.last_refusal_us = now_us;
}

fn note_silence(now_us: u64, evidence: &mut Evidence) {
    evidence.silent_since_us.get_or_insert(now_us);
    evidence.last_silence_us = now_us;
}
