//! Tests of the encoding of digests.

use quickcheck::{Arbitrary, Gen, QuickCheck};

use super::{claim, digest_of, observed, suspected};
use crate::configuration::{Claim, DOCUMENT_LIMIT_BYTES, PresetName, VersionContent};
use crate::ids::{ConfigVersion, LogOffset};
use crate::membership::ObservedState;
use crate::peers::connection::MESSAGE_LIMIT_WORDS;
use crate::peers::findings::DIGEST_FINDINGS_LIMIT;
use crate::peers::peer_capnp::digest;
use crate::peers::{Digest, read_digest, write_digest};

fn encode(digest: &Digest) -> Vec<u8> {
    let mut message = capnp::message::Builder::new_default();
    write_digest(digest, message.init_root::<digest::Builder<'_>>());
    capnp::serialize::write_message_to_words(&message)
}

fn decode(bytes: &[u8]) -> Result<Digest, String> {
    let options = crate::peers::connection::reader_options();
    let message = capnp::serialize::read_message(bytes, options).map_err(|error| error.to_string())?;
    let root = message.get_root::<digest::Reader<'_>>().map_err(|error| error.to_string())?;
    read_digest(root).map_err(|error| error.to_string())
}

fn examples() -> Vec<(&'static str, Digest)> {
    let findings = vec![
        observed("e1", "engine-1", ObservedState::Leaving, 0),
        observed("e2", "engine-2", ObservedState::Dead, 59_999),
        suspected(u128::MAX - 7, "engine-3", 12),
        suspected(3, "", u64::MAX),
    ];
    vec![
        ("empty", digest_of("e1", None, Vec::new())),
        ("steady", digest_of("e1", Some(claim(7, 9, false)), Vec::new())),
        ("content", digest_of("e1", Some(claim(7, 9, true)), Vec::new())),
        ("findings", digest_of("e1", Some(claim(7, 9, true)), findings)),
    ]
}

/// Guards against a field that is lost or swapped with another one by encoding and decoding.
#[test]
fn decoded_digests_equal_the_encoded_ones() {
    let mut sizes = String::new();
    for (name, digest) in examples() {
        let bytes = encode(&digest);
        assert_eq!(decode(&bytes).as_ref(), Ok(&digest), "{name}");
        sizes.push_str(&format!("{name}: {} bytes\n", bytes.len()));
    }
    insta::assert_snapshot!(sizes);
}

/// Guards against a message limit that rejects a digest with the largest document and the maximum number of
/// findings.
#[test]
fn the_largest_digest_is_within_the_limits() {
    let text = "#".repeat(DOCUMENT_LIMIT_BYTES);
    let version_content =
        VersionContent::parse(ConfigVersion(7), "anna", &text, PresetName::Peak).expect("a document");
    let claim = Claim {
        version: version_content.version(),
        through: LogOffset(9),
        digest: version_content.digest(),
        content: Some(version_content),
    };
    let findings = (0..DIGEST_FINDINGS_LIMIT)
        .map(|index| observed(&format!("{index:0128}"), &format!("{index:0128}"), ObservedState::Dead, 1))
        .collect();
    let digest = digest_of("e1", Some(claim), findings);
    let bytes = encode(&digest);
    assert!(decode(&bytes).as_ref() == Ok(&digest), "the decoded digest differs from the encoded one");
    assert!(bytes.len() < MESSAGE_LIMIT_WORDS * 8 / 2, "the digest takes {} bytes", bytes.len());
}

/// Guards against accepting content that does not match its digest, an invalid document or text, or bytes
/// that are not a message.
#[test]
fn content_that_is_corrupted_or_has_another_digest_is_rejected() {
    let mut other = digest_of("e1", Some(claim(7, 9, true)), Vec::new());
    if let Some(claim) = &mut other.claim {
        claim.digest.0 ^= 1;
    }
    let mut bytes = encode(&digest_of("e1", Some(claim(7, 9, true)), Vec::new()));
    let position = bytes.windows(10).position(|window| window == b"max_tokens").expect("the document");
    bytes[position] = b'n';
    let mut no_text = encode(&digest_of("e1", Some(claim(7, 9, true)), Vec::new()));
    no_text[position] = 0xff;
    let results =
        [decode(&encode(&other)), decode(&bytes), decode(&no_text), decode(&[]), decode(b"GET / HT")];
    insta::assert_debug_snapshot!(results);
}

#[derive(Clone, Debug)]
struct Corruption(Vec<(u16, u8)>, u16);

impl Arbitrary for Corruption {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = 1 + usize::arbitrary(g) % 4;
        Self((0..count).map(|_| Arbitrary::arbitrary(g)).collect(), u16::arbitrary(g))
    }
}

/// Guards against a panic on a corrupted message, and against accepting content that does not match its
/// digest.
#[test]
fn corrupted_messages_cause_no_panic_and_no_unverified_content() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn holds(corruption: Corruption) -> bool {
        for (_, digest) in examples() {
            let mut bytes = encode(&digest);
            for (position, value) in &corruption.0 {
                let position = usize::from(*position) % bytes.len();
                bytes[position] = *value;
            }
            if corruption.1.is_multiple_of(8) {
                bytes.truncate(usize::from(corruption.1) % bytes.len());
            }
            if let Ok(digest) = decode(&bytes)
                && let Some(claim) = digest.claim
                && let Some(version_content) = claim.content
            {
                assert_eq!(version_content.digest(), claim.digest);
            }
        }
        true
    }
    let generator = Gen::from_size_and_seed(100, 4);
    QuickCheck::new().rng(generator).tests(4_000).quickcheck(holds as fn(Corruption) -> bool);
}
