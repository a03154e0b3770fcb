//! Identifiers, and the unit of time.

/// A time on the caller's clock, or a duration, in microseconds.
pub type Micros = u64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A client's request, numbered by the caller.
    RequestId(u32);
    /// An endpoint, numbered by the caller of this instance.
    EndpointId(u32);
    /// The subject of a request, shared by the requests that belong together.
    KeyId(u32);
    /// A build of the servers' software; later builds have higher numbers.
    Build(u32);
    /// Position in [`Config::classes`](super::Config::classes).
    ClassId(usize);
    /// Position in [`Config::tenants`](super::Config::tenants).
    TenantId(usize);
    /// Position in the caller's list of zones.
    ZoneId(usize);
    /// Position in the caller's list of endpoint kinds (hardware types).
    KindId(usize);
    /// A small group of endpoints that share their record of idempotency keys.
    CellId(u32);
    /// Another instance of the same tier.
    PeerId(u32);
}
