use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
};

use super::{Answer, Key, KeyId, KeyPrefix, NoteReply};
use crate::{
    chart::{Chart, Result, StateMachine},
    code::Code,
    members::RouterRef,
    time::Millis,
};

/// How long a home keeps a finished key and its answer, in milliseconds.
const KEEP_MS: u64 = 3_600_000;
/// When a caller should ask again for a key that is still running, in
/// milliseconds.
const POLL_MS: u64 = 200;

/// What a home does next with a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Ask the witness to note the key.
    Note(RouterRef),
    /// Send the request to an endpoint, now and once.
    Start,
    /// Tell the caller to ask again after this many milliseconds.
    Wait(u64),
    /// Answer the caller with a code.
    Refuse(Code),
    /// Answer the caller with the kept answer.
    Kept(Rc<Answer>),
}

#[derive(Debug)]
struct Entry {
    machine: StateMachine,
    serial: u32,
    fingerprint: u64,
    answer: Option<Rc<Answer>>,
    seal_code: Code,
}

/// The keys whose home is this router incarnation.
#[derive(Debug)]
pub struct Home {
    own: RouterRef,
    chart: Rc<Chart>,
    capacity: usize,
    kept_limit: usize,
    kept_bytes: usize,
    serial: u32,
    entries: HashMap<KeyId, Entry>,
    closed: BTreeSet<(Millis, KeyId)>,
    evicted: Option<u32>,
}

impl Home {
    /// Creates a home for at most `capacity` keys and `kept_limit` bytes of
    /// kept answers.
    ///
    /// # Errors
    ///
    /// Returns an error if the embedded key chart is broken.
    pub fn new(own: RouterRef, capacity: usize, kept_limit: usize) -> Result<Home> {
        let chart = Rc::new(Chart::from_yaml(include_str!("../../charts/key.yaml"))?);
        Ok(Home {
            own,
            chart,
            capacity,
            kept_limit,
            kept_bytes: 0,
            serial: 0,
            entries: HashMap::new(),
            closed: BTreeSet::new(),
            evicted: None,
        })
    }

    /// Gives out a new prefix with `witness`.
    pub fn issue(&mut self, witness: Option<RouterRef>) -> KeyPrefix {
        self.serial += 1;
        KeyPrefix { home: self.own, witness, serial: self.serial }
    }

    /// Takes in a request that names this home.
    pub fn begin(&mut self, key: &Key, fingerprint: u64) -> Step {
        if key.prefix.home != self.own || key.prefix.serial > self.serial {
            return Step::Refuse(Code::UnusableKey);
        }
        if let Some(entry) = self.entries.get(&key.id) {
            return entry.resend(fingerprint);
        }
        if self.evicted.is_some_and(|mark| key.prefix.serial <= mark) {
            return Step::Refuse(Code::KeyExpired);
        }
        if self.entries.len() >= self.capacity && !self.evict_oldest() {
            return Step::Refuse(Code::KeysFull);
        }
        self.start_entry(key, fingerprint)
    }

    fn start_entry(&mut self, key: &Key, fingerprint: u64) -> Step {
        let mut machine = self.chart.start();
        let step = match key.prefix.witness {
            Some(witness) => Step::Note(witness),
            None => {
                machine.apply("noted");
                Step::Start
            }
        };
        let serial = key.prefix.serial;
        let seal_code = Code::KeySealed;
        let entry = Entry { machine, serial, fingerprint, answer: None, seal_code };
        self.entries.insert(key.id, entry);
        step
    }

    /// Takes in the witness's reply, or `None` if it gave none in time.
    pub fn witnessed(&mut self, key: KeyId, reply: Option<NoteReply>, now: Millis) -> Step {
        let Some(entry) = self.entries.get_mut(&key) else {
            return Step::Refuse(Code::KeyExpired);
        };
        let event = match reply {
            Some(NoteReply::Noted) => "noted",
            Some(NoteReply::Sealed) => "witness_sealed",
            None => "witness_silent",
        };
        if !entry.machine.apply(event) {
            return Step::Refuse(Code::UnusableKey);
        }
        match reply {
            Some(NoteReply::Noted) => Step::Start,
            Some(NoteReply::Sealed) => self.close(key, Code::KeySealed, now),
            None => self.close(key, Code::WitnessSilent, now),
        }
    }

    fn close(&mut self, key: KeyId, code: Code, now: Millis) -> Step {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.seal_code = code;
        }
        self.closed.insert((now, key));
        Step::Refuse(code)
    }

    /// Notes that the endpoint ran the key and answered.
    pub fn finished(&mut self, key: KeyId, answer: Rc<Answer>, now: Millis) {
        let size = answer.body.as_ref().map_or(0, Vec::len);
        let keep = self.kept_bytes + size <= self.kept_limit;
        if let Some(entry) = self.entries.get_mut(&key)
            && entry.machine.apply("finished")
        {
            let lost = Answer { status: answer.status, body: None };
            entry.answer = Some(if keep { answer } else { Rc::new(lost) });
            self.kept_bytes += if keep { size } else { 0 };
            self.closed.insert((now, key));
        }
    }

    /// Notes that the endpoint refused the key before running it.
    pub fn refused(&mut self, key: KeyId, code: Code, now: Millis) {
        if let Some(entry) = self.entries.get_mut(&key)
            && entry.machine.apply("refused")
        {
            self.close(key, code, now);
        }
    }

    /// Notes that the endpoint may have run the key but gave no whole answer.
    pub fn broken(&mut self, key: KeyId, now: Millis) {
        if let Some(entry) = self.entries.get_mut(&key)
            && entry.machine.apply("broken")
        {
            self.closed.insert((now, key));
        }
    }

    /// Forgets keys that were closed more than an hour ago.
    pub fn expire(&mut self, now: Millis) {
        while self.closed.first().is_some_and(|&(at, _)| now.since(at) >= KEEP_MS) {
            self.evict_oldest();
        }
    }

    /// Returns the number of keys known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of keys that are still open.
    pub fn open(&self) -> usize {
        self.entries.len() - self.closed.len()
    }

    fn evict_oldest(&mut self) -> bool {
        let Some((_, key)) = self.closed.pop_first() else { return false };
        if let Some(entry) = self.entries.remove(&key) {
            self.kept_bytes -= entry.kept_size();
            self.evicted = self.evicted.max(Some(entry.serial));
        }
        true
    }
}

impl Entry {
    fn kept_size(&self) -> usize {
        self.answer.as_ref().and_then(|it| it.body.as_ref()).map_or(0, Vec::len)
    }

    fn resend(&self, fingerprint: u64) -> Step {
        if fingerprint != self.fingerprint {
            return Step::Refuse(Code::KeyReused);
        }
        match (self.machine.state(), &self.answer) {
            ("noting" | "running", _) => Step::Wait(POLL_MS),
            ("sealed", _) => Step::Refuse(self.seal_code),
            ("done", Some(answer)) if answer.body.is_some() => Step::Kept(Rc::clone(answer)),
            ("done", _) => Step::Refuse(Code::DoneAnswerLost),
            _ => Step::Refuse(Code::OutcomeUnknown),
        }
    }
}
