use super::Endpoint;

#[test]
fn an_endpoint_costs_a_few_hundred_bytes() {
    // docs/sizes.md says so; what is sent while it warms up comes to a few entries more.
    assert!(size_of::<Endpoint>() <= 256, "{} bytes", size_of::<Endpoint>());
}
