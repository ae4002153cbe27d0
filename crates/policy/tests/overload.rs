//! A surge of all kinds of request beyond what the engines can do.

use std::collections::VecDeque;

use mimosaledge_policy::admission::{Progress, load_limit, retry_after_ms};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SLOTS: u32 = 64;
const ENGINES: usize = 9;
const GATEWAYS: usize = 8;
/// Age of what gateways know of each other's requests, in milliseconds.
const KNOWN_AFTER_MS: u64 = 470;
const TICK_MS: u64 = 5;
const SURGE_S: u64 = 12;
/// Time after the surge in which the last requests end, in seconds.
const END_S: u64 = 16;

#[derive(Clone, Copy)]
struct Kind {
    rank: u8,
    per_s: f64,
    tokens: f64,
    prefill_ms: f64,
    aim_ms: u64,
    deadline_ms: u64,
}

/// The mix of a service with long briefings, chats and short look-ups.
const KINDS: [Kind; 3] = [
    Kind {
        rank: 1,
        per_s: 94.0,
        tokens: 384.0,
        prefill_ms: 10.0,
        aim_ms: 600,
        deadline_ms: 15_000,
    },
    Kind {
        rank: 0,
        per_s: 132.0,
        tokens: 294.0,
        prefill_ms: 1.0,
        aim_ms: 400,
        deadline_ms: 12_000,
    },
    Kind { rank: 2, per_s: 184.0, tokens: 24.0, prefill_ms: 3.0, aim_ms: 400, deadline_ms: 3_000 },
];

struct Job {
    kind: usize,
    arrived: u64,
    started: Option<u64>,
    left: f64,
}

#[derive(Default)]
struct Engine {
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    stall_ms: f64,
}

impl Engine {
    fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Runs one tick; returns the requests that ended whole and in time.
    fn tick(&mut self, now: u64) -> Vec<Job> {
        self.waiting.retain(|it| now - it.arrived < KINDS[it.kind].deadline_ms);
        self.running.retain(|it| now - it.arrived < KINDS[it.kind].deadline_ms);
        while self.running.len() < SLOTS as usize {
            let Some(mut job) = self.waiting.pop_front() else { break };
            self.stall_ms += KINDS[job.kind].prefill_ms;
            job.started = Some(now);
            self.running.push(job);
        }
        let busy = (TICK_MS as f64 - self.stall_ms).max(0.0);
        self.stall_ms = (self.stall_ms - TICK_MS as f64).max(0.0);
        let step_ms = 3.27 + 0.0823 * self.running.len() as f64;
        for job in &mut self.running {
            job.left -= busy / step_ms;
        }
        let (ended, running) = self.running.drain(..).partition(|it| it.left <= 0.0);
        self.running = running;
        ended
    }
}

/// Plays a surge; returns the share of each kind that begins within its aim
/// and ends whole.
fn play(admit: bool) -> [f64; 3] {
    let mut random = Pcg64::seed_from_u64(11);
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut history: VecDeque<Vec<usize>> = VecDeque::new();
    let mut own_since: Vec<Vec<usize>> = vec![vec![0; ENGINES]; GATEWAYS];
    let (mut asked, mut served) = ([0u32; 3], [0u32; 3]);
    for tick in 0..(SURGE_S + END_S) * 1_000 / TICK_MS {
        let now = tick * TICK_MS;
        let surge = now < SURGE_S * 1_000;
        if now % KNOWN_AFTER_MS < TICK_MS {
            history.push_back(engines.iter().map(Engine::load).collect());
            own_since.iter_mut().for_each(|it| it.fill(0));
        }
        let known = history.back().unwrap();
        for (at, kind) in KINDS.iter().enumerate() {
            let mut due = kind.per_s * TICK_MS as f64 / 1_000.0;
            while surge && due > 0.0 && random.random_bool(due.min(1.0)) {
                due -= 1.0;
                asked[at] += 1;
                let gateway = random.random_range(0..GATEWAYS);
                let load = |engine: usize| {
                    // Each gateway knows its own requests, and takes the others
                    // to send as many.
                    (known[engine] + own_since[gateway][engine] * GATEWAYS) as f64
                };
                let limit = load_limit(SLOTS, kind.rank, Progress::New);
                let open: Vec<usize> =
                    (0..ENGINES).filter(|it| !admit || load(*it) < limit).collect();
                if open.is_empty() {
                    continue;
                }
                let engine = open[random.random_range(0..open.len())];
                own_since[gateway][engine] += 1;
                let job = Job { kind: at, arrived: now, started: None, left: kind.tokens };
                engines[engine].waiting.push_back(job);
            }
        }
        for engine in &mut engines {
            for job in engine.tick(now) {
                let aim = KINDS[job.kind].aim_ms;
                served[job.kind] += u32::from(job.started.unwrap() - job.arrived <= aim);
            }
        }
    }
    [0, 1, 2].map(|at| f64::from(served[at]) / f64::from(asked[at]))
}

#[test]
fn surge_beyond_capacity_serves_what_fits() {
    let shares = play(true);
    // The engines can do two thirds of this surge.
    for share in shares {
        assert!(share > 0.45, "{shares:?}");
    }
    let without = play(false);
    assert!(without.iter().sum::<f64>() < shares.iter().sum::<f64>(), "{without:?} {shares:?}");
}

#[test]
fn urgent_kind_is_not_served_less_often_than_the_others() {
    let [second, first, third] = play(true);
    assert!(first > second - 0.05 && second > third - 0.05, "{first} {second} {third}");
    assert!(third > first / 4.0, "the least urgent kind is starved: {third}");
}

#[test]
fn refused_requests_return_spread_and_in_time() {
    let returns: Vec<u64> =
        (0..1_000).map(|it| retry_after_ms(12_000, &format!("a-{it}"))).collect();
    assert!(returns.iter().all(|it| (500..4_000).contains(it)), "beyond a third of the time left");
    let early = returns.iter().filter(|it| **it < 2_000).count();
    assert!((350..650).contains(&early), "{early} of 1000 return in the first half");
}

#[test]
fn started_requests_find_room_that_new_ones_do_not() {
    assert!(load_limit(SLOTS, 2, Progress::Started) > load_limit(SLOTS, 0, Progress::New));
    assert!(load_limit(1, 9, Progress::New) >= 1.0);
}
