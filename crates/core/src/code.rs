//! Result codes returned to clients, listed in `docs/CODES.md`.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether an endpoint executed the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// An endpoint executed the request to completion.
    Ran,
    /// No endpoint started the request, and none will under the same idempotency
    /// key.
    NotRun,
    /// An endpoint may have started the request.
    Unknown,
}

macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $outcome:ident, $text:literal;)*) => {
        /// A result code.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Code {
            $(#[doc = $text] $name,)*
        }

        impl Code {
            /// All codes in numeric order.
            pub const ALL: &'static [Code] = &[$(Code::$name),*];

            /// Returns the numeric code that clients receive.
            pub fn as_u16(self) -> u16 {
                match self { $(Code::$name => $number,)* }
            }

            /// Returns the HTTP status of a response with this code.
            pub fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Returns whether a request whose response has this code was executed.
            pub fn outcome(self) -> Outcome {
                match self { $(Code::$name => Outcome::$outcome,)* }
            }

            /// Returns a short description of the code.
            pub fn message(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }
        }
    };
}

codes! {
    Done = 1000, 200, Ran, "request ran and this is its answer";
    DoneKept = 1001, 200, Ran, "request ran earlier and this is its kept answer";
    DoneAnswerLost = 1002, 410, Ran, "request ran earlier and its answer is no longer kept";
    MalformedRequest = 2000, 400, NotRun, "malformed request";
    UnknownPath = 2001, 404, NotRun, "unknown path";
    UnknownWorkspace = 2002, 403, NotRun, "unknown workspace";
    UnknownClass = 2003, 400, NotRun, "unknown request class";
    BodyTooLarge = 2004, 413, NotRun, "request body too large";
    MissingKey = 2005, 428, NotRun, "idempotency key missing";
    UnusableKey = 2006, 409, NotRun, "idempotency key has no usable prefix";
    KeyReused = 2007, 422, NotRun, "idempotency key reused for another request";
    NoConfiguration = 3000, 503, NotRun, "no configuration in force";
    Draining = 3001, 503, NotRun, "router is draining";
    Overloaded = 3002, 429, NotRun, "every engine is at its load bound";
    NoEndpoint = 3003, 503, NotRun, "no live endpoint for the request";
    Quarantined = 3004, 422, NotRun, "request is quarantined because endpoints crashed running it";
    KeySealed = 3005, 409, NotRun, "idempotency key is closed and its request never ran";
    KeysFull = 3006, 503, NotRun, "idempotency key table is full";
    WitnessSilent = 3007, 503, NotRun, "witness router did not confirm the key";
    EndpointRefused = 3008, 503, NotRun, "endpoint refused the request";
    Starting = 3009, 503, NotRun, "router has just started and is not ready";
    StillRunning = 4000, 409, Unknown, "request is still running";
    OutcomeUnknown = 4001, 502, Unknown, "request may have run and its outcome is unknown";
    AnswerBroken = 4002, 502, Unknown, "answer broke off or failed its identity check";
    DeadlinePassed = 4003, 504, Unknown, "deadline passed while the request ran";
    KeyExpired = 4004, 410, Unknown, "idempotency key is too old to be judged";
    KeyStateUnknown = 4005, 503, Unknown, "router cannot judge the idempotency key now; ask another";
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.message(), self.as_u16())
    }
}
