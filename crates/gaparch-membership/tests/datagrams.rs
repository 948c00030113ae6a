//! Sealing and opening datagrams, and encoding and decoding the messages in them.

use gaparch_membership::{OpenError, SiteKey, TAG_BYTES};
use gaparch_protocol::fleet::{MemberInfo, MemberState, Message, MessageBody, Update, MAX_DATAGRAM_BYTES};
use proptest::prelude::*;

fn member_info(name: &str) -> MemberInfo {
    let (zone, build, address) = ("north".to_owned(), "1".to_owned(), "127.0.0.1:7400".to_owned());
    MemberInfo { name: name.to_owned(), zone, build, address, run_id: 7, incarnation: 3, heartbeat: 9 }
}

fn message(updates: usize) -> Message {
    let update = |n| Update::Member {
        info: member_info(&format!("router-{n}")),
        state: MemberState::Suspect,
        reporter: "router-0".to_owned(),
        last_heartbeat: 4,
    };
    let from = member_info("router-0");
    let body = MessageBody::Ping { nonce: 5 };
    Message {
        from,
        to: "router-1".to_owned(),
        seq: 1,
        direct_peers: 2,
        body,
        updates: (0..updates).map(update).collect(),
    }
}

#[test]
fn only_intact_datagrams_sealed_with_the_sites_key_are_opened() {
    let key = SiteKey::new(b"a key of this site").expect("a key");
    let other = SiteKey::new(b"a key of another one").expect("a key");
    assert!(SiteKey::new(b"").is_none());
    let message = message(3);
    let datagram = key.seal(&message).expect("it fits");
    assert_eq!(key.open(&datagram), Ok(message));
    assert_eq!(other.open(&datagram), Err(OpenError::BadTag));
    for length in 0..datagram.len() {
        assert!(key.open(&datagram[..length]).is_err(), "cut to {length}");
    }
    for at in 0..datagram.len() {
        let mut damaged = datagram.clone();
        damaged[at] ^= 1;
        assert_eq!(key.open(&damaged), Err(OpenError::BadTag), "lowest bit of byte {at}");
    }
    assert_eq!(key.open(&vec![0; MAX_DATAGRAM_BYTES + 1]), Err(OpenError::TooLong));
    assert_eq!(key.seal(&self::message(40)), None);
}

/// A datagram with a valid tag and an unknown version comes from a newer build; it must not count as forged.
#[test]
fn a_newer_version_is_reported_as_unsupported() {
    use hmac::{Hmac, KeyInit, Mac};
    let key = SiteKey::new(b"a key of this site").expect("a key");
    let mut bytes = message(0).to_bytes();
    bytes[2] += 1;
    let tag = Hmac::<sha2::Sha256>::new_from_slice(b"a key of this site").expect("any length");
    let tag = tag.chain_update(&bytes).finalize().into_bytes();
    bytes.extend_from_slice(&tag[..TAG_BYTES]);
    assert_eq!(key.open(&bytes), Err(OpenError::UnsupportedVersion(2)));
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Message::from_bytes(&[b"gF\x01".as_slice(), &bytes].concat());
    }

    #[test]
    fn decoding_restores_the_encoded_message(
        seq in any::<u64>(),
        direct_peers in any::<u16>(),
        updates in 0usize..8,
    ) {
        let message = Message { seq, direct_peers, ..message(updates) };
        prop_assert_eq!(Message::from_bytes(&message.to_bytes()), Ok(message));
    }
}
