//! Messages round-trip through datagrams, and invalid datagrams are rejected.

use mimosaledge_core::{
    admission::{AdmissionId, Decision},
    endpoints::EndpointId,
    idempotency::{Answer, KeyId, SealReply},
    members::{RouterRef, RunTag},
};
use mimosaledge_wire::{Error, Gossip, MAX_DATAGRAM_BYTES, Message, decode, encode};
use proptest::{collection::vec, prelude::any, proptest};

macro_rules! round_trips {
    ($($name:ident: $message:expr;)*) => {$(
        #[test]
        fn $name() {
            let message = $message;
            assert_eq!(decode(&encode(&message).unwrap()), Ok(message));
        }
    )*};
}

round_trips! {
    gossip_round_trips: Message::Gossip(Gossip {
        sender: RouterRef { id: 1, incarnation: u64::MAX },
        heartbeats: Vec::new(),
        compact_heartbeats: Vec::new(),
        endpoint_statuses: Vec::new(),
    });
    admit_reply_round_trips: Message::AdmitReply {
        engine: EndpointId(1),
        id: AdmissionId { run: RunTag(2), serial: 3 },
        decision: Decision::Refused { retry_ms: 4 },
    };
    seal_reply_round_trips: Message::SealReply {
        key: KeyId(u128::MAX),
        reply: SealReply::Done(Answer { status: 200, body: Some(vec![0; 1_024]) }),
    };
}

#[test]
fn empty_datagram_is_rejected() {
    assert_eq!(decode(&[]), Err(Error::Malformed));
}

#[test]
fn unsupported_version_is_rejected() {
    let mut datagram = encode(&Message::FinishAck { key: KeyId(1) }).unwrap();
    datagram[0] += 1;
    assert_eq!(decode(&datagram), Err(Error::UnsupportedVersion));
}

#[test]
fn trailing_bytes_are_rejected() {
    let mut datagram = encode(&Message::FinishAck { key: KeyId(1) }).unwrap();
    datagram.push(0);
    assert_eq!(decode(&datagram), Err(Error::Malformed));
}

#[test]
fn oversized_message_is_not_encoded() {
    let answer = Answer { status: 200, body: Some(vec![0; MAX_DATAGRAM_BYTES]) };
    let message = Message::Finish { key: KeyId(1), answer: Some(answer) };
    assert_eq!(encode(&message), Err(Error::TooLarge));
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in vec(any::<u8>(), 0..2_000)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn corrupted_datagrams_never_panic(position in 0..20usize, value in any::<u8>()) {
        let mut datagram = encode(&Message::FinishAck { key: KeyId(u128::MAX) }).unwrap();
        let position = position % datagram.len();
        datagram[position] = value;
        let _ = decode(&datagram);
    }
}
