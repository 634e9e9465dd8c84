"""Tests of the votes for the instance that may offer flows to cold servers."""

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, HasLength

from berylstair.cold_mandate import HANDOVER_S, VOTE_S, VOTERS_PER_ZONE, VoteBox, choose_voters
from berylstair.cold_rate import CORRECTION_PERIOD_S, WINDOW_S
from berylstair.directory import ColdStart
from berylstair.ids import InstanceId, ServiceName, ZoneId
from berylstair.steering_message import ColdVote, ColdVoteRequest
from berylstair.steering_settings import ColdLimit
from emulator.simulation import SERVICE, SimulatedWorld

FIRST = InstanceId('entry-1')
SECOND = InstanceId('entry-2')
MAX_INTEGER = (1 << 63) - 1


def make_world(instances: int) -> SimulatedWorld:
    """Starts a simulation whose settings and configuration limit cold servers."""
    world = SimulatedWorld(instances, 3, cold_limit=ColdLimit(1.5, 5.0))
    world.add_route(cold_start=ColdStart(60.0, 0.0))
    return world


def holders(world: SimulatedWorld) -> list[str]:
    """Requests the mandate at each instance and returns those that hold it."""
    return [
        ip
        for ip, steering in world.steering_by_ip.items()
        if steering.core.cold_mandates.is_held(SERVICE, world.now)
    ]


def watch_holders(world: SimulatedWorld, seconds: float) -> list[list[str]]:
    """Runs a simulation and returns the holders, ten times a second."""
    seen = []
    for _ in range(int(seconds * 10)):
        world.run(0.1)
        seen.append(holders(world))
    return seen


class VoteBoxTest(TestCase):
    """One vote at a time for each service."""

    def test_a_vote_lasts_and_can_be_renewed(self) -> None:
        box = VoteBox(0.0)
        now = VOTE_S
        for _ in range(5):
            self.assertThat(box.decide(SERVICE, FIRST, now), Equals(True))
            self.assertThat(box.decide(SERVICE, SECOND, now + VOTE_S / 2), Equals(False))
            now += VOTE_S - 0.01
        self.assertThat(box.decide(ServiceName('other'), SECOND, now), Equals(True))
        self.assertThat(box.decide(SERVICE, SECOND, now + 0.02), Equals(True))

    def test_a_new_process_does_not_vote_until_its_forgotten_votes_have_ended(self) -> None:
        box = VoteBox(10.0)
        self.assertThat(box.decide(SERVICE, FIRST, 10.0 + VOTE_S - 0.01), Equals(False))
        self.assertThat(box.decide(SERVICE, FIRST, 10.0 + VOTE_S), Equals(True))


class VotersTest(TestCase):
    """Which instances vote."""

    def test_the_number_does_not_grow_and_no_zone_has_a_majority(self) -> None:
        for count, expected in ((3, 3), (9, 9), (85, 15), (5000, 15)):
            zones = {InstanceId(f'n{at}'): ZoneId(f'z{at % 3}') for at in range(count)}
            voters = choose_voters(SERVICE, zones)
            with self.subTest(count=count):
                self.assertThat(voters, HasLength(expected))
                for zone in set(zones.values()):
                    in_zone = [voter for voter in voters if zones[voter] == zone]
                    self.assertThat(len(in_zone) <= VOTERS_PER_ZONE, Equals(True))
                    self.assertThat(len(in_zone) * 2 < len(voters), Equals(True))

    def test_a_new_holder_waits_until_all_segments_of_an_earlier_one_have_arrived(self) -> None:
        self.assertThat(HANDOVER_S, GreaterThan(WINDOW_S + CORRECTION_PERIOD_S))


class ColdMandatesTest(TestCase):
    """Who holds the mandate in a fleet."""

    def test_an_instance_without_peers_is_its_own_majority(self) -> None:
        world = make_world(1)
        seen = watch_holders(world, 8)
        self.assertThat(seen[-1], Equals(['10.0.0.1']))
        self.assertThat(seen[int((VOTE_S + HANDOVER_S) * 10) - 2], Equals([]))

    def test_an_instance_without_its_seeds_has_no_majority(self) -> None:
        world = make_world(1)
        world.kill_instance('10.0.0.1')
        world.start_instance(1)
        seen = watch_holders(world, 8)
        self.assertThat(any(seen), Equals(False))

    def test_never_two_holders_whichever_links_fail(self) -> None:
        for instances in (3, 5, 20):
            world = make_world(instances)
            seen = watch_holders(world, 8)
            self.assertThat(len(seen[-1]), Equals(1))
            holder = seen[-1][0]
            others = [ip for ip in world.steering_by_ip if ip != holder]
            for cut_count in (1, len(others) // 2, len(others) - 1, len(others)):
                world.blocked_links = {(holder, ip) for ip in others[:cut_count]}
                world.blocked_links |= {(ip, holder) for ip in others[:cut_count]}
                seen += watch_holders(world, 7)
                world.blocked_links.clear()
                seen += watch_holders(world, 3)
            with self.subTest(instances=instances):
                self.assertThat(max(len(ips) for ips in seen), Equals(1))

    def test_a_service_without_flows_to_place_needs_no_votes(self) -> None:
        world = make_world(3)
        world.run(5)
        self.assertThat(world.sent_messages['ColdVoteRequest'], Equals(0))
        watch_holders(world, 8)
        self.assertThat(world.sent_messages['ColdVoteRequest'], GreaterThan(0))
        world.run(6)
        before = world.sent_messages['ColdVoteRequest']
        world.run(5)
        self.assertThat(world.sent_messages['ColdVoteRequest'], Equals(before))

    def test_no_number_or_name_that_a_peer_states_gives_a_mandate(self) -> None:
        world = make_world(3)
        watch_holders(world, 2)
        world.kill_instance('10.0.0.3')
        for sent_at_ms in (0, -MAX_INTEGER, MAX_INTEGER, round(world.now * 1000)):
            for ip, other_ip in (('10.0.0.1', '10.0.0.2'), ('10.0.0.2', '10.0.0.1')):
                steering = world.steering_by_ip[ip]
                names = (SERVICE, 'no-such-service', '')
                steering.handle_message(other_ip, ColdVote(sent_at_ms, names), world.now)
                steering.handle_message(other_ip, ColdVoteRequest(sent_at_ms, names), world.now)
        # A vote that states a request of the future lasts no longer than any other.
        world.run(VOTE_S)
        self.assertThat(holders(world), Equals([]))
