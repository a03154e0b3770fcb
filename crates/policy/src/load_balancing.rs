//! Load balancing: the choice of the endpoint for an attempt.

mod latency;

use crate::api::{Class, EndpointId, Idempotency};
use crate::endpoints::Endpoint;
use crate::engine::Policy;
use crate::request_lifecycle::InFlightRequest;

pub(crate) use latency::{BaselineUpdate, LatencyEstimates, Slowdown};

/// Minimum number of endpoints sampled for an attempt: enough to tell whether most are in good health.
const CANDIDATE_SAMPLE_SIZE: usize = 8;
/// Maximum difference between a zone's slowdown and the fastest zone's (natural logarithm). Slower zones are
/// left out.
const MAX_ZONE_SLOWDOWN: f64 = 0.8;
/// Factor on the load of endpoints in other zones, where attempts across zones have a price.
const CROSS_ZONE_LOAD_FACTOR: f64 = 2.5;
/// Lower bound of a rating, since the load is divided by it.
const MIN_RATING: f64 = 0.01;

/// Health of an endpoint that is eligible for a request.
enum CandidateHealth {
    Good,
    /// To be avoided while enough others are in good health.
    Poor,
    /// Ejected because no connection could be established.
    Unreachable,
}

/// The endpoints sampled for an attempt, by health.
#[derive(Default)]
struct Candidates {
    good: Vec<EndpointId>,
    poor: Vec<EndpointId>,
    unreachable: Vec<EndpointId>,
}

impl Policy {
    /// Chooses an endpoint by the power of two choices among a random sample, comparing the requests in
    /// flight weighted by size, latency and zone.
    ///
    /// Endpoints in poor health are left out unless they are the majority. Unreachable ones are used only if
    /// there is no other.
    pub(crate) fn choose_endpoint(&mut self, in_flight: &InFlightRequest) -> Option<EndpointId> {
        let Candidates { mut good, poor, unreachable } = self.draw_candidates(in_flight);
        if good.len() < poor.len() {
            good.extend(poor);
        }
        self.drop_slow_zones(&mut good);
        let mut candidates = if good.is_empty() { unreachable } else { good };
        self.rng.shuffle(&mut candidates);
        // Comparing is occasionally skipped, so that an endpoint that loses every comparison is still tried.
        let skip_comparison = self.rng.usize(0..self.endpoints.active_count().max(1)) == 0;
        candidates.truncate(if skip_comparison { 1 } else { 2 });
        candidates.into_iter().min_by(|a, b| self.load(*a).total_cmp(&self.load(*b)))
    }

    fn draw_candidates(&mut self, in_flight: &InFlightRequest) -> Candidates {
        let mut candidates = Candidates::default();
        for position in 0..self.endpoints.active_count() {
            if position >= CANDIDATE_SAMPLE_SIZE && candidates.good.len() > 1 {
                break;
            }
            let id = self.endpoints.draw(position, &mut self.rng);
            match self.candidate_health(in_flight, id) {
                Some(CandidateHealth::Good) => candidates.good.push(id),
                Some(CandidateHealth::Poor) => candidates.poor.push(id),
                Some(CandidateHealth::Unreachable) => candidates.unreachable.push(id),
                None => {}
            }
        }
        candidates
    }

    /// Removes candidates in zones that are much slower than the fastest one.
    ///
    /// Guards against a slow, lossy network path to a zone. An instance that sends each endpoint there few
    /// requests can't detect it by endpoint. An overloaded or unreachable zone looks the same. The cost is
    /// that the other zones take its load.
    fn drop_slow_zones(&self, candidates: &mut Vec<EndpointId>) {
        let fastest = candidates.iter().map(|id| self.zone_slowdown(*id)).fold(f64::INFINITY, f64::min);
        candidates.retain(|id| self.zone_slowdown(*id) <= fastest + MAX_ZONE_SLOWDOWN);
    }

    /// Returns the health of an endpoint, or none if it is not eligible for this request.
    fn candidate_health(&mut self, in_flight: &InFlightRequest, id: EndpointId) -> Option<CandidateHealth> {
        let endpoint = self.endpoints.get(id)?;
        let record = endpoint.record;
        let ejected = endpoint.health.is_ejected(self.now);
        let unreachable = endpoint.health.is_unreachable();
        let fault_ratio = endpoint.health.fault_ratio();
        let eligible = self.exposure_allows_attempt(record.build, in_flight.request.class)
            && self.key_allows_build(in_flight.request.key, record.build)
            && self.retry_allows(in_flight, &record)
            && self.slow_start_allows(id, &in_flight.request);
        if !eligible {
            return None;
        }
        let suspect = self.avoids_suspects(in_flight) && self.is_suspect(fault_ratio, record.build);
        if ejected && unreachable {
            Some(CandidateHealth::Unreachable)
        } else if in_flight.was_sent_to(id) || ejected || suspect || self.is_avoided(record.build) {
            Some(CandidateHealth::Poor)
        } else {
            Some(CandidateHealth::Good)
        }
    }

    /// Returns whether a request must avoid suspect endpoints: it must not run twice, while those of other
    /// classes may. Requests of these classes find out whether a suspect endpoint has recovered.
    fn avoids_suspects(&self, in_flight: &InFlightRequest) -> bool {
        let is_non_idempotent = |class: &Class| class.idempotency == Idempotency::NonIdempotent;
        let classes = &self.config.classes;
        is_non_idempotent(&classes[in_flight.request.class.0]) && !classes.iter().all(is_non_idempotent)
    }

    fn zone_slowdown(&self, id: EndpointId) -> f64 {
        self.endpoints.get(id).map_or(0.0, |e| self.latency.zone_slowdown(self.now, e.record.zone))
    }

    fn load(&self, id: EndpointId) -> f64 {
        self.endpoints.get(id).map_or(f64::INFINITY, |endpoint| self.load_of(endpoint))
    }

    /// Returns the number of requests in flight plus one, weighted by latency, size and zone.
    fn load_of(&self, endpoint: &Endpoint) -> f64 {
        let other_zone = endpoint.record.zone != self.config.zone;
        let zone_factor =
            if other_zone && self.config.cross_zone_price > 0.0 { CROSS_ZONE_LOAD_FACTOR } else { 1.0 };
        let slow_start_factor = self.slow_start_factor(&endpoint.record).unwrap_or(1.0);
        let size = endpoint.record.rating.max(MIN_RATING) * slow_start_factor;
        let slowdown = endpoint.health.slowdown(self.now);
        f64::from(endpoint.in_flight + 1) * slowdown.exp() / size * zone_factor
    }
}
