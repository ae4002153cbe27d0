//! Replays a trace: the turns of one chat run in order, all other requests
//! concurrently.

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
    client::{
        AttemptResult, Client, ClientRequest, CompleteResponse, ErrorResponse, LocateResponse,
    },
    tally::{FinalResult, KeyOutcome, Tally},
    trace::{Event, Trace},
};

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 12;
/// Delay before the next attempt if the response set no `retry_after_ms`.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Length of the system prompt that the chats of a workspace share, in tokens.
const SYSTEM_PROMPT_TOKENS: u32 = 300;
/// Result codes with an unknown outcome after which the request is sent again
/// with the same idempotency key.
const RETRY_SAME_KEY_CODES: [u16; 3] = [4000, 4003, 4005];

/// State that a chat carries from one request to the next.
#[derive(Debug, Default)]
struct Chat {
    /// ID and length in tokens of each segment of the conversation so far.
    segments: Vec<(u64, u32)>,
    /// Placement hint from the last response.
    hint: Option<String>,
}

/// Chats by workspace name and chat name.
type Chats = HashMap<(String, String), Rc<Mutex<Chat>>>;

/// Replays one trace through the fleet.
pub struct Driver {
    client: Client,
    trace: Trace,
    speed: f64,
    chats: RefCell<Chats>,
    /// Prompt prefixes that any engine has computed; they would all be in an unbounded
    /// cache shared by the engines.
    computed_prefixes: RefCell<HashSet<u64>>,
    tally: RefCell<Tally>,
    finished: Cell<usize>,
    run_id: u64,
}

impl Driver {
    /// Creates a driver that replays `trace` at `speed` times its recorded rate;
    /// `run_id` makes the idempotency keys and prompts of this replay unique.
    pub fn new(client: Client, trace: Trace, speed: f64, run_id: u64) -> Rc<Driver> {
        Rc::new(Driver {
            client,
            trace,
            speed,
            chats: RefCell::default(),
            computed_prefixes: RefCell::default(),
            tally: RefCell::default(),
            finished: Cell::new(0),
            run_id,
        })
    }

    /// Returns the number of finished requests.
    pub fn finished(&self) -> usize {
        self.finished.get()
    }

    /// Replays the whole trace and returns the counters.
    pub async fn replay(self: Rc<Driver>) -> Tally {
        let start = Instant::now();
        let mut requests = JoinSet::new();
        for number in 0..self.trace.events.len() {
            let offset_ms = self.trace.events[number].at_ms as f64 / self.speed;
            let send_at = start + Duration::from_micros((offset_ms * 1e3) as u64);
            time::sleep_until(send_at.into()).await;
            let driver = Rc::clone(&self);
            requests.spawn_local(async move { driver.replay_event(number).await });
        }
        while requests.join_next().await.is_some() {}
        self.tally.take()
    }

    async fn replay_event(&self, number: usize) {
        let event = &self.trace.events[number];
        let key = (event.workspace.clone(), event.chat.clone());
        let chat = Rc::clone(self.chats.borrow_mut().entry(key).or_default());
        if event.output_tokens == 0 {
            self.send_service_call(number, event).await;
        } else {
            // A chat's next turn waits until the previous one is finished.
            let mut chat = chat.lock().await;
            self.send_chat_turn(number, event, &mut chat).await;
        }
        self.finished.set(self.finished.get() + 1);
    }

    async fn send_service_call(&self, number: usize, event: &Event) {
        let body = format!("{{\"visit\":{number}}}");
        let request = self.build_request(number, event, body, None);
        let result = self.send_with_retries(event, request).await;
        self.tally.borrow_mut().record_result(event, &result, 0, 0);
    }

    async fn send_chat_turn(&self, number: usize, event: &Event, chat: &mut Chat) {
        let mut segments = chat.segments.clone();
        if segments.is_empty() {
            segments.push((output_segment(&event.workspace), SYSTEM_PROMPT_TOKENS));
        }
        let turn = format!("{}/{}/{number}/{}", event.workspace, event.chat, self.run_id);
        segments.push((output_segment(&turn), event.new_tokens));
        let ideal_tokens = self.count_ideal_tokens(&segments);
        let prompt_tokens: u32 = segments.iter().map(|it| it.1).sum();
        let generate = GenerateRequest {
            model: self.trace.header.model.clone(),
            segments: segments.clone(),
            output: event.output_tokens,
        };
        let body = serde_json::to_string(&generate).unwrap_or_default();
        let request = self.build_request(number, event, body, chat.hint.clone());
        let result = self.send_with_retries(event, request).await;
        if let FinalResult::Complete(response) = &result {
            segments.push((output_segment(&response.run_id), response.tokens));
            self.computed_prefixes.borrow_mut().extend(prefix_blocks(&segments).map(|it| it.0));
            chat.segments = segments;
            chat.hint = response.hint.clone();
        }
        self.tally.borrow_mut().record_result(event, &result, prompt_tokens, ideal_tokens);
    }

    /// Returns the number of prompt tokens that an unbounded cache shared by all
    /// engines would serve.
    fn count_ideal_tokens(&self, segments: &[(u64, u32)]) -> u32 {
        let prefixes = self.computed_prefixes.borrow();
        prefix_blocks(segments)
            .take_while(|(prefix, _)| prefixes.contains(prefix))
            .map(|it| it.1)
            .sum()
    }

    fn build_request(
        &self,
        number: usize,
        event: &Event,
        body: String,
        hint: Option<String>,
    ) -> ClientRequest {
        ClientRequest {
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

    /// Sends a request, with retries, until it has a final result.
    async fn send_with_retries(&self, event: &Event, mut request: ClientRequest) -> FinalResult {
        let mut result = FinalResult::GivenUp;
        for attempt in 0..MAX_ATTEMPTS {
            let data_centre = &event.data_centre;
            let Some(located) =
                self.client.locate(&event.workspace, &event.chat, data_centre).await
            else {
                time::sleep(DEFAULT_RETRY_DELAY).await;
                continue;
            };
            if event.keyed && request.key.is_none() {
                request.key = self.make_key(&located, &request.id, attempt);
            }
            let router = located.routers[attempt as usize % located.routers.len()];
            self.tally.borrow_mut().record_attempt(attempt);
            match self.client.attempt(router, &request).await {
                AttemptResult::Complete(response) => {
                    return self.record_completion(&request, response);
                }
                AttemptResult::Error(error) => {
                    result = FinalResult::Error(error.code);
                    if !self.handle_error(&mut request, &error).await {
                        return result;
                    }
                }
                AttemptResult::Invalid(reason) => return FinalResult::Invalid(reason),
                AttemptResult::NotConnected => {
                    self.client.invalidate(&event.workspace, &event.chat);
                    self.tally.borrow_mut().not_connected += 1;
                }
                AttemptResult::Disconnected => {
                    self.tally.borrow_mut().disconnected += 1;
                    time::sleep(DEFAULT_RETRY_DELAY).await;
                }
            }
        }
        if let Some(key) = request.key {
            self.tally.borrow_mut().record_key_outcome(key, KeyOutcome::Unknown);
        }
        result
    }

    fn make_key(&self, located: &LocateResponse, id: &str, attempt: u32) -> Option<String> {
        let prefix = located.key_prefix.as_ref()?;
        Some(format!("{prefix}.{id}-{attempt}-{:x}", self.run_id))
    }

    fn record_completion(
        &self,
        request: &ClientRequest,
        response: CompleteResponse,
    ) -> FinalResult {
        if let Some(key) = &request.key {
            self.tally.borrow_mut().record_key_outcome(key.clone(), KeyOutcome::Ran);
        }
        FinalResult::Complete(response)
    }

    /// Records an error response and waits for its retry delay; returns whether to
    /// send the request again.
    async fn handle_error(&self, request: &mut ClientRequest, error: &ErrorResponse) -> bool {
        self.tally.borrow_mut().record_error(&request.workspace, error.code);
        let delay = error.retry_after_ms.map_or(DEFAULT_RETRY_DELAY, Duration::from_millis);
        match error.outcome {
            Outcome::NotRun => {
                if let Some(key) = request.key.take() {
                    self.tally.borrow_mut().record_key_outcome(key, KeyOutcome::NotRun);
                    let id = &request.id;
                    let prefix = error.key_prefix.as_ref();
                    request.key = prefix.map(|it| format!("{it}.{id}-next-{:x}", self.run_id));
                }
            }
            Outcome::Unknown
                if RETRY_SAME_KEY_CODES.contains(&error.code) && request.key.is_some() => {}
            // A request without a key may run more than once, so it is sent again.
            Outcome::Unknown if request.key.is_none() => {}
            Outcome::Ran | Outcome::Unknown => {
                let outcome = match error.outcome {
                    Outcome::Ran => KeyOutcome::Ran,
                    _ => KeyOutcome::Unknown,
                };
                if let Some(key) = request.key.take() {
                    self.tally.borrow_mut().record_key_outcome(key, outcome);
                }
                return false;
            }
        }
        // A retry would fail again if the code is below 3000 or reports that the request
        // is quarantined (3004).
        if error.code < 3000 || error.code == 3004 {
            return false;
        }
        time::sleep(delay).await;
        true
    }
}
