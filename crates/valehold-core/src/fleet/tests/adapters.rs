//! Where an adapter goes, and what makes way.

use std::collections::BTreeMap;

use googletest::prelude::*;

use super::replicas::{holding, spec};
use crate::{
    Millis,
    fleet::{
        Variant,
        adapters::{
            AdapterHost, AdapterStep, AdapterUse, place_adapter, roomiest_host,
        },
    },
    id::{ModelName, UpstreamId},
};

fn adapted(adapter: &str) -> Variant {
    Variant::adapted("m0", adapter)
}

fn unused(_: &Variant) -> AdapterUse {
    AdapterUse::default()
}

#[gtest]
fn a_free_place_goes_first() {
    let (full, free) =
        (holding(&[("m0", &["a1", "a2"])]), holding(&[("m0", &["a3"])]));
    let (one, two) = (UpstreamId::new("e1"), UpstreamId::new("e2"));
    let young = BTreeMap::new();
    let hosts = [
        AdapterHost { engine: &one, holding: &full, young: &young },
        AdapterHost { engine: &two, holding: &free, young: &young },
    ];
    let step = place_adapter(&adapted("a4"), &hosts, &spec(3), unused);
    expect_that!(step, some(eq(&AdapterStep::Load(two.clone()))));
}

#[gtest]
fn what_is_in_use_does_not_make_way() {
    let full = holding(&[("m0", &["a1", "a2"])]);
    let one = UpstreamId::new("e1");
    let young = BTreeMap::new();
    let hosts = [AdapterHost { engine: &one, holding: &full, young: &young }];
    let use_of = |running: &'static [&str]| {
        move |variant: &Variant| {
            let name = variant.adapter.as_ref().unwrap().as_str();
            let requests = if name == "a2" { 9.0 } else { 0.1 };
            AdapterUse { requests, runs: running.contains(&name) }
        }
    };
    let step =
        place_adapter(&adapted("a4"), &hosts, &spec(3), use_of(&["a1"]));
    let expected =
        AdapterStep::MakeRoom { engine: one.clone(), victim: adapted("a2") };
    expect_that!(step, some(eq(&expected)));
    let step =
        place_adapter(&adapted("a4"), &hosts, &spec(3), use_of(&["a1", "a2"]));
    expect_that!(step, none());
    // One that came lately does not make way either.
    let young = BTreeMap::from([(adapted("a2"), Millis::new(1))]);
    let hosts = [AdapterHost { engine: &one, holding: &full, young: &young }];
    let step =
        place_adapter(&adapted("a4"), &hosts, &spec(3), use_of(&["a1"]));
    expect_that!(step, none());
}

#[gtest]
fn an_adapter_needs_its_model() {
    let other = holding(&[("m1", &[])]);
    let one = UpstreamId::new("e1");
    let young = BTreeMap::new();
    let hosts = [AdapterHost { engine: &one, holding: &other, young: &young }];
    let step = place_adapter(&adapted("a1"), &hosts, &spec(3), unused);
    expect_that!(step, none());
}

#[gtest]
fn the_engine_with_the_fewest_adapters_takes_another() {
    let model = ModelName::new("m1");
    let (one, two) = (UpstreamId::new("e1"), UpstreamId::new("e2"));
    let three = UpstreamId::new("e3");
    let one_adapter = holding(&[("m0", &["a1"]), ("m1", &[])]);
    let fewer = holding(&[("m1", &[])]);
    let full = holding(&[("m1", &["a1", "a2"])]);
    let other = holding(&[("m0", &[])]);
    let young = BTreeMap::new();
    let host =
        |engine, holding| AdapterHost { engine, holding, young: &young };
    let hosts =
        [host(&one, &one_adapter), host(&two, &fewer), host(&three, &full)];
    let spec = spec(3);
    expect_that!(roomiest_host(&hosts, &model, &spec), some(eq(&two)));
    expect_that!(roomiest_host(&hosts[..1], &model, &spec), some(eq(&one)));
    // Neither one whose places are taken, nor one without the model.
    expect_that!(roomiest_host(&hosts[2..], &model, &spec), none());
    let hosts = [host(&one, &other)];
    expect_that!(roomiest_host(&hosts, &model, &spec), none());
}
