//! Parts of prompts.

use boragerill::prompt::PromptParts;

#[test]
fn parts_are_parsed_in_the_order_of_the_prompt() {
    // arrange
    let text = "5c1e07a2:800, 91bd3f06:410,e4402b7d:250";

    // act
    let parts = PromptParts::parse(text);

    // assert
    assert_eq!(parts.keys(), [0x5c1e_07a2, 0x91bd_3f06, 0xe440_2b7d]);
    assert_eq!(parts.text(), text);
}

#[test]
fn prompts_share_a_hash_if_they_differ_in_the_last_part_only() {
    // arrange
    let hash = |text| PromptParts::parse(text).shared_hash();

    // act
    let [one, other, longer, single] = ["a:1,b:2", "a:1,c:3", "a:1,b:2,c:3", "a:1"].map(hash);

    // assert
    assert_eq!(one, other);
    assert_ne!(one, longer);
    assert_eq!(single, None);
}

#[test]
fn fingerprint_distinguishes_requests_but_not_their_repetitions() {
    // arrange
    let keys = |target: &str, body: &[u8]| {
        let parts = PromptParts::default().with_fingerprint(target, body);
        parts.keys().to_vec()
    };

    // act
    let first = keys("/desk/a?x=1", b"question");

    // assert
    assert_eq!(first.len(), 1);
    assert_eq!(first, keys("/desk/a?x=1", b"question"));
    assert_ne!(first, keys("/desk/a?x=2", b"question"));
    assert_ne!(first, keys("/desk/a?x=1", b"questions"));
}

#[test]
fn malformed_parts_have_keys_too() {
    // arrange
    let text = ",session 7:12,,:4,00112233445566778899:1";

    // act
    let parts = PromptParts::parse(text);

    // assert
    assert_eq!(parts.keys().len(), 2);
    assert_ne!(parts.keys()[0], parts.keys()[1]);
}
