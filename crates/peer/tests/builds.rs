//! Messages between gateways of different builds: recorded bytes of earlier builds are
//! understood, and what this build sends is what they read.

mod recorded;
mod samples;

use std::net::Ipv4Addr;

use mimosaledge_core::{Millis, hash::hash32};
use mimosaledge_peer::{
    Datagram, Error, EvacuationSummary, Heartbeat, HeartbeatExtension, Message, PermitRequest,
    Refusal, Rejections, RequestUsage, ResponseTimeSample, ServiceUsage, SlownessSample,
    SuspectReport, SyncRequest, SyncResponse, Version, WarmupSample, datagram,
    sync::{self, SyncMessage},
};
use mimosaledge_policy::{
    ConfigExtension, Homes, Position, SlowStart, crashing_parts::CrashSuspect,
    membership::FailureReport, response_times::ResponseSample, slowness::Slowness,
    stream_origins::BuildOrigins,
};
use proptest::prelude::*;
use recorded::{OLD_HEARTBEAT, RECORDED};
use serde::de::DeserializeOwned;

/// Size of the footer: version and checksum.
const FOOTER_BYTES: usize = 5;

fn bytes_of(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.chars().map(|it| it.to_digit(16).unwrap() as u8).collect();
    digits.chunks(2).map(|it| it[0] << 4 | it[1]).collect()
}

fn recorded(name: &str) -> Vec<u8> {
    bytes_of(RECORDED.iter().find(|it| it.0 == name).unwrap().1)
}

fn encode(message: &Message, version: Version) -> Vec<u8> {
    datagram::encode(message, version).unwrap().unwrap()
}

fn heartbeat_of(message: &Message) -> &Heartbeat {
    match message {
        Message::Heartbeat(heartbeat) => heartbeat,
        _ => panic!("no heartbeat: {message:?}"),
    }
}

/// Decodes as builds before the footer do, which ignore bytes after the value.
fn decode_as_before<T: DeserializeOwned>(bytes: &[u8]) -> T {
    postcard::from_bytes(bytes).unwrap()
}

/// Appends a footer with `version` to `bytes`.
fn with_footer(mut bytes: Vec<u8>, version: u8) -> Vec<u8> {
    bytes.push(version);
    let checksum = hash32(&bytes);
    bytes.extend(checksum.to_le_bytes());
    bytes
}

fn label(err: Result<Datagram, Error>) -> &'static str {
    err.unwrap_err().label()
}

/// Returns the message as a gateway receives it; what is not sent is lost.
fn as_received(message: &Message) -> Message {
    decode_as_before(&postcard::to_stdvec(message).unwrap())
}

#[test]
fn recorded_datagrams_are_understood() {
    for (name, message) in samples::messages() {
        let received = datagram::decode(&recorded(name), None).unwrap();
        assert_eq!(received.message, as_received(&message), "{name}");
        assert_eq!(received.version, Version::BEFORE_FOOTER, "{name}");
    }
}

#[test]
fn layout_of_messages_is_that_of_the_recorded_build() {
    for (name, message) in samples::messages() {
        for version in [Version::BEFORE_FOOTER, Version::CURRENT] {
            let sent = encode(&message, version);
            let body = &sent[..sent.len() - FOOTER_BYTES];
            assert_eq!(body, recorded(name), "{name}: earlier builds read another layout");
        }
        let read: Message = decode_as_before(&encode(&message, Version::CURRENT));
        assert_eq!(read, as_received(&message), "{name}");
    }
}

#[test]
fn heartbeat_of_a_build_before_permits_is_understood() {
    let received = datagram::decode(&bytes_of(OLD_HEARTBEAT), None).unwrap();
    assert_eq!(received.version, Version::BEFORE_PERMITS);
    let (_, sample) = samples::messages().remove(0);
    let expected = Heartbeat { limits: Vec::new(), ..heartbeat_of(&sample).clone() };
    assert_eq!(heartbeat_of(&received.message), &expected);
}

#[test]
fn heartbeat_for_a_build_before_permits_has_its_layout() {
    let (_, sample) = samples::messages().remove(0);
    assert_eq!(encode(&sample, Version::BEFORE_PERMITS), bytes_of(OLD_HEARTBEAT));
}

#[test]
fn messages_on_permits_are_not_sent_to_a_build_before_them() {
    for (name, message) in samples::messages() {
        let encoded = datagram::encode(&message, Version::BEFORE_PERMITS).unwrap();
        let is_known = !name.starts_with("permit_") && name != "limits";
        assert_eq!(encoded.is_some(), is_known, "{name}");
    }
}

#[test]
fn denial_of_an_origin_is_sent_only_to_builds_that_know_it() {
    let denial = Message::OriginUnknown(u64::MAX);
    assert_eq!(datagram::encode(&denial, Version::REACH).unwrap(), None);
    let received = datagram::decode(&encode(&denial, Version::CURRENT), None).unwrap();
    assert_eq!(received.message, denial);
}

#[test]
fn messages_of_version_5_are_sent_only_to_builds_that_know_them() {
    let suspect = CrashSuspect { part: 1, depth: 2, crash: 3 };
    let refusal = Refusal { key: 4, retry_ms: 5 };
    for message in [
        Message::StreamOrigins(vec![BuildOrigins { build: 7, attempts: vec![8, 9] }]),
        Message::WaitingSuspects(vec![SuspectReport { suspect, age_ms: 6 }]),
        Message::Refusals { requests: vec![refusal], parts: vec![refusal] },
    ] {
        assert_eq!(datagram::encode(&message, Version::ORIGIN_DENIALS).unwrap(), None);
        let received = datagram::decode(&encode(&message, Version::CURRENT), None).unwrap();
        assert_eq!(received.message, message);
    }
}

#[test]
fn own_datagrams_are_understood() {
    for (name, message) in samples::messages() {
        let received = datagram::decode(&encode(&message, Version::CURRENT), None).unwrap();
        assert_eq!(received.message, as_received(&message), "{name}");
        assert_eq!(received.version, Version::CURRENT, "{name}");
    }
}

/// Returns the sampled heartbeat of a gateway that reaches no endpoint of some groups.
fn partly_reaching_heartbeat() -> Message {
    let (_, sample) = samples::messages().remove(0);
    let unreached = vec![0, 7, u32::MAX];
    Message::Heartbeat(Box::new(Heartbeat { unreached, ..heartbeat_of(&sample).clone() }))
}

// Guards against gateways that do not tell each other which services they reach (RECOVER).
#[test]
fn heartbeat_names_the_services_that_its_sender_does_not_reach() {
    let sent = partly_reaching_heartbeat();
    let received = datagram::decode(&encode(&sent, Version::CURRENT), None).unwrap();
    assert_eq!(received.message, sent);
}

#[test]
fn earlier_builds_read_a_heartbeat_that_names_services() {
    let (_, sample) = samples::messages().remove(0);
    let sent = encode(&partly_reaching_heartbeat(), Version::BEFORE_FOOTER);
    assert_eq!(decode_as_before::<Message>(&sent), as_received(&sample));
    let old = encode(&partly_reaching_heartbeat(), Version::BEFORE_PERMITS);
    assert_eq!(old, bytes_of(OLD_HEARTBEAT));
    // What builds with a footer, but without the services, put before it is no service.
    let mut bytes = recorded("heartbeat");
    bytes.extend([1, 7]);
    let received = datagram::decode(&with_footer(bytes, 2), None).unwrap();
    assert_eq!(received.message, as_received(&sample));
}

#[test]
fn extension_of_a_heartbeat_is_understood_and_passed_over_by_earlier_builds() {
    let (_, sample) = samples::messages().remove(0);
    let extension = HeartbeatExtension {
        region: 9,
        evacuations: Some(EvacuationSummary {
            position: Position { era: 1, offset: 440 },
            data_centres: vec![7, 8],
        }),
        warmups: vec![WarmupSample { endpoint: 7, left_ms: 2_900 }],
        slow_endpoints: vec![SlownessSample::new(5, Slowness::new(2.5), 300)],
        response_times: vec![ResponseTimeSample::new(6, ResponseSample::of_one(40), 200)],
        usages: vec![ServiceUsage {
            service: 5,
            total: RequestUsage::new(20.0, 12.5),
            completed: 160,
            returned: 30,
            priorities: [0, 100, 155, 0],
            workspaces: vec![(11, RequestUsage::new(15.0, 7.5))],
        }],
    };
    for unreached in [vec![], vec![1, 2]] {
        let heartbeat = Heartbeat {
            unreached: unreached.clone(),
            extension: extension.clone(),
            ..heartbeat_of(&sample).clone()
        };
        let sent = Message::Heartbeat(Box::new(heartbeat));
        let bytes = encode(&sent, Version::CURRENT);
        assert_eq!(datagram::decode(&bytes, None).unwrap().message, sent);
        assert_eq!(decode_as_before::<Message>(&bytes), as_received(&sample));
        // Version 5 reads the groups that follow the message, and passes over the rest.
        let body = bytes[..bytes.len() - FOOTER_BYTES].to_vec();
        let read = datagram::decode(&with_footer(body, 5), None).unwrap();
        assert_eq!(heartbeat_of(&read.message).unreached, unreached);
        assert!(heartbeat_of(&read.message).extension.is_empty());
    }
}

// A heartbeat goes to up to 100 gateways in a round.
#[test]
fn usage_of_a_service_that_lacks_room_takes_few_bytes() {
    let usage = ServiceUsage {
        service: u32::MAX,
        total: RequestUsage::new(4_000.0, 4_000.0),
        completed: u16::MAX,
        returned: u8::MAX,
        priorities: [u8::MAX; 4],
        workspaces: vec![(u32::MAX, RequestUsage::new(4_000.0, 4_000.0)); 3],
    };
    assert!(postcard::to_stdvec(&usage).unwrap().len() <= 56);
}

#[test]
fn request_for_a_permit_says_how_long_the_endpoint_stays_cold() {
    let samples = samples::messages().into_iter().map(|(_, it)| it);
    let mut requests = samples.filter_map(|it| match it {
        Message::PermitRequest(request) => Some(request),
        _ => None,
    });
    let sample = requests.next().unwrap();
    let sent = Message::PermitRequest(PermitRequest { warmup_ms: 2_900, ..sample });
    let bytes = encode(&sent, Version::CURRENT);
    assert_eq!(datagram::decode(&bytes, None).unwrap().message, sent);
    assert_eq!(decode_as_before::<Message>(&bytes), Message::PermitRequest(sample));
    let cold = Message::Warmups(vec![WarmupSample { endpoint: 7, left_ms: 2_900 }]);
    assert_eq!(datagram::encode(&cold, Version::ORIGIN_COPIES).unwrap(), None);
    assert_eq!(datagram::decode(&encode(&cold, Version::CURRENT), None).unwrap().message, cold);
}

#[test]
fn configuration_extension_follows_a_sync() {
    let mut responses = samples::sync_responses().into_iter().map(|(_, it)| it);
    let sample = responses.find(|it| it.config.is_some()).unwrap();
    let mut sent = sample.clone();
    let config = sent.config.as_mut().unwrap();
    config.extension = ConfigExtension {
        slow_starts: vec![SlowStart { service: "app".into(), duration_ms: 3_000, rate: 14.0 }],
        routes: vec![Homes { name: "r-1".into(), regions: vec!["north".into()] }],
        workspaces: Vec::new(),
    };
    let bytes = sync::encode(&sent).unwrap();
    assert_eq!(sync::decode::<SyncResponse>(&bytes).unwrap(), sent);
    assert_eq!(decode_as_before::<SyncResponse>(&bytes), sample);
}

#[test]
fn later_version_may_put_more_bytes_before_the_footer() {
    for (name, message) in samples::messages() {
        let mut bytes = recorded(name);
        bytes.extend([7, 0, 255, 3]);
        let received = datagram::decode(&with_footer(bytes, 9), None).unwrap();
        assert_eq!(received.message, as_received(&message), "{name}");
        assert_eq!(received.version.number(), 9, "{name}");
    }
}

/// A heartbeat of [`Version::BEFORE_FOOTER`] whose bytes are also one before permits.
fn ambiguous_heartbeat() -> Vec<u8> {
    let heartbeat = Heartbeat {
        ready: true,
        sound_parts: vec![900, 901, 902],
        failure_report: FailureReport {
            suspected: vec![Ipv4Addr::new(127, 0, 0, 9)],
            dead: vec![Ipv4Addr::new(127, 0, 0, 10)],
        },
        ..Heartbeat::default()
    };
    let message = Message::Heartbeat(Box::new(heartbeat));
    postcard::to_stdvec(&message).unwrap()
}

#[test]
fn bytes_that_two_versions_read_are_taken_for_what_the_sender_spoke_before() {
    let bytes = ambiguous_heartbeat();
    for sender in [None, Some(Version::CURRENT)] {
        assert_eq!(label(datagram::decode(&bytes, sender)), "ambiguous");
    }
    for version in [Version::BEFORE_PERMITS, Version::BEFORE_FOOTER] {
        assert_eq!(datagram::decode(&bytes, Some(version)).unwrap().version, version);
    }
}

#[test]
fn unknown_message_of_a_later_version_is_named_so() {
    assert_eq!(label(datagram::decode(&with_footer(vec![200, 1, 2, 3], 9), None)), "unknown");
}

#[test]
fn truncated_datagrams_are_rejected_or_read_right() {
    for (name, message) in samples::messages() {
        let whole = encode(&message, Version::CURRENT);
        for length in 0..whole.len() {
            let received = datagram::decode(&whole[..length], None);
            // Without the footer, it is what an earlier build sends.
            let is_body = length == whole.len() - FOOTER_BYTES;
            assert_eq!(received.is_ok(), is_body, "{name} cut to {length}");
            if let Ok(received) = received {
                assert_eq!(received.message, as_received(&message), "{name}");
            }
        }
    }
}

#[test]
fn truncated_recordings_are_rejected() {
    let recordings = RECORDED.iter().filter(|it| !it.0.starts_with("sync"));
    for (name, hex) in recordings.chain([&("old_heartbeat", OLD_HEARTBEAT)]) {
        let whole = bytes_of(hex);
        for length in 0..whole.len() {
            let received = datagram::decode(&whole[..length], None);
            assert!(received.is_err(), "{name} cut to {length}: {received:?}");
        }
    }
}

#[test]
fn datagrams_with_a_changed_bit_are_rejected() {
    for (name, message) in samples::messages() {
        let whole = encode(&message, Version::CURRENT);
        for bit in 0..whole.len() * 8 {
            let mut bytes = whole.clone();
            bytes[bit / 8] ^= 1 << (bit % 8);
            let received = datagram::decode(&bytes, None);
            assert!(received.is_err(), "{name}, bit {bit}: {received:?}");
        }
    }
}

#[test]
fn rejections_are_logged_once_a_sender_and_minute() {
    let mut rejections = Rejections::default();
    let start = Millis(1_000_000);
    let from = |number: u32| (0x0a00_0000 + number).into();
    let logged = (0..600).filter(|it| rejections.record(from(1), start + it * 100)).count();
    assert_eq!(logged, 1);
    assert!(rejections.record(from(2), start));
    assert!(rejections.record(from(1), start + 60_000));
    let many = (0..100_000).filter(|it| rejections.record(from(*it), start + 200_000)).count();
    assert!(many <= 1_024, "{many} lines");
}

fn check_sync<T: SyncMessage + PartialEq + std::fmt::Debug>(name: &str, value: T) {
    let old = recorded(name);
    assert_eq!(sync::decode::<T>(&old).unwrap(), value, "{name}");
    let new = sync::encode(&value).unwrap();
    assert_eq!(new[..new.len() - FOOTER_BYTES], old, "{name}");
    assert_eq!(decode_as_before::<T>(&new), value, "{name}");
    assert_eq!(sync::decode::<T>(&new).unwrap(), value, "{name}");
    for length in (0..new.len()).filter(|it| *it != old.len()) {
        assert!(sync::decode::<T>(&new[..length]).is_err(), "{name} cut to {length}");
    }
}

#[test]
fn syncs_with_the_recorded_build_are_understood_both_ways() {
    check_sync::<SyncRequest>("sync_request", samples::sync_request());
    for (name, response) in samples::sync_responses() {
        check_sync::<SyncResponse>(name, response);
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_no_crash(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = datagram::decode(&bytes, None);
        let _ = sync::decode::<SyncRequest>(&bytes);
        let _ = sync::decode::<SyncResponse>(&bytes);
    }

    #[test]
    fn garbled_recordings_are_no_crash(
        index in 0..RECORDED.len(),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
    ) {
        let mut bytes = bytes_of(RECORDED[index].1);
        for (position, value) in changes {
            let position = position.index(bytes.len());
            bytes[position] = value;
        }
        let _ = datagram::decode(&bytes, None);
        let _ = sync::decode::<SyncResponse>(&bytes);
    }
}
