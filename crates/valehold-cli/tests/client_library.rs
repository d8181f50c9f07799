//! A client library of the interface, unmodified.

mod support;

use async_openai::{
    Client,
    config::OpenAIConfig,
    error::OpenAIError,
    types::chat::{
        ChatCompletionRequestUserMessageArgs, CreateChatCompletionRequest,
        CreateChatCompletionRequestArgs,
    },
    types::completions::CreateCompletionRequestArgs,
};
use futures::StreamExt;
use googletest::prelude::*;

use crate::support::{Deployment, expected_answer};

fn client(deployment: &Deployment, key: &str) -> Client<OpenAIConfig> {
    let address = deployment.instances[0].callers;
    let config = OpenAIConfig::new()
        .with_api_base(format!("http://{address}/v1"))
        .with_api_key(key);
    Client::with_config(config)
}

fn question(model: &str) -> CreateChatCompletionRequest {
    let message = ChatCompletionRequestUserMessageArgs::default()
        .content("Where do I charge next?")
        .build()
        .unwrap();
    CreateChatCompletionRequestArgs::default()
        .model(model)
        .messages([message.into()])
        .build()
        .unwrap()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_client_library_is_served_streaming_and_not() {
    let deployment = Deployment::small(1).await;
    let client = client(&deployment, "example-key-one");

    let answer = client.chat().create(question("twin")).await.unwrap();
    let text = answer.choices[0].message.content.clone();
    expect_that!(text, some(eq(&expected_answer("twin"))));
    expect_that!(answer.usage.is_some(), eq(true));

    // An adapter is named as a model.
    let stream = client.chat().create_stream(question("single-a")).await;
    let chunks: Vec<_> = stream.unwrap().collect().await;
    let mut whole = String::new();
    for chunk in chunks {
        let choice = &chunk.unwrap().choices[0];
        whole.push_str(choice.delta.content.as_deref().unwrap_or_default());
    }
    expect_that!(whole, eq(&expected_answer("single-a")));

    let request = CreateCompletionRequestArgs::default()
        .model("single")
        .prompt("Where")
        .build()
        .unwrap();
    let answer = client.completions().create(request).await.unwrap();
    expect_that!(answer.choices[0].text, eq(&expected_answer("single")));

    let models = client.models().list().await.unwrap();
    let names: Vec<String> = models.data.into_iter().map(|m| m.id).collect();
    expect_that!(
        names,
        unordered_elements_are![eq("twin"), eq("single"), eq("single-a"),]
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_client_library_reads_the_refusals() {
    let deployment = Deployment::small(1).await;
    let cases = [
        ("wrong key", "twin", "bad_key"),
        ("example-key-one", "none", "unknown_model"),
    ];
    for (key, model, wanted) in cases {
        let client = client(&deployment, key);
        let error = client.chat().create(question(model)).await.unwrap_err();
        let OpenAIError::ApiError(error) = error else {
            panic!("not read as a refusal: {error}");
        };
        expect_that!(format!("{error:?}"), contains_substring(wanted));
    }
}
