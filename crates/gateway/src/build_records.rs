//! Keeps in the store which builds count, so that gateways that start know those that have left.

use std::{collections::HashSet, rc::Rc, time::Duration};

use mimosaledge_policy::BuildId;
use tokio::time::{sleep, timeout};

use crate::{
    cursor::{CALL_TIMEOUT, Cursor},
    error::{Error, Result},
    follow::log_unreadable,
    gateway::Gateway,
    store::{Record, Topic},
};

/// Interval between two comparisons of the records with the builds that are known.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of checks in a row that must select this gateway before it writes when the fleet starts
/// for the first time; the gateways know each other by then. Later there is mostly nothing to
/// write.
const FIRST_SELECTIONS: u32 = 4;

/// What the store holds, as of an era.
struct Recorded {
    builds: HashSet<BuildId>,
    era: u64,
}

/// Reads the records when the gateway starts, and keeps them up to date while it is one of the
/// gateways that do so.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    let mut cursor = Cursor::new(Topic::Builds);
    let mut recorded = None;
    let min_selections = if gateway.settings.first_start { FIRST_SELECTIONS } else { 1 };
    let mut selections = 0;
    if !gateway.settings.first_start {
        recorded = Some(read_until_done(&gateway, &mut cursor).await);
    }
    loop {
        sleep(CHECK_INTERVAL).await;
        if !gateway.peers.borrow().is_recorder(gateway.now()) || !gateway.is_ready() {
            recorded = None;
            selections = 0;
            continue;
        }
        selections += 1;
        if selections < min_selections {
            continue;
        }
        let known = match recorded.take().filter(|it| it.era == gateway.era()) {
            Some(known) => known,
            None => read_until_done(&gateway, &mut cursor).await,
        };
        recorded = Some(update(&gateway, &mut cursor, known).await);
    }
}

/// Reads the records until that succeeds, and remembers the builds.
async fn read_until_done(gateway: &Gateway, cursor: &mut Cursor) -> Recorded {
    loop {
        match read(gateway, cursor).await {
            Ok(recorded) => return recorded,
            Err(err) => cursor.back_off(&err).await,
        }
    }
}

async fn read(gateway: &Gateway, cursor: &mut Cursor) -> Result<Recorded> {
    cursor.next = None;
    let read = cursor.read(gateway, Duration::ZERO, CALL_TIMEOUT).await?;
    let mut builds = HashSet::new();
    for record in read.records {
        match record {
            Record::Build(id) => {
                gateway.builds.borrow_mut().remember(&id, gateway.now());
                builds.insert(id);
            }
            record => log_unreadable(Topic::Builds, record),
        }
    }
    spdlog::info!("builds: recorded={} position={}", builds.len(), read.position);
    Ok(Recorded { builds, era: read.position.era })
}

/// Writes the builds that are new, and removes those that count no longer; returns what is
/// recorded then.
async fn update(gateway: &Gateway, cursor: &mut Cursor, mut recorded: Recorded) -> Recorded {
    let now = gateway.now();
    let recent = gateway.builds.borrow().recent(now);
    let new = gateway.builds.borrow().recordable(now);
    let gone = recorded.builds.difference(&recent);
    let changed: Vec<BuildId> = new.difference(&recorded.builds).chain(gone).cloned().collect();
    for id in changed {
        let is_recent = recent.contains(&id);
        if let Err(err) = write(gateway, &id, is_recent).await {
            cursor.back_off(&err).await;
            break;
        }
        if is_recent {
            recorded.builds.insert(id);
        } else {
            recorded.builds.remove(&id);
        }
    }
    recorded
}

async fn write(gateway: &Gateway, id: &BuildId, is_recent: bool) -> Result<()> {
    let call = gateway.store.record_build(id.clone(), is_recent);
    let result = match timeout(CALL_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(Error::unreachable("timeout")),
    };
    spdlog::info!(
        "builds: service={} build={} recorded={is_recent} written={}",
        id.service,
        id.build,
        result.is_ok()
    );
    result
}
