//! Time units in microseconds, the unit of the caller's clock.

use crate::api::Micros;

pub(crate) const MILLISECOND: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000 * MILLISECOND;
