//! The examples of the API reference work as they stand.

use cv_bench::deployment::AdminClient;
use cv_bench::deployment::DeploymentSpec;
use cv_bench::deployment::SmallDeployment;
use cv_http::ClientRequest;
use cv_tests::SmallFleet;
use http::Method;
use tempfile::TempDir;

/// The page with the examples.
const PAGE: &str = include_str!("../../docs/API.md");

/// One example: its method, path and body.
struct ApiExample {
    body: String,
    method: Method,
    path: String,
}

/// Reads the examples: blocks of a request line and a body.
fn examples() -> Vec<ApiExample> {
    let blocks = PAGE.split("```http\n").skip(1).filter_map(|rest| rest.split("```").next());
    blocks
        .map(|block| {
            let (line, body) = block.split_once('\n').expect("a request line");
            let (method, path) = line.split_once(' ').expect("a method and a path");
            ApiExample {
                body: body.to_owned(),
                method: method.parse().expect("a method"),
                path: path.to_owned(),
            }
        })
        .collect()
}

#[test]
fn every_example_of_the_api_reference_is_answered_with_success() {
    let folder = TempDir::new().expect("a folder");
    let mut spec: DeploymentSpec = SmallFleet::proxied();
    spec.data = Some(folder.path().to_owned());
    spec.entries = 3;
    let deployment = SmallDeployment::start(spec);
    let client = AdminClient::new(deployment.entry_addresses()[0]);
    let examples = examples();
    assert!(examples.len() >= 12, "{} examples", examples.len());
    for example in examples {
        let ApiExample { body, method, path } = example;
        let request = ClientRequest::new(method, path.clone(), body);
        let response = client.call(request).expect("an answer");
        let text = String::from_utf8_lossy(&response.body).into_owned();
        assert!(response.status.is_success(), "{path}: {} {text}", response.status);
    }
}
