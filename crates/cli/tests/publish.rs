//! Publishing against a fleet of routers: an accepted configuration reaches
//! every router and is never reverted.

#[path = "../../router/tests/support/mod.rs"]
mod support;

use std::{net::SocketAddr, time::Duration};

use mimosaledge_cli::{
    publish::{PublishOutcome, Publisher, RequestedChange},
    routers,
};
use mimosaledge_core::{
    config::PresetName,
    head::HeadReplica,
    record::{Change, Record},
};
use mimosaledge_standin::platform::{Control, Mode};
use support::{CONFIG, Fleet, FleetOptions, head_replica, run, status};
use tokio::time::{Instant, sleep};

/// Required time for a change to be in force on every router.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(7);

fn operator_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.routers.iter().map(|it| it.ops).collect()
}

fn publisher(fleet: &Fleet, timeout: Duration) -> Publisher {
    Publisher::new(fleet.platform.addr, operator_addresses(fleet), timeout)
}

/// Waits until every router has the record at `offset` in force.
async fn wait_until_in_force(fleet: &Fleet, offset: u64) {
    for router in &fleet.routers {
        fleet.wait_until(router.ops, |it| it.in_force == Some(offset)).await;
    }
}

async fn set_log_mode(fleet: &Fleet, mode: Mode) {
    fleet.control_platform(&Control { log: Some(mode), ..Control::default() }).await;
}

async fn set_retention(fleet: &Fleet, count: usize) {
    fleet.control_platform(&Control { keep_records: Some(count), ..Control::default() }).await;
}

/// Waits until every router has read the stream to its end.
async fn wait_until_caught_up(fleet: &Fleet) {
    let page: mimosaledge_net::Page = support::get(fleet.platform.addr, "/log/config?from=0").await;
    for ops in operator_addresses(fleet) {
        while head_replica(ops).await.next < page.next {
            sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Kills every router and starts one without seeds, so that it can restore its
/// state from the log only.
async fn replace_all_with_one(fleet: &mut Fleet) {
    let settings = fleet.routers[0].settings.clone();
    for router in &mut fleet.routers {
        router.process.kill().await;
    }
    fleet.routers.clear();
    let settings = mimosaledge_router::Settings { seeds: Vec::new(), ..settings };
    fleet.start_router(settings).await;
}

/// Appends `count` records that routers reject because their parent does not
/// exist.
async fn append_rejected_records(fleet: &Fleet, count: u64) {
    for n in 0..count {
        let change = Change::Switch { parent: u64::MAX, preset: PresetName::Peak };
        assert!(fleet.append(&Record { id: format!("filler-{n}"), change }).await);
    }
}

#[test]
fn exactly_one_of_two_concurrent_changes_is_accepted() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let publisher = publisher(&fleet, PROPAGATION_LIMIT);
        for round in 0..100 {
            let base: HeadReplica = routers::fetch_head(&operator_addresses(&fleet)).await.unwrap();
            let (a, b) = tokio::join!(
                publisher.publish_from(
                    base.clone(),
                    RequestedChange::Preset(PresetName::Peak),
                    true
                ),
                publisher.publish_from(
                    base,
                    RequestedChange::Preset(PresetName::Maintenance),
                    true
                ),
            );
            let (a, b) = (a.unwrap(), b.unwrap());
            let (accepted, loser, preset) = match (a, b) {
                (PublishOutcome::Accepted { offset, .. }, loser) => (offset, loser, "peak"),
                (loser, PublishOutcome::Accepted { offset, .. }) => (offset, loser, "maintenance"),
                neither => panic!("round {round}: {neither:?}"),
            };
            assert_eq!(loser, PublishOutcome::Conflict { head: Some(accepted) }, "round {round}");
            for ops in operator_addresses(&fleet) {
                let status = status(ops).await.unwrap();
                assert_eq!(
                    (status.in_force, status.preset.as_deref()),
                    (Some(accepted), Some(preset))
                );
            }
        }
    });
}

#[test]
fn append_with_a_lost_response_is_accepted_once() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let lose_response = Control { lose_appends: Some(1), ..Control::default() };
        fleet.control_platform(&lose_response).await;
        let publisher = publisher(&fleet, PROPAGATION_LIMIT);
        let outcome =
            publisher.publish(RequestedChange::Preset(PresetName::Peak), true).await.unwrap();
        let PublishOutcome::Accepted { offset, .. } = outcome else { panic!("{outcome:?}") };
        // Appending the same change again has no effect, since its parent is no
        // longer the head.
        let duplicate = Record {
            id: "again".to_owned(),
            change: Change::Switch { parent: 0, preset: PresetName::Peak },
        };
        assert!(fleet.append(&duplicate).await);
        wait_until_caught_up(&fleet).await;
        for ops in operator_addresses(&fleet) {
            assert_eq!(head_replica(ops).await.head_offset(), Some(offset));
        }
    });
}

#[test]
fn change_is_not_accepted_while_the_log_is_down() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        set_log_mode(&fleet, Mode::Down).await;
        let publisher = publisher(&fleet, Duration::from_secs(1));
        let outcome =
            publisher.publish(RequestedChange::Preset(PresetName::Peak), true).await.unwrap();
        assert_eq!(outcome, PublishOutcome::NotAppended);
        assert_eq!(status(fleet.routers[0].ops).await.unwrap().preset.as_deref(), Some("ordinary"));
    });
}

#[test]
fn change_is_in_force_on_every_router_in_time() {
    run(async {
        let fleet = Fleet::start(FleetOptions { routers: 8, ..FleetOptions::default() }).await;
        let publisher = publisher(&fleet, PROPAGATION_LIMIT);
        for n in 0..3 {
            let text = CONFIG.replace("share: 1", &format!("share: {}", n + 2));
            let outcome =
                publisher.publish(RequestedChange::Configuration(text), true).await.unwrap();
            let PublishOutcome::Accepted { in_force, routers, .. } = outcome else {
                panic!("{outcome:?}");
            };
            assert_eq!((in_force, routers), (8, 8));
        }
    });
}

#[test]
fn invalid_configuration_in_the_log_does_not_block_later_ones() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let change = Change::Publish { parent: Some(0), text: "not a configuration".into() };
        assert!(fleet.append(&Record { id: "broken".to_owned(), change }).await);
        for router in &fleet.routers {
            fleet.wait_until(router.ops, |it| it.head == Some(1) && it.fault.is_some()).await;
            assert_eq!(status(router.ops).await.unwrap().in_force, Some(0));
        }
        assert_eq!(fleet.send_chat(0, "c", 1).await.unwrap().code, 1000);
        let change = RequestedChange::Configuration(CONFIG.to_owned());
        let outcome = publisher(&fleet, PROPAGATION_LIMIT).publish(change, true).await.unwrap();
        assert!(matches!(outcome, PublishOutcome::Accepted { offset: 2, .. }), "{outcome:?}");
        assert_eq!(status(fleet.routers[0].ops).await.unwrap().fault, None);
    });
}

#[test]
fn router_started_during_a_platform_outage_bootstraps_from_a_peer() {
    run(async {
        let mut fleet = Fleet::start(FleetOptions::default()).await;
        fleet.switch(0, PresetName::Peak).await;
        wait_until_in_force(&fleet, 1).await;
        let hang = Some(Mode::Hang);
        fleet.control_platform(&Control { log: hang, list: hang, ..Control::default() }).await;
        let settings = fleet.routers[0].settings.clone();
        let mut settings = mimosaledge_router::Settings { name: "late".into(), ..settings };
        settings.seeds = fleet.routers.iter().map(|it| it.peer).collect();
        fleet.start_router(settings).await;
        let late = fleet.routers[3].ops;
        fleet.wait_until(late, |it| it.preset.as_deref() == Some("peak")).await;
        // The VM list hangs as well, so the endpoints must come from a peer.
        fleet
            .wait_until(late, |it| it.endpoints.iter().filter(|it| it.health == "up").count() == 5)
            .await;
        assert_eq!(fleet.send_chat(3, "c", 1).await.unwrap().code, 1000);
    });
}

#[test]
fn head_survives_rolling_replacement_of_routers_during_a_log_outage() {
    run(async {
        let mut fleet = Fleet::start(FleetOptions::default()).await;
        fleet.switch(0, PresetName::Peak).await;
        wait_until_in_force(&fleet, 1).await;
        set_log_mode(&fleet, Mode::Down).await;
        for index in 0..3 {
            let mut settings = fleet.routers[index].settings.clone();
            settings.name = format!("replacement-{index}").into();
            settings.seeds = fleet.routers[index + 1..].iter().map(|it| it.peer).collect();
            fleet.start_router(settings).await;
            let replacement = fleet.routers.last().unwrap().ops;
            fleet
                .wait_until(replacement, |it| it.in_force == Some(1) && it.state == "serving")
                .await;
            fleet.routers[index].process.kill().await;
        }
        assert_eq!(fleet.send_chat(5, "c", 1).await.unwrap().code, 1000);
    });
}

#[test]
fn head_survives_simultaneous_restart_of_all_routers() {
    run(async {
        let mut fleet = Fleet::start(FleetOptions::default()).await;
        fleet.switch(0, PresetName::Peak).await;
        wait_until_in_force(&fleet, 1).await;
        let settings: Vec<_> = fleet.routers.iter().map(|it| it.settings.clone()).collect();
        for router in &mut fleet.routers {
            router.process.kill().await;
        }
        fleet.routers.clear();
        for settings in settings {
            fleet.start_router(settings).await;
        }
        wait_until_in_force(&fleet, 1).await;
    });
}

#[test]
fn head_survives_expiry_of_its_record_from_the_log() {
    run(async {
        let mut fleet =
            Fleet::start(FleetOptions { limits: ", snapshot_every: 5", ..FleetOptions::default() })
                .await;
        fleet.switch(0, PresetName::Peak).await;
        wait_until_in_force(&fleet, 1).await;
        set_retention(&fleet, 20).await;
        for _ in 0..10 {
            append_rejected_records(&fleet, 5).await;
            wait_until_caught_up(&fleet).await;
        }
        replace_all_with_one(&mut fleet).await;
        wait_until_in_force(&fleet, 1).await;
        assert_eq!(status(fleet.routers[0].ops).await.unwrap().preset.as_deref(), Some("peak"));
    });
}

#[test]
fn head_survives_a_log_that_lost_all_records() {
    run(async {
        let mut fleet = Fleet::start(FleetOptions::default()).await;
        fleet.switch(0, PresetName::Peak).await;
        wait_until_in_force(&fleet, 1).await;
        // The log is down for longer than its retention and drops every record.
        set_log_mode(&fleet, Mode::Down).await;
        set_retention(&fleet, 0).await;
        set_retention(&fleet, 100).await;
        set_log_mode(&fleet, Mode::Up).await;
        wait_for_records(&fleet).await;
        replace_all_with_one(&mut fleet).await;
        wait_until_in_force(&fleet, 1).await;
    });
}

/// Waits until a router has written a record to the empty log.
async fn wait_for_records(fleet: &Fleet) {
    let started = Instant::now();
    loop {
        let page: mimosaledge_net::Page =
            support::get(fleet.platform.addr, "/log/config?from=0").await;
        if !page.records.is_empty() {
            return;
        }
        assert!(started.elapsed() < PROPAGATION_LIMIT, "no router wrote a snapshot of the head");
        sleep(Duration::from_millis(20)).await;
    }
}

#[test]
fn router_without_access_to_the_log_follows_its_peers() {
    run(async {
        let mut fleet = Fleet::start(FleetOptions::default()).await;
        let mut settings = fleet.routers[0].settings.clone();
        settings.name = "cut-off".into();
        settings.seeds = fleet.routers.iter().map(|it| it.peer).collect();
        // Nothing listens on the discard port.
        settings.platform = ([127, 0, 0, 1], 9).into();
        fleet.start_router(settings).await;
        wait_until_in_force(&fleet, 0).await;
        let publisher = publisher(&fleet, PROPAGATION_LIMIT);
        let outcome =
            publisher.publish(RequestedChange::Preset(PresetName::Peak), true).await.unwrap();
        let PublishOutcome::Accepted { in_force, .. } = outcome else { panic!("{outcome:?}") };
        assert_eq!(in_force, 4);
    });
}
