//! Every example of the API reference succeeds against a running deployment.

use cv_bench::deployment::AdminClient;
use cv_bench::deployment::DeploymentSpec;
use cv_bench::deployment::SmallDeployment;
use cv_http::ClientRequest;
use cv_tests::SmallFleet;
use http::Method;
use tempfile::TempDir;

/// The API reference, which contains the examples.
const PAGE: &str = include_str!("../../docs/API.md");

/// One example request.
struct ApiExample {
    body: String,
    method: Method,
    path: String,
}

/// Parses the examples from the `http` code blocks, which hold a request line and a body.
fn examples() -> Vec<ApiExample> {
    let blocks = PAGE.split("```http\n").skip(1).filter_map(|rest| rest.split("```").next());
    blocks
        .map(|block| {
            let (line, body) = block.split_once('\n').expect("the block has a request line");
            let (method, path) =
                line.split_once(' ').expect("the request line has a method and a path");
            ApiExample {
                body: body.to_owned(),
                method: method.parse().expect("the method is valid"),
                path: path.to_owned(),
            }
        })
        .collect()
}

#[test]
fn every_example_of_the_api_reference_succeeds() {
    let folder = TempDir::new().expect("a temporary folder");
    let mut spec: DeploymentSpec = SmallFleet::proxied_spec();
    spec.data = Some(folder.path().to_owned());
    spec.entries = 3;
    let deployment = SmallDeployment::start(spec);
    let client = AdminClient::new(deployment.entry_addresses()[0]);
    let examples = examples();
    assert!(examples.len() >= 12, "{} examples", examples.len());
    for example in examples {
        let ApiExample { body, method, path } = example;
        let request = ClientRequest::new(method, path.clone(), body);
        let response = client.call(request).expect("the entry responds");
        let text = String::from_utf8_lossy(&response.body).into_owned();
        assert!(response.status.is_success(), "{path}: {} {text}", response.status);
    }
}
