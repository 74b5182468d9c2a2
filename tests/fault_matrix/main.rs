//! The fault matrix: injects each fault at each step of a request and checks every promise of the system, by
//! the answers to callers and the stand-ins' journals.
//!
//! A case is a fault and a step; `stream.rs` and `run_once.rs` contain the two drivers. With UPDATE_PROOFS=1
//! a run writes its rows for docs/PROOFS.md.

mod run_once;
mod stream;
mod table;

use run_once::{CallFault, CallStep};
use stream::{StreamFault, StreamStep};

macro_rules! stream_tests {
    ($($name:ident => $fault:ident,)*) => {
        $(#[test]
        fn $name() {
            stream::run_fault(StreamFault::$fault, &StreamStep::ALL);
        })*
    };
}

stream_tests! {
    stream_survives_kill_of_its_entry => KillEntry,
    stream_survives_kill_of_the_slot_owner => KillOwner,
    stream_survives_kill_of_the_prefill_engine => KillPrefill,
    stream_survives_kill_of_the_decode_engine => KillDecode,
    stream_survives_a_paused_entry => PauseEntry,
    stream_survives_a_paused_slot_owner => PauseOwner,
    stream_survives_a_paused_decode_engine => PauseDecode,
    stream_survives_a_stalled_transfer => StallTransfer,
    stream_survives_a_partition_of_the_entries => PartitionEntries,
    stream_survives_silence_of_the_callers_connection => SilenceCaller,
    stream_survives_silence_of_upstream_connections => SilenceUpstreams,
    stream_survives_silence_of_peer_links => SilencePeers,
    stream_survives_an_outage_of_the_platform => PlatformDown,
    stream_survives_a_stale_platform => PlatformStale,
    stream_survives_upstreams_marked_leaving_and_back => LeavingAndBack,
    stream_survives_crossed_answers => CrossAnswers,
    stream_survives_a_wrong_vm_list => VmsWrong,
    stream_survives_an_entry_told_to_leave => DrainEntry,
    memory_is_freed_when_the_caller_cancels => CallerCancels,
    memory_is_freed_when_the_caller_vanishes => CallerVanishes,
}

macro_rules! call_tests {
    ($($name:ident => $fault:ident,)*) => {
        $(#[test]
        fn $name() {
            run_once::run_fault(CallFault::$fault, &CallStep::ALL);
        })*
    };
}

call_tests! {
    booking_runs_once_under_kill_of_the_key_owner => KillOwner,
    booking_runs_once_under_kill_of_the_other_entry => KillOther,
    booking_runs_once_under_a_paused_key_owner => PauseOwner,
    booking_runs_once_under_kill_of_the_service => KillService,
    booking_runs_once_under_a_paused_service => PauseService,
    booking_runs_once_under_a_partition_of_the_entries => PartitionEntries,
    booking_runs_once_under_silence_of_service_connections => SilenceServices,
    booking_runs_once_under_silence_of_peer_links => SilencePeers,
    booking_runs_once_under_a_cut_of_service_connections => CutServices,
    booking_runs_once_under_a_cut_of_its_own_connection => CutService,
    booking_runs_once_when_the_service_dies_before_it_answers => AnswerLost,
    booking_runs_once_when_the_key_owner_leaves => DrainOwner,
    booking_runs_once_when_the_rule_changes => RuleChanges,
    booking_runs_once_under_a_crossed_answer => CrossedAnswer,
    booking_runs_once_under_an_outage_of_the_platform => PlatformDown,
    booking_runs_once_under_a_wrong_vm_list => VmsWrong,
}
