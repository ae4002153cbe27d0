//! Explores a key's life under loss, repetition, delay, reordering, pauses and
//! crashes: it runs at most once, and "not run" is the truth.

use std::rc::Rc;

use mimosaledge_core::{
    Code, Millis, Outcome,
    members::RouterRef,
    once::{Answer, Home, Key, KeyId, NoteReply, SealReply, Step, Witness},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const HOME: RouterRef = RouterRef { id: 1, incarnation: 11 };
const WITNESS: RouterRef = RouterRef { id: 2, incarnation: 22 };
const FINGERPRINT: u64 = 7;
const STEPS: usize = 60;

/// A message or timer that has not been delivered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flying {
    /// A caller's request on its way to the home.
    Request,
    /// The home's question to the witness.
    Note,
    /// The witness's answer to the home.
    NoteReply(NoteReply),
    /// The home's limit for the witness's answer.
    NoteTimeout,
    /// The question of a router that could not reach the home.
    Seal,
    /// The home's decision to send the request to a service.
    Start,
    /// The service's answer.
    Finished,
    /// The service's refusal.
    Refused,
    /// The hand-over of the answer to the witness.
    HandOver,
}

/// One key, its home, its witness and everything under way between them.
struct World {
    rng: Pcg64Mcg,
    key: Key,
    home: Option<Home>,
    paused: bool,
    witness: Witness,
    flying: Vec<Flying>,
    runs: u32,
    said_not_run: bool,
    said_ran: bool,
}

impl World {
    fn new(seed: u64) -> World {
        let mut home = Home::new(HOME, 100, 1_000).unwrap();
        let prefix = home.issue(Some(WITNESS));
        let key = Key::parse("workspace", &format!("{prefix}.suffix")).unwrap();
        World {
            rng: Pcg64Mcg::seed_from_u64(seed),
            key,
            home: Some(home),
            paused: false,
            witness: Witness::new(WITNESS, 100),
            flying: vec![Flying::Request],
            runs: 0,
            said_not_run: false,
            said_ran: false,
        }
    }

    fn explore(&mut self) {
        for _ in 0..STEPS {
            match self.rng.random_range(0..20) {
                0 | 1 => self.flying.push(Flying::Request),
                2 => self.flying.push(Flying::Seal),
                3 => self.paused = true,
                4 | 5 => self.paused = false,
                6 => self.crash_home(),
                7 => self.lose_one(),
                8 => self.repeat_one(),
                _ => self.deliver_one(),
            }
            self.check();
        }
    }

    /// A crash takes the home's memory; a request at the service goes on.
    fn crash_home(&mut self) {
        if self.rng.random_bool(0.2) {
            self.home = None;
            self.flying.retain(|it| matches!(it, Flying::Seal | Flying::HandOver | Flying::Note));
        }
    }

    fn lose_one(&mut self) {
        let lossy: Vec<usize> = self.places(Flying::is_datagram);
        if let Some(&at) = lossy.first() {
            self.flying.swap_remove(at);
        }
    }

    fn repeat_one(&mut self) {
        let lossy: Vec<usize> = self.places(Flying::is_datagram);
        if let Some(&at) = lossy.last() {
            self.flying.push(self.flying[at]);
        }
    }

    fn places(&self, wanted: impl Fn(&Flying) -> bool) -> Vec<usize> {
        (0..self.flying.len()).filter(|&at| wanted(&self.flying[at])).collect()
    }

    fn deliver_one(&mut self) {
        let paused = self.paused;
        let ready = self.places(|it| !(paused && it.is_for_home()));
        if ready.is_empty() {
            return;
        }
        let at = ready[self.rng.random_range(0..ready.len())];
        let message = self.flying.swap_remove(at);
        self.deliver(message);
    }

    fn deliver(&mut self, message: Flying) {
        let (id, prefix) = (self.key.id, self.key.prefix);
        match message {
            Flying::Note => {
                let reply = self.witness.note(id, prefix, Millis(0));
                self.flying.push(Flying::NoteReply(reply));
            }
            Flying::Seal => {
                let reply = self.witness.seal(id, prefix, Millis(0));
                self.hear_seal(reply);
            }
            Flying::HandOver => self.witness.finish(id, answer()),
            _ => self.deliver_to_home(message, id),
        }
    }

    fn deliver_to_home(&mut self, message: Flying, id: KeyId) {
        let Some(home) = &mut self.home else { return };
        let step = match message {
            Flying::Request => home.begin(&self.key, FINGERPRINT),
            Flying::NoteReply(reply) => home.witnessed(id, Some(reply), Millis(0)),
            Flying::NoteTimeout => home.witnessed(id, None, Millis(0)),
            Flying::Start => {
                self.runs += 1;
                let end = [Flying::Finished, Flying::Refused][self.rng.random_range(0..2)];
                // A service that refuses has not run the request.
                self.runs -= u32::from(end == Flying::Refused);
                self.flying.push(end);
                return;
            }
            Flying::Finished => {
                home.finished(id, Rc::new(answer()), Millis(0));
                self.flying.push(Flying::HandOver);
                return;
            }
            Flying::Refused => {
                home.refused(id, Code::EndpointRefused, Millis(0));
                self.said_not_run = true;
                return;
            }
            Flying::Note | Flying::Seal | Flying::HandOver => return,
        };
        self.take_step(step, message);
    }

    fn take_step(&mut self, step: Step, cause: Flying) {
        match step {
            Step::Note(_) => self.flying.extend([Flying::Note, Flying::NoteTimeout]),
            Step::Start => self.flying.push(Flying::Start),
            Step::Kept(_) => self.said_ran = true,
            // A second reply of the witness concerns no caller.
            Step::Refuse(code) if cause == Flying::Request || code != Code::UnusableKey => {
                self.said_not_run |= code.outcome() == Outcome::NotRun;
            }
            Step::Refuse(_) | Step::Wait(_) => {}
        }
    }

    fn hear_seal(&mut self, reply: SealReply) {
        match reply {
            SealReply::Sealed => self.said_not_run = true,
            SealReply::Done(_) => self.said_ran = true,
            SealReply::Noted | SealReply::Forgotten => {}
        }
    }

    fn check(&self) {
        assert!(self.runs <= 1, "the key ran {} times", self.runs);
        assert!(!(self.said_not_run && self.runs > 0), "a key called not run has run");
        assert!(!(self.said_ran && self.runs == 0), "a key called run has not run");
    }
}

impl Flying {
    fn is_datagram(&self) -> bool {
        matches!(self, Flying::Note | Flying::NoteReply(_) | Flying::Seal | Flying::HandOver)
    }

    fn is_for_home(&self) -> bool {
        !matches!(self, Flying::Note | Flying::Seal | Flying::HandOver)
    }
}

fn answer() -> Answer {
    Answer { status: 200, body: Some(b"done".to_vec()) }
}

#[test]
fn runs_at_most_once_and_not_run_is_true() {
    for seed in 0..5_000 {
        World::new(seed).explore();
    }
}

#[test]
fn exploration_reaches_every_outcome() {
    let (mut ran, mut not_run, mut kept) = (0, 0, 0);
    for seed in 0..2_000 {
        let mut world = World::new(seed);
        world.explore();
        ran += u32::from(world.runs == 1);
        not_run += u32::from(world.said_not_run);
        kept += u32::from(world.said_ran);
    }
    assert!(ran > 100 && not_run > 100 && kept > 100, "{ran} {not_run} {kept}");
}
