//! Lookup of routes and choice of services.

use std::time::Duration;

use cv_dispatch::AcceptedRoute;
use cv_dispatch::CallerLimits;
use cv_dispatch::JobRoute;
use cv_dispatch::RouteKind;
use cv_dispatch::RouteRule;
use cv_dispatch::RouteTable;
use cv_dispatch::ServiceShare;

/// A route of idempotent requests with the given services and weights.
fn route(host: &str, prefix: &str, shares: &[(&str, u32)]) -> RouteRule {
    RouteRule {
        abandon_after: Duration::MAX,
        due_after: Duration::from_secs(18),
        host: host.to_owned(),
        is_anonymous: false,
        kind: RouteKind::Safe,
        max_attempts: 2,
        name: prefix.to_owned(),
        objective: Duration::from_millis(300),
        prefix: prefix.to_owned(),
        priority: 0,
        resumable: false,
        services: shares
            .iter()
            .map(|(service, weight)| ServiceShare {
                service: (*service).to_owned(),
                weight: *weight,
            })
            .collect(),
        timeout: Duration::from_secs(5),
        max_queued_tokens: 0,
    }
}

#[test]
fn the_longest_matching_prefix_of_the_host_is_used() {
    let routes = vec![
        route("one", "/a/", &[("short", 1)]),
        route("one", "/a/b/", &[("long", 1)]),
        route("two", "/a/", &[("other", 1)]),
    ];
    let limits = CallerLimits { max_body_bytes: 1 };
    let table = RouteTable::new(1, limits, routes, Vec::new());
    let found = |host, path| table.find(host, path).and_then(|route| route.pick_service(0));
    assert_eq!(found("one", "/a/b/c"), Some("long"));
    assert_eq!(found("one", "/a/bc"), Some("short"));
    assert_eq!(found("two", "/a/b/c?x=/a/"), Some("other"));
    assert_eq!(found("one", "/b/"), None);
    assert_eq!(found("three", "/a/"), None);
}

#[test]
fn requests_are_split_by_weight() {
    let split = route("one", "/a/", &[("large", 90), ("small", 10), ("none", 0)]);
    let picks: Vec<&str> = (0..100).filter_map(|random| split.pick_service(random)).collect();
    assert_eq!(picks.iter().filter(|service| **service == "large").count(), 90);
    assert_eq!(picks.iter().filter(|service| **service == "small").count(), 10);
    assert_eq!(route("one", "/a/", &[]).pick_service(3), None);
}

#[test]
fn only_safe_requests_and_resumable_streams_may_be_repeated() {
    let mut rule = route("one", "/a/", &[("x", 1)]);
    assert!(rule.may_repeat());
    for (kind, resumable, expected) in [
        (RouteKind::Unsafe, false, false),
        (RouteKind::Unsafe, true, false),
        (RouteKind::Streaming, false, false),
        (RouteKind::Streaming, true, true),
    ] {
        (rule.kind, rule.resumable) = (kind, resumable);
        assert_eq!(rule.may_repeat(), expected, "{kind:?} {resumable}");
    }
}

/// A batch route with a name and prefix.
fn batch_route(name: &str, prefix: &str) -> RouteRule {
    let rule = route("one", prefix, &[(name, 1)]);
    RouteRule { kind: RouteKind::Batch, name: name.to_owned(), ..rule }
}

/// A configuration of a version with the given routes.
fn table(version: u64, routes: Vec<RouteRule>) -> RouteTable {
    RouteTable::new(version, CallerLimits { max_body_bytes: 1 }, routes, Vec::new())
}

/// Returns the service of a job's route; an error says whether the route has ended.
fn service_of(table: &RouteTable, accepted: &AcceptedRoute) -> Result<String, bool> {
    match table.job_route(accepted) {
        JobRoute::InForce(rule) => Ok(rule.services[0].service.clone()),
        JobRoute::Ended => Err(true),
        JobRoute::Unknown => Err(false),
    }
}

#[test]
fn a_job_belongs_to_the_route_that_accepted_it() {
    let jobs = batch_route("jobs", "/a/");
    let accepting = table(5, vec![jobs.clone()]);
    let accepted = accepting.accepting_route("one", "/a/b/c").expect("a batch route");
    let stream = RouteRule { kind: RouteKind::Streaming, ..batch_route("stream", "/a/b/") };
    let with_stream = table(6, vec![jobs.clone(), stream.clone()]);
    let below = table(7, vec![jobs.clone(), batch_route("below", "/a/b/")]);
    let moved = table(8, vec![batch_route("jobs", "/z/"), batch_route("other", "/a/")]);
    for table in [&accepting, &with_stream, &below, &moved] {
        assert_eq!(service_of(table, &accepted), Ok("jobs".to_owned()));
    }
    // New submissions follow the longest prefix.
    assert_eq!(with_stream.accepting_route("one", "/a/b/c"), None);
    let later = below.accepting_route("one", "/a/b/c").expect("a batch route");
    assert_eq!(service_of(&below, &later), Ok("below".to_owned()));
    // Jobs without a recorded route go on at the batch route with the longest prefix.
    assert_eq!(with_stream.find_batch("one", "/a/b/c").map(|rule| &*rule.name), Some("jobs"));
    assert_eq!(below.find_batch("one", "/a/b/c").map(|rule| &*rule.name), Some("below"));
}

#[test]
fn only_a_newer_configuration_ends_a_route() {
    let accepted = table(5, vec![batch_route("jobs", "/a/")]).accepting_route("one", "/a/b");
    let accepted = accepted.expect("a batch route");
    let others = vec![batch_route("other", "/a/")];
    let unbatched = RouteRule { kind: RouteKind::Safe, ..batch_route("jobs", "/a/") };
    assert_eq!(service_of(&table(4, others.clone()), &accepted), Err(false));
    assert_eq!(service_of(&table(6, others), &accepted), Err(true));
    assert_eq!(service_of(&table(6, vec![unbatched]), &accepted), Err(true));
}

#[test]
fn a_job_keeps_the_longer_time_limit() {
    let limited = |seconds| RouteRule {
        abandon_after: Duration::from_secs(seconds),
        ..batch_route("jobs", "/a/")
    };
    let accepted = AcceptedRoute::new(&limited(60), 5);
    assert_eq!(accepted.abandon_limit(&limited(5)), Duration::from_mins(1));
    assert_eq!(accepted.abandon_limit(&limited(90)), Duration::from_secs(90));
}
