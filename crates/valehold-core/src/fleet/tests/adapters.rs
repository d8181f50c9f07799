//! Tests of the placement of adapters and the choice of adapters to unload.

use std::collections::BTreeMap;

use googletest::prelude::*;

use super::replicas::{holding, spec};
use crate::{
    Millis,
    fleet::{
        Variant,
        adapters::{
            AdapterHost, AdapterStep, AdapterUsage, host_with_fewest_adapters,
            place_adapter,
        },
        model_sizes::ModelSizes,
    },
    id::{ModelName, UpstreamId},
};

fn adapted(adapter: &str) -> Variant {
    Variant::adapted("m0", adapter)
}

/// Returns the sizes that the specification declares.
fn sizes() -> ModelSizes {
    ModelSizes::declared_by(&spec(3))
}

fn no_usage(_: &Variant) -> AdapterUsage {
    AdapterUsage::default()
}

#[gtest]
fn an_engine_with_a_free_place_is_preferred() {
    let (full, free) =
        (holding(&[("m0", &["a1", "a2"])]), holding(&[("m0", &["a3"])]));
    let (one, two) = (UpstreamId::new("e1"), UpstreamId::new("e2"));
    let recent = BTreeMap::new();
    let hosts = [
        AdapterHost { engine: &one, holding: &full, recent: &recent },
        AdapterHost { engine: &two, holding: &free, recent: &recent },
    ];
    let step =
        place_adapter(&adapted("a4"), &hosts, &spec(3), &sizes(), no_usage);
    expect_that!(step, some(eq(&AdapterStep::Load(two.clone()))));
}

#[gtest]
fn adapters_in_use_or_recently_loaded_are_not_unloaded() {
    let full = holding(&[("m0", &["a1", "a2"])]);
    let one = UpstreamId::new("e1");
    let recent = BTreeMap::new();
    let hosts =
        [AdapterHost { engine: &one, holding: &full, recent: &recent }];
    let usage_of = |running: &'static [&str]| {
        move |variant: &Variant| {
            let name = variant.adapter.as_ref().unwrap().as_str();
            let requests_per_second = if name == "a2" { 9.0 } else { 0.1 };
            AdapterUsage {
                requests_per_second,
                is_running: running.contains(&name),
            }
        }
    };
    let step = place_adapter(
        &adapted("a4"),
        &hosts,
        &spec(3),
        &sizes(),
        usage_of(&["a1"]),
    );
    let expected =
        AdapterStep::MakeRoom { engine: one.clone(), victim: adapted("a2") };
    expect_that!(step, some(eq(&expected)));
    let step = place_adapter(
        &adapted("a4"),
        &hosts,
        &spec(3),
        &sizes(),
        usage_of(&["a1", "a2"]),
    );
    expect_that!(step, none());
    // A recently loaded adapter is not unloaded either.
    let recent = BTreeMap::from([(adapted("a2"), Millis::new(1))]);
    let hosts =
        [AdapterHost { engine: &one, holding: &full, recent: &recent }];
    let step = place_adapter(
        &adapted("a4"),
        &hosts,
        &spec(3),
        &sizes(),
        usage_of(&["a1"]),
    );
    expect_that!(step, none());
}

#[gtest]
fn an_adapter_is_not_placed_on_an_engine_without_its_model() {
    let other = holding(&[("m1", &[])]);
    let one = UpstreamId::new("e1");
    let recent = BTreeMap::new();
    let hosts =
        [AdapterHost { engine: &one, holding: &other, recent: &recent }];
    let step =
        place_adapter(&adapted("a1"), &hosts, &spec(3), &sizes(), no_usage);
    expect_that!(step, none());
}

#[gtest]
fn the_engine_with_the_fewest_adapters_and_room_is_chosen() {
    let model = ModelName::new("m1");
    let (one, two) = (UpstreamId::new("e1"), UpstreamId::new("e2"));
    let three = UpstreamId::new("e3");
    let one_adapter = holding(&[("m0", &["a1"]), ("m1", &[])]);
    let fewer = holding(&[("m1", &[])]);
    let full = holding(&[("m1", &["a1", "a2"])]);
    let other = holding(&[("m0", &[])]);
    let recent = BTreeMap::new();
    let host =
        |engine, holding| AdapterHost { engine, holding, recent: &recent };
    let hosts =
        [host(&one, &one_adapter), host(&two, &fewer), host(&three, &full)];
    let spec = spec(3);
    expect_that!(
        host_with_fewest_adapters(&hosts, &model, &spec, &sizes()),
        some(eq(&two))
    );
    expect_that!(
        host_with_fewest_adapters(&hosts[..1], &model, &spec, &sizes()),
        some(eq(&one))
    );
    // An engine without a free place is not chosen, nor is an engine without
    // the model.
    expect_that!(
        host_with_fewest_adapters(&hosts[2..], &model, &spec, &sizes()),
        none()
    );
    let hosts = [host(&one, &other)];
    expect_that!(
        host_with_fewest_adapters(&hosts, &model, &spec, &sizes()),
        none()
    );
}
