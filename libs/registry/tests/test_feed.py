from __future__ import annotations

from kumquatmux_core.codec import registry
from kumquatmux_core.identity import Endpoint
from kumquatmux_registry.feed import MESSAGE_TYPES
from kumquatmux_registry.follower import Follower, FollowerSettings
from kumquatmux_registry.leases import Leases
from kumquatmux_registry.publisher import (
    Document,
    EvacuatedZones,
    Publisher,
    PublisherSettings,
)
from kumquatmux_registry.records import Lifetime, Phase, Report
from kumquatmux_registry.settings import RegistrySettings

CODEC = registry(MESSAGE_TYPES)


def make_report(name):
    place = Endpoint("10.0.0.9", int(name[2:]))
    return Report(
        Lifetime(name, 1), 1, "entries", place, "a", "v1", 2, Phase.READY, 0.0
    )


def make_publisher(vm="c1", zone="a", incarnation=7, page=64):
    leases = Leases(RegistrySettings(page_size=page), vm)
    return Publisher(PublisherSettings(vm, zone, incarnation), leases)


def make_follower(seeds=("c1",), zone="a"):
    return Follower(FollowerSettings("e1", zone, False, seeds, page_size=2))


def poll_publisher(one, other, now):
    """Poll a publisher once and return its answers after a codec round trip."""
    answers = []
    for vm, poll in one.polls(now):
        if vm == other.settings.vm:
            answer = CODEC.decode(CODEC.encode(other.answer(poll, now))).ok
            one.take(answer, now)
            answers.append(answer)
    return answers


def test_a_follower_gets_records_and_the_document_once():
    source = make_publisher()
    source.leases.report(make_report("i-1"), 0.0)
    source.document = Document(4, b"four")
    mine = make_follower()
    first = poll_publisher(mine, source, 1.0)[0]
    assert [one.report.lifetime.name for one in first.records] == ["i-1"]
    assert mine.document == Document(4, b"four")
    second = poll_publisher(mine, source, 2.0)[0]
    assert second.records == ()
    assert second.content == b""


def test_next_poll_recovers_a_lost_push():
    source = make_publisher()
    mine = make_follower()
    poll_publisher(mine, source, 0.0)
    poll_publisher(mine, source, 0.5)
    source.leases.report(make_report("i-1"), 0.6)
    source.document = Document(4, b"four")
    pushed = source.push(0.6)
    assert pushed[0][0] == "e1"
    assert pushed[0][1].content == b"four"
    answer = poll_publisher(mine, source, 1.0)[0]
    assert len(answer.records) == 1
    assert mine.document.number == 4


def test_a_document_is_not_pushed_twice_before_the_next_poll():
    source = make_publisher()
    mine = make_follower()
    poll_publisher(mine, source, 0.0)
    source.document = Document(4, b"four")
    assert source.push(0.1)[0][1].content == b"four"
    assert source.push(0.2) == []


def test_many_changes_in_a_row_send_a_follower_only_some_of_the_documents():
    """Guard against bursts of large documents that saturate a slow link."""
    source = make_publisher()
    mine = make_follower()
    poll_publisher(mine, source, 0.0)
    sent = []
    for step in range(40):
        now = 0.1 + step * 0.05
        source.document = Document(step + 1, b"content")
        answers = source.push(now) + source.push_documents(now)
        sent += [now for _, answer in answers if answer.content]
    assert 5 <= len(sent) <= 7
    late = source.push_documents(2.5)
    assert [answer.document for _, answer in late if answer.content] == [40]
    assert source.push_documents(3.0) == []


def test_polls_for_an_announced_document_are_rate_limited():
    mine = make_follower(seeds=("c1", "c2"))
    near, far = make_publisher("c1", "a"), make_publisher("c2", "b", incarnation=9)
    near.is_current = far.is_current = True
    poll_publisher(mine, near, 0.0)
    far.document = Document(5, b"five")
    answer = poll_publisher(mine, far, 0.1)[0]
    assert answer.content == b""
    assert mine.poll_after(answer, 0.1).wants_push
    assert mine.poll_after(answer, 0.2) is None
    assert mine.poll_after(answer, 0.5) is not None


def test_records_are_sent_in_pages_until_all_are_received():
    source = make_publisher(page=2)
    for number in range(1, 6):
        source.leases.report(make_report(f"i-{number}"), 0.0)
    mine = make_follower()
    names = []
    for at in range(4):
        answer = poll_publisher(mine, source, float(at))[0]
        names += [one.report.lifetime.name for one in answer.records]
        assert mine.has_more(answer) == (len(answer.records) == 2)
    assert names == ["i-1", "i-2", "i-3", "i-4", "i-5"]


def test_restarted_control_vm_is_read_from_the_first_change():
    mine = make_follower()
    before = make_publisher(incarnation=7)
    before.leases.report(make_report("i-1"), 0.0)
    poll_publisher(mine, before, 0.0)
    after = make_publisher(incarnation=8)
    after.leases.report(make_report("i-2"), 1.0)
    poll_publisher(mine, after, 1.0)
    answer = poll_publisher(mine, after, 2.0)
    assert mine.sources["c1"].position == 1
    assert answer[0].records == ()


def test_an_older_document_never_replaces_a_newer_one():
    mine = make_follower(seeds=("c1", "c2"))
    newer, older = make_publisher("c1"), make_publisher("c2", incarnation=9)
    newer.document, older.document = Document(9, b"nine"), Document(8, b"eight")
    poll_publisher(mine, newer, 0.0)
    poll_publisher(mine, older, 0.1)
    assert mine.document.number == 9


def test_primary_prefers_an_up_to_date_control_vm_over_a_local_one():
    mine = make_follower(seeds=("c1", "c2"))
    near, far = make_publisher("c1", "a"), make_publisher("c2", "b")
    near.is_current = far.is_current = True
    poll_publisher(mine, near, 0.0)
    poll_publisher(mine, far, 0.0)
    assert mine.primary(0.1) == "c1"
    near.is_current = False
    poll_publisher(mine, near, 0.2)
    assert mine.primary(0.3) == "c2"


def test_silent_control_vm_is_not_used():
    mine = make_follower()
    source = make_publisher()
    source.is_current = True
    poll_publisher(mine, source, 0.0)
    assert mine.is_fed(1.0)
    assert not mine.is_fed(1.3)
    assert mine.primary(1.3) is None


def test_control_vms_listed_in_answers_are_followed():
    mine = make_follower(seeds=("c1",))
    source = make_publisher("c1")
    poll = Follower(FollowerSettings("c2", "b", True, ("c1",))).polls(0.0)[0][1]
    source.answer(poll, 0.0)
    poll_publisher(mine, source, 0.0)
    assert set(mine.sources) == {"c1", "c2"}


def test_a_follower_that_fell_silent_gets_no_pushes():
    source = make_publisher()
    poll_publisher(make_follower(), source, 0.0)
    source.leases.report(make_report("i-1"), 2.8)
    assert source.push(2.9)
    source.leases.report(make_report("i-2"), 3.0)
    assert source.push(3.1) == []
    assert source.followers == {}


def heard_sources():
    """Return a follower and the three control VMs of two zones that it has heard."""
    mine = make_follower(seeds=("c1", "c2", "c3"))
    sources = [
        make_publisher("c1", "a"),
        make_publisher("c2", "b"),
        make_publisher("c3", "b"),
    ]
    for source in sources:
        poll_publisher(mine, source, 0.0)
    return mine, sources


def test_zone_is_silent_when_no_control_vm_in_it_answers():
    mine, sources = heard_sources()
    assert mine.silent_zones(1.0) == frozenset()
    poll_publisher(mine, sources[0], 1.0)
    assert mine.silent_zones(1.5) == {"b"}
    poll_publisher(mine, sources[2], 1.6)
    assert mine.silent_zones(1.7) == frozenset()


# Guards against the loss of one control VM that is taken for the loss of its zone.
def test_control_vms_are_lost_once_none_of_their_zone_was_heard_for_long():
    mine, sources = heard_sources()
    for now in (0.5, 1.0, 1.5, 2.0, 2.5):
        poll_publisher(mine, sources[0], now)
    assert mine.silent_zones(2.9) == {"b"}
    assert mine.lost_vms(2.9) == frozenset()
    poll_publisher(mine, sources[0], 3.0)
    assert mine.lost_vms(3.1) == {"c2", "c3"}
    poll_publisher(mine, sources[2], 3.2)
    assert mine.lost_vms(3.3) == frozenset()


def test_one_available_control_vm_of_each_other_zone_is_polled():
    mine = make_follower(seeds=("c1", "c2", "c3"))
    for source in (
        make_publisher("c1"),
        make_publisher("c2", "b"),
        make_publisher("c3", "b"),
    ):
        poll_publisher(mine, source, 0.0)
    assert [vm for vm, _ in mine.polls(0.1)] == ["c1", "c2"]
    assert [vm for vm, _ in mine.polls(2.0)] == ["c1", "c2", "c3"]


def test_stopping_entry_vm_is_no_longer_listed():
    source = make_publisher()
    mine = make_follower()
    assert poll_publisher(mine, source, 0.0)[0].entries == ("e1",)
    mine.is_stopping = True
    assert poll_publisher(mine, source, 0.1)[0].entries == ()


def full_zone(count):
    """Return a publisher that 40 entry VMs of one zone follow, and their names."""
    source = make_publisher()
    followers = []
    for number in range(count):
        settings = FollowerSettings(f"e{number:02}", "a", False, ("c1",))
        followers.append(Follower(settings))
    for _ in range(3):
        for one in followers:
            poll_publisher(one, source, 0.0)
    return source, followers


def test_an_answer_without_news_stays_small_however_many_vms_there_are():
    source, followers = full_zone(40)
    answer = poll_publisher(followers[0], source, 0.5)[0]
    assert followers[0].peers == tuple(one.settings.vm for one in followers)
    assert answer.control == () and answer.entries == ()
    assert len(CODEC.encode(answer)) < 100


def test_a_vm_that_comes_or_stops_reaches_the_lists_of_all():
    source, followers = full_zone(4)
    followers[3].is_stopping = True
    poll_publisher(followers[3], source, 0.5)
    poll_publisher(followers[0], source, 0.6)
    assert followers[0].peers == ("e00", "e01", "e02")
    followers[3].is_stopping = False
    poll_publisher(followers[3], source, 0.7)
    poll_publisher(followers[0], source, 0.8)
    assert followers[0].peers == ("e00", "e01", "e02", "e03")


# Guards against an entry VM that knows no other for a moment, and asks none: the short
# list of a control VM that has just started took the place of the other one's.
def test_a_control_vm_that_has_just_started_shortens_no_list():
    mine = make_follower(seeds=("c1", "c2"))
    poll_publisher(mine, full_zone(3)[0], 0.1)
    poll_publisher(mine, make_publisher("c2"), 0.2)
    assert mine.peers == ("e00", "e01", "e02", "e1")
    poll_publisher(mine, make_publisher("c2"), 2.0)
    assert mine.peers == ("e1",)


def test_lists_lost_on_their_way_come_with_the_answer_to_the_next_poll():
    source, followers = full_zone(3)
    followers[2].is_stopping = True
    poll_publisher(followers[2], source, 0.5)
    source.leases.report(make_report("i-1"), 0.6)
    assert source.push(0.6)
    poll_publisher(followers[0], source, 0.7)
    assert followers[0].peers == ("e00", "e01")


def test_followers_in_one_state_get_one_and_the_same_push():
    source, _ = full_zone(40)
    source.leases.report(make_report("i-1"), 0.6)
    answers = [answer for _, answer in source.push(0.6)]
    assert len(answers) == 40
    assert len({id(answer) for answer in answers}) == 1
    assert [one.report.lifetime.name for one in answers[0].records] == ["i-1"]
    assert len(CODEC.encode(answers[0])) < 200


def test_a_follower_that_has_every_change_gets_no_push():
    source, followers = full_zone(2)
    source.leases.report(make_report("i-1"), 0.6)
    poll_publisher(followers[0], source, 0.7)
    assert [vm for vm, _ in source.push(0.8)] == ["e01"]


def test_a_source_that_was_forgotten_is_followed_again_once_another_lists_it():
    first, second = make_publisher("c1"), make_publisher("c2", incarnation=8)
    mine = make_follower()
    second_poll = Follower(FollowerSettings("c2", "a", True, ("c1",)))
    for now in (0.0, 0.5):
        poll_publisher(second_poll, first, now)
        poll_publisher(mine, first, now)
        poll_publisher(mine, second, now)
    for now in (10.0, 20.0, 21.0):
        poll_publisher(second_poll, first, now)
        poll_publisher(mine, first, now)
    assert "c2" in mine.sources
    poll_publisher(mine, second, 21.5)
    assert mine.sources["c2"].heard_at == 21.5


# Guards against: a list of control VMs that grows with every name that is told.
def test_the_control_vms_that_are_known_are_bounded():
    mine = make_follower(seeds=("c1",))
    limit = mine.settings.max_sources
    source = make_publisher()
    answer = source.answer(mine.poll_of("c1", 0.0), 0.0)
    names = tuple(f"c{number}" for number in range(2, 3 * limit))
    mine.take(answer._replace(control=names), 0.1)
    assert len(mine.sources) == limit
    unknown = answer._replace(sender="c-new", position=5)
    mine.take(unknown, 0.2)
    assert "c-new" not in mine.sources
    assert mine.poll_after(unknown._replace(document=1), 0.2).position == 0
    mine.set_seeds(("s1", "s2"))
    assert {"s1", "s2"} <= set(mine.sources)


# Guards against: an odd record left out of a full page, so that the page no longer
# counted as full and its neighbours on the next one came half a second later.
def test_a_full_page_is_followed_up_even_if_a_record_was_left_out():
    source = make_publisher(page=2)
    for number in range(1, 4):
        source.leases.report(make_report(f"i-{number}"), 0.0)
    mine = make_follower()
    answer = source.answer(mine.poll_of("c1", 1.0), 1.0)
    without_odd = answer._replace(records=answer.records[1:])
    mine.take(without_odd, 1.0)
    following = mine.poll_after(without_odd, 1.0)
    assert following is not None
    last = source.answer(following, 1.1)
    mine.take(last, 1.1)
    assert [one.report.lifetime.name for one in last.records] == ["i-3"]
    assert mine.poll_after(last, 1.1) is None


def note_looks(mine, start, end):
    """Have a follower note that its VM looks four times a second."""
    for step in range(round((end - start) * 4) + 1):
        mine.listening.note(start + step / 4)


def awake_follower(until=3.0):
    """Return a follower and its sources, all heard of each half second to a time."""
    mine, sources = heard_sources()
    for half_s in range(round(until * 2) + 1):
        for source in sources:
            poll_publisher(mine, source, half_s / 2)
    note_looks(mine, 0.0, until)
    return mine, sources


# Guards against a VM that stood still and takes all zones for silent when it wakes.
def test_no_zone_is_silent_only_because_this_vm_stood_still():
    mine, sources = awake_follower()
    mine.listening.note(8.0)
    assert mine.silent_zones(8.0) == frozenset()
    poll_publisher(mine, sources[0], 8.25)
    note_looks(mine, 8.25, 9.0)
    assert mine.silent_zones(9.0) == frozenset()
    note_looks(mine, 9.25, 9.25)
    assert mine.silent_zones(9.25) == {"b"}


# Guards against a VM that wakes, hears one control VM and takes all others for lost.
def test_no_control_vm_is_lost_only_because_this_vm_stood_still():
    mine, sources = awake_follower()
    mine.listening.note(8.0)
    poll_publisher(mine, sources[0], 8.0)
    assert mine.lost_vms(8.0) == frozenset()
    for quarter_s in range(13):
        now = 8.0 + quarter_s / 4
        mine.listening.note(now)
        poll_publisher(mine, sources[0], now)
        assert mine.lost_vms(now) == frozenset()
    mine.listening.note(11.25)
    assert mine.lost_vms(11.25) == {"c2", "c3"}


# Guards against zones that never fall silent to a VM that notes its looks.
def test_a_zone_that_falls_silent_is_named_while_this_vm_looks():
    mine, sources = awake_follower()
    for half_s in range(7, 13):
        poll_publisher(mine, sources[0], half_s / 2)
    note_looks(mine, 3.25, 4.0)
    assert mine.silent_zones(4.0) == frozenset()
    note_looks(mine, 4.25, 6.0)
    assert mine.silent_zones(4.25) == {"b"}
    assert mine.lost_vms(6.0) == frozenset()
    note_looks(mine, 6.25, 6.25)
    assert mine.lost_vms(6.25) == {"c2", "c3"}


# Guards against a VM that is cut off itself and takes all control VMs for lost.
def test_a_vm_that_hears_no_control_vm_calls_none_lost():
    mine, sources = awake_follower()
    note_looks(mine, 3.25, 9.0)
    assert mine.silent_zones(9.0) == {"a", "b"}
    assert mine.lost_vms(9.0) == frozenset()


# Guards against the same once a zone is lost and the last control VM falls silent too.
def test_a_vm_that_hears_no_more_control_vm_calls_none_lost_any_longer():
    mine, sources = awake_follower()
    for half_s in range(7, 19):
        poll_publisher(mine, sources[0], half_s / 2)
    note_looks(mine, 3.25, 10.25)
    assert mine.lost_vms(9.0) == {"c2", "c3"}
    assert mine.lost_vms(10.0) == {"c2", "c3"}
    assert mine.lost_vms(10.25) == frozenset()


# Guards against control VMs lost in the moment in which a VM that was cut off hears the
# first of them again, before it reads the answers of the others.
def test_silence_in_which_no_control_vm_was_heard_makes_none_lost():
    mine, sources = awake_follower()
    note_looks(mine, 3.25, 9.0)
    for half_s in range(18, 25):
        poll_publisher(mine, sources[0], half_s / 2)
        note_looks(mine, half_s / 2, half_s / 2)
        assert mine.lost_vms(half_s / 2) == frozenset()
    assert mine.lost_vms(12.25) == {"c2", "c3"}


# Guards against control VMs that are forgotten as this VM stood still for long.
def test_a_pause_of_this_vm_removes_no_source():
    mine, sources = awake_follower()
    mine.settings = mine.settings._replace(seeds=("c1",))
    mine.listening.note(60.0)
    mine.polls(60.0)
    assert set(mine.sources) == {"c1", "c2", "c3"}
    note_looks(mine, 60.25, 80.0)
    mine.polls(80.0)
    assert set(mine.sources) == {"c1", "c2", "c3"}
    note_looks(mine, 80.25, 80.25)
    mine.polls(80.25)
    assert set(mine.sources) == {"c1"}


# Guards against a VM that takes itself for informed while a change is lost or to come.
def test_only_the_last_page_without_a_gap_tells_all():
    source = make_publisher(page=2)
    for number in range(3):
        source.leases.report(make_report(f"i-{number}"), 0.0)
    mine = make_follower()
    first = poll_publisher(mine, source, 1.0)[0]
    assert not mine.is_told_all_by(first)
    second = poll_publisher(mine, source, 1.5)[0]
    assert mine.is_told_all_by(second)
    assert not mine.is_told_all_by(first)
    source.leases.report(make_report("i-8"), 1.6)
    assert source.push(1.6)
    source.leases.report(make_report("i-9"), 1.7)
    pushed = source.push(1.7)[0][1]
    mine.take(pushed, 1.7)
    assert not mine.is_told_all_by(pushed)
    poll_publisher(mine, source, 2.0)
    assert mine.is_told_all_by(poll_publisher(mine, source, 2.5)[0])


# Guards against an entry VM that starts and sends flows to a zone that was evacuated
# before.
def test_the_first_answer_names_the_evacuated_zones():
    source = make_publisher()
    source.evacuations = EvacuatedZones(3, ("b", "c"))
    mine = make_follower()
    poll_publisher(mine, source, 1.0)
    assert mine.evacuations == (3, ("b", "c"))


# Guards against an order that waits for the next poll, and against pushes without end.
def test_a_change_of_evacuated_zones_is_pushed_once():
    source = make_publisher()
    mine = make_follower()
    poll_publisher(mine, source, 0.0)
    source.evacuations = EvacuatedZones(1, ("b",))
    [(vm, answer)] = source.push(0.1)
    assert (vm, answer.evacuation_revision, answer.evacuated_zones) == ("e1", 1, ("b",))
    assert source.push(0.2) == []


def test_the_next_poll_recovers_a_lost_push_of_evacuated_zones():
    source = make_publisher()
    mine = make_follower()
    poll_publisher(mine, source, 0.0)
    source.evacuations = EvacuatedZones(1, ("b",))
    source.push(0.1)
    poll_publisher(mine, source, 0.5)
    assert mine.evacuations == (1, ("b",))


# Guards against an entry VM that goes back by the word of a control VM that lags.
def test_evacuated_zones_never_go_back():
    mine = make_follower(seeds=("c1", "c2"))
    near, far = make_publisher("c1"), make_publisher("c2", incarnation=9)
    near.evacuations = EvacuatedZones(2, ())
    far.evacuations = EvacuatedZones(1, ("b",))
    poll_publisher(mine, near, 0.0)
    poll_publisher(mine, far, 0.1)
    assert mine.evacuations == (2, ())
    poll_publisher(mine, make_publisher("c2", incarnation=10), 0.2)
    assert mine.evacuations == (2, ())


# Guards against a control VM that learns of evacuations other than by consensus.
def test_control_vms_are_told_of_no_evacuated_zones():
    source = make_publisher()
    other = Follower(FollowerSettings("c2", "a", True, ("c1",)))
    poll_publisher(other, source, 0.0)
    source.evacuations = EvacuatedZones(1, ("b",))
    assert source.push(0.1) == []
    [answer] = poll_publisher(other, source, 0.2)
    assert (answer.evacuation_revision, answer.evacuated_zones) == (0, ())
