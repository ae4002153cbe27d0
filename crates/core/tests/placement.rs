//! Tests of the placement policies.

use mimosaledge_core::{
    endpoints::EndpointId,
    placement::{ChatView, EngineView, PlacementHint, PolicyName},
};

fn engines(count: u32) -> Vec<EngineView> {
    (1..=count)
        .map(|id| EngineView { id: EndpointId(id), incarnation: 1, reported: 0, admitted: 0 })
        .collect()
}

fn first_choice(name: PolicyName, chat: &ChatView, engines: &[EngineView]) -> EndpointId {
    name.build(1, 1.25).rank(chat, engines)[0]
}

fn chat(key: u64) -> ChatView {
    ChatView { key, hint: None }
}

macro_rules! ranks_every_engine {
    ($($name:ident: $policy:ident;)*) => {$(
        #[test]
        fn $name() {
            let mut policy = PolicyName::$policy.build(1, 1.25);
            let mut ranked = policy.rank(&chat(1), &engines(9));
            ranked.sort();
            assert_eq!(ranked, (1..=9).map(EndpointId).collect::<Vec<_>>());
            assert!(policy.rank(&chat(1), &[]).is_empty());
        }
    )*};
}

ranks_every_engine! {
    affine_ranks_every_engine: Affine;
    random_ranks_every_engine: Random;
    round_robin_ranks_every_engine: RoundRobin;
    least_load_ranks_every_engine: LeastLoad;
    rendezvous_ranks_every_engine: Rendezvous;
    bounded_report_ranks_every_engine: BoundedReport;
}

#[test]
fn affine_spreads_chats_evenly() {
    let engines = engines(9);
    let mut counts = [0; 10];
    for key in 0..9_000 {
        counts[first_choice(PolicyName::Affine, &chat(key), &engines).0 as usize] += 1;
    }
    assert!(counts[1..].iter().all(|&it| (850..1_150).contains(&it)), "{counts:?}");
}

#[test]
fn removed_engine_moves_only_its_own_chats() {
    let all = engines(9);
    for key in 0..1_000 {
        let before = first_choice(PolicyName::Affine, &chat(key), &all);
        let after = first_choice(PolicyName::Affine, &chat(key), &all[..8]);
        assert!(before == after || before == EndpointId(9));
    }
}

#[test]
fn hinted_engine_ranks_first() {
    let hint = PlacementHint { engine: EndpointId(5), incarnation: 1 };
    for key in 0..100 {
        let chat = ChatView { key, hint: Some(hint) };
        assert_eq!(first_choice(PolicyName::Affine, &chat, &engines(9)), EndpointId(5));
    }
}

#[test]
fn hint_to_a_restarted_or_unknown_engine_is_ignored() {
    for (engine, incarnation) in [(5, 2), (77, 1)] {
        let hint = PlacementHint { engine: EndpointId(engine), incarnation };
        let hinted = ChatView { key: 3, hint: Some(hint) };
        let expected = first_choice(PolicyName::Affine, &chat(3), &engines(9));
        assert_eq!(first_choice(PolicyName::Affine, &hinted, &engines(9)), expected);
    }
}

#[test]
fn hint_text_round_trips() {
    let hint = PlacementHint { engine: EndpointId(5), incarnation: 0xabc };
    assert_eq!(hint.to_string().parse(), Ok(hint));
    assert!("zzz".parse::<PlacementHint>().is_err());
}

#[test]
fn bounded_report_does_not_choose_an_overloaded_engine() {
    let mut engines = engines(3);
    let preferred = first_choice(PolicyName::Rendezvous, &chat(1), &engines);
    for engine in &mut engines {
        engine.reported = if engine.id == preferred { 10 } else { 1 };
    }
    assert_ne!(first_choice(PolicyName::BoundedReport, &chat(1), &engines), preferred);
}
