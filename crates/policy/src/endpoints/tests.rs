use super::Endpoint;

#[test]
fn an_endpoint_takes_at_most_256_bytes() {
    // Documented in docs/sizes.md. The work sent to an endpoint that is warming up takes a few entries more.
    assert!(size_of::<Endpoint>() <= 256, "an endpoint takes {} bytes", size_of::<Endpoint>());
}
