//! Parsers of external input never panic, and never accept an altered idempotency key.

use dotterelspan::controllers::idempotency::{IdempotencyKey, KeyScope};
use dotterelspan::peers::PeerFrame;
use dotterelspan::register::parse_register;
use dotterelspan::settings::SharedKey;
use proptest::prelude::*;
use prost::Message;

fn secret() -> SharedKey {
    SharedKey::new(b"a secret of enough bytes").expect("it is long enough")
}

fn scope(workspace: &str) -> KeyScope {
    KeyScope {
        workspace: workspace.into(),
        service: "desk".into(),
        operation: "book".into(),
    }
}

proptest! {
    #![proptest_config(crate::config(500))]

    #[test]
    fn parsing_any_text_as_a_register_never_panics(text in "\\PC{0,400}") {
        let _ = parse_register(&text);
    }

    #[test]
    fn parsing_likely_words_as_a_register_never_panics(
        words in proptest::collection::vec("(\\[\\[upstream\\]\\]|\\[upstream\\]|name = |\"a\"|1e9|-3|true|\\{|\\}|zone = |address = |\n|slots = |kind = \"engine\")", 0..40)
    ) {
        let _ = parse_register(&words.concat());
    }

    #[test]
    fn decoding_any_bytes_as_a_frame_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = PeerFrame::decode(&bytes[..]);
    }

    #[test]
    fn a_key_with_a_changed_byte_is_invalid(serial in any::<u64>(), index in any::<usize>(), byte in any::<u8>()) {
        let key = IdempotencyKey {
            owner: "entry-1".into(),
            owner_address: "10.0.0.1:7200".into(),
            incarnation: 5,
            serial,
            deadline_epoch_ms: 9,
        };
        let text = key.encode(&scope("kitamura"), &secret());
        prop_assert_eq!(IdempotencyKey::decode(&text, &scope("kitamura"), &secret()), Some(key));
        prop_assert_eq!(IdempotencyKey::decode(&text, &scope("sadaf"), &secret()), None);
        let mut bytes = text.clone().into_bytes();
        let index = index % bytes.len();
        bytes[index] = byte;
        let changed = String::from_utf8_lossy(&bytes).into_owned();
        // The decoder accepts hexadecimal digits in either case.
        if !changed.eq_ignore_ascii_case(&text) {
            prop_assert_eq!(IdempotencyKey::decode(&changed, &scope("kitamura"), &secret()), None);
        }
    }
}
