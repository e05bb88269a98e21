"""Settings of the traffic to other failure domains."""

import collections.abc
import dataclasses

__all__ = ["DomainSettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class DomainSettings:
    """Settings of the traffic to other failure domains.

    Attributes:
        byte_price_s: Delay that is as bad as sending a megabyte to another
            failure domain, in seconds.
        leave_busy_share: Share of busy slots of the own domain above which
            calls leave it.
        target_busy_share: Share of busy slots that is left to the own domain
            when calls leave it.
        return_busy_share: Share of busy slots of the own domain below which
            calls return to it.
        spare_busy_share: Share of busy slots up to which another domain is
            filled. Below `leave_busy_share`, so that calls sent to a domain
            do not displace its own.
        delay_s: One-way delay to another domain that is assumed until a longer
            one is measured, in seconds.
        delays_s: One-way delays by failure domain, in seconds; not measured
            for these.
        max_delay_share: Share of the time left until the response-time
            objective that a call may lose by leaving.
        horizon_s: Time for which the growth of the queue is predicted, in
            seconds.
        drain_s: Time in which waiting calls are to be worked off, in seconds.
        smoothing_s: Time constant of the average of the reported load, in
            seconds.
        lag_s: Mean time from a change of the split until the reported loads
            show it, in seconds.
        gain: Share of the spare capacity taken in one `lag_s`.
        return_share_per_s: Maximum decrease in one second of the share of
            calls that leave.
        max_report_age_s: Age of a report above which an upstream of another
            domain has no spare capacity, in seconds.
    """

    byte_price_s: float = 0.1
    leave_busy_share: float = 0.97
    target_busy_share: float = 0.92
    return_busy_share: float = 0.85
    spare_busy_share: float = 0.95
    delay_s: float = 0.001
    delays_s: collections.abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    max_delay_share: float = 0.1
    horizon_s: float = 1.0
    drain_s: float = 0.5
    smoothing_s: float = 0.2
    lag_s: float = 0.5
    gain: float = 0.8
    return_share_per_s: float = 0.5
    max_report_age_s: float = 1.0
