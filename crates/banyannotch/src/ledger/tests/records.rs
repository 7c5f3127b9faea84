//! Guards against a change of the record format that entries of another version could not decode, and against
//! records or settings under which a claim is valid for too long.

use crate::ids::{Fingerprint, Incarnation, RequestId};
use crate::ledger::records::shard_of;
use crate::ledger::state::Index;
use crate::ledger::{Batch, Item, LedgerSettings, Nonce, RecordedOutcome, decode_batch, encode_batch};
use crate::request::{Failure, IdempotencyKey, NotRun, UnknownReason};

fn key() -> IdempotencyKey {
    IdempotencyKey { team: "desk".into(), key: "order-7 \"ā\"".to_owned(), made_ms: 1_000 }
}

#[test]
fn record_json_format_is_stable() {
    let nonce = Nonce(RequestId(7));
    let payload = Fingerprint(9);
    let outcomes = [
        RecordedOutcome::Completed { result: "{\"paid\":true}".to_owned() },
        RecordedOutcome::Failed(Failure::Service),
        RecordedOutcome::NotRun(NotRun::Refused),
        RecordedOutcome::Unknown(UnknownReason::ConnectionLost),
    ];
    let mut items = vec![
        Item::Claim { key: key(), payload, nonce, deadline_ms: 2_000 },
        Item::Cancel { key: key(), nonce },
    ];
    items.extend(outcomes.map(|outcome| Item::Outcome { key: key(), payload, nonce, outcome }));
    let mut text = String::new();
    for item in items {
        let batch = Batch { entry: "entry-1".into(), incarnation: Incarnation(3), items: vec![item] };
        let bytes = encode_batch(&batch).expect("a batch can be serialized");
        let json = String::from_utf8(bytes).expect("JSON is UTF-8");
        assert!(json.len() <= batch.items[0].estimated_bytes() * 2, "{json}");
        assert_eq!(decode_batch(&json).expect("an encoded batch can be decoded"), batch);
        text.push_str(&json);
        text.push('\n');
    }
    for broken in ["", "{}", "{\"entry\":\"e\",\"incarnation\":1,\"items\":[{\"lease\":{}}]}"] {
        let error = decode_batch(broken).expect_err("a text that is not a batch is rejected");
        text.push_str(&format!("{broken:?}: {error}\n"));
    }
    text.push_str(&format!("shard of 4: {}\n", shard_of(&key(), 4)));
    insta::assert_snapshot!(text);
}

/// Guards against a claim that is valid although the record of an earlier claim of its key may have left the
/// log.
#[test]
fn claim_validity_depends_on_the_time_of_its_record() {
    let settings = LedgerSettings::default();
    let claim =
        Item::Claim { key: key(), payload: Fingerprint(9), nonce: Nonce(RequestId(7)), deadline_ms: 2_000 };
    let batch = Batch { entry: "entry-1".into(), incarnation: Incarnation(3), items: Vec::new() };
    let future_key = IdempotencyKey { made_ms: 10_000, ..key() };
    let future =
        Item::Claim { key: future_key, payload: Fingerprint(9), nonce: Nonce(RequestId(8)), deadline_ms: 0 };
    let expiry_ms = settings.expiry_ms(&key());
    let cases = [(expiry_ms, &claim), (expiry_ms + 1, &claim), (6_000, &future), (5_999, &future)];
    let effects = cases.iter().map(|(time_ms, item)| {
        let effect = Index::default().apply(*time_ms, &batch, item, &settings);
        format!("made {} in the log at {time_ms}: {effect:?}\n", item.key().made_ms)
    });
    insta::assert_snapshot!(effects.collect::<String>());
}

/// Guards against settings under which a claim is valid after the record of an earlier claim of its key left
/// the log.
#[test]
fn unsafe_settings_are_refused() {
    let default = LedgerSettings::default;
    let cases = [
        default(),
        LedgerSettings { shards: 0, ..default() },
        LedgerSettings { retention_margin_ms: 7_999, ..default() },
        LedgerSettings { retention_ms: 119_999, ..default() },
        LedgerSettings { holder_grace_ms: 3_999, ..default() },
    ];
    let faults = cases.iter().map(|settings| format!("{:?}\n", settings.fault()));
    insta::assert_snapshot!(faults.collect::<String>());
}
