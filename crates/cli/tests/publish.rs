//! Accepted configurations never revert and reach every router.

#[path = "../../router/tests/support/mod.rs"]
mod support;

use std::{net::SocketAddr, time::Duration};

use mimosaledge_cli::{
    publish::{Published, Publisher, Wanted},
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

/// The letter's bound on a change being in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(7);

fn ops(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.routers.iter().map(|it| it.ops).collect()
}

fn publisher(fleet: &Fleet, limit: Duration) -> Publisher {
    Publisher::new(fleet.platform.addr, ops(fleet), limit)
}

/// Waits until every router has head `offset` in force.
async fn in_force(fleet: &Fleet, offset: u64) {
    for router in &fleet.routers {
        fleet.wait_until(router.ops, |it| it.in_force == Some(offset)).await;
    }
}

async fn set_log(fleet: &Fleet, mode: Mode) {
    fleet.control_platform(&Control { log: Some(mode), ..Control::default() }).await;
}

async fn keep_records(fleet: &Fleet, count: usize) {
    fleet.control_platform(&Control { keep_records: Some(count), ..Control::default() }).await;
}

/// Waits until every router has read the whole stream.
async fn caught_up(fleet: &Fleet) {
    let page: mimosaledge_net::Page = support::get(fleet.platform.addr, "/log/config?from=0").await;
    for ops in ops(fleet) {
        while head_replica(ops).await.next < page.next {
            sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Kills every router and starts one that knows nobody.
async fn replace_all_by_one(fleet: &mut Fleet) {
    let settings = fleet.routers[0].settings.clone();
    for router in &mut fleet.routers {
        router.process.kill().await;
    }
    fleet.routers.clear();
    let settings = mimosaledge_router::Settings { seeds: Vec::new(), ..settings };
    fleet.start_router(settings).await;
}

/// Fills the stream with records that change nothing.
async fn fill_log(fleet: &Fleet, count: u64) {
    for n in 0..count {
        let change = Change::Switch { parent: u64::MAX, preset: PresetName::Peak };
        assert!(fleet.append(&Record { id: format!("filler-{n}"), change }).await);
    }
}

#[test]
fn of_two_racing_operators_exactly_one_wins_every_round() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let publisher = publisher(&fleet, IN_FORCE);
        for round in 0..100 {
            let base: HeadReplica = routers::head(&ops(&fleet)).await.unwrap();
            let (a, b) = tokio::join!(
                publisher.change_from(base.clone(), Wanted::Preset(PresetName::Peak), true),
                publisher.change_from(base, Wanted::Preset(PresetName::Maintenance), true),
            );
            let (a, b) = (a.unwrap(), b.unwrap());
            let (won, lost, preset) = match (a, b) {
                (Published::Accepted { offset, .. }, lost) => (offset, lost, "peak"),
                (lost, Published::Accepted { offset, .. }) => (offset, lost, "maintenance"),
                neither => panic!("round {round}: {neither:?}"),
            };
            assert_eq!(lost, Published::Conflict { head: Some(won) }, "round {round}");
            for ops in ops(&fleet) {
                let status = status(ops).await.unwrap();
                assert_eq!((status.in_force, status.preset.as_deref()), (Some(won), Some(preset)));
            }
        }
    });
}

#[test]
fn append_whose_answer_is_lost_is_accepted_once() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let lose = Control { lose_appends: Some(1), ..Control::default() };
        fleet.control_platform(&lose).await;
        let publisher = publisher(&fleet, IN_FORCE);
        let published = publisher.change(Wanted::Preset(PresetName::Peak), true).await.unwrap();
        let Published::Accepted { offset, .. } = published else { panic!("{published:?}") };
        // The operator who appends the same change again does not undo or redo it.
        let again = Record {
            id: "again".to_owned(),
            change: Change::Switch { parent: 0, preset: PresetName::Peak },
        };
        assert!(fleet.append(&again).await);
        caught_up(&fleet).await;
        for ops in ops(&fleet) {
            assert_eq!(head_replica(ops).await.head_offset(), Some(offset));
        }
    });
}

#[test]
fn change_is_not_called_accepted_while_the_log_is_down() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        set_log(&fleet, Mode::Down).await;
        let publisher = publisher(&fleet, Duration::from_secs(1));
        let published = publisher.change(Wanted::Preset(PresetName::Peak), true).await.unwrap();
        assert_eq!(published, Published::NotAppended);
        assert_eq!(status(fleet.routers[0].ops).await.unwrap().preset.as_deref(), Some("ordinary"));
    });
}

#[test]
fn change_is_in_force_everywhere_in_time() {
    run(async {
        let fleet = Fleet::start(FleetOptions { routers: 8, ..FleetOptions::default() }).await;
        let publisher = publisher(&fleet, IN_FORCE);
        for n in 0..3 {
            let text = CONFIG.replace("share: 1", &format!("share: {}", n + 2));
            let published = publisher.change(Wanted::Configuration(text), true).await.unwrap();
            let Published::Accepted { in_force, routers, .. } = published else {
                panic!("{published:?}");
            };
            assert_eq!((in_force, routers), (8, 8));
        }
    });
}

#[test]
fn broken_body_in_the_log_does_not_wedge_routers() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let change = Change::Publish { parent: Some(0), text: "not a configuration".into() };
        assert!(fleet.append(&Record { id: "broken".to_owned(), change }).await);
        for router in &fleet.routers {
            fleet.wait_until(router.ops, |it| it.head == Some(1) && it.fault.is_some()).await;
            assert_eq!(status(router.ops).await.unwrap().in_force, Some(0));
        }
        assert_eq!(fleet.send_chat(0, "c", 1).await.unwrap().code, 1000);
        let wanted = Wanted::Configuration(CONFIG.to_owned());
        let published = publisher(&fleet, IN_FORCE).change(wanted, true).await.unwrap();
        assert!(matches!(published, Published::Accepted { offset: 2, .. }), "{published:?}");
        assert_eq!(status(fleet.routers[0].ops).await.unwrap().fault, None);
    });
}

#[test]
fn router_that_starts_while_the_platform_is_away_learns_from_a_peer() {
    run(async {
        let mut fleet = Fleet::start(FleetOptions::default()).await;
        fleet.switch(0, PresetName::Peak).await;
        in_force(&fleet, 1).await;
        let away = Some(Mode::Hang);
        fleet.control_platform(&Control { log: away, list: away, ..Control::default() }).await;
        let settings = fleet.routers[0].settings.clone();
        let mut settings = mimosaledge_router::Settings { name: "late".into(), ..settings };
        settings.seeds = fleet.routers.iter().map(|it| it.peer).collect();
        fleet.start_router(settings).await;
        let late = fleet.routers[3].ops;
        fleet.wait_until(late, |it| it.preset.as_deref() == Some("peak")).await;
        // The VM list hangs as well; the endpoints come from a peer, too.
        fleet
            .wait_until(late, |it| it.endpoints.iter().filter(|it| it.health == "up").count() == 5)
            .await;
        assert_eq!(fleet.send_chat(3, "c", 1).await.unwrap().code, 1000);
    });
}

#[test]
fn head_survives_all_routers_being_replaced_one_by_one_while_the_log_is_away() {
    run(async {
        let mut fleet = Fleet::start(FleetOptions::default()).await;
        fleet.switch(0, PresetName::Peak).await;
        in_force(&fleet, 1).await;
        set_log(&fleet, Mode::Down).await;
        for at in 0..3 {
            let mut settings = fleet.routers[at].settings.clone();
            settings.name = format!("replacement-{at}").into();
            settings.seeds = fleet.routers[at + 1..].iter().map(|it| it.peer).collect();
            fleet.start_router(settings).await;
            let started = fleet.routers.last().unwrap().ops;
            fleet.wait_until(started, |it| it.in_force == Some(1) && it.state == "serving").await;
            fleet.routers[at].process.kill().await;
        }
        assert_eq!(fleet.send_chat(5, "c", 1).await.unwrap().code, 1000);
    });
}

#[test]
fn head_survives_all_routers_being_replaced_at_once_while_the_log_is_up() {
    run(async {
        let mut fleet = Fleet::start(FleetOptions::default()).await;
        fleet.switch(0, PresetName::Peak).await;
        in_force(&fleet, 1).await;
        let settings: Vec<_> = fleet.routers.iter().map(|it| it.settings.clone()).collect();
        for router in &mut fleet.routers {
            router.process.kill().await;
        }
        fleet.routers.clear();
        for settings in settings {
            fleet.start_router(settings).await;
        }
        in_force(&fleet, 1).await;
    });
}

#[test]
fn head_survives_the_retention_that_passes_its_record() {
    run(async {
        let mut fleet =
            Fleet::start(FleetOptions { limits: ", snapshot_every: 5", ..FleetOptions::default() })
                .await;
        fleet.switch(0, PresetName::Peak).await;
        in_force(&fleet, 1).await;
        keep_records(&fleet, 20).await;
        for _ in 0..10 {
            fill_log(&fleet, 5).await;
            caught_up(&fleet).await;
        }
        replace_all_by_one(&mut fleet).await;
        in_force(&fleet, 1).await;
        assert_eq!(status(fleet.routers[0].ops).await.unwrap().preset.as_deref(), Some("peak"));
    });
}

#[test]
fn head_survives_a_log_that_came_back_empty() {
    run(async {
        let mut fleet = Fleet::start(FleetOptions::default()).await;
        fleet.switch(0, PresetName::Peak).await;
        in_force(&fleet, 1).await;
        // The outage outlasts the retention: the log forgets everything.
        set_log(&fleet, Mode::Down).await;
        keep_records(&fleet, 0).await;
        keep_records(&fleet, 100).await;
        set_log(&fleet, Mode::Up).await;
        wait_for_records(&fleet).await;
        replace_all_by_one(&mut fleet).await;
        in_force(&fleet, 1).await;
    });
}

/// Waits until some router has written to the empty log again.
async fn wait_for_records(fleet: &Fleet) {
    let started = Instant::now();
    loop {
        let page: mimosaledge_net::Page =
            support::get(fleet.platform.addr, "/log/config?from=0").await;
        if !page.records.is_empty() {
            return;
        }
        assert!(started.elapsed() < IN_FORCE, "nobody wrote the head again");
        sleep(Duration::from_millis(20)).await;
    }
}

#[test]
fn router_that_cannot_reach_the_log_follows_its_peers() {
    run(async {
        let mut fleet = Fleet::start(FleetOptions::default()).await;
        let mut settings = fleet.routers[0].settings.clone();
        settings.name = "cut-off".into();
        settings.seeds = fleet.routers.iter().map(|it| it.peer).collect();
        // Nothing listens on the discard port.
        settings.platform = ([127, 0, 0, 1], 9).into();
        fleet.start_router(settings).await;
        in_force(&fleet, 0).await;
        let publisher = publisher(&fleet, IN_FORCE);
        let published = publisher.change(Wanted::Preset(PresetName::Peak), true).await.unwrap();
        let Published::Accepted { in_force, .. } = published else { panic!("{published:?}") };
        assert_eq!(in_force, 4);
    });
}
