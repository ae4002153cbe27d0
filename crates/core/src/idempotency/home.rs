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

/// Time for which a home keeps a key in a final state and its response, in
/// milliseconds.
const RETENTION_MS: u64 = 3_600_000;
/// Retry delay suggested to a client whose key is still running, in
/// milliseconds.
const RETRY_AFTER_MS: u64 = 200;

/// The next step that the home takes for a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Ask the witness to record a note of the key.
    Note(RouterRef),
    /// Run the request; this step is returned at most once per key.
    Start,
    /// Tell the client to retry after this many milliseconds.
    Wait(u64),
    /// Reject the request with a result code.
    Refuse(Code),
    /// Return the stored response of the earlier run.
    ReturnStored(Rc<Answer>),
}

#[derive(Debug)]
struct Entry {
    machine: StateMachine,
    /// Serial of the key's prefix.
    serial: u32,
    fingerprint: u64,
    answer: Option<Rc<Answer>>,
    /// Code with which repeated requests are rejected if the key is sealed.
    seal_code: Code,
}

/// State of the idempotency keys whose home is this router incarnation.
#[derive(Debug)]
pub struct KeyHome {
    own: RouterRef,
    chart: Rc<Chart>,
    capacity: usize,
    max_stored_bytes: usize,
    stored_bytes: usize,
    /// Serial of the last prefix issued.
    serial: u32,
    entries: HashMap<KeyId, Entry>,
    /// Keys in a final state, by the time at which they reached it.
    closed: BTreeSet<(Millis, KeyId)>,
    /// Highest prefix serial of an evicted key. Keys up to it that have no entry
    /// may have run already, so they are not started.
    evicted_serial: Option<u32>,
}

impl KeyHome {
    /// Creates an empty table for at most `capacity` keys and `max_stored_bytes`
    /// bytes of stored responses.
    ///
    /// # Errors
    ///
    /// Returns an error if the embedded state chart of a key is invalid.
    pub fn new(own: RouterRef, capacity: usize, max_stored_bytes: usize) -> Result<KeyHome> {
        let chart = Rc::new(Chart::from_yaml(include_str!("../../charts/key.yaml"))?);
        Ok(KeyHome {
            own,
            chart,
            capacity,
            max_stored_bytes,
            stored_bytes: 0,
            serial: 0,
            entries: HashMap::new(),
            closed: BTreeSet::new(),
            evicted_serial: None,
        })
    }

    /// Issues a new key prefix with this router as home.
    pub fn issue_prefix(&mut self, witness: Option<RouterRef>) -> KeyPrefix {
        self.serial += 1;
        KeyPrefix { home: self.own, witness, serial: self.serial }
    }

    /// Handles a request, new or repeated, whose key names this router as home.
    pub fn begin(&mut self, key: &Key, fingerprint: u64) -> Step {
        if key.prefix.home != self.own || key.prefix.serial > self.serial {
            return Step::Refuse(Code::UnusableKey);
        }
        if let Some(entry) = self.entries.get(&key.id) {
            return entry.repeat_step(fingerprint);
        }
        if self.evicted_serial.is_some_and(|serial| key.prefix.serial <= serial) {
            return Step::Refuse(Code::KeyExpired);
        }
        if self.entries.len() >= self.capacity && !self.evict_oldest() {
            return Step::Refuse(Code::KeysFull);
        }
        self.add_entry(key, fingerprint)
    }

    fn add_entry(&mut self, key: &Key, fingerprint: u64) -> Step {
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

    /// Handles the witness's reply, or `None` if it did not reply in time.
    pub fn handle_note_reply(&mut self, key: KeyId, reply: Option<NoteReply>, now: Millis) -> Step {
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
            Some(NoteReply::Sealed) => self.close_sealed(key, Code::KeySealed, now),
            None => self.close_sealed(key, Code::WitnessSilent, now),
        }
    }

    /// Records that a key was sealed for the reason in `code`.
    fn close_sealed(&mut self, key: KeyId, code: Code, now: Millis) -> Step {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.seal_code = code;
        }
        self.closed.insert((now, key));
        Step::Refuse(code)
    }

    /// Records that the endpoint ran the request and responded.
    ///
    /// The body of a response that exceeds the memory limit is not stored.
    pub fn mark_finished(&mut self, key: KeyId, answer: Rc<Answer>, now: Millis) {
        let size = answer.body.as_ref().map_or(0, Vec::len);
        let fits = self.stored_bytes + size <= self.max_stored_bytes;
        if let Some(entry) = self.entries.get_mut(&key)
            && entry.machine.apply("finished")
        {
            let without_body = Answer { status: answer.status, body: None };
            entry.answer = Some(if fits { answer } else { Rc::new(without_body) });
            self.stored_bytes += if fits { size } else { 0 };
            self.closed.insert((now, key));
        }
    }

    /// Records that no endpoint ran the request, with the reason in `code`.
    pub fn mark_refused(&mut self, key: KeyId, code: Code, now: Millis) {
        if let Some(entry) = self.entries.get_mut(&key)
            && entry.machine.apply("refused")
        {
            self.close_sealed(key, code, now);
        }
    }

    /// Records that the endpoint may have run the request but did not return a
    /// complete response.
    pub fn mark_broken(&mut self, key: KeyId, now: Millis) {
        if let Some(entry) = self.entries.get_mut(&key)
            && entry.machine.apply("broken")
        {
            self.closed.insert((now, key));
        }
    }

    /// Removes keys that reached a final state an hour ago or earlier.
    pub fn expire(&mut self, now: Millis) {
        while self.closed.first().is_some_and(|&(at, _)| now.since(at) >= RETENTION_MS) {
            self.evict_oldest();
        }
    }

    /// Returns the number of keys in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of keys that have not reached a final state.
    pub fn open_count(&self) -> usize {
        self.entries.len() - self.closed.len()
    }

    fn evict_oldest(&mut self) -> bool {
        let Some((_, key)) = self.closed.pop_first() else { return false };
        if let Some(entry) = self.entries.remove(&key) {
            self.stored_bytes -= entry.stored_size();
            self.evicted_serial = self.evicted_serial.max(Some(entry.serial));
        }
        true
    }
}

impl Entry {
    fn stored_size(&self) -> usize {
        self.answer.as_ref().and_then(|it| it.body.as_ref()).map_or(0, Vec::len)
    }

    /// Returns the step for a repeated request.
    fn repeat_step(&self, fingerprint: u64) -> Step {
        if fingerprint != self.fingerprint {
            return Step::Refuse(Code::KeyReused);
        }
        match (self.machine.state(), &self.answer) {
            ("noting" | "running", _) => Step::Wait(RETRY_AFTER_MS),
            ("sealed", _) => Step::Refuse(self.seal_code),
            ("done", Some(answer)) if answer.body.is_some() => {
                Step::ReturnStored(Rc::clone(answer))
            }
            ("done", _) => Step::Refuse(Code::DoneAnswerLost),
            _ => Step::Refuse(Code::OutcomeUnknown),
        }
    }
}
