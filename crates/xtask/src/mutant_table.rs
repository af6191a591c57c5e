//! The mechanisms behind the promises, and how to take each out.

/// One mechanism taken out.
pub(crate) struct Mutant {
    /// The promise's number in docs/PROMISES.md and the mechanism.
    pub(crate) name: &'static str,
    /// Where it stands.
    pub(crate) file: &'static str,
    /// Its text.
    pub(crate) find: &'static str,
    /// What stands there without it.
    pub(crate) put: &'static str,
    /// The test's package.
    pub(crate) package: &'static str,
    /// The test's file and name.
    pub(crate) test: &'static str,
}

/// All mutants.
pub(crate) const MUTANTS: &[Mutant] = &[
    Mutant {
        name: "1 claim before dispatch",
        file: "crates/daemon/src/service_call.rs",
        find: "let key = key.filter(|_| !repeatable);",
        put: "let key = key.filter(|_| repeatable);",
        package: "daemon",
        test: "at_most_once::an_order_sent_to_all_daemons_at_once_runs_once",
    },
    Mutant {
        name: "1 a successor never reruns what may have run",
        file: "crates/policy/src/claim.rs",
        find: "        (ClaimStage::Claimed, Some(OwnerWord::Unknown)) => {\n            ClaimVerdict::Refuse(Refusal::maybe_run(ErrorKind::OutcomeUnknown))\n        }",
        put: "        (ClaimStage::Claimed, Some(OwnerWord::Unknown)) => ClaimVerdict::TakeOver,",
        package: "daemon",
        test: "at_most_once::an_order_whose_daemon_is_frozen_is_never_run_again",
    },
    Mutant {
        name: "1 no second dispatch once a byte was sent",
        file: "crates/daemon/src/service_call.rs",
        find: "|| (sent && !self.repeatable);",
        put: ";",
        package: "daemon",
        test: "at_most_once::without_a_key_a_call_is_sent_once",
    },
    Mutant {
        name: "1 not run is said only where the row was read",
        file: "crates/control/src/claim_store.rs",
        find: "Err(_) => return unavailable(RunState::MaybeRun),",
        put: "Err(_) => return unavailable(RunState::NotRun),",
        package: "daemon",
        test: "at_most_once::no_order_runs_twice_under_random_faults",
    },
    Mutant {
        name: "2 a new holder's bucket starts empty",
        file: "crates/control/src/part_holder.rs",
        find: "|| PartBucket::empty(now, capacity, rate)",
        put: "|| PartBucket::full(now, capacity, rate)",
        package: "control",
        test: "rate_law::no_window_exceeds_rate_and_burst_under_random_schedules",
    },
    Mutant {
        name: "2 a holder proves by a transaction",
        file: "crates/control/src/part_holder.rs",
        find: "        if let Commit::Conflict = self.store.commit(txn).await? {\n            return Ok(());\n        }\n",
        put: "        let _ = txn;\n",
        package: "control",
        test: "rate_law::a_stale_read_proves_nothing",
    },
    Mutant {
        name: "2 a proof runs out",
        file: "crates/policy/src/spend_guard.rs",
        find: "fresh(proved_at) ||",
        put: "true || fresh(proved_at) ||",
        package: "control",
        test: "rate_law::a_lost_holders_part_is_taken_once_and_not_spent_by_it_again",
    },
    Mutant {
        name: "2 a vouch carries on only a right that has not lapsed",
        file: "crates/policy/src/spend_guard.rs",
        find: "if unbroken && 2 *",
        put: "let _ = unbroken;\n        if 2 *",
        package: "control",
        test: "rate_law::a_right_that_lapsed_is_not_revived_by_peers_in_an_outage",
    },
    Mutant {
        name: "2 a ticket is refunded once",
        file: "crates/control/src/part_holder.rs",
        find: "        *taken = 0;\n",
        put: "",
        package: "control",
        test: "rate_law::no_window_exceeds_rate_and_burst_under_random_schedules",
    },
    Mutant {
        name: "2 parts of unknown customers stay",
        file: "crates/policy/src/parts.rs",
        find: "        let mut next = self.clone();\n        let mut fresh",
        put: "        let mut next = self.clone();\n        next.parts.retain(|id, _| view.customers.contains(id));\n        let mut fresh",
        package: "control",
        test: "rate_law::a_customer_seen_late_by_one_instance_gets_no_second_burst",
    },
    Mutant {
        name: "3 headers that hold the key are held back",
        file: "crates/targets/src/headers.rs",
        find: "&& !holds(value, key)",
        put: "",
        package: "daemon",
        test: "whose_request::no_target_and_no_log_sees_a_callers_key",
    },
    Mutant {
        name: "3 a withdrawal goes to peers at once",
        file: "crates/daemon/src/admin.rs",
        find: "let (peers_told, peers) = router.tell_peers(&PeerRequest::BlockKey(digest)).await;",
        put: "let _ = digest;\n    let (peers_told, peers) = (0, 0);",
        package: "daemon",
        test: "whose_request::a_withdrawn_key_stops_within_seconds_on_every_instance",
    },
    Mutant {
        name: "3 a cut-off instance refuses keyed requests",
        file: "crates/daemon/src/front.rs",
        find: "if digest.is_some() && !router.is_confirmed() {",
        put: "if false {",
        package: "daemon",
        test: "whose_request::a_withdrawn_key_stops_within_seconds_on_every_instance",
    },
    Mutant {
        name: "3 an answer with another id is nobody's",
        file: "crates/targets/src/engine_client.rs",
        find: "if echoes && echo != Some",
        put: "if false && echo != Some",
        package: "daemon",
        test: "whose_request::a_crossed_answer_of_a_service_is_never_delivered",
    },
    Mutant {
        name: "4 a stream without its end mark is broken",
        file: "crates/targets/src/event_stream.rs",
        find: "Ok(None) => return Err(ExchangeError::Broken(\"ended before its end mark\".into())),",
        put: "Ok(None) => return Ok(StreamEvent::End),",
        package: "targets",
        test: "event_reader::a_stream_without_its_end_mark_is_broken",
    },
    Mutant {
        name: "4 pieces ahead of their turn wait",
        file: "crates/daemon/src/model_stream.rs",
        find: "if number > next && number <= next + PIECES_AHEAD {",
        put: "if false {",
        package: "daemon",
        test: "whole_streams::a_stream_is_whole_in_spite_of::case_9",
    },
    Mutant {
        name: "4 a piece is delivered once",
        file: "crates/policy/src/stream_order.rs",
        find: "return if same { PieceVerdict::Drop }",
        put: "return if same { PieceVerdict::Deliver }",
        package: "daemon",
        test: "whole_streams::a_stream_is_whole_in_spite_of::case_8",
    },
    Mutant {
        name: "4 a silent stream is resumed",
        file: "crates/daemon/src/model_stream.rs",
        find: "next = loop {\n                tokio::select! {\n                    event = self.begun.answer.reader.next(time)",
        put: "next = loop {\n                tokio::select! {\n                    event = self.begun.answer.reader.next(time * 1_000)",
        package: "daemon",
        test: "whole_streams::a_stream_is_whole_in_spite_of::case_6",
    },
    Mutant {
        name: "4 a caller that leaves cancels the work",
        file: "crates/daemon/src/model_stream.rs",
        find: "                metrics.cancelled.inc();\n                self.model.cancel(&self.begun.slot.placed, &self.begun.attempt).await;",
        put: "                metrics.cancelled.inc();",
        package: "daemon",
        test: "whole_streams::a_caller_that_leaves_cancels_the_engines_work",
    },
];
