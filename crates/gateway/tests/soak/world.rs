//! Gateway processes behind proxies, and the stand-ins that they work with.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

use banyannotch_standins::fleet::{Endpoint, Fault, Link, Proxy, StoreFault};
use banyannotch_standins::harness::wait_until;
use serde_json::json;

use crate::common::{Fleet, Gateway, LIMIT, configuration};
use crate::lost::{Disruption, Part};
use crate::plan::{Change, Injection, SHORTEST_ROUTE_TIMEOUT_MS, Step};

/// Maximum time after the revocation of a key in which a request with it may still run, in milliseconds.
pub const REVOKE_MS: u64 = 1_500;
/// Time from SIGTERM to SIGKILL in the settings of the gateways, in seconds.
pub const GRACE: Duration = Duration::from_secs(3);
/// Longest silence of an endpoint that is no disruption, in milliseconds.
const SOUND_SILENCE_MS: u64 = 1_200;
/// `Deadline-Ms` of the requests of the callers.
const CALLER_DEADLINE: Duration = Duration::from_secs(4);
/// Number of log lines that are kept of a process that ended without a signal.
const LAST_LINES: usize = 20;
/// Pause between two changes of the configuration in a series, in milliseconds.
const CHANGE_PAUSE_MS: u64 = 60;

/// A gateway, with a proxy for its callers and one for its connections to the store. It restarts at the same addresses.
pub struct Member {
    gateway: RefCell<Option<Gateway>>,
    settings: Vec<(&'static str, String)>,
    pub callers: Proxy,
    pub store: Proxy,
    /// 1 while the process is being restarted.
    restarting: Cell<u32>,
    /// The last log lines of processes that ended without a signal.
    unexpected_ends: RefCell<Vec<String>>,
    /// Log lines of the processes before the current one.
    earlier_lines: RefCell<Vec<String>>,
    /// Times at which the process got SIGTERM.
    pub stops: RefCell<Vec<Instant>>,
}

/// The valid API key and the revoked ones.
#[derive(Clone, Debug)]
pub struct Keys {
    pub version: u64,
    pub current: String,
    /// Revoked keys with the times of their revocation, oldest first.
    pub revoked: Vec<(String, Instant)>,
}

/// The parts of the configuration that runs change, besides the keys.
#[derive(Clone, Copy, Debug, Default)]
struct Shape {
    idle_timeout_ms: Option<u64>,
    route_timeout_ms: Option<u64>,
    unused_routes: usize,
}

/// The gateways with all that they work with.
pub struct World {
    pub fleet: RefCell<Fleet>,
    pub members: Vec<Member>,
    pub endpoints: Vec<(Endpoint, Proxy)>,
    pub keys: RefCell<Keys>,
    pub disruptions: RefCell<Vec<Disruption>>,
    shape: RefCell<Shape>,
    sets_short_timeouts: Cell<bool>,
}

impl World {
    pub async fn start(gateways: usize) -> Rc<Self> {
        let mut fleet = Fleet::start();
        let endpoints: Vec<_> = fleet
            .engines
            .iter()
            .chain(&fleet.replicas)
            .map(|endpoint| (endpoint.clone(), Proxy::start(endpoint.address).expect("the proxy starts")))
            .collect();
        fleet.proxies = endpoints.iter().map(|(_, proxy)| proxy.address).collect();
        let keys = Keys { version: 1, current: "secret".to_owned(), revoked: Vec::new() };
        fleet.write_entries();
        let mut members: Vec<Member> = Vec::new();
        for _ in 0..gateways {
            let store = Proxy::start(fleet.store.address).expect("the proxy starts");
            let seeds: Vec<String> =
                members.iter().map(|member| format!("\"{}\"", member.peer_address())).collect();
            members.push(Member::start(store, &seeds));
        }
        fleet.wait_placed().await;
        let world = Rc::new(Self {
            fleet: RefCell::new(fleet),
            members,
            endpoints,
            keys: RefCell::new(keys),
            disruptions: RefCell::default(),
            shape: RefCell::default(),
            sets_short_timeouts: Cell::new(false),
        });
        world.wait_ready().await;
        world
    }

    pub async fn wait_ready(&self) {
        for (number, member) in self.members.iter().enumerate() {
            let ready = wait_until(LIMIT, async || {
                let address = member.gateway.borrow().as_ref().map(|gateway| gateway.readiness);
                match address {
                    Some(address) => {
                        banyannotch_standins::fleet::call(address, "p", "/-/readyz", "", "").await.status
                            == Some(200)
                    }
                    None => false,
                }
            });
            assert!(ready.await.is_ok(), "gateway {number} is not ready after {LIMIT:?}");
        }
    }

    /// Injects a fault, waits for its duration, and removes it.
    pub async fn inject(self: Rc<Self>, step: Step) {
        let length = Duration::from_millis(step.duration_ms);
        let disruption = disrupted_part(&step).map(|part| {
            let from = Instant::now();
            let mut disruptions = self.disruptions.borrow_mut();
            disruptions.push(Disruption { part, from, until: from + length });
            disruptions.len() - 1
        });
        match step.injection {
            Injection::Callers(number, link) => hold_link(&self.members[number].callers, link, length).await,
            Injection::Store(number, link) => hold_link(&self.members[number].store, link, length).await,
            Injection::Endpoint(number, link) => hold_link(&self.endpoints[number].1, link, length).await,
            Injection::ResetCallers(number) => self.members[number].callers.reset(),
            Injection::ResetEndpoint(number) => self.endpoints[number].1.reset(),
            Injection::StoreFault(fault) => {
                let store = self.fleet.borrow().store.clone();
                store.set_fault(fault);
                actix_rt::time::sleep(length).await;
                store.set_fault(StoreFault::None);
            }
            Injection::Compact => self.fleet.borrow().store.compact(),
            Injection::Rewind(age_ms) => {
                let store = self.fleet.borrow().store.clone();
                store.rewind(Duration::from_millis(age_ms));
                actix_rt::time::sleep(length).await;
                self.write_configuration(&self.keys.borrow());
                self.fleet.borrow_mut().write_entries();
            }
            Injection::EndpointFault(number, fault) => {
                self.endpoints[number].0.set_fault(fault, usize::MAX);
                actix_rt::time::sleep(length).await;
                self.endpoints[number].0.set_fault(Fault::None, 0);
            }
            Injection::Kill(number) => {
                self.members[number].restart("-KILL", length).await;
                // A busy machine takes longer than the pause to start the process.
                if let Some(disruption) = disruption {
                    let until = &mut self.disruptions.borrow_mut()[disruption].until;
                    *until = Instant::now().max(*until);
                }
            }
            Injection::Stop(number) => self.members[number].restart("-TERM", Duration::ZERO).await,
            Injection::Pause(number) => {
                self.members[number].signal("-STOP");
                actix_rt::time::sleep(length).await;
                self.members[number].signal("-CONT");
            }
            Injection::HangUp(number) => self.members[number].signal("-HUP"),
            Injection::ChangeKeys => self.change_keys(),
            Injection::ChangeKeysDuringPartition(number) => {
                let store = &self.members[number].store;
                store.set(Link::Silent);
                self.change_keys();
                actix_rt::time::sleep(Duration::from_millis(2 * REVOKE_MS)).await;
                store.set(Link::Open);
            }
            Injection::Reconfigure(change) => self.reconfigure(change),
            Injection::ReconfigureOften(first, second) => {
                let until = Instant::now() + length;
                while Instant::now() < until {
                    for change in [first, second] {
                        self.reconfigure(change);
                        actix_rt::time::sleep(Duration::from_millis(CHANGE_PAUSE_MS)).await;
                    }
                }
            }
            Injection::Silence(endpoints) => {
                let silent = |number: &usize| endpoints & (1 << number) != 0;
                let set_all = |link| {
                    for number in (0..self.endpoints.len()).filter(silent) {
                        self.endpoints[number].1.set(link);
                    }
                };
                set_all(Link::Silent);
                actix_rt::time::sleep(length).await;
                set_all(Link::Open);
            }
            Injection::Crash(number) => {
                self.endpoints[number].1.reset();
                hold_link(&self.endpoints[number].1, Link::Refusing, length).await;
            }
            Injection::UnusableEntries => self.write_unusable_entries(),
            Injection::Strand(number, link) => {
                let process =
                    self.members[number].gateway.borrow().as_ref().map(|gateway| gateway.child.id());
                let Some(process) = process else { return };
                let set_all = |link| {
                    for (_, proxy) in &self.endpoints {
                        proxy.set_for_process(process, link);
                    }
                };
                set_all(link);
                actix_rt::time::sleep(length).await;
                set_all(Link::Open);
            }
        }
    }

    fn reconfigure(&self, change: Change) {
        let mut shape = self.shape.borrow_mut();
        match change {
            Change::IdleTimeout(ms) => shape.idle_timeout_ms = Some(ms),
            Change::RouteTimeout(ms) => {
                shape.route_timeout_ms = Some(ms);
                let is_short = ms <= SHORTEST_ROUTE_TIMEOUT_MS;
                self.sets_short_timeouts.set(self.sets_short_timeouts.get() || is_short);
            }
            Change::Routes(count) => shape.unused_routes = count,
            Change::Keys => {
                drop(shape);
                return self.change_keys();
            }
        }
        drop(shape);
        let mut keys = self.keys.borrow_mut();
        keys.version += 1;
        self.write_configuration(&keys);
    }

    fn write_configuration(&self, keys: &Keys) {
        let shape = self.shape.borrow();
        let mut document = configuration(keys.version, &[&keys.current]);
        if let Some(ms) = shape.idle_timeout_ms {
            document["limits"]["idle_timeout_ms"] = json!(ms);
        }
        let routes = document["routes"].as_array_mut().expect("the configuration has routes");
        if let Some(ms) = shape.route_timeout_ms {
            for route in routes.iter_mut() {
                route["timeout_ms"] = json!(ms);
            }
        }
        for number in 0..shape.unused_routes {
            let mut route = routes[0].clone();
            route["path_prefix"] = json!(format!("/unused-{number}/"));
            routes.push(route);
        }
        self.fleet.borrow().store.put_configuration(&document);
    }

    /// Writes entries that another writer may leave beside those of the endpoints.
    fn write_unusable_entries(&self) {
        let fleet = self.fleet.borrow();
        let entry = self.endpoints[0].0.entry("model", Some("fast"), "ready");
        let unusable = [
            ("port", "address", json!("127.0.0.1:70000")),
            ("state", "state", json!("resting")),
            ("slots", "slots", json!(u64::MAX)),
            ("layers", "layers", json!({"from": u64::MAX, "to": -1, "version": 1})),
            ("born", "born", json!("yesterday")),
        ];
        for (id, field, value) in unusable {
            let mut entry = entry.clone();
            entry["address"] = json!("127.0.0.1:1");
            entry[field] = value;
            fleet.store.put_endpoint(id, Some(&entry));
        }
        fleet.store.put_bytes("deep", "[".repeat(100_000).as_bytes());
        fleet.store.put_bytes("number", br#"{"backend":"model","slots":1e999}"#);
    }

    /// Returns the shortest time after which a request may end because its time has passed.
    pub fn shortest_time_limit(&self) -> Duration {
        if self.sets_short_timeouts.get() {
            Duration::from_millis(SHORTEST_ROUTE_TIMEOUT_MS)
        } else {
            CALLER_DEADLINE
        }
    }

    /// Returns the log of each process that ended without a signal.
    pub fn unexpected_ends(&self) -> Vec<String> {
        for member in &self.members {
            member.note_unexpected_end();
        }
        self.members.iter().flat_map(|member| member.unexpected_ends.take()).collect()
    }

    /// Revokes the key and adds another one, in one version of the configuration.
    fn change_keys(&self) {
        let mut keys = self.keys.borrow_mut();
        keys.version += 1;
        let next = format!("key-{}", keys.version);
        let previous = std::mem::replace(&mut keys.current, next);
        self.write_configuration(&keys);
        keys.revoked.push((previous, Instant::now()));
    }

    /// Returns the log lines of all gateways, for the message of a failed test.
    pub fn log(&self) -> String {
        let lines = self.members.iter().enumerate().flat_map(|(number, member)| {
            let lines = member.gateway.borrow().as_ref().map(|gateway| gateway.lines("")).unwrap_or_default();
            let earlier = member.earlier_lines.borrow().clone();
            earlier.into_iter().chain(lines).map(move |line| format!("gateway {number}: {line}\n"))
        });
        lines.collect()
    }
}

/// Returns the part that a fault disrupts so that requests may be lost, if any.
fn disrupted_part(step: &Step) -> Option<Part> {
    let is_long = step.duration_ms > SOUND_SILENCE_MS;
    match step.injection {
        Injection::Callers(number, _)
        | Injection::ResetCallers(number)
        | Injection::Kill(number)
        | Injection::Strand(number, _)
        | Injection::Pause(number) => Some(Part::Gateway(number)),
        Injection::EndpointFault(_, Fault::PauseAfter(_) | Fault::Unframed) => None,
        Injection::ResetEndpoint(number)
        | Injection::Crash(number)
        | Injection::Endpoint(number, Link::Refusing)
        | Injection::EndpointFault(number, _) => Some(Part::Endpoint(number)),
        Injection::Endpoint(number, _) if is_long => Some(Part::Endpoint(number)),
        _ => None,
    }
}

/// Keeps the link in the given state for the duration, and then opens it.
async fn hold_link(proxy: &Proxy, link: Link, duration: Duration) {
    proxy.set(link);
    actix_rt::time::sleep(duration).await;
    proxy.set(Link::Open);
}

impl Member {
    fn start(store: Proxy, seeds: &[String]) -> Self {
        let mut settings = vec![
            ("revoke_ms", REVOKE_MS.to_string()),
            ("grace_s", GRACE.as_secs().to_string()),
            ("seeds", format!("[{}]", seeds.join(","))),
        ];
        let mut first_settings = settings.clone();
        for key in ["callers", "readiness", "metrics", "peers", "handoffs"] {
            first_settings.push((key, format!("\"{}:0\"", own_loopback())));
        }
        let gateway = launch(store.address, &first_settings);
        for (key, address) in [
            ("callers", gateway.callers),
            ("readiness", gateway.readiness),
            ("metrics", gateway.metrics),
            ("peers", gateway.peers),
            ("handoffs", gateway.handoffs),
        ] {
            settings.push((key, format!("\"{address}\"")));
        }
        let callers = Proxy::start(gateway.callers).expect("the proxy starts");
        Self {
            gateway: RefCell::new(Some(gateway)),
            settings,
            callers,
            store,
            restarting: Cell::new(0),
            unexpected_ends: RefCell::default(),
            earlier_lines: RefCell::default(),
            stops: RefCell::default(),
        }
    }

    fn peer_address(&self) -> SocketAddr {
        self.gateway.borrow().as_ref().expect("a new member is running").peers
    }

    /// Sends a signal to the process if it is running.
    fn signal(&self, signal: &str) {
        if let Some(gateway) = &*self.gateway.borrow() {
            let id = gateway.child.id().to_string();
            // The process may have ended by itself, which the checks at the end of the run detect.
            drop(Command::new("kill").args([signal, &id]).status());
        }
    }

    /// Keeps the log of the process if it has ended by itself.
    fn note_unexpected_end(&self) {
        if let Some(gateway) = &mut *self.gateway.borrow_mut()
            && let Ok(Some(status)) = gateway.child.try_wait()
        {
            let lines = gateway.lines("");
            let last = lines.get(lines.len().saturating_sub(LAST_LINES)..).unwrap_or_default();
            let end = format!("a process ended without a signal, {status}: {}", last.join("\n"));
            self.unexpected_ends.borrow_mut().push(end);
        }
    }

    /// Ends the process by a signal and restarts it after a pause. A second restart during the first one is skipped.
    async fn restart(&self, signal: &str, pause: Duration) {
        if self.restarting.replace(1) > 0 {
            return;
        }
        self.note_unexpected_end();
        self.signal("-CONT");
        if signal == "-TERM" {
            self.stops.borrow_mut().push(Instant::now());
        }
        self.signal(signal);
        let ended = wait_until(LIMIT, async || {
            self.gateway
                .borrow_mut()
                .as_mut()
                .is_none_or(|gateway| matches!(gateway.child.try_wait(), Ok(Some(_))))
        });
        assert!(ended.await.is_ok(), "the process did not end within {LIMIT:?} after {signal}");
        if let Some(gateway) = self.gateway.replace(None) {
            self.earlier_lines.borrow_mut().extend(gateway.lines(""));
        }
        actix_rt::time::sleep(pause).await;
        self.gateway.replace(Some(launch(self.store.address, &self.settings)));
        self.restarting.set(0);
    }
}

/// Returns the loopback address of the gateways of this process. Outgoing connections use ports of 127.0.0.1, so that none of
/// them takes the port of a gateway between its end and its restart.
fn own_loopback() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high % 250 + 1, middle, low)
}

fn launch(store: SocketAddr, settings: &[(&'static str, String)]) -> Gateway {
    let settings: Vec<(&str, &str)> = settings.iter().map(|(key, value)| (*key, value.as_str())).collect();
    Gateway::start(store, &settings)
}
