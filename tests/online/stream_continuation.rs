//! A stream that breaks off at one target continues on another without lost or repeated events.

use cv_bench::deployment::SmallDeployment;
use cv_bench::load::CallOutcome;
use cv_standin::FaultMode;
use cv_tests::SmallFleet;
use rstest::rstest;

#[test]
fn a_response_reaches_its_caller_complete() {
    let deployment = SmallDeployment::start(SmallFleet::proxied_spec());
    let record = SmallFleet::send_completion(
        &deployment,
        SmallFleet::completion_call("which shade for blueberries", 20),
    );
    assert_eq!(record.outcome, CallOutcome::Completed);
}

#[rstest]
#[case::before_the_first_token(300)]
#[case::inside_an_event(900)]
#[case::after_some_tokens(1500)]
fn a_stream_that_breaks_at_one_target_is_completed_by_the_other(#[case] bytes: usize) {
    let deployment = SmallDeployment::start(SmallFleet::proxied_spec());
    let question = SmallFleet::completion_call("when does the truck reach Abbotsford", 20);
    for broken_index in 0..2 {
        for (index, target) in deployment.targets.iter().enumerate().take(2) {
            let mode = if index == broken_index {
                FaultMode::TruncateResponse(bytes)
            } else {
                FaultMode::Pass
            };
            target.proxy.as_ref().expect("the target has a proxy").set_mode(mode);
        }
        let record = SmallFleet::send_completion(&deployment, question.clone());
        assert_eq!(record.outcome, CallOutcome::Completed);
    }
}
