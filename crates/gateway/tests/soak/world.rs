//! Gateways as processes behind proxies, and the stand-ins that they work with.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

use banyannotch_standins::fleet::{Endpoint, Fault, Link, Proxy, StoreFault};
use banyannotch_standins::harness::wait_until;

use crate::common::{Fleet, Gateway, LIMIT, configuration};
use crate::plan::{Step, Trouble};

/// A key that was taken away must not run later than this, in milliseconds.
pub const REVOKE_MS: u64 = 1_500;
/// Time from SIGTERM to the end, in seconds.
const GRACE_S: &str = "3";

/// One gateway with the proxies before and behind it. It starts again at the same addresses.
pub struct Member {
    gateway: RefCell<Option<Gateway>>,
    settings: Vec<(&'static str, String)>,
    pub callers: Proxy,
    pub store: Proxy,
    /// Faults that hold the process down at present.
    down: Cell<u32>,
}

/// Keys that are in force and that were.
#[derive(Clone, Debug)]
pub struct Keys {
    pub version: u64,
    pub current: String,
    /// Keys that were taken away, and when.
    pub revoked: Vec<(String, Instant)>,
}

/// The whole deployment.
pub struct World {
    pub fleet: RefCell<Fleet>,
    pub members: Vec<Member>,
    pub endpoints: Vec<(Endpoint, Proxy)>,
    pub keys: RefCell<Keys>,
}

impl World {
    pub async fn start(gateways: usize) -> Rc<Self> {
        let mut fleet = Fleet::start();
        let endpoints: Vec<_> = fleet
            .engines
            .iter()
            .chain(&fleet.desks)
            .map(|endpoint| (endpoint.clone(), Proxy::start(endpoint.address).expect("a proxy")))
            .collect();
        fleet.proxies = endpoints.iter().map(|(_, proxy)| proxy.address).collect();
        let keys = Keys { version: 1, current: "secret".to_owned(), revoked: Vec::new() };
        fleet.beat();
        let mut members: Vec<Member> = Vec::new();
        for _ in 0..gateways {
            let store = Proxy::start(fleet.store.address).expect("a proxy");
            let seeds: Vec<String> = members.iter().map(|member| format!("\"{}\"", member.peers())).collect();
            members.push(Member::start(store, &seeds));
        }
        fleet.wait_placed().await;
        let world =
            Rc::new(Self { fleet: RefCell::new(fleet), members, endpoints, keys: RefCell::new(keys) });
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
            assert!(ready.await.is_ok(), "gateway {number} is not ready again");
        }
    }

    /// Brings a fault about, waits, and takes it back.
    pub async fn trouble(self: Rc<Self>, step: Step) {
        let pause = Duration::from_millis(step.length_ms);
        match step.trouble {
            Trouble::Callers(number, link) => hold(&self.members[number].callers, link, pause).await,
            Trouble::Store(number, link) => hold(&self.members[number].store, link, pause).await,
            Trouble::Endpoint(number, link) => hold(&self.endpoints[number].1, link, pause).await,
            Trouble::ResetCallers(number) => self.members[number].callers.reset(),
            Trouble::ResetEndpoint(number) => self.endpoints[number].1.reset(),
            Trouble::StoreFault(fault) => {
                let store = self.fleet.borrow().store.clone();
                store.set_fault(fault);
                actix_rt::time::sleep(pause).await;
                store.set_fault(StoreFault::None);
            }
            Trouble::Compact => self.fleet.borrow().store.compact(),
            Trouble::Answers(number, fault) => {
                self.endpoints[number].0.set_fault(fault, usize::MAX);
                actix_rt::time::sleep(pause).await;
                self.endpoints[number].0.set_fault(Fault::None, 0);
            }
            Trouble::Kill(number) => self.members[number].restart("-KILL", pause).await,
            Trouble::Stop(number) => self.members[number].restart("-TERM", Duration::ZERO).await,
            Trouble::Pause(number) => {
                self.members[number].signal("-STOP");
                actix_rt::time::sleep(pause).await;
                self.members[number].signal("-CONT");
            }
            Trouble::HangUp(number) => self.members[number].signal("-HUP"),
            Trouble::ChangeKeys => self.change_keys(),
            Trouble::ChangeKeysBehindCut(number) => {
                let store = &self.members[number].store;
                store.set(Link::Silent);
                self.change_keys();
                actix_rt::time::sleep(Duration::from_millis(2 * REVOKE_MS)).await;
                store.set(Link::Open);
            }
        }
    }

    /// Takes the key away and gives another one, in one version of the configuration.
    fn change_keys(&self) {
        let mut keys = self.keys.borrow_mut();
        keys.version += 1;
        let next = format!("key-{}", keys.version);
        self.fleet.borrow().store.put_configuration(&configuration(keys.version, &[&next]));
        let before = std::mem::replace(&mut keys.current, next);
        keys.revoked.push((before, Instant::now()));
    }

    /// Returns all log lines, for a run that failed.
    pub fn log(&self) -> String {
        let lines = self.members.iter().enumerate().flat_map(|(number, member)| {
            let lines = member.gateway.borrow().as_ref().map(|gateway| gateway.lines("")).unwrap_or_default();
            lines.into_iter().map(move |line| format!("gateway {number}: {line}\n"))
        });
        lines.collect()
    }
}

async fn hold(proxy: &Proxy, link: Link, pause: Duration) {
    proxy.set(link);
    actix_rt::time::sleep(pause).await;
    proxy.set(Link::Open);
}

impl Member {
    fn start(store: Proxy, seeds: &[String]) -> Self {
        let mut settings = vec![
            ("revoke_ms", REVOKE_MS.to_string()),
            ("grace_s", GRACE_S.to_owned()),
            ("seeds", format!("[{}]", seeds.join(","))),
        ];
        let gateway = launch(store.address, &settings);
        for (key, address) in [
            ("callers", gateway.callers),
            ("readiness", gateway.readiness),
            ("metrics", gateway.metrics),
            ("peers", gateway.peers),
        ] {
            settings.push((key, format!("\"{address}\"")));
        }
        let callers = Proxy::start(gateway.callers).expect("a proxy");
        Self { gateway: RefCell::new(Some(gateway)), settings, callers, store, down: Cell::new(0) }
    }

    fn peers(&self) -> SocketAddr {
        self.gateway.borrow().as_ref().expect("a new member runs").peers
    }

    /// Sends a signal to the process, if it runs.
    fn signal(&self, signal: &str) {
        if let Some(gateway) = &*self.gateway.borrow() {
            let id = gateway.child.id().to_string();
            // The process may have ended by itself; the checks at the end tell.
            drop(Command::new("kill").args([signal, &id]).status());
        }
    }

    /// Ends the process by a signal and starts it again. A second fault of the kind waits for the first one.
    async fn restart(&self, signal: &str, pause: Duration) {
        if self.down.replace(1) > 0 {
            return;
        }
        self.signal("-CONT");
        self.signal(signal);
        let ended = wait_until(LIMIT, async || {
            self.gateway
                .borrow_mut()
                .as_mut()
                .is_none_or(|gateway| matches!(gateway.child.try_wait(), Ok(Some(_))))
        });
        assert!(ended.await.is_ok(), "the process does not end");
        self.gateway.replace(None);
        actix_rt::time::sleep(pause).await;
        self.gateway.replace(Some(launch(self.store.address, &self.settings)));
        self.down.set(0);
    }
}

fn launch(store: SocketAddr, settings: &[(&'static str, String)]) -> Gateway {
    let settings: Vec<(&str, &str)> = settings.iter().map(|(key, value)| (*key, value.as_str())).collect();
    Gateway::start(store, &settings)
}
