//! Tests a job and a request through one gate with embedded stand-ins.

use std::path::Path;

use wigeongate::client::client;
use wigeongate::dev::{Dev, Options};
use wigeongate_core::job::{JobSpec, Outcome};

const KEY: &str = "example-key-aarhus";

fn example(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(name)
}

#[tokio::test]
async fn a_job_and_a_request_succeed_and_an_unknown_key_is_refused() {
    let inventory = example("smakrav/inventory.yaml");
    let rules = example("smakrav/rules.yaml");
    let options = Options {
        inventory: &inventory,
        rules: &rules,
        key: KEY,
        metrics: None,
    };
    let dev = Dev::start(&options).await.expect("the gate starts");

    let spec = JobSpec {
        queue: "bundles".into(),
        tasks: 3,
        command: vec!["sleep".to_owned(), "10".to_owned()],
        ..JobSpec::default()
    };
    let outcome = dev.submit(KEY, &spec).await.expect("the job is accepted");
    assert_eq!(outcome, Outcome::Succeeded);

    let url = format!(
        "http://{}/v1/queues/validations/requests/check",
        dev.address
    );
    let response = client()
        .post(&url)
        .bearer_auth(KEY)
        .body("packet 7")
        .send()
        .await;
    let response = response.expect("the gate responds");
    assert_eq!(response.status().as_u16(), 200);
    assert_eq!(
        response.text().await.expect("the response is complete"),
        "packet 7"
    );

    let refused = client()
        .post(&url)
        .bearer_auth("no such key")
        .body("packet 8")
        .send()
        .await;
    assert_eq!(refused.expect("the gate responds").status().as_u16(), 401);
    dev.stop().await.expect("the gate stops");
}
