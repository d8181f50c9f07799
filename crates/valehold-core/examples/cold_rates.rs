//! How many requests cold upstreams get by three ways to share what they bear
//! among gateways, and how many of those that they bear.
//!
//! `cargo run --release -p valehold-core --example cold_rates`
//!
//! Each of 20 upstreams is the only one that can answer the requests that are
//! offered for it. Gateways see as many of them each, by chance. What they
//! know of one another is the same at all, or each misses one in ten.

use std::{collections::VecDeque, net::SocketAddr};

use valehold_core::{
    Millis,
    fleet::{
        catalog::ColdSpec,
        cold::{ColdBound, Grantor, RightAnswer, SendRights},
    },
    id::UpstreamId,
    rendezvous,
};

const BOUND: ColdBound = ColdBound { overshoot: 1.5, slack: 5.0 };

const SPEC: ColdSpec = ColdSpec { lasts_ms: 3_000, requests_per_second: 13.0 };

/// How many upstreams come back together.
const UPSTREAMS: usize = 20;

/// For how long they are cold, in ms.
const COLD_MS: u64 = 3_000;

/// How long a question to another gateway and its answer take, in ms.
const ASK_MS: u64 = 15;

/// After how many ms all know what was told.
const TOLD_MS: u64 = 350;

/// A generator that repeats itself.
struct Chance(u64);

impl Chance {
    fn below(&mut self, most: u64) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 33) % most
    }
}

fn upstream(number: usize) -> UpstreamId {
    UpstreamId::new(format!("engine-{number}"))
}

fn address(gateway: usize) -> SocketAddr {
    let [high, low] = u16::try_from(gateway).unwrap_or(0).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_104))
}

/// A way to share what cold upstreams bear.
trait Way {
    /// Tells whether a gateway may send a request to an upstream, and after
    /// how many ms it is sent.
    fn may_send(&mut self, gateway: usize, to: usize, ms: u64) -> Option<u64>;
}

/// A few gateways for each upstream, the first by rendezvous of those that
/// each knows; an owner sends one at a time with a gap between.
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

impl Way for Owners {
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

/// One gateway for each upstream that gives out rights to those that ask.
struct Asked {
    grantors: Vec<Grantor>,
    views: Vec<Vec<SocketAddr>>,
    rights: Vec<SendRights>,
}

impl Asked {
    fn new(views: &[Vec<usize>]) -> Self {
        let addresses =
            |view: &Vec<usize>| view.iter().map(|one| address(*one)).collect();
        let views: Vec<Vec<SocketAddr>> =
            views.iter().map(addresses).collect();
        let heard = |(own, view): (usize, &Vec<SocketAddr>)| {
            let mut grantor = Grantor::new(address(own), Millis::new(0));
            for ms in (0..=2_000).step_by(250) {
                grantor.hear(view, true, Millis::new(ms));
            }
            grantor
        };
        let grantors: Vec<Grantor> =
            views.iter().enumerate().map(heard).collect();
        let rights = grantors.iter().map(|_| SendRights::new(0)).collect();
        Self { grantors, views, rights }
    }
}

impl Way for Asked {
    fn may_send(&mut self, gateway: usize, to: usize, ms: u64) -> Option<u64> {
        let id = upstream(to);
        let clock = Millis::new(2_000 + ms);
        let rights = &mut self.rights[gateway];
        if rights.denied_ms(&id, clock) > 0 {
            return None;
        }
        let ask = rights.ask(&id, clock);
        let asked = self.grantors[gateway].grantor(&id)?;
        let place = (0..self.grantors.len()).find(|g| address(*g) == asked)?;
        let most = BOUND.rights_in_window(&SPEC);
        let grantor = &mut self.grantors[place];
        grantor.hear(&self.views[place], true, clock);
        let answer = grantor.answer(&id, most, clock);
        let rights = &mut self.rights[gateway];
        rights.answered(ask.number, answer, clock + ASK_MS);
        rights.take(&id, clock + ASK_MS)?;
        (answer == RightAnswer::Granted).then_some(ASK_MS)
    }
}

/// All tell what they sent, and send while the sum is below what is borne.
struct Told {
    sent: Vec<VecDeque<(u64, usize)>>,
}

impl Way for Told {
    fn may_send(&mut self, gateway: usize, to: usize, ms: u64) -> Option<u64> {
        let sent = &mut self.sent[to];
        while sent.front().is_some_and(|(at, _)| at + 1_000 < ms) {
            sent.pop_front();
        }
        let known = sent
            .iter()
            .filter(|(at, by)| *by == gateway || at + TOLD_MS <= ms);
        let may = known.count() < 13;
        may.then(|| {
            sent.push_back((ms, gateway));
            0
        })
    }
}

/// Returns the most that one upstream got in a second, and what each got a
/// second on average.
fn play(
    way: &mut dyn Way,
    gateways: usize,
    offered_per_second: u64,
    chance: &mut Chance,
) -> (usize, f64) {
    let mut sends = vec![Vec::new(); UPSTREAMS];
    for ms in 0..COLD_MS {
        for (to, sends) in sends.iter_mut().enumerate() {
            if chance.below(1_000) >= offered_per_second {
                continue;
            }
            let gateway = usize::try_from(chance.below(gateways as u64));
            let gateway = gateway.unwrap_or(0);
            if let Some(after_ms) = way.may_send(gateway, to, ms) {
                sends.push(ms + after_ms);
            }
        }
    }
    let most = sends.iter().map(|sends| most_in_a_second(sends));
    let all: usize = sends.iter().map(Vec::len).sum();
    #[allow(clippy::cast_precision_loss)]
    let mean = all as f64 * 1_000.0 / COLD_MS as f64 / UPSTREAMS as f64;
    (most.max().unwrap_or(0), mean)
}

fn most_in_a_second(sends: &[u64]) -> usize {
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
            let mut chance = Chance(7);
            let views: Vec<Vec<usize>> = (0..gateways)
                .map(|own| {
                    let hears = |one: &usize| {
                        *one == own || chance.below(10) >= missed_of_10
                    };
                    (0..gateways).filter(hears).collect()
                })
                .collect();
            for offered in [5, 13, 60] {
                let mut ways: [(&str, Box<dyn Way>); 3] = [
                    ("owners", Box::new(Owners::new(&views))),
                    ("asked", Box::new(Asked::new(&views))),
                    (
                        "told",
                        Box::new(Told {
                            sent: vec![VecDeque::new(); UPSTREAMS],
                        }),
                    ),
                ];
                for (name, way) in &mut ways {
                    let played =
                        play(&mut **way, gateways, offered, &mut chance);
                    let (most, used) = played;
                    println!(
                        "{gateways} {missed_of_10} {offered} {name} {most} {used:.1}"
                    );
                }
            }
        }
    }
}
