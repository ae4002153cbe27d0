//! Randomized simulation of one idempotency key, in which messages are lost,
//! duplicated, delayed and reordered and the home pauses and crashes: the key
//! runs at most once, and every outcome reported to a client is true.

use std::rc::Rc;

use mimosaledge_core::{
    Code, Millis, Outcome,
    idempotency::{Answer, Key, KeyHome, KeyId, KeyWitness, NoteReply, SealReply, Step},
    members::RouterRef,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const HOME: RouterRef = RouterRef { id: 1, incarnation: 11 };
const WITNESS: RouterRef = RouterRef { id: 2, incarnation: 22 };
const FINGERPRINT: u64 = 7;
const STEPS_PER_SEED: usize = 60;

/// A message or timeout that has not been handled yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// A client's request to the home.
    Request,
    /// The home's request that the witness record a note.
    Note,
    /// The witness's reply to the home.
    NoteReply(NoteReply),
    /// The home's timeout for the witness's reply.
    NoteTimeout,
    /// The seal request of a router that could not reach the home.
    Seal,
    /// The home's decision to send the request to a service.
    Start,
    /// The service's response.
    Finished,
    /// The service's rejection of the request.
    Refused,
    /// The response, sent from the home to the witness.
    HandOver,
}

/// One key, its home, its witness and the events in flight between them.
struct Simulation {
    rng: Pcg64Mcg,
    key: Key,
    home: Option<KeyHome>,
    paused: bool,
    witness: KeyWitness,
    in_flight: Vec<Event>,
    runs: u32,
    reported_not_run: bool,
    reported_ran: bool,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut home = KeyHome::new(HOME, 100, 1_000).unwrap();
        let prefix = home.issue_prefix(Some(WITNESS));
        let key = Key::parse("workspace", &format!("{prefix}.suffix")).unwrap();
        Simulation {
            rng: Pcg64Mcg::seed_from_u64(seed),
            key,
            home: Some(home),
            paused: false,
            witness: KeyWitness::new(WITNESS, 100),
            in_flight: vec![Event::Request],
            runs: 0,
            reported_not_run: false,
            reported_ran: false,
        }
    }

    fn run_random_steps(&mut self) {
        for _ in 0..STEPS_PER_SEED {
            match self.rng.random_range(0..20) {
                0 | 1 => self.in_flight.push(Event::Request),
                2 => self.in_flight.push(Event::Seal),
                3 => self.paused = true,
                4 | 5 => self.paused = false,
                6 => self.crash_home(),
                7 => self.drop_one(),
                8 => self.duplicate_one(),
                _ => self.deliver_one(),
            }
            self.check_invariants();
        }
    }

    /// Crashes the home with a probability of 0.2: its state and the events
    /// addressed to it are lost. Its messages to the witness stay in flight, and
    /// a request that reached the service still counts as run.
    fn crash_home(&mut self) {
        if self.rng.random_bool(0.2) {
            self.home = None;
            self.in_flight.retain(|it| matches!(it, Event::Seal | Event::HandOver | Event::Note));
        }
    }

    fn drop_one(&mut self) {
        let datagrams: Vec<usize> = self.positions(Event::is_datagram);
        if let Some(&at) = datagrams.first() {
            self.in_flight.swap_remove(at);
        }
    }

    fn duplicate_one(&mut self) {
        let datagrams: Vec<usize> = self.positions(Event::is_datagram);
        if let Some(&at) = datagrams.last() {
            self.in_flight.push(self.in_flight[at]);
        }
    }

    fn positions(&self, predicate: impl Fn(&Event) -> bool) -> Vec<usize> {
        (0..self.in_flight.len()).filter(|&at| predicate(&self.in_flight[at])).collect()
    }

    fn deliver_one(&mut self) {
        let paused = self.paused;
        let ready = self.positions(|it| !(paused && it.is_handled_by_home()));
        if ready.is_empty() {
            return;
        }
        let at = ready[self.rng.random_range(0..ready.len())];
        let event = self.in_flight.swap_remove(at);
        self.deliver(event);
    }

    fn deliver(&mut self, event: Event) {
        let (id, prefix) = (self.key.id, self.key.prefix);
        match event {
            Event::Note => {
                let reply = self.witness.note(id, prefix, Millis(0));
                self.in_flight.push(Event::NoteReply(reply));
            }
            Event::Seal => {
                let reply = self.witness.seal(id, prefix, Millis(0));
                self.handle_seal_reply(reply);
            }
            Event::HandOver => self.witness.mark_finished(id, answer()),
            _ => self.deliver_to_home(event, id),
        }
    }

    fn deliver_to_home(&mut self, event: Event, id: KeyId) {
        let Some(home) = &mut self.home else { return };
        let step = match event {
            Event::Request => home.begin(&self.key, FINGERPRINT),
            Event::NoteReply(reply) => home.handle_note_reply(id, Some(reply), Millis(0)),
            Event::NoteTimeout => home.handle_note_reply(id, None, Millis(0)),
            Event::Start => {
                self.runs += 1;
                let end = [Event::Finished, Event::Refused][self.rng.random_range(0..2)];
                // A rejection means that the service has not run the request.
                self.runs -= u32::from(end == Event::Refused);
                self.in_flight.push(end);
                return;
            }
            Event::Finished => {
                home.mark_finished(id, Rc::new(answer()), Millis(0));
                self.in_flight.push(Event::HandOver);
                return;
            }
            Event::Refused => {
                home.mark_refused(id, Code::EndpointRefused, Millis(0));
                self.reported_not_run = true;
                return;
            }
            Event::Note | Event::Seal | Event::HandOver => return,
        };
        self.handle_step(step, event);
    }

    fn handle_step(&mut self, step: Step, cause: Event) {
        match step {
            Step::Note(_) => self.in_flight.extend([Event::Note, Event::NoteTimeout]),
            Step::Start => self.in_flight.push(Event::Start),
            Step::ReturnStored(_) => self.reported_ran = true,
            // A late or duplicate reply of the witness, which the home rejects
            // as `UnusableKey`, is not reported to a client.
            Step::Refuse(code) if cause == Event::Request || code != Code::UnusableKey => {
                self.reported_not_run |= code.outcome() == Outcome::NotRun;
            }
            Step::Refuse(_) | Step::Wait(_) => {}
        }
    }

    fn handle_seal_reply(&mut self, reply: SealReply) {
        match reply {
            SealReply::Sealed => self.reported_not_run = true,
            SealReply::Done(_) => self.reported_ran = true,
            SealReply::Noted | SealReply::Forgotten => {}
        }
    }

    fn check_invariants(&self) {
        assert!(self.runs <= 1, "the key ran {} times", self.runs);
        assert!(
            !(self.reported_not_run && self.runs > 0),
            "a key that ran was reported as not run"
        );
        assert!(
            !(self.reported_ran && self.runs == 0),
            "a key that did not run was reported as run"
        );
    }
}

impl Event {
    fn is_datagram(&self) -> bool {
        matches!(self, Event::Note | Event::NoteReply(_) | Event::Seal | Event::HandOver)
    }

    fn is_handled_by_home(&self) -> bool {
        !matches!(self, Event::Note | Event::Seal | Event::HandOver)
    }
}

fn answer() -> Answer {
    Answer { status: 200, body: Some(b"done".to_vec()) }
}

#[test]
fn key_runs_at_most_once_and_reported_outcomes_are_true() {
    for seed in 0..5_000 {
        Simulation::new(seed).run_random_steps();
    }
}

#[test]
fn simulation_reaches_every_outcome() {
    let (mut ran, mut not_run, mut reported_ran) = (0, 0, 0);
    for seed in 0..2_000 {
        let mut simulation = Simulation::new(seed);
        simulation.run_random_steps();
        ran += u32::from(simulation.runs == 1);
        not_run += u32::from(simulation.reported_not_run);
        reported_ran += u32::from(simulation.reported_ran);
    }
    assert!(ran > 100 && not_run > 100 && reported_ran > 100, "{ran} {not_run} {reported_ran}");
}
