//! Passes over waiting items of several services.

use cv_dispatch::DispatchPass;

// Guards against a service without targets that keeps the items of the other services waiting.
#[test]
fn a_pass_goes_on_until_no_service_has_room() {
    let mut pass = DispatchPass::default();
    for service in ["nightly", "llm", "nightly"] {
        pass.add_service(service);
    }
    pass.record_full("nightly");
    assert!(!pass.may_have_room("nightly"));
    assert!(pass.may_have_room("llm"));
    assert!(!pass.is_over());
    pass.record_full("llm");
    assert!(pass.is_over());
}

#[test]
fn a_pass_without_services_is_over() {
    assert!(DispatchPass::default().is_over());
}
