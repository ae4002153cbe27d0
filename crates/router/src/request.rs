//! Parsing and validation of client requests.

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use hyper::{HeaderMap, Request, body::Incoming};
use mimosaledge_core::{
    Code, Millis, Name,
    config::{Class, Target},
    hash::{hash32, hash64},
    head::ActiveConfig,
    placement::PlacementHint,
};
use mimosaledge_net::server::read_body;
use serde::Deserialize;

use crate::node::{Node, preset};

/// Maximum length of a name or identifier in a request header, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// A client request after validation.
#[derive(Debug, Clone)]
pub(crate) struct ClientRequest {
    /// Identifier given by the client.
    pub(crate) id: Name,
    /// Identifier sent to endpoints; unique in the fleet.
    pub(crate) run_id: Name,
    /// Name of the workspace.
    pub(crate) workspace: Name,
    /// The workspace's fair-share weight.
    pub(crate) share: f64,
    /// Name of the chat.
    pub(crate) chat: Name,
    /// Name of the request class.
    pub(crate) class_name: Name,
    /// The request class.
    pub(crate) class: Class,
    /// Name of the model; empty for services.
    pub(crate) model: Name,
    /// The idempotency key as received, not yet parsed.
    pub(crate) key: Option<Name>,
    /// The engine that last ran the chat, according to the client.
    pub(crate) hint: Option<PlacementHint>,
    /// Whether another router forwarded the request.
    pub(crate) forwarded: bool,
    /// Hash of the workspace and the body; copies of a request have the same one.
    pub(crate) fingerprint: u64,
    /// The request body.
    pub(crate) body: Bytes,
    /// The configuration that was active when the request arrived.
    pub(crate) active: ActiveConfig,
    /// Time at which the request arrived.
    pub(crate) arrived: Millis,
}

#[derive(Deserialize)]
struct ModelField {
    #[serde(default)]
    model: Option<Name>,
}

impl ClientRequest {
    /// Reads and validates a request.
    ///
    /// # Errors
    ///
    /// Returns the result code of the rejection.
    pub(crate) async fn read(
        node: &Rc<Node>,
        http_request: Request<Incoming>,
    ) -> Result<ClientRequest, Code> {
        let arrived = node.now();
        let active = node.active().ok_or(Code::NoConfiguration)?;
        let (parts, body) = http_request.into_parts();
        let headers = &parts.headers;
        let workspace = parse_name(headers, "x-workspace")?.ok_or(Code::UnknownWorkspace)?;
        let share = active.config.workspaces.get(&workspace).ok_or(Code::UnknownWorkspace)?.share;
        let class_name = parse_name(headers, "x-class")?.ok_or(Code::UnknownClass)?;
        let class = active.config.classes.get(&class_name).ok_or(Code::UnknownClass)?.clone();
        let id = parse_name(headers, "x-request-id")?.unwrap_or_else(|| "unnamed".into());
        let chat = parse_name(headers, "x-chat")?.unwrap_or_else(|| Arc::clone(&id));
        let key = parse_key(headers)?;
        if !class.idempotent && key.is_none() {
            return Err(Code::MissingKey);
        }
        let forwarded = headers.contains_key("x-forwarded-by");
        // The hint only improves placement, so a malformed one is ignored.
        let hint =
            parse_name(headers, "x-place-hint").ok().flatten().and_then(|it| it.parse().ok());
        let limit = preset(&active).body_limit;
        let body = read_body(body, limit).await.map_err(|err| match err.kind() {
            std::io::ErrorKind::InvalidData => Code::BodyTooLarge,
            _ => Code::MalformedRequest,
        })?;
        let model = match class.target {
            Target::Engine => parse_model(&active, &body)?,
            Target::Service => "".into(),
        };
        let run_id = format!("{:x}.{:x}.{id}", node.own.id, node.next_serial()).into();
        let fingerprint = fingerprint(&workspace, &body);
        Ok(ClientRequest {
            id,
            run_id,
            workspace,
            share,
            chat,
            class_name,
            class,
            model,
            key,
            hint,
            forwarded,
            fingerprint,
            body,
            active,
            arrived,
        })
    }

    /// Returns the hash of the chat, by which requests are placed.
    pub(crate) fn chat_hash(&self) -> u64 {
        chat_hash(&self.workspace, &self.chat)
    }

    /// Returns the hash of the workspace's name.
    pub(crate) fn workspace_hash(&self) -> u32 {
        hash32(self.workspace.as_bytes())
    }

    /// Returns the time until the class's deadline, in milliseconds.
    pub(crate) fn time_left(&self, now: Millis) -> u64 {
        self.class.deadline_ms.saturating_sub(now.since(self.arrived))
    }
}

/// Hashes the workspace and name of a chat.
pub(crate) fn chat_hash(workspace: &str, chat: &str) -> u64 {
    hash64(format!("{workspace}\0{chat}").as_bytes())
}

fn fingerprint(workspace: &str, body: &[u8]) -> u64 {
    hash64(&[workspace.as_bytes(), b"\0", body].concat())
}

fn parse_model(active: &ActiveConfig, body: &[u8]) -> Result<Name, Code> {
    let parsed: ModelField = serde_json::from_slice(body).map_err(|_| Code::MalformedRequest)?;
    let model = parsed.model.ok_or(Code::MalformedRequest)?;
    if active.config.models.contains_key(&model) { Ok(model) } else { Err(Code::NoEndpoint) }
}

fn parse_name(headers: &HeaderMap, header: &str) -> Result<Option<Name>, Code> {
    let Some(value) = headers.get(header) else { return Ok(None) };
    let text = value.to_str().map_err(|_| Code::MalformedRequest)?;
    let is_allowed = |c: char| c.is_ascii_graphic() && c != '"' && c != '\\';
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(is_allowed) {
        return Err(Code::MalformedRequest);
    }
    Ok(Some(text.into()))
}

fn parse_key(headers: &HeaderMap) -> Result<Option<Name>, Code> {
    let Some(value) = headers.get("idempotency-key") else { return Ok(None) };
    let text = value.to_str().map_err(|_| Code::UnusableKey)?;
    Ok(Some(text.into()))
}
