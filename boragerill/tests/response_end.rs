//! Ends of responses, against an oracle that knows what became of the server's process.

use boragerill::response_end::{
    BodyFraming,
    ConnectionEnd,
    EndFault,
    EndVerdict,
    OutputState,
    ProcessState,
    ResponseEnd, //
};
use proptest::prelude::*;

fn end_by_connection(process: ProcessState, may_run_again: bool) -> EndVerdict {
    let end = ResponseEnd {
        framing: BodyFraming::Connection,
        output: OutputState::Received,
        connection: Some(ConnectionEnd::Regular),
        process: Some(process),
        may_run_again,
    };
    end.decide()
}

/// What became of a server's process at the end of a response, and what can be seen of it.
#[derive(Clone, Copy, Debug)]
struct ServerFate {
    is_killed: bool,   // It was killed, and the response was cut short by it.
    is_replaced: bool, // Another process listens at its address by the time of the check.
    is_cut_off: bool,  // No answer arrives.
    closes_idle: bool, // It keeps no connections that wait for a request.
}

impl ServerFate {
    fn seen(self) -> ProcessState {
        match self {
            _ if self.is_cut_off => ProcessState::Unknown,
            _ if self.is_killed && !self.is_replaced => ProcessState::Gone,
            _ if self.closes_idle => ProcessState::Listening,
            _ if self.is_killed => ProcessState::Replaced,
            _ => ProcessState::Running,
        }
    }
}

prop_compose! {
    fn fates()(
        is_killed: bool,
        is_replaced: bool,
        is_cut_off: bool,
        closes_idle: bool,
    ) -> ServerFate {
        ServerFate { is_killed, is_replaced, is_cut_off, closes_idle }
    }
}

proptest! {
    /// Guards against responses of killed servers that look complete, and against complete ones that are broken off.
    #[test]
    fn responses_of_killed_servers_are_not_complete(fate in fates(), may_run_again: bool) {
        // act
        let verdict = end_by_connection(fate.seen(), may_run_again);

        // assert
        let is_complete = verdict == EndVerdict::Complete;
        let is_shown = may_run_again || !fate.is_replaced || fate.is_cut_off || !fate.closes_idle;
        if fate.is_killed && is_shown {
            prop_assert!(!is_complete);
        }
        let is_in_doubt = fate.is_cut_off || (fate.closes_idle && may_run_again);
        if !fate.is_killed && !is_in_doubt {
            prop_assert!(is_complete);
        }
        prop_assert_ne!(verdict, EndVerdict::Undecided);
    }

    /// Guards against checks of servers, and their delay, after responses whose end is marked.
    #[test]
    fn marked_ends_need_no_check(may_run_again: bool, is_empty: bool, can_be_shown: bool) {
        // arrange
        let output = match is_empty {
            true => OutputState::Empty { can_be_shown },
            false => OutputState::Received,
        };
        let end = ResponseEnd { framing: BodyFraming::Marked, output, connection: None, process: None, may_run_again };

        // act
        let verdict = end.decide();

        // assert
        prop_assert_eq!(verdict, EndVerdict::Complete);
    }
}

fn process_states() -> impl Strategy<Value = Option<ProcessState>> {
    prop_oneof![
        Just(None),
        Just(Some(ProcessState::Running)),
        Just(Some(ProcessState::Replaced)),
        Just(Some(ProcessState::Listening)),
        Just(Some(ProcessState::Gone)),
        Just(Some(ProcessState::Unknown)),
    ]
}

fn connection_ends() -> impl Strategy<Value = Option<ConnectionEnd>> {
    prop_oneof![
        Just(None),
        Just(Some(ConnectionEnd::Regular)),
        Just(Some(ConnectionEnd::Reset)),
        Just(Some(ConnectionEnd::Unfinished)),
    ]
}

fn framings() -> impl Strategy<Value = BodyFraming> {
    prop_oneof![Just(BodyFraming::Marked), Just(BodyFraming::Connection)]
}

proptest! {
    /// Guards against MIXED: a response that broke off before its first output was taken for a whole, empty one.
    #[test]
    fn responses_without_the_output_that_they_owe_are_not_complete(
        framing in framings(),
        connection in connection_ends(),
        process in process_states(),
        may_run_again: bool,
    ) {
        // arrange
        let output = OutputState::Missing;
        let end = ResponseEnd { framing, output, connection, process, may_run_again };

        // act
        let verdict = end.decide();

        // assert
        prop_assert_eq!(verdict, EndVerdict::BrokenOff(EndFault::OutputMissing));
    }

    /// Guards against MIXED: an empty response that ended with its connection was taken for a whole one although another
    /// run could have shown more, and against a change of all other verdicts by it.
    #[test]
    fn empty_responses_with_unmarked_ends_are_complete_only_if_no_run_can_show_more(
        framing in framings(),
        connection in connection_ends(),
        process in process_states(),
        may_run_again: bool,
        can_be_shown: bool,
    ) {
        // arrange
        let received =
            ResponseEnd { framing, output: OutputState::Received, connection, process, may_run_again };
        let empty = ResponseEnd { output: OutputState::Empty { can_be_shown }, ..received };

        // act
        let verdicts = (empty.decide(), received.decide());

        // assert
        let is_doubtful = can_be_shown && framing == BodyFraming::Connection;
        let expected = match verdicts.1 {
            EndVerdict::Complete if is_doubtful => EndVerdict::BrokenOff(EndFault::NothingAdded),
            other => other,
        };
        prop_assert_eq!(verdicts.0, expected);
    }
}

/// Guards against an end by the connection that is taken for completion by itself.
#[test]
fn end_by_the_connection_is_undecided_until_the_process_is_known() {
    for may_run_again in [false, true] {
        // arrange
        let end = ResponseEnd {
            framing: BodyFraming::Connection,
            output: OutputState::Received,
            connection: Some(ConnectionEnd::Regular),
            process: None,
            may_run_again,
        };

        // act
        let verdict = end.decide();

        // assert
        assert_eq!(verdict, EndVerdict::Undecided);
    }
}

/// Guards against MIXED: a part of a response whose server resets the connection, or never reads the whole request, is taken
/// for the whole since the server's process goes on.
#[test]
fn response_to_a_request_that_was_not_taken_is_not_complete() {
    for (connection, may_run_again) in [
        (ConnectionEnd::Reset, false),
        (ConnectionEnd::Reset, true),
        (ConnectionEnd::Unfinished, false),
        (ConnectionEnd::Unfinished, true),
    ] {
        for process in [
            None,
            Some(ProcessState::Running),
            Some(ProcessState::Listening),
        ] {
            // arrange
            let end = ResponseEnd {
                framing: BodyFraming::Connection,
                output: OutputState::Received,
                connection: Some(connection),
                process,
                may_run_again,
            };

            // act
            let verdict = end.decide();

            // assert
            assert_eq!(verdict, EndVerdict::BrokenOff(EndFault::ConnectionReset));
        }
    }
}

/// Guards against a log that can't tell a crash from a server that is cut off.
#[test]
fn a_refused_connection_is_told_from_silence() {
    // act
    let gone = end_by_connection(ProcessState::Gone, false);
    let unknown = end_by_connection(ProcessState::Unknown, false);

    // assert
    assert_eq!(gone, EndVerdict::BrokenOff(EndFault::ProcessGone));
    assert_eq!(unknown, EndVerdict::BrokenOff(EndFault::ProcessUnknown));
}
