//! Nothing that comes from outside makes a parser panic or pass for what it is not.

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
    fn a_register_of_any_text_is_judged(text in "\\PC{0,400}") {
        let _ = parse_register(&text);
    }

    #[test]
    fn a_register_of_likely_words_is_judged(
        words in proptest::collection::vec("(\\[\\[upstream\\]\\]|\\[upstream\\]|name = |\"a\"|1e9|-3|true|\\{|\\}|zone = |address = |\n|slots = |kind = \"engine\")", 0..40)
    ) {
        let _ = parse_register(&words.concat());
    }

    #[test]
    fn frames_of_any_bytes_are_judged(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = PeerFrame::decode(&bytes[..]);
    }

    #[test]
    fn a_key_that_was_changed_anywhere_is_no_key(serial in any::<u64>(), at in any::<usize>(), to in any::<u8>()) {
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
        let at = at % bytes.len();
        bytes[at] = to;
        let changed = String::from_utf8_lossy(&bytes).into_owned();
        // Hexadecimal digits mean the same in either case.
        if !changed.eq_ignore_ascii_case(&text) {
            prop_assert_eq!(IdempotencyKey::decode(&changed, &scope("kitamura"), &secret()), None);
        }
    }
}
