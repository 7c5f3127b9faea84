//! Gateway processes behind proxies, and the stand-ins that they work with.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

use banyannotch_standins::fleet::{Endpoint, Fault, Link, Proxy, StoreFault};
use banyannotch_standins::harness::wait_until;

use crate::common::{Fleet, Gateway, LIMIT, configuration};
use crate::plan::{Injection, Step};

/// Maximum time after the revocation of a key in which a request with it may still run, in milliseconds.
pub const REVOKE_MS: u64 = 1_500;
/// Time from SIGTERM to SIGKILL in the settings of the gateways, in seconds.
const GRACE_S: &str = "3";

/// A gateway, with a proxy for its callers and one for its connections to the store. It restarts at the same addresses.
pub struct Member {
    gateway: RefCell<Option<Gateway>>,
    settings: Vec<(&'static str, String)>,
    pub callers: Proxy,
    pub store: Proxy,
    /// 1 while the process is being restarted.
    restarting: Cell<u32>,
}

/// The valid API key and the revoked ones.
#[derive(Clone, Debug)]
pub struct Keys {
    pub version: u64,
    pub current: String,
    /// Revoked keys with the times of their revocation, oldest first.
    pub revoked: Vec<(String, Instant)>,
}

/// The gateways with all that they work with.
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
            assert!(ready.await.is_ok(), "gateway {number} is not ready after {LIMIT:?}");
        }
    }

    /// Injects a fault, waits for its duration, and removes it.
    pub async fn inject(self: Rc<Self>, step: Step) {
        let length = Duration::from_millis(step.duration_ms);
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
            Injection::EndpointFault(number, fault) => {
                self.endpoints[number].0.set_fault(fault, usize::MAX);
                actix_rt::time::sleep(length).await;
                self.endpoints[number].0.set_fault(Fault::None, 0);
            }
            Injection::Kill(number) => self.members[number].restart("-KILL", length).await,
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
        }
    }

    /// Revokes the key and adds another one, in one version of the configuration.
    fn change_keys(&self) {
        let mut keys = self.keys.borrow_mut();
        keys.version += 1;
        let next = format!("key-{}", keys.version);
        self.fleet.borrow().store.put_configuration(&configuration(keys.version, &[&next]));
        let previous = std::mem::replace(&mut keys.current, next);
        keys.revoked.push((previous, Instant::now()));
    }

    /// Returns the log lines of all running gateways, for the message of a failed test.
    pub fn log(&self) -> String {
        let lines = self.members.iter().enumerate().flat_map(|(number, member)| {
            let lines = member.gateway.borrow().as_ref().map(|gateway| gateway.lines("")).unwrap_or_default();
            lines.into_iter().map(move |line| format!("gateway {number}: {line}\n"))
        });
        lines.collect()
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
        let callers = Proxy::start(gateway.callers).expect("the proxy starts");
        Self { gateway: RefCell::new(Some(gateway)), settings, callers, store, restarting: Cell::new(0) }
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

    /// Ends the process by a signal and restarts it after a pause. A second restart during the first one is skipped.
    async fn restart(&self, signal: &str, pause: Duration) {
        if self.restarting.replace(1) > 0 {
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
        assert!(ended.await.is_ok(), "the process did not end within {LIMIT:?} after {signal}");
        self.gateway.replace(None);
        actix_rt::time::sleep(pause).await;
        self.gateway.replace(Some(launch(self.store.address, &self.settings)));
        self.restarting.set(0);
    }
}

fn launch(store: SocketAddr, settings: &[(&'static str, String)]) -> Gateway {
    let settings: Vec<(&str, &str)> = settings.iter().map(|(key, value)| (*key, value.as_str())).collect();
    Gateway::start(store, &settings)
}
