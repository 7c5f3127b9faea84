//! Injects faults into a running deployment, and tracks which instances work and what they count.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use banyannotch::http::{Client, ClientSettings};
use banyannotch::random::Random;
use banyannotch_standins::harness::{EngineSpec, metric};
use serde::Serialize;
use serde_json::{Value, json};

use super::{FaultKind, FaultPlan};
use crate::Result;
use crate::bound::{Bound, MixMeans, bound_with};
use crate::layout::{EnginePlan, Layout, Site, engine_options};
use crate::run::Balancer;

/// Factor by which a slow engine takes longer for a batch.
const SLOW_FACTOR: f64 = 8.0;

/// Delay of each response over a degraded link.
const LINK_DELAY_US: u64 = 100_000;

/// Time from the kill of an instance to its removal from the platform's instance list.
const UNLIST_DELAY: Duration = Duration::from_secs(3);

/// Time from the kill of an instance to the start of its replacement, if killed instances are replaced.
const REPLACE_DELAY: Duration = Duration::from_secs(3);

/// Timeout of a request that changes the instance list.
const CONTROL_TIMEOUT_MS: u64 = 5_000;

/// Timeout for reading the metrics of an entry before it is killed.
const FINAL_METRICS_TIMEOUT: Duration = Duration::from_millis(300);

/// Metric on the operators' port that counts violated invariants.
const VIOLATIONS_METRIC: &str = "banyannotch_invariant_violations_total";

/// An injected fault.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct InjectedFault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Time of the injection, since the start of the load.
    pub at_us: u64,
    /// Instances that were hit, or the zone and its instances for a zone loss.
    pub targets: Vec<String>,
    /// Throughput bound of the remaining engines.
    pub bound: Bound,
}

/// Counts collected from the stand-ins and the entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Observed {
    /// Number of times that the same layer ran again for the same position of a cache.
    pub duplicates: u64,
    /// Number of steps that used the cache of another request or attempt.
    pub foreign: u64,
    /// Number of repeated runs of calls with a key, over all service endpoints.
    pub doubled_calls: u64,
    /// Invariant violations counted by the entries.
    pub violations: u64,
    /// Recoveries counted by the entries.
    pub recoveries: u64,
    /// Processes whose counts could not be read.
    pub unread: Vec<String>,
    /// Number of runs of each call key.
    #[serde(skip)]
    pub keys: BTreeMap<String, u64>,
    /// Requests of which at least one step ran, according to the engines' records, which may not go back to
    /// the start.
    #[serde(skip)]
    pub ran: std::collections::BTreeSet<String>,
}

/// An engine or a service endpoint, with its state.
#[derive(Debug)]
struct Member {
    /// Index in `Deployment::endpoints`.
    endpoint: usize,
    name: String,
    zone: String,
    /// Plan of an engine; `None` for a service endpoint.
    plan: Option<EnginePlan>,
    alive: bool,
    /// Fraction of its normal speed; 0 while it is frozen.
    speed_share: f64,
}

/// Action that is due at a certain time.
#[derive(Debug)]
enum Action {
    Begin(FaultPlan),
    End(FaultKind, Vec<usize>),
    Unlist(String),
    Replace(usize),
    ReplaceEntry(usize),
}

/// Injects the planned faults and collects the counts of all processes.
pub struct Injector {
    site: Site,
    balancer: Rc<Balancer>,
    mix: MixMeans,
    random: Random,
    /// Whether killed instances are replaced.
    replace: bool,
    members: Vec<Member>,
    entries_alive: Vec<bool>,
    replacements: usize,
    observed: Observed,
    injected: Vec<InjectedFault>,
    bounds: Vec<(u64, f64)>,
}

impl Injector {
    /// Creates the injector for a running site.
    pub fn new(site: Site, balancer: Rc<Balancer>, mix: MixMeans, seed: u64, replace: bool) -> Self {
        let engines = site.layout.engines.iter().map(|plan| (&plan.instance, &plan.zone, Some(plan.clone())));
        let services = site.layout.services.iter().map(|(instance, zone)| (instance, zone, None));
        let members = engines
            .chain(services)
            .enumerate()
            .map(|(endpoint, (name, zone, plan))| Member {
                endpoint,
                name: name.clone(),
                zone: zone.clone(),
                plan,
                alive: true,
                speed_share: 1.0,
            })
            .collect();
        let entries_alive = vec![true; site.deployment.entries.len()];
        let mut injector = Self {
            site,
            balancer,
            mix,
            random: Random::seeded(seed),
            replace,
            members,
            entries_alive,
            replacements: 0,
            observed: Observed::default(),
            injected: Vec::new(),
            bounds: Vec::new(),
        };
        injector.bounds.push((0, injector.remaining_bound().requests_per_s));
        injector
    }

    /// Returns the bounds of the working engines in requests per second, each with the time in microseconds
    /// from which it applies.
    pub fn bounds(&self) -> &[(u64, f64)] {
        &self.bounds
    }

    /// Returns the throughput bound of the engines that still work.
    pub fn remaining_bound(&self) -> Bound {
        let working: Vec<&Member> = self.members.iter().filter(|member| member.alive).collect();
        let engines = working.iter().filter_map(|member| member.plan.clone()).collect();
        let speed_shares: Vec<f64> =
            working.iter().filter(|member| member.plan.is_some()).map(|member| member.speed_share).collect();
        let layout = Layout { engines, ..self.site.layout.clone() };
        // A stage without engines does not appear in the layout, so that `bound_with` would ignore it.
        if layout.stages().len() < self.site.layout.stages().len() {
            return Bound::default();
        }
        bound_with(&layout, self.mix, |index, _| speed_shares.get(index).copied().unwrap_or_default())
    }

    /// Injects and clears the planned faults until `end`. Faults that would be cleared later are cleared at
    /// that point.
    ///
    /// # Errors
    /// Returns [`crate::LoadError`] when a fault cannot be injected or cleared, or an instance cannot be
    /// replaced.
    pub async fn run(&mut self, begin: Instant, end: Instant, plans: &[FaultPlan]) -> Result<()> {
        let mut due: Vec<(Instant, Action)> = plans
            .iter()
            .map(|plan| (begin + Duration::from_millis(plan.at_ms), Action::Begin(plan.clone())))
            .collect();
        loop {
            // Sorted latest first, so that `pop` returns the earliest action.
            due.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
            let Some((at, action)) = due.pop() else { return Ok(()) };
            if at > end {
                // Faults that would be cleared later are cleared now, so that open requests can end and
                // counts can be read.
                due.push((at, action));
                return self.clear_all(due).await;
            }
            actix_rt::time::sleep_until(at.into()).await;
            let follow_ups = self.perform(begin, action).await?;
            due.extend(follow_ups);
            let now_us = u64::try_from(begin.elapsed().as_micros()).unwrap_or(u64::MAX);
            self.bounds.push((now_us, self.remaining_bound().requests_per_s));
        }
    }

    async fn clear_all(&mut self, due: Vec<(Instant, Action)>) -> Result<()> {
        for (_, action) in due {
            if let Action::End(kind, targets) = action {
                self.clear(kind, &targets).await?;
            }
        }
        Ok(())
    }

    /// Collects the counts of all processes that are alive, and returns all counts, the injected faults and
    /// the site.
    pub async fn finish(mut self) -> (Observed, Vec<InjectedFault>, Site) {
        for index in 0..self.members.len() {
            if self.members.get(index).is_some_and(|member| member.alive) {
                self.collect_counts(index).await;
            }
        }
        for (index, entry) in self.site.deployment.entries.iter().enumerate() {
            if self.entries_alive.get(index) != Some(&true) {
                continue;
            }
            let violations = metric(entry.operators, VIOLATIONS_METRIC).await;
            let recoveries = metric(entry.operators, "banyannotch_recoveries_total").await;
            match (violations, recoveries) {
                (Some(violations), Some(recoveries)) => {
                    self.observed.violations += violations as u64;
                    self.observed.recoveries += recoveries as u64;
                }
                _ => self.observed.unread.push(entry.instance.clone()),
            }
        }
        self.observed.doubled_calls = self.observed.keys.values().map(|runs| runs.saturating_sub(1)).sum();
        (self.observed, self.injected, self.site)
    }

    async fn perform(&mut self, begin: Instant, action: Action) -> Result<Vec<(Instant, Action)>> {
        match action {
            Action::Begin(plan) => self.inject(begin, &plan).await,
            Action::End(kind, targets) => {
                self.clear(kind, &targets).await?;
                Ok(Vec::new())
            }
            Action::Unlist(instance) => {
                self.update_instance_list(&json!({ "remove": instance })).await?;
                Ok(Vec::new())
            }
            Action::Replace(member) => {
                self.replace_member(member).await?;
                Ok(Vec::new())
            }
            Action::ReplaceEntry(entry) => {
                self.replace_entry(entry).await?;
                Ok(Vec::new())
            }
        }
    }

    async fn inject(&mut self, begin: Instant, plan: &FaultPlan) -> Result<Vec<(Instant, Action)>> {
        let targets = self.targets(plan);
        let at_us = u64::try_from(begin.elapsed().as_micros()).unwrap_or(u64::MAX);
        let mut follow_ups = Vec::new();
        let mut names = Vec::new();
        match plan.kind {
            FaultKind::Kill | FaultKind::KillService => {
                for member in &targets {
                    names.extend(self.kill_member(*member, &mut follow_ups).await?);
                }
            }
            FaultKind::KillEntry => {
                for entry in &targets {
                    names.extend(self.kill_entry(*entry, &mut follow_ups).await?);
                }
            }
            FaultKind::ZoneLoss => {
                let zone =
                    plan.target.clone().unwrap_or_else(|| format!("zone-{}", 1 + self.random.below(3)));
                names.push(zone.clone());
                for member in self.alive_members(|member| member.zone == zone) {
                    names.extend(self.kill_member(member, &mut follow_ups).await?);
                }
                for entry in self.alive_entries_in(&zone) {
                    names.extend(self.kill_entry(entry, &mut follow_ups).await?);
                }
            }
            FaultKind::Freeze | FaultKind::Slow | FaultKind::Link => {
                for member in &targets {
                    names.extend(self.degrade_member(*member, plan.kind).await?);
                }
            }
            FaultKind::SuspendEntry => {
                for index in &targets {
                    if let Some(entry) = self.site.deployment.entries.get(*index) {
                        entry.process.suspend()?;
                        names.push(entry.instance.clone());
                    }
                }
            }
            FaultKind::LogDown => {
                self.site.deployment.log.set_faults(&json!({ "down": true })).await?;
            }
            FaultKind::ListDown => {
                self.site.deployment.list.set_faults(&json!({ "down": true })).await?;
            }
        }
        if let Some(lasts_ms) = plan.lasts_ms {
            let end = Instant::now() + Duration::from_millis(lasts_ms);
            follow_ups.push((end, Action::End(plan.kind, targets)));
        }
        log::info!("event=fault kind={} at_us={at_us} targets={}", plan.kind.name(), names.join(","));
        let bound = self.remaining_bound();
        self.injected.push(InjectedFault { kind: plan.kind, at_us, targets: names, bound });
        Ok(follow_ups)
    }

    /// Chooses the targets of a fault. Returns indexes of members or, for faults of entries, of entries.
    fn targets(&mut self, plan: &FaultPlan) -> Vec<usize> {
        let mut candidates = match plan.kind {
            FaultKind::Kill | FaultKind::Freeze | FaultKind::Slow | FaultKind::Link => {
                self.alive_members(|member| member.plan.is_some() && member.speed_share == 1.0)
            }
            FaultKind::KillService => self.alive_members(|member| member.plan.is_none()),
            FaultKind::SuspendEntry | FaultKind::KillEntry => (0..self.entries_alive.len())
                .filter(|entry| self.entries_alive.get(*entry) == Some(&true))
                .collect(),
            FaultKind::LogDown | FaultKind::ListDown | FaultKind::ZoneLoss => Vec::new(),
        };
        if let Some(target) = &plan.target {
            let entry_fault = matches!(plan.kind, FaultKind::SuspendEntry | FaultKind::KillEntry);
            candidates.retain(|index| match entry_fault {
                true => {
                    self.site.deployment.entries.get(*index).is_some_and(|entry| entry.instance == *target)
                }
                false => self.members.get(*index).is_some_and(|member| member.name == *target),
            });
        }
        let mut chosen = Vec::new();
        while chosen.len() < plan.count && !candidates.is_empty() {
            chosen.push(candidates.swap_remove(self.random.below(candidates.len())));
        }
        chosen
    }

    fn alive_members(&self, filter: impl Fn(&Member) -> bool) -> Vec<usize> {
        let members = self.members.iter().enumerate();
        members.filter(|(_, member)| member.alive && filter(member)).map(|(index, _)| index).collect()
    }

    fn alive_entries_in(&self, zone: &str) -> Vec<usize> {
        let entries = self.site.layout.entries.iter().enumerate();
        entries
            .filter(|(index, (_, entry_zone))| {
                entry_zone == zone && self.entries_alive.get(*index) == Some(&true)
            })
            .map(|(index, _)| index)
            .collect()
    }

    async fn kill_member(
        &mut self,
        index: usize,
        follow_ups: &mut Vec<(Instant, Action)>,
    ) -> Result<Option<String>> {
        // The counts are lost with the process. Steps and calls that run between this read and the kill are
        // not counted.
        self.collect_counts(index).await;
        let Some(member) = self.members.get_mut(index) else { return Ok(None) };
        let Some(endpoint) = self.site.deployment.endpoints.get_mut(member.endpoint) else { return Ok(None) };
        endpoint.process.kill()?;
        member.alive = false;
        follow_ups.push((Instant::now() + UNLIST_DELAY, Action::Unlist(member.name.clone())));
        if self.replace {
            follow_ups.push((Instant::now() + REPLACE_DELAY, Action::Replace(index)));
        }
        Ok(Some(member.name.clone()))
    }

    async fn kill_entry(
        &mut self,
        index: usize,
        follow_ups: &mut Vec<(Instant, Action)>,
    ) -> Result<Option<String>> {
        let Some(entry) = self.site.deployment.entries.get_mut(index) else { return Ok(None) };
        // A suspended entry does not answer, so the read is limited by a timeout.
        match actix_rt::time::timeout(FINAL_METRICS_TIMEOUT, metric(entry.operators, VIOLATIONS_METRIC)).await
        {
            Ok(Some(violations)) => self.observed.violations += violations as u64,
            Ok(None) | Err(_) => self.observed.unread.push(entry.instance.clone()),
        }
        entry.process.kill()?;
        if let Some(alive) = self.entries_alive.get_mut(index) {
            *alive = false;
        }
        follow_ups.push((Instant::now() + UNLIST_DELAY, Action::Unlist(entry.instance.clone())));
        if self.replace {
            follow_ups.push((Instant::now() + REPLACE_DELAY, Action::ReplaceEntry(index)));
        }
        Ok(Some(entry.instance.clone()))
    }

    async fn degrade_member(&mut self, index: usize, kind: FaultKind) -> Result<Option<String>> {
        let Some(member) = self.members.get_mut(index) else { return Ok(None) };
        let Some(endpoint) = self.site.deployment.endpoints.get(member.endpoint) else { return Ok(None) };
        let (faults, speed_share) = match kind {
            FaultKind::Slow => (json!({ "slow_factor": SLOW_FACTOR }), 1.0 / SLOW_FACTOR),
            FaultKind::Link => (json!({ "link_delay_us": LINK_DELAY_US }), 1.0),
            _ => (json!({ "freeze": true }), 0.0),
        };
        endpoint.process.set_faults(&faults).await?;
        member.speed_share = speed_share;
        Ok(Some(member.name.clone()))
    }

    async fn clear(&mut self, kind: FaultKind, targets: &[usize]) -> Result<()> {
        match kind {
            FaultKind::LogDown => {
                self.site.deployment.log.set_faults(&json!({ "down": false })).await?;
            }
            FaultKind::ListDown => {
                self.site.deployment.list.set_faults(&json!({ "down": false })).await?;
            }
            FaultKind::SuspendEntry => {
                for index in targets.iter().filter(|index| self.entries_alive.get(**index) == Some(&true)) {
                    if let Some(entry) = self.site.deployment.entries.get(*index) {
                        entry.process.resume()?;
                    }
                }
            }
            _ => {
                for index in targets {
                    let Some(member) = self.members.get_mut(*index).filter(|member| member.alive) else {
                        continue;
                    };
                    member.speed_share = 1.0;
                    let Some(endpoint) = self.site.deployment.endpoints.get(member.endpoint) else {
                        continue;
                    };
                    let faults = json!({ "freeze": false, "slow_factor": 1.0, "link_delay_us": 0 });
                    endpoint.process.set_faults(&faults).await?;
                }
            }
        }
        Ok(())
    }

    async fn replace_member(&mut self, index: usize) -> Result<()> {
        let Some(member) = self.members.get(index) else { return Ok(()) };
        self.replacements += 1;
        let name = format!("{}-r{}", member.name, self.replacements);
        let (zone, mut plan) = (member.zone.clone(), member.plan.clone());
        match &mut plan {
            Some(plan) => {
                plan.instance.clone_from(&name);
                self.site.deployment.add_engine(&EngineSpec {
                    instance: name.clone(),
                    zone: zone.clone(),
                    layers: plan.layers,
                    options: engine_options(plan.speed, self.site.layout.prefix_cache),
                })?;
            }
            None => self.site.deployment.add_service("desk", &name, &zone)?,
        }
        let endpoint = self.site.deployment.endpoints.len() - 1;
        self.members.push(Member { endpoint, name, zone, plan, alive: true, speed_share: 1.0 });
        if let Some(endpoint) = self.site.deployment.endpoints.last() {
            let listed = json!(endpoint.listed);
            self.update_instance_list(&listed).await?;
        }
        Ok(())
    }

    async fn replace_entry(&mut self, index: usize) -> Result<()> {
        let Some((name, zone)) = self.site.layout.entries.get(index).cloned() else { return Ok(()) };
        self.replacements += 1;
        let name = format!("{name}-r{}", self.replacements);
        self.site.deployment.add_entry(&name, &zone, "")?;
        self.site.layout.entries.push((name.clone(), zone.clone()));
        self.entries_alive.push(true);
        if let Some(entry) = self.site.deployment.entries.last() {
            self.balancer.add(entry.callers);
            let listed = json!({
                "instance": name, "incarnation": 1, "kind": "entry", "zone": zone, "address": entry.peers,
                "state": "live", "fencing": "checked",
            });
            self.update_instance_list(&listed).await?;
        }
        Ok(())
    }

    async fn update_instance_list(&self, change: &Value) -> Result<()> {
        let client = Client::new(ClientSettings::default());
        let list = self.site.deployment.list.address();
        client.post(list, "/control/instances", change, CONTROL_TIMEOUT_MS).await?;
        Ok(())
    }

    /// Adds the counts of an endpoint to the totals. Must be called once for each endpoint.
    async fn collect_counts(&mut self, index: usize) {
        let Some(member) = self.members.get(index) else { return };
        let Some(endpoint) = self.site.deployment.endpoints.get(member.endpoint) else { return };
        let Ok(counts) = endpoint.process.get("/control/counts").await else {
            self.observed.unread.push(member.name.clone());
            return;
        };
        let number = |name: &str| counts.get(name).and_then(Value::as_u64).unwrap_or_default();
        if member.plan.is_some() {
            self.observed.duplicates += number("duplicates");
            self.observed.foreign += number("foreign");
            if let Ok(requests) = endpoint.process.get("/control/requests").await {
                self.observed.ran.extend(request_ids(&requests));
            }
            return;
        }
        for runs in counts.get("keys").and_then(Value::as_array).into_iter().flatten() {
            let name = runs.get("name").and_then(Value::as_str).unwrap_or_default();
            let runs = runs.get("runs").and_then(Value::as_u64).unwrap_or_default();
            *self.observed.keys.entry(name.to_owned()).or_default() += runs;
        }
    }
}

/// Returns the identifiers of the requests in an engine's records.
fn request_ids(requests: &Value) -> Vec<String> {
    let records = requests.get("requests").and_then(Value::as_array).into_iter().flatten();
    records.filter_map(|record| Some(record.get("request")?.as_str()?.to_owned())).collect()
}
