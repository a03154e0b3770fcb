//! Load balancing: which endpoint an attempt goes to.

mod latency;

use crate::api::{Class, EndpointId, Idempotency};
use crate::endpoints::Endpoint;
use crate::engine::Policy;
use crate::request_lifecycle::InFlightRequest;

pub(crate) use latency::{BaselineUpdate, LatencyEstimates, Slowdown};

/// Endpoints drawn for an attempt: enough to tell whether most are in good health.
const CANDIDATES_DRAWN: usize = 8;
/// Logarithm by which a zone must be slower of late than another to be left out.
const ZONE_SLOWDOWN_MAX: f64 = 0.8;
/// How much heavier an endpoint in another zone counts where crossing zones has a price.
const CROSS_ZONE_FACTOR: f64 = 2.5;
/// Ratings below this count as this: the load is divided by them.
const MIN_RATING: f64 = 0.01;

/// What health says of an endpoint that the rules allow.
enum CandidateHealth {
    Good,
    /// Advised against.
    Poor,
    /// Could not be reached of late.
    Unreachable,
}

/// The endpoints drawn for an attempt, by health.
#[derive(Default)]
struct Candidates {
    good: Vec<EndpointId>,
    poor: Vec<EndpointId>,
    unreachable: Vec<EndpointId>,
}

impl Policy {
    /// Power of two choices by requests in flight, for size, latency and zone, among a few endpoints drawn.
    /// Those that health advises against are left out unless they are most; unreachable ones are used if
    /// there is no other.
    pub(crate) fn choose_endpoint(&mut self, in_flight: &InFlightRequest) -> Option<EndpointId> {
        let Candidates { mut good, poor, unreachable } = self.draw_candidates(in_flight);
        if good.len() < poor.len() {
            good.extend(poor);
        }
        self.drop_slow_zones(&mut good);
        let mut candidates = if good.is_empty() { unreachable } else { good };
        self.rng.shuffle(&mut candidates);
        // Now and then one is drawn alone: an endpoint that loses every comparison is still tried.
        let alone = self.rng.usize(0..self.endpoints.active_count().max(1)) == 0;
        candidates.truncate(if alone { 1 } else { 2 });
        candidates.into_iter().min_by(|a, b| self.load(*a).total_cmp(&self.load(*b)))
    }

    fn draw_candidates(&mut self, in_flight: &InFlightRequest) -> Candidates {
        let mut candidates = Candidates::default();
        for position in 0..self.endpoints.active_count() {
            if position >= CANDIDATES_DRAWN && candidates.good.len() > 1 {
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

    /// Danger: the way to a zone is slow and lossy; an instance meets each endpoint there too rarely to know.
    /// What else: a zone that is overloaded or cut off. Harm: the other zones carry its load.
    fn drop_slow_zones(&self, candidates: &mut Vec<EndpointId>) {
        let fastest = candidates.iter().map(|id| self.zone_slowdown(*id)).fold(f64::INFINITY, f64::min);
        candidates.retain(|id| self.zone_slowdown(*id) <= fastest + ZONE_SLOWDOWN_MAX);
    }

    /// What health says of an endpoint that the rules allow for this request; none: a rule forbids it.
    fn candidate_health(&mut self, in_flight: &InFlightRequest, id: EndpointId) -> Option<CandidateHealth> {
        let endpoint = self.endpoints.get(id)?;
        let record = endpoint.record;
        let ejected = endpoint.health.is_ejected(self.now);
        let unreachable = endpoint.health.is_unreachable();
        let fault_ratio = endpoint.health.fault_ratio();
        let allowed = self.exposure_allows(record.build, in_flight.request.class)
            && self.key_allows(in_flight.request.key, record.build)
            && self.retry_allows(in_flight, &record)
            && self.slow_start_allows(id, &in_flight.request);
        if !allowed {
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

    /// Whether a request must not run twice, where requests of other classes may: those others, not this one,
    /// are to find out whether an endpoint that failed of late serves again.
    fn avoids_suspects(&self, in_flight: &InFlightRequest) -> bool {
        let once = |class: &Class| class.idempotency == Idempotency::NonIdempotent;
        let classes = &self.config.classes;
        once(&classes[in_flight.request.class.0]) && !classes.iter().all(once)
    }

    fn zone_slowdown(&self, id: EndpointId) -> f64 {
        self.endpoints.get(id).map_or(0.0, |e| self.latency.zone_slowdown(self.now, e.record.zone))
    }

    fn load(&self, id: EndpointId) -> f64 {
        self.endpoints.get(id).map_or(f64::INFINITY, |endpoint| self.load_of(endpoint))
    }

    /// Requests in flight with one more, weighed by latency, size and zone.
    fn load_of(&self, endpoint: &Endpoint) -> f64 {
        let other_zone = endpoint.record.zone != self.config.zone;
        let zone_factor =
            if other_zone && self.config.cross_zone_price > 0.0 { CROSS_ZONE_FACTOR } else { 1.0 };
        let slow_start_factor = self.slow_start_factor(&endpoint.record).unwrap_or(1.0);
        let size = endpoint.record.rating.max(MIN_RATING) * slow_start_factor;
        let slowdown = endpoint.health.slowdown(self.now);
        f64::from(endpoint.in_flight + 1) * slowdown.exp() / size * zone_factor
    }
}
