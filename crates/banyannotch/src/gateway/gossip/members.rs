//! The gateways that are known, and how recently each was in contact with any of them.
//!
//! Gateways mention each other with the age of the last contact. A gateway therefore counts as alive everywhere as long
//! as it exchanges datagrams with some others, and a few exchanges in a round are enough for any number of gateways.

use super::Mention;
use crate::clock::US_PER_MS;
use crate::ids::Zone;
use crate::pipeline::Address;
use crate::random::{Random, mix};
use crate::table::Table;

/// Time since the last contact, of any gateway, after which a gateway takes no part in the common order, in
/// microseconds. It covers several rounds of all gateways, so that lost datagrams exclude nobody.
const ALIVE_US: u64 = 2_500_000;
/// Maximum number of other gateways in the table.
const MEMBER_LIMIT: usize = 2_048;

/// Another gateway.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Member {
    zone: Zone,
    /// Latest contact of this or another gateway with it, on the clock of this gateway.
    last_contact_us: u64,
}

/// The other gateways by address.
#[derive(Clone, Debug)]
pub(super) struct Members {
    own: Address,
    known: Table<Address, Member>,
}

impl Members {
    /// Creates the table of the gateway at the given address, which knows no other gateway.
    pub fn new(own: Address) -> Self {
        Self { own, known: Table::default() }
    }

    /// Records a datagram from a gateway.
    pub fn record_contact(&mut self, now_us: u64, address: Address, zone: &Zone) {
        self.record(address, zone, now_us);
    }

    /// Records the contacts that another gateway mentions.
    pub fn record_mentions(&mut self, now_us: u64, mentions: &[Mention]) {
        let own = self.own;
        for mention in mentions.iter().filter(|mention| mention.address != own) {
            let age_us = u64::from(mention.contact_age_ms) * US_PER_MS;
            // A contact before the start of this clock counts as one at its start.
            self.record(mention.address, &mention.zone, now_us.saturating_sub(age_us));
        }
    }

    fn record(&mut self, address: Address, zone: &Zone, contact_us: u64) {
        let known_us = self.known.get(&address).map(|member| member.last_contact_us);
        let is_news = known_us.map_or(self.known.len() < MEMBER_LIMIT, |known_us| known_us < contact_us);
        if is_news {
            self.known.insert(address, Member { zone: zone.clone(), last_contact_us: contact_us });
        }
    }

    /// Removes the gateways whose last contact is older than `expiry_us`.
    pub fn expire(&mut self, now_us: u64, expiry_us: u64) {
        self.known.retain(|_, member| member.last_contact_us + expiry_us >= now_us);
    }

    /// Returns the addresses of all known gateways.
    pub fn addresses(&self) -> Vec<Address> {
        self.known.iter().map(|(address, _)| *address).collect()
    }

    /// Returns the addresses of the alive gateways in a zone.
    pub fn alive_in_zone(&self, now_us: u64, zone: &Zone) -> Vec<Address> {
        let alive = self.known.iter().filter(|(_, member)| is_alive(member, now_us));
        alive.filter(|(_, member)| member.zone == *zone).map(|(address, _)| *address).collect()
    }

    /// Returns the number of alive gateways in each zone, without this one.
    pub fn zone_counts(&self, now_us: u64) -> Table<Zone, usize> {
        let mut counts: Table<Zone, usize> = Table::default();
        for (_, member) in self.known.iter().filter(|(_, member)| is_alive(member, now_us)) {
            match counts.get_mut(&member.zone) {
                Some(count) => *count += 1,
                None => {
                    counts.insert(member.zone.clone(), 1);
                }
            }
        }
        counts
    }

    /// Returns the alive gateways and this one in the order that all gateways share.
    pub fn common_order(&self, now_us: u64) -> Vec<Address> {
        let alive = self.known.iter().filter(|(_, member)| is_alive(member, now_us));
        let mut order: Vec<Address> = alive.map(|(address, _)| *address).chain([self.own]).collect();
        order.sort_by_cached_key(|address| (order_key(address), *address));
        order.dedup();
        order
    }

    /// Returns up to `count` gateways, drawn at random, with the ages of their last contacts.
    pub fn mentions(&self, now_us: u64, count: usize, random: &mut Random) -> Vec<Mention> {
        let drawn = sample(self.addresses(), count, random);
        let mention = |address: Address| {
            let member = self.known.get(&address)?;
            let age_ms = now_us.saturating_sub(member.last_contact_us).div_ceil(US_PER_MS);
            let contact_age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
            Some(Mention { address, zone: member.zone.clone(), contact_age_ms })
        };
        drawn.into_iter().filter_map(mention).collect()
    }
}

fn is_alive(member: &Member, now_us: u64) -> bool {
    member.last_contact_us + ALIVE_US >= now_us
}

/// Returns up to `count` of the addresses, drawn at random.
pub(super) fn sample(mut addresses: Vec<Address>, count: usize, random: &mut Random) -> Vec<Address> {
    for index in 0..count.min(addresses.len()) {
        let other = index + random.below(addresses.len() - index);
        addresses.swap(index, other);
    }
    addresses.truncate(count);
    addresses
}

/// Returns the sort key of a gateway in the order that is common to all gateways. It spreads neighbouring addresses,
/// which often share a zone, over the order.
fn order_key(address: &Address) -> u64 {
    match address.ip() {
        std::net::IpAddr::V4(ip) => mix(u64::from(u32::from(ip))),
        std::net::IpAddr::V6(ip) => mix(u128::from(ip) as u64),
    }
}
