//! Whose jobs are, over all inputs of the decision.

use boragerill::job_owner::{
    reaches_job,
    CallerKey,
    KeyFault,
    KeyTerms, //
};

const KEYS: [CallerKey<&str>; 4] = [
    CallerKey::Missing,
    CallerKey::Unknown,
    CallerKey::Of("riegos"),
    CallerKey::Of("telares"),
];

fn all_terms() -> Vec<KeyTerms> {
    let flags = [false, true];
    let terms = flags.iter().flat_map(|&has_workspaces| {
        flags.iter().map(move |&is_open| KeyTerms {
            has_workspaces,
            is_open,
        })
    });
    terms.collect()
}

/// Guards against LOST: a job that was submitted with a key on an open route had no owner, and no key could read it.
#[test]
fn submitter_gets_at_its_job_with_any_key_of_its_workspace() {
    for submission in all_terms() {
        for key in KEYS {
            // arrange
            let Ok(owner) = submission.caller(key) else {
                continue;
            };
            for is_open in [false, true] {
                let call = KeyTerms {
                    is_open,
                    ..submission
                };

                // act
                let caller = call.caller(key);

                // assert: without a key, calls need an open batch route
                let Ok(caller) = caller else {
                    assert_eq!((caller, key), (Err(KeyFault::Missing), CallerKey::Missing));
                    continue;
                };
                let (owner, caller) = (owner.unwrap_or_default(), caller.unwrap_or_default());
                assert!(
                    reaches_job(owner, caller),
                    "{submission:?} {key:?} {call:?}"
                );
            }
        }
    }
}

/// Guards against jobs that another workspace, or a caller without a key, reads or ends.
#[test]
fn only_the_owner_gets_at_a_job_that_has_one() {
    for terms in all_terms() {
        for key in KEYS {
            // act
            let caller = terms.caller(key).ok().flatten().unwrap_or_default();

            // assert
            assert_eq!(reaches_job("riegos", caller), caller == "riegos");
            assert!(reaches_job("", caller));
        }
    }
}

/// Guards against an open route, or a configuration without workspaces, that asks for keys, and one with them that doesn't.
#[test]
fn keys_are_asked_for_where_the_configuration_does() {
    // act
    let results = all_terms()
        .into_iter()
        .map(|terms| KEYS.map(|key| terms.caller(key)));
    let results: Vec<_> = results.collect();

    // assert
    let (riegos, telares) = (Ok(Some("riegos")), Ok(Some("telares")));
    let (unknown, missing) = (Err(KeyFault::Unknown), Err(KeyFault::Missing));
    assert_eq!(
        results,
        [
            [Ok(None); 4],
            [Ok(None); 4],
            [missing, unknown, riegos, telares],
            [Ok(None), unknown, riegos, telares],
        ]
    );
}
