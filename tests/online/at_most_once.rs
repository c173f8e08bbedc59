//! Requests that must not be repeated run at most once, and the reported outcome matches whether
//! they ran.

use cv_bench::deployment::SmallDeployment;
use cv_bench::load::CallOutcome;
use cv_standin::FaultMode;
use cv_tests::SmallFleet;
use rstest::rstest;

#[test]
fn a_resent_order_does_not_run_again() {
    let deployment = SmallDeployment::start(SmallFleet::proxied_spec());
    for address in deployment.entry_addresses() {
        let _ = SmallFleet::send_order(address, SmallFleet::order_call("order-1"));
    }
    assert_eq!(deployment.executions.executions("order-1"), 1);
}

#[rstest]
#[case::cut(FaultMode::Disconnect)]
#[case::answer_lost(FaultMode::LoseResponse)]
#[case::answer_truncated(FaultMode::TruncateResponse(40))]
fn an_order_runs_at_most_once_despite_a_fault_on_every_connection(#[case] mode: FaultMode) {
    let deployment = SmallDeployment::start(SmallFleet::proxied_spec());
    for target in &deployment.targets {
        target.proxy.as_ref().expect("the target has a proxy").set_mode(mode);
    }
    let address = deployment.entry_addresses()[0];
    let record = SmallFleet::send_order(address, SmallFleet::order_call("order-2"));
    let executions = deployment.executions.executions("order-2");
    assert!(executions <= 1, "the order ran {executions} times");
    if record.outcome == CallOutcome::NotRun {
        assert_eq!(executions, 0, "the caller was told that the order had not run");
    }
    if record.outcome == CallOutcome::Completed {
        assert_eq!(executions, 1, "the caller was told that the order had run");
    }
}
