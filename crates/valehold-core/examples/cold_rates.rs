//! Measures how many requests cold upstreams get under three policies that
//! share an upstream's rated load among gateways, and how much of the rated
//! load each policy uses.
//!
//! `cargo run --release -p valehold-core --example cold_rates`
//!
//! Each of 20 upstreams is the only one that can answer the requests offered
//! for it. Each request arrives at a random gateway. The gateways either all
//! know the same members, or each gateway misses one in ten of the others.

use std::{collections::VecDeque, net::SocketAddr};

use valehold_core::{
    Millis,
    fleet::{
        catalog::ColdSpec,
        cold::{ColdBound, PermitGrantor, PermitReply, SendPermits},
    },
    id::UpstreamId,
    rendezvous,
};

const BOUND: ColdBound = ColdBound { overshoot: 1.5, slack: 5.0 };

const SPEC: ColdSpec = ColdSpec { lasts_ms: 3_000, requests_per_second: 13.0 };

/// The number of upstreams that restart together.
const UPSTREAMS: usize = 20;

/// The time for which the upstreams are cold, in ms.
const COLD_MS: u64 = 3_000;

/// The round trip of a permit request, in ms.
const ROUND_TRIP_MS: u64 = 15;

/// The time after which all gateways know an advertised send, in ms.
const PROPAGATION_MS: u64 = 350;

/// A pseudo-random number generator with a fixed seed.
struct Rng(u64);

impl Rng {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 33) % bound
    }
}

fn upstream(number: usize) -> UpstreamId {
    UpstreamId::new(format!("engine-{number}"))
}

fn address(gateway: usize) -> SocketAddr {
    let [high, low] = u16::try_from(gateway).unwrap_or(0).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_104))
}

/// A policy that shares the rated load of a cold upstream among gateways.
trait SharingPolicy {
    /// Returns the delay in ms after which a gateway sends a request to an
    /// upstream, or `None` if the gateway may not send the request.
    fn may_send(&mut self, gateway: usize, to: usize, ms: u64) -> Option<u64>;
}

/// Policy `owners`: each gateway ranks the members that it knows by rendezvous
/// hashing. The first 13 own the upstream, and each owner sends one request
/// per gap.
struct Owners {
    owned: Vec<Vec<bool>>,
    last: Vec<Vec<Option<u64>>>,
    gap_ms: u64,
}

impl Owners {
    fn new(views: &[Vec<usize>]) -> Self {
        let owns = |own: usize, view: &Vec<usize>, to: usize| {
            let key = upstream(to).to_string();
            let names = view.iter().map(|one| address(*one).to_string());
            let names: Vec<String> = names.collect();
            let first = rendezvous::owners(&key, &names, 13);
            first.contains(&&address(own).to_string())
        };
        let views = views.iter().enumerate();
        let owned: Vec<Vec<bool>> = views
            .map(|(own, view)| {
                (0..UPSTREAMS).map(|to| owns(own, view, to)).collect()
            })
            .collect();
        let last = vec![vec![None; UPSTREAMS]; owned.len()];
        Self { owned, last, gap_ms: 1_100 }
    }
}

impl SharingPolicy for Owners {
    fn may_send(&mut self, gateway: usize, to: usize, ms: u64) -> Option<u64> {
        let last = &mut self.last[gateway][to];
        let is_due = last.is_none_or(|at| ms - at >= self.gap_ms);
        let may = self.owned[gateway][to] && is_due;
        may.then(|| {
            *last = Some(ms);
            0
        })
    }
}

/// Policy `asked`: one grantor for each upstream issues permits on request.
struct Granted {
    grantors: Vec<PermitGrantor>,
    views: Vec<Vec<SocketAddr>>,
    permits: Vec<SendPermits>,
}

impl Granted {
    fn new(views: &[Vec<usize>]) -> Self {
        let addresses =
            |view: &Vec<usize>| view.iter().map(|one| address(*one)).collect();
        let views: Vec<Vec<SocketAddr>> =
            views.iter().map(addresses).collect();
        let with_members = |(own, view): (usize, &Vec<SocketAddr>)| {
            let mut grantor = PermitGrantor::new(address(own), Millis::new(0));
            for ms in (0..=2_000).step_by(250) {
                grantor.update_members(view, true, Millis::new(ms));
            }
            grantor
        };
        let grantors: Vec<PermitGrantor> =
            views.iter().enumerate().map(with_members).collect();
        let permits = grantors.iter().map(|_| SendPermits::new(0)).collect();
        Self { grantors, views, permits }
    }
}

impl SharingPolicy for Granted {
    fn may_send(&mut self, gateway: usize, to: usize, ms: u64) -> Option<u64> {
        let id = upstream(to);
        let clock = Millis::new(2_000 + ms);
        let permits = &mut self.permits[gateway];
        if permits.denied_ms(&id, clock) > 0 {
            return None;
        }
        let request = permits.request(&id, clock);
        let target = self.grantors[gateway].grantor_of(&id)?;
        let index =
            (0..self.grantors.len()).find(|g| address(*g) == target)?;
        let max = BOUND.permits_per_window(&SPEC);
        let grantor = &mut self.grantors[index];
        grantor.update_members(&self.views[index], true, clock);
        let reply = grantor.answer(&id, max, clock);
        let permits = &mut self.permits[gateway];
        permits.on_reply(request.number, reply, clock + ROUND_TRIP_MS);
        permits.take(&id, clock + ROUND_TRIP_MS)?;
        (reply == PermitReply::Granted).then_some(ROUND_TRIP_MS)
    }
}

/// Policy `told`: each gateway advertises what it sent, and sends while the
/// sum is below the rated load.
struct Advertised {
    sent: Vec<VecDeque<(u64, usize)>>,
}

impl SharingPolicy for Advertised {
    fn may_send(&mut self, gateway: usize, to: usize, ms: u64) -> Option<u64> {
        let sent = &mut self.sent[to];
        while sent.front().is_some_and(|(at, _)| at + 1_000 < ms) {
            sent.pop_front();
        }
        let known = sent
            .iter()
            .filter(|(at, by)| *by == gateway || at + PROPAGATION_MS <= ms);
        let may = known.count() < 13;
        may.then(|| {
            sent.push_back((ms, gateway));
            0
        })
    }
}

/// Returns the most requests that one upstream got in any second, and the mean
/// number of requests per second and upstream.
fn simulate(
    policy: &mut dyn SharingPolicy,
    gateways: usize,
    offered_per_second: u64,
    rng: &mut Rng,
) -> (usize, f64) {
    let mut sends = vec![Vec::new(); UPSTREAMS];
    for ms in 0..COLD_MS {
        for (to, sends) in sends.iter_mut().enumerate() {
            if rng.below(1_000) >= offered_per_second {
                continue;
            }
            let gateway = usize::try_from(rng.below(gateways as u64));
            let gateway = gateway.unwrap_or(0);
            if let Some(after_ms) = policy.may_send(gateway, to, ms) {
                sends.push(ms + after_ms);
            }
        }
    }
    let max = sends.iter().map(|sends| max_per_second(sends));
    let all: usize = sends.iter().map(Vec::len).sum();
    #[allow(clippy::cast_precision_loss)]
    let mean = all as f64 * 1_000.0 / COLD_MS as f64 / UPSTREAMS as f64;
    (max.max().unwrap_or(0), mean)
}

fn max_per_second(sends: &[u64]) -> usize {
    let counts = sends.iter().enumerate().map(|(index, from)| {
        let rest = sends[index..].iter();
        rest.take_while(|to| **to - from <= 1_000).count()
    });
    counts.max().unwrap_or(0)
}

fn main() {
    println!("gateways views offered way most_in_1s used_per_s");
    for gateways in [89, 300, 390] {
        for missed_of_10 in [0, 1] {
            let mut rng = Rng(7);
            let views: Vec<Vec<usize>> = (0..gateways)
                .map(|own| {
                    let knows = |one: &usize| {
                        *one == own || rng.below(10) >= missed_of_10
                    };
                    (0..gateways).filter(knows).collect()
                })
                .collect();
            for offered in [5, 13, 60] {
                let mut policies: [(&str, Box<dyn SharingPolicy>); 3] = [
                    ("owners", Box::new(Owners::new(&views))),
                    ("asked", Box::new(Granted::new(&views))),
                    (
                        "told",
                        Box::new(Advertised {
                            sent: vec![VecDeque::new(); UPSTREAMS],
                        }),
                    ),
                ];
                for (name, policy) in &mut policies {
                    let result =
                        simulate(&mut **policy, gateways, offered, &mut rng);
                    let (max, used) = result;
                    println!(
                        "{gateways} {missed_of_10} {offered} {name} {max} {used:.1}"
                    );
                }
            }
        }
    }
}
