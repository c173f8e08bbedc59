//! A streamed answer that is cut goes on elsewhere, without a seam.

use cv_bench::deployment::SmallDeployment;
use cv_bench::load::CallOutcome;
use cv_standin::FaultMode;
use cv_tests::SmallFleet;
use rstest::rstest;

#[test]
fn an_answer_reaches_its_caller_whole() {
    let deployment = SmallDeployment::start(SmallFleet::proxied());
    let record =
        SmallFleet::ask(&deployment, SmallFleet::question("which shade for blueberries", 20));
    assert_eq!(record.outcome, CallOutcome::Completed);
}

#[rstest]
#[case::before_the_first_token(300)]
#[case::inside_an_event(900)]
#[case::after_some_tokens(1500)]
fn an_answer_cut_at_one_target_is_completed_at_the_other(#[case] bytes: usize) {
    let deployment = SmallDeployment::start(SmallFleet::proxied());
    let question = SmallFleet::question("when does the truck reach Abbotsford", 20);
    for broken in 0..2 {
        for (index, target) in deployment.targets.iter().enumerate().take(2) {
            let mode =
                if index == broken { FaultMode::TruncateAnswer(bytes) } else { FaultMode::Pass };
            target.proxy.as_ref().expect("a proxy").set_mode(mode);
        }
        let record = SmallFleet::ask(&deployment, question.clone());
        assert_eq!(record.outcome, CallOutcome::Completed);
    }
}
