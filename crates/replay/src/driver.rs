//! Replays a trace: every chat's requests in order, all chats at once.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};

use mimosaledge_core::Outcome;
use mimosaledge_standin::engine::{GenerateRequest, output_segment, prefix_blocks};
use tokio::{sync::Mutex, task::JoinSet, time};

use crate::{
    caller::{Attempt, Caller, CallerRequest, Located, Refused, Whole},
    tally::{Final, KeyStatement, Tally},
    trace::{Event, Trace},
};

/// Attempts that a caller makes before it gives a request up.
const MAX_ATTEMPTS: u32 = 12;
/// Pause after an attempt that gave no come-back time.
const PAUSE: Duration = Duration::from_millis(50);
/// Tokens of the prompt that all chats of a workspace share.
const SYSTEM_TOKENS: u32 = 300;
/// Codes after which the same key is sent again.
const ASK_AGAIN: [u16; 3] = [4000, 4003, 4005];

/// What a chat carries from one request to the next.
#[derive(Debug, Default)]
struct Chat {
    segments: Vec<(u64, u32)>,
    hint: Option<String>,
}

/// Chats by workspace and name.
type Chats = HashMap<(String, String), Rc<Mutex<Chat>>>;

/// A replay under way.
pub struct Driver {
    caller: Caller,
    trace: Trace,
    speed: f64,
    chats: RefCell<Chats>,
    /// Prefixes that some engine has computed, for an ideal cache.
    computed: RefCell<HashSet<u64>>,
    tally: RefCell<Tally>,
    done: Cell<usize>,
    run: u64,
}

impl Driver {
    /// Creates a driver that replays `trace` at `speed` times its own pace;
    /// `run` keeps the keys of two replays apart.
    pub fn new(caller: Caller, trace: Trace, speed: f64, run: u64) -> Rc<Driver> {
        Rc::new(Driver {
            caller,
            trace,
            speed,
            chats: RefCell::default(),
            computed: RefCell::default(),
            tally: RefCell::default(),
            done: Cell::new(0),
            run,
        })
    }

    /// Returns the number of requests that have got their final answer.
    pub fn done(&self) -> usize {
        self.done.get()
    }

    /// Replays the whole trace and returns what was counted.
    pub async fn replay(self: Rc<Driver>) -> Tally {
        let start = Instant::now();
        let mut requests = JoinSet::new();
        for number in 0..self.trace.events.len() {
            let at = self.trace.events[number].at_ms as f64 / self.speed;
            let at = start + Duration::from_micros((at * 1e3) as u64);
            time::sleep_until(at.into()).await;
            let driver = Rc::clone(&self);
            requests.spawn_local(async move { driver.play(number).await });
        }
        while requests.join_next().await.is_some() {}
        self.tally.take()
    }

    async fn play(&self, number: usize) {
        let event = &self.trace.events[number];
        let key = (event.workspace.clone(), event.chat.clone());
        let chat = Rc::clone(self.chats.borrow_mut().entry(key).or_default());
        if event.output_tokens == 0 {
            self.play_call(number, event).await;
        } else {
            // The next turn of a chat follows the answer to the last one.
            let mut chat = chat.lock().await;
            self.play_turn(number, event, &mut chat).await;
        }
        self.done.set(self.done.get() + 1);
    }

    async fn play_call(&self, number: usize, event: &Event) {
        let body = format!("{{\"visit\":{number}}}");
        let request = self.make_request(number, event, body, None);
        let last = self.request(event, request).await;
        self.tally.borrow_mut().finish(event, &last, 0, 0);
    }

    async fn play_turn(&self, number: usize, event: &Event, chat: &mut Chat) {
        let mut segments = chat.segments.clone();
        if segments.is_empty() {
            segments.push((output_segment(&event.workspace), SYSTEM_TOKENS));
        }
        let new = format!("{}/{}/{number}/{}", event.workspace, event.chat, self.run);
        segments.push((output_segment(&new), event.new_tokens));
        let ideal = self.ideal_tokens(&segments);
        let prompt: u32 = segments.iter().map(|it| it.1).sum();
        let generate = GenerateRequest {
            model: self.trace.header.model.clone(),
            segments: segments.clone(),
            output: event.output_tokens,
        };
        let body = serde_json::to_string(&generate).unwrap_or_default();
        let request = self.make_request(number, event, body, chat.hint.clone());
        let last = self.request(event, request).await;
        if let Final::Whole(whole) = &last {
            segments.push((output_segment(&whole.run_id), whole.tokens));
            self.computed.borrow_mut().extend(prefix_blocks(&segments).map(|it| it.0));
            chat.segments = segments;
            chat.hint = whole.hint.clone();
        }
        self.tally.borrow_mut().finish(event, &last, prompt, ideal);
    }

    /// Returns the prompt tokens that an unbounded cache shared by all engines
    /// would serve.
    fn ideal_tokens(&self, segments: &[(u64, u32)]) -> u32 {
        let computed = self.computed.borrow();
        prefix_blocks(segments)
            .take_while(|(block, _)| computed.contains(block))
            .map(|it| it.1)
            .sum()
    }

    fn make_request(
        &self,
        number: usize,
        event: &Event,
        body: String,
        hint: Option<String>,
    ) -> CallerRequest {
        CallerRequest {
            workspace: event.workspace.clone(),
            chat: event.chat.clone(),
            class: event.class.clone(),
            id: format!("q{number}"),
            key: None,
            hint,
            streamed: event.output_tokens > 0,
            body: body.into(),
        }
    }

    /// Makes a request until it has a final answer.
    async fn request(&self, event: &Event, mut request: CallerRequest) -> Final {
        let mut last = Final::GivenUp;
        for attempt in 0..MAX_ATTEMPTS {
            let data_centre = &event.data_centre;
            let Some(located) =
                self.caller.locate(&event.workspace, &event.chat, data_centre).await
            else {
                time::sleep(PAUSE).await;
                continue;
            };
            if event.keyed && request.key.is_none() {
                request.key = self.make_key(&located, &request.id, attempt);
            }
            let router = located.routers[attempt as usize % located.routers.len()];
            self.tally.borrow_mut().attempt(attempt);
            match self.caller.attempt(router, &request).await {
                Attempt::Whole(whole) => return self.settle_whole(&request, whole),
                Attempt::Refused(refused) => {
                    last = Final::Refused(refused.code);
                    if !self.come_back(&mut request, &refused).await {
                        return last;
                    }
                }
                Attempt::Wrong(what) => return Final::Wrong(what),
                Attempt::NotConnected => {
                    self.caller.forget(&event.workspace, &event.chat);
                    self.tally.borrow_mut().not_connected += 1;
                }
                Attempt::Broken => {
                    self.tally.borrow_mut().broken += 1;
                    time::sleep(PAUSE).await;
                }
            }
        }
        if let Some(key) = request.key {
            self.tally.borrow_mut().state(key, KeyStatement::Unknown);
        }
        last
    }

    fn make_key(&self, located: &Located, id: &str, attempt: u32) -> Option<String> {
        let prefix = located.key_prefix.as_ref()?;
        Some(format!("{prefix}.{id}-{attempt}-{:x}", self.run))
    }

    fn settle_whole(&self, request: &CallerRequest, whole: Whole) -> Final {
        if let Some(key) = &request.key {
            self.tally.borrow_mut().state(key.clone(), KeyStatement::Ran);
        }
        Final::Whole(whole)
    }

    /// Notes a refusal and waits as it says; returns whether to try again.
    async fn come_back(&self, request: &mut CallerRequest, refused: &Refused) -> bool {
        self.tally.borrow_mut().refusal(&request.workspace, refused.code);
        let wait = refused.retry_after_ms.map_or(PAUSE, Duration::from_millis);
        match refused.outcome {
            Outcome::NotRun => {
                if let Some(key) = request.key.take() {
                    self.tally.borrow_mut().state(key, KeyStatement::NotRun);
                    let id = &request.id;
                    let prefix = refused.key_prefix.as_ref();
                    request.key = prefix.map(|it| format!("{it}.{id}-next-{:x}", self.run));
                }
            }
            Outcome::Unknown if ASK_AGAIN.contains(&refused.code) && request.key.is_some() => {}
            Outcome::Unknown if request.key.is_none() => {}
            Outcome::Ran | Outcome::Unknown => {
                let said = match refused.outcome {
                    Outcome::Ran => KeyStatement::Ran,
                    _ => KeyStatement::Unknown,
                };
                if let Some(key) = request.key.take() {
                    self.tally.borrow_mut().state(key, said);
                }
                return false;
            }
        }
        if refused.code < 3000 || refused.code == 3004 {
            return false;
        }
        time::sleep(wait).await;
        true
    }
}
