//! What a gateway tells another one about a request that it hands over.

use std::str::FromStr;

use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue},
};
use mimosaledge_peer::Version;
use mimosaledge_policy::sends::Sends;

/// Time left until the request's deadline, in milliseconds.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("gateway-deadline-ms");
/// Whether the request is recorded in a retry budget (1 or 0), whether its next send has been
/// taken from one, how many endpoints it may have reached, and at how many it may have run.
const SENDS_HEADER: HeaderName = HeaderName::from_static("gateway-sends");
/// Key of the build that began the stream that the request resumes.
const BUILD_HEADER: HeaderName = HeaderName::from_static("gateway-build");

/// All headers of a request that is handed over.
pub(crate) const HEADERS: [HeaderName; 3] = [DEADLINE_HEADER, SENDS_HEADER, BUILD_HEADER];

/// The state of a request that is handed over.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Handover {
    /// Time left until the deadline, in milliseconds.
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) sends: Sends,
    /// Key of the build that began the stream, if the request resumes one.
    pub(crate) build: Option<u64>,
}

impl Handover {
    /// Adds the state to the headers of the request for a gateway of `version`.
    pub(crate) fn insert_into(self, headers: &mut HeaderMap, version: Version) {
        if let Some(deadline_ms) = self.deadline_ms {
            headers.insert(DEADLINE_HEADER, HeaderValue::from(deadline_ms));
        }
        if let Some(build) = self.build.filter(|_| version.knows_builds()) {
            headers.insert(BUILD_HEADER, HeaderValue::from(build));
        }
        let Sends { is_recorded, is_prepaid, sent, ran } = self.sends;
        let text = format!("{},{},{sent},{ran}", u8::from(is_recorded), u8::from(is_prepaid));
        match HeaderValue::from_str(&text) {
            Ok(value) => {
                headers.insert(SENDS_HEADER, value);
            }
            Err(err) => spdlog::warn!("forward: header omitted, cause={err}"),
        }
    }

    /// Removes the state from the headers of the request.
    pub(crate) fn take_from(headers: &mut HeaderMap) -> Handover {
        Handover {
            deadline_ms: take_header(headers, &DEADLINE_HEADER).and_then(|it| it.parse().ok()),
            sends: take_header(headers, &SENDS_HEADER)
                .and_then(|it| parse_sends(&it))
                .unwrap_or_default(),
            build: take_header(headers, &BUILD_HEADER).and_then(|it| it.parse().ok()),
        }
    }
}

fn take_header(headers: &mut HeaderMap, name: &HeaderName) -> Option<String> {
    Some(headers.remove(name)?.to_str().ok()?.to_owned())
}

fn parse_sends(text: &str) -> Option<Sends> {
    let mut numbers = text.split(',').map(u32::from_str);
    let mut next = || numbers.next()?.ok();
    Some(Sends { is_recorded: next()? > 0, is_prepaid: next()? > 0, sent: next()?, ran: next()? })
}
