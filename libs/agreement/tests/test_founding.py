from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_agreement.entries import (
    MAX_FOUNDING_VMS,
    founding_folder,
    founding_vms,
    shared_founding_state,
)

SEEDS = ("10.3.0.9", "10.1.0.13", "10.2.0.41")


# Guards against: seeds that were told the same list and make different clusters.
@given(st.permutations(SEEDS), st.lists(st.sampled_from(SEEDS)))
def test_all_seeds_make_the_same_first_state(order, repeated):
    vms = founding_vms((*order, *repeated))
    assert shared_founding_state(vms) == shared_founding_state(founding_vms(SEEDS))
    configuration = shared_founding_state(vms).snapshot.configuration
    assert [voter.vm for voter in configuration.voters] == sorted(SEEDS)
    assert {voter.folder for voter in configuration.voters} == {configuration.origin}
    assert configuration.quorum == 2


# Guards against: clusters of different seeds that take each other's messages, and
# another name of the folder after an upgrade in the midst of a founding.
def test_a_cluster_is_told_by_its_seeds():
    assert founding_folder(founding_vms(SEEDS)) == "e2bd36a9c9ae4e78"
    others = founding_vms((*SEEDS[:2], "10.2.0.42"))
    assert founding_folder(others) != founding_folder(founding_vms(SEEDS))


# Guards against: a long list of seeds that makes a voter of each.
@given(st.lists(st.text(min_size=1), min_size=MAX_FOUNDING_VMS + 1, unique=True))
def test_a_long_list_of_seeds_makes_few_voters(seeds):
    assert len(founding_vms(tuple(seeds))) == MAX_FOUNDING_VMS
