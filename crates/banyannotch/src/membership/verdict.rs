//! Decides from signs of death whether an endpoint is live, suspected or removed.
//!
//! A refused connection is strong evidence, because a live process has a listener. It is still only a suspicion when
//! seen once: an overloaded listener with a full backlog refuses too, and so does every address while this entry's own
//! network is down. Refusals over a while without an answer make it dead, a shorter while if another entry reports the
//! same. Silence is weak evidence: a frozen, an overloaded and an unreachable endpoint look the same.
//! Nothing is removed unless it failed once more after another endpoint had answered, because otherwise this entry's
//! own network may be cut. Any answer clears all signs.

use super::policy::{Membership, PEERS_IGNORED_US, decide};
use super::state::{Evidence, Known, Standing};
use super::{Action, Instead, ObservedState, Role, Source, Verdict};
use crate::clock::US_PER_MS;
use crate::ids::EndpointId;

/// Fetches in a row without an answer that count as one observation of silence. One lost answer is common under load.
const SILENCE_LIMIT: u32 = 2;

/// How an endpoint's signs of death are to be taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Grade {
    None,
    /// One observer found it silent.
    Silent,
    /// One observer found it refusing connections.
    Refused,
    /// Found silent for long, or by two observers.
    DeadBySilence,
    /// Found refusing connections for long, or by two observers.
    DeadByRefusal,
}

/// Replicas of one layer range or service that are not leaving.
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
        instead: Instead,
        actions: &mut Vec<Action>,
    ) {
        if instead == Instead::OtherAnswer {
            self.clear(now_us, id, actions);
            self.plan_next(now_us, id, false);
            return;
        }
        let Some(known) = self.known.get_mut(id) else { return };
        let evidence = &mut known.evidence;
        evidence.silences = evidence.silences.saturating_add(1);
        if instead == Instead::Refused {
            note_refusal(now_us, evidence);
        } else if evidence.silences >= SILENCE_LIMIT {
            note_silence(now_us, evidence);
        }
        self.judge(now_us, id, started_us, Source::Silence, actions);
        self.plan_next(now_us, id, false);
    }

    pub(super) fn on_failed(
        &mut self,
        now_us: u64,
        id: &EndpointId,
        refused: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(known) = self.known.get_mut(id) else { return };
        if refused {
            note_refusal(now_us, &mut known.evidence);
        } else {
            note_silence(now_us, &mut known.evidence);
        }
        if known.standing == Standing::Live {
            // Asks at once, so that an endpoint that still answers is not suspected for long.
            known.due_us = now_us;
        }
        // Execution does not say when the failed call began, so it cannot show that it failed after another answered.
        self.judge(now_us, id, 0, Source::Execution, actions);
    }

    pub(super) fn on_peer_found_dead(&mut self, now_us: u64, id: &EndpointId, actions: &mut Vec<Action>) {
        let Some(known) = self.known.get_mut(id) else { return };
        if now_us < known.peers_ignored_until_us || known.evidence.peer {
            return;
        }
        known.evidence.peer = true;
        if known.standing == Standing::Live {
            known.due_us = now_us;
        }
        self.judge(now_us, id, 0, Source::Peer, actions);
    }

    /// Forgets all signs of death, because the endpoint answered.
    pub(super) fn clear(&mut self, now_us: u64, id: &EndpointId, actions: &mut Vec<Action>) {
        let Some(known) = self.known.get_mut(id) else { return };
        known.last_answer_us = Some(now_us);
        if known.evidence.peer {
            known.peers_ignored_until_us = now_us + PEERS_IGNORED_US;
        }
        known.evidence = Evidence::default();
        self.note_other_answer(now_us, id);
        let Some(known) = self.known.get_mut(id) else { return };
        let before = std::mem::replace(&mut known.standing, Standing::Live);
        let verdict = match before {
            Standing::Live => return,
            Standing::Suspected => Verdict::Cleared,
            Standing::Removed => {
                known.joined_us = now_us;
                Verdict::Returned
            }
        };
        decide(id, verdict, Source::Endpoint, actions);
        self.publish_now();
    }

    /// Records that this entry's network works.
    fn note_other_answer(&mut self, now_us: u64, answered: &EndpointId) {
        for (id, known) in self.known.iter_mut() {
            if id != answered && known.evidence.is_own() {
                known.evidence.other_answered_us.get_or_insert(now_us);
            }
        }
    }

    /// Takes an endpoint out of the table until it answers again.
    pub(super) fn remove(&mut self, now_us: u64, id: &EndpointId, source: Source, actions: &mut Vec<Action>) {
        let Some(known) = self.known.get_mut(id) else { return };
        if std::mem::replace(&mut known.standing, Standing::Removed) != Standing::Removed {
            known.removed_us = now_us;
            decide(id, Verdict::Removed, source, actions);
            self.publish_now();
        }
    }

    /// Decides after a new sign; the failed attempt that gave it began at `started_us`.
    fn judge(
        &mut self,
        now_us: u64,
        id: &EndpointId,
        started_us: u64,
        source: Source,
        actions: &mut Vec<Action>,
    ) {
        let Some(known) = self.known.get(id) else { return };
        let Some(role) = known.role.clone() else { return };
        if known.standing == Standing::Removed {
            return;
        }
        let grade = self.grade(&known.evidence);
        if known.leaving {
            // An endpoint that said it leaves and refuses connections has left; it gets no work in any case.
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
        let network_works = known.evidence.other_answered_us.is_some_and(|at_us| at_us < started_us);
        if dead && network_works {
            self.remove(now_us, id, source, actions);
        } else if matches!(grade, Grade::Refused | Grade::DeadByRefusal) || may_suspect_on_silence(replicas) {
            self.suspect(now_us, id, source, actions);
        } else if replicas.without_signs == 0 {
            self.suspect_all(now_us, &role, source, actions);
        }
    }

    fn suspect(&mut self, now_us: u64, id: &EndpointId, source: Source, actions: &mut Vec<Action>) {
        let Some(known) = self.known.get_mut(id) else { return };
        if known.standing != Standing::Live || !known.evidence.is_any() {
            return;
        }
        known.standing = Standing::Suspected;
        let own = known.evidence.is_own();
        decide(id, Verdict::Suspected, source, actions);
        if own {
            self.announce(now_us, id, ObservedState::Dead, actions);
        }
        self.publish_now();
    }

    fn suspect_all(&mut self, now_us: u64, role: &Role, source: Source, actions: &mut Vec<Action>) {
        let ids: Vec<EndpointId> = self
            .known
            .iter()
            .filter(|(_, known)| is_replica(known, role))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.suspect(now_us, &id, source, actions);
        }
    }

    fn grade(&self, evidence: &Evidence) -> Grade {
        let needed_us = |alone_ms: u64| alone_ms * US_PER_MS / if evidence.peer { 2 } else { 1 };
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
        if evidence.peer { Grade::Silent } else { Grade::None }
    }

    fn replicas(&self, role: &Role) -> Replicas {
        let mut replicas = Replicas::default();
        for (_, known) in self.known.iter().filter(|(_, known)| is_replica(known, role)) {
            let on_silence = known.evidence.first_refusal_us.is_none();
            replicas.all += 1;
            replicas.down_on_silence += usize::from(on_silence && known.standing != Standing::Live);
            replicas.removed_on_silence += usize::from(on_silence && known.standing == Standing::Removed);
            replicas.without_signs +=
                usize::from(known.standing == Standing::Live && !known.evidence.is_any());
        }
        replicas
    }

    fn may_remove_on_silence(&self, replicas: Replicas) -> bool {
        let percent = usize::try_from(self.settings.silence_share_percent.min(100)).unwrap_or(0);
        (replicas.removed_on_silence + 1) * 100 <= replicas.all * percent
    }
}

/// Returns whether one more replica may be suspected on silence. A third is left, because sending all work to the few
/// that still answer would overload these as well.
fn may_suspect_on_silence(replicas: Replicas) -> bool {
    replicas.down_on_silence < (replicas.all * 2).div_ceil(3)
}

fn is_replica(known: &Known, role: &Role) -> bool {
    !known.leaving && known.role.as_ref() == Some(role)
}

fn note_refusal(now_us: u64, evidence: &mut Evidence) {
    evidence.first_refusal_us.get_or_insert(now_us);
    evidence.last_refusal_us = now_us;
}

fn note_silence(now_us: u64, evidence: &mut Evidence) {
    evidence.silent_since_us.get_or_insert(now_us);
    evidence.last_silence_us = now_us;
}
