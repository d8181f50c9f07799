//! Where an adapter goes, and what makes way.

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;

use super::replicas::{holding, spec};
use crate::{
    fleet::{
        Variant,
        adapters::{AdapterHost, AdapterStep, next_to_bring, place_adapter},
    },
    id::UpstreamId,
};

fn adapted(adapter: &str) -> Variant {
    Variant::adapted("m0", adapter)
}

#[gtest]
fn a_free_place_goes_first() {
    let (full, free) =
        (holding(&[("m0", &["a1", "a2"])]), holding(&[("m0", &["a3"])]));
    let (one, two) = (UpstreamId::new("e1"), UpstreamId::new("e2"));
    let kept = BTreeSet::new();
    let hosts = [
        AdapterHost { engine: &one, holding: &full, kept: &kept },
        AdapterHost { engine: &two, holding: &free, kept: &kept },
    ];
    let step =
        place_adapter(&adapted("a4"), &hosts, &spec(3), &BTreeMap::new());
    expect_that!(step, some(eq(&AdapterStep::Load(two.clone()))));
}

#[gtest]
fn what_is_in_use_does_not_make_way() {
    let full = holding(&[("m0", &["a1", "a2"])]);
    let one = UpstreamId::new("e1");
    let kept = BTreeSet::from([adapted("a1")]);
    let hosts = [AdapterHost { engine: &one, holding: &full, kept: &kept }];
    let use_of = BTreeMap::from([(adapted("a2"), 9.0), (adapted("a1"), 0.1)]);
    let step = place_adapter(&adapted("a4"), &hosts, &spec(3), &use_of);
    let expected =
        AdapterStep::MakeRoom { engine: one.clone(), victim: adapted("a2") };
    expect_that!(step, some(eq(&expected)));
    let kept = BTreeSet::from([adapted("a1"), adapted("a2")]);
    let hosts = [AdapterHost { engine: &one, holding: &full, kept: &kept }];
    let step = place_adapter(&adapted("a4"), &hosts, &spec(3), &use_of);
    expect_that!(step, none());
}

#[gtest]
fn an_adapter_needs_its_model() {
    let other = holding(&[("m1", &[])]);
    let one = UpstreamId::new("e1");
    let kept = BTreeSet::new();
    let hosts = [AdapterHost { engine: &one, holding: &other, kept: &kept }];
    let step =
        place_adapter(&adapted("a1"), &hosts, &spec(3), &BTreeMap::new());
    expect_that!(step, none());
}

#[gtest]
fn free_places_are_filled_for_the_models_most_asked_for() {
    let both = holding(&[("m0", &[]), ("m1", &[])]);
    let one = UpstreamId::new("e1");
    let kept = BTreeSet::new();
    let hosts = [AdapterHost { engine: &one, holding: &both, kept: &kept }];
    let found = next_to_bring(
        &hosts,
        &spec(3),
        |variant| *variant == Variant::adapted("m1", "a1"),
        |model| f64::from(u8::from(model.as_str() == "m1")),
    );
    let expected = (one.clone(), Variant::adapted("m1", "a2"));
    expect_that!(found, some(eq(&expected)));
}
