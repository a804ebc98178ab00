"""The scenarios that policies are compared in."""

from __future__ import annotations

from kumquatmux_lab.queueing.backend import Machine
from kumquatmux_lab.queueing.model import Scenario
from kumquatmux_lab.queueing.workload import ZONES, Workload
from kumquatmux_placement.settings import PlacementSettings

SERVERS = 7
CREST_AT_S = 60.0
CREST_WINDOW_S = (60.0, 69.0)
MACHINES = tuple(
    Machine(f"127.0.1.{number + 1}:9000", ZONES[number % len(ZONES)])
    for number in range(SERVERS)
)


def steady(load: float) -> Scenario:
    """Return steady demand with 1% of work 50 times longer, sizes unknown."""
    return Scenario(f"load-{load}", Workload(load=load), MACHINES)


def varied(load: float) -> Scenario:
    """Return steady demand with run times that vary around their means."""
    return Scenario(f"varied-{load}", Workload(load=load, varied=True), MACHINES)


def known(load: float) -> Scenario:
    """Return steady demand whose sizes placement is told."""
    return Scenario(f"known-{load}", Workload(load=load, size_known=True), MACHINES)


def much_long(load: float) -> Scenario:
    """Return demand of known sizes with 5% of long work."""
    workload = Workload(load=load, size_known=True, long_share=0.05)
    return Scenario(f"much-long-{load}", workload, MACHINES)


def all_long(load: float) -> Scenario:
    """Return three servers that run nothing but long work, of known size."""
    workload = Workload(
        load=load, slots=6, short_s=1.0, long_share=1.0, size_known=True
    )
    return Scenario(f"all-long-{load}", workload, MACHINES[:3])


def named(load: float) -> Scenario:
    """Return steady demand whose long work comes from a few callers."""
    return Scenario(f"named-{load}", Workload(load=load, callers=200), MACHINES)


def crest(retries: int = 0) -> Scenario:
    """Return demand that swings up to three times within 2 s."""
    workload = Workload(load=0.5, duration_s=120.0, crest_at_s=CREST_AT_S)
    name = f"crest-{retries}-retries" if retries else "crest"
    return Scenario(name, workload, MACHINES, retries=retries, window_s=CREST_WINDOW_S)


def idle_liar() -> Scenario:
    """Return one server that always reports to be idle."""
    machines = (MACHINES[0]._replace(lies=True), *MACHINES[1:])
    return Scenario("idle-liar", Workload(), machines)


def slot_liar() -> Scenario:
    """Return one server that announces four times the slots it has."""
    machines = (MACHINES[0]._replace(claimed_slots=8), *MACHINES[1:])
    return Scenario("slot-liar", Workload(load=0.5), machines)


def cold() -> Scenario:
    """Return two servers that are three times slower at first."""
    machines = tuple(machine._replace(cold_from_s=0.0) for machine in MACHINES[:2])
    workload = Workload(load=0.7, duration_s=100.0)
    return Scenario("cold", workload, (*machines, *MACHINES[2:]), window_s=(0.0, 10.0))


def feeds() -> Scenario:
    """Return a fifth of the work as feeds that keep their connection."""
    workload = Workload(load=0.7, feed_share=0.2, feed_s=20.0)
    return Scenario("feeds", workload, MACHINES)


def take_over() -> Scenario:
    """Return steady demand, watched for 5 s once its placer was replaced."""
    return Scenario("take-over", Workload(), MACHINES, window_s=(41.5, 46.5))


def zones(load: float = 0.7) -> Scenario:
    """Return 5 ms one way between availability zones and to the placer."""
    return Scenario(
        f"zones-{load}",
        Workload(load=load),
        MACHINES,
        link_s=0.005,
        placer_zone=ZONES[0],
        settings=PlacementSettings(zone=ZONES[0]),  # type: ignore[arg-type]
    )
