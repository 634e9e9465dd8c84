"""Tests that callers of dead servers are reset, and no others, over a simulated network."""

import math
from collections.abc import Callable
from dataclasses import replace

import pytest
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from berylstair.catalogue import LogEvent
from berylstair.counter import Traffic
from berylstair.directory import ServerListed, ServerRegistration
from berylstair.ids import BackendId
from berylstair.record import BackendState
from berylstair.server_death import CHECK_MIN_INTERVAL_S, CheckOutcome
from berylstair.server_death_message import (
    CheckReplyBatch,
    CheckReplyRow,
    CheckRequestBatch,
    CheckRequestRow,
    ProgressBatch,
    ProgressRow,
    StallBatch,
    StallRow,
    VerdictBatch,
    VerdictRow,
)
from berylstair.steering_action import ResetCaller
from emulator.long_flows import LongFlow, LongFlows
from emulator.simulation import SERVICE, SimulatedServer, SimulatedWorld

# From the first request after a crash until the caller is told.
MAX_RESET_DELAY_S = 2.0
ENTRY_EXPIRY_S = 3.6
# After this time without a fault a reset of a live server's flow would be a fault.
STABLE_WINDOW_S = 4.0
SLOTS = 20
MAX_INTEGER = (1 << 63) - 1
SERVERS = 6
FLOWS = 60
# Instances, zones and seed.
Fleet = tuple[int, int, int]
USUAL_FLEET: Fleet = (6, 3, 2)
FLEETS: tuple[Fleet, ...] = ((1, 1, 7), (2, 1, 1), (3, 3, 4), (6, 3, 5), (40, 3, 3))


class Scene:
    """A fleet with long-lived flows on all servers; half of the callers move to another zone.

    Attributes:
        server: The server with most flows, to which something happens.
    """

    def __init__(
        self,
        fleet: Fleet = USUAL_FLEET,
        flow_count: int = FLOWS,
        has_health_path: bool = True,
        confirms_sources: bool = True,
    ) -> None:
        """Starts the fleet and opens the flows."""
        instances, zones, seed = fleet
        self.world = SimulatedWorld(instances, zones, seed, confirms_sources=confirms_sources)
        self.world.add_route(has_health_path=has_health_path)
        self.world.add_servers(SERVERS, SLOTS)
        self.world.run(2)
        self.flows = LongFlows(self.world)
        for number in range(flow_count):
            zone = number % zones
            self.world.schedule(0.01 * number, lambda origin=zone: self.flows.open(origin))
        self.world.run(3)
        all_flows = list(self.flows.by_key.values())
        caller_zones = [one.flow.zone for one in all_flows[:zones]]
        for number, one in enumerate(all_flows):
            if number // zones % 2:
                one.flow.zone = caller_zones[(number + 1) % zones]
        self.server = max(
            self.world.server_by_id.values(), key=lambda server: len(self.flows.at_server(server))
        )

    @property
    def backend(self) -> BackendId:
        """Id of the server."""
        return self.server.backend_server.id

    @property
    def instance_ips(self) -> list[str]:
        """IP addresses of the instances."""
        return sorted(self.world.steering_by_ip)

    def crash(self, refuses_connections: bool = False, expires: bool = True) -> list[LongFlow]:
        """Crashes the server without notice; returns its flows."""
        affected = self.flows.at_server(self.server)
        self.server.is_dead = True
        self.server.refuses_connections = refuses_connections
        if expires:
            self.world.schedule(ENTRY_EXPIRY_S, lambda: self.world.remove_server(self.backend))
        return affected

    def register_again(self, started_at_ms: int = 0) -> None:
        """Writes the server's entry anew."""
        registration = ServerRegistration(self.server.backend_server, SERVICE, started_at_ms)
        self.world.publish(f'servers/{self.backend}', ServerListed(registration))

    def block_server(self, instance_ips: list[str]) -> None:
        """Blocks the links from some instances to the server."""
        server_ip = self.server.backend_server.address.ip
        self.world.blocked_links.update((ip, server_ip) for ip in instance_ips)

    def cut_zones(self, *numbers: int) -> None:
        """Cuts zones off from the others for six seconds."""
        for number in numbers:
            self.world.partition_zone(number)
        self.world.schedule(6, self.world.blocked_links.clear)

    def set_frozen(self, is_frozen: bool) -> None:
        """Freezes the server's process, or lets it run on."""
        self.server.is_frozen = is_frozen

    def details(self, event: LogEvent) -> list[str]:
        """Returns the details of the log entries of an event."""
        return [entry.detail for _, entry in self.world.log_entries if entry.event_number == event]

    def count(self, traffic: Traffic) -> int:
        """Returns a counter's sum over all instances."""
        nodes = self.world.steering_by_ip.values()
        return sum(node.core.counters.traffic[traffic] for node in nodes)


def reset_delays(affected: list[LongFlow]) -> list[float]:
    """Returns the time from the last request to the reset, infinite for flows without one."""
    return [
        math.inf if one.reset_at is None else one.reset_at - (one.requested_at or 0)
        for one in affected
    ]


def freeze_server(scene: Scene) -> None:
    """Freezes the server for five seconds."""
    scene.set_frozen(is_frozen=True)
    scene.world.schedule(5, lambda: scene.set_frozen(is_frozen=False))


def flap(scene: Scene) -> None:
    """Freezes the server for 0.7 s in each second."""
    for second in range(8):
        scene.world.schedule(second, lambda: scene.set_frozen(is_frozen=True))
        scene.world.schedule(second + 0.7, lambda: scene.set_frozen(is_frozen=False))


def slow_down(scene: Scene) -> None:
    """Makes the server take two seconds for a request."""
    scene.server.slowness = 60


def lose_packets(scene: Scene) -> None:
    """Loses a tenth of all packets."""
    scene.world.segment_loss_ratio = 0.1
    scene.world.message_loss_ratio = 0.1


def lose_many_packets(scene: Scene) -> None:
    """Loses three tenths of the packets between instances, servers and callers."""
    scene.world.segment_loss_ratio = 0.3


def drop_entry(scene: Scene) -> None:
    """Removes the server's entry, as when it is cut off from the store."""
    scene.world.remove_server(scene.backend)


def block_half(scene: Scene) -> None:
    """Cuts the server off from every other instance, if there are several."""
    scene.block_server(scene.instance_ips[1::2])


def cut_zone(scene: Scene) -> None:
    """Cuts the server's zone off."""
    zone = scene.server.backend_server.zone
    scene.cut_zones(int(zone.rpartition('-')[2]))


def cut_zone_until_expiry(scene: Scene) -> None:
    """Cuts the server's zone off for so long that the store drops the entry."""
    cut_zone(scene)
    scene.world.schedule(ENTRY_EXPIRY_S, lambda: drop_entry(scene))


def cut_all_zones(scene: Scene) -> None:
    """Cuts all zones off from each other."""
    zones = {node.core.settings.zone for node in scene.world.steering_by_ip.values()}
    scene.cut_zones(*range(len(zones)))


def restore_without_servers(scene: Scene) -> None:
    """Restores the store from a copy without any server's entry; the server is slow."""
    items = {key: item for key, item in scene.world.source_items.items() if key == 'config'}
    scene.world.restore_source(items, 3)
    slow_down(scene)


def pause_half(scene: Scene) -> None:
    """Pauses half of the instances for three seconds."""
    for ip in scene.instance_ips[::2]:
        scene.world.freeze(ip, 3)


def pause_shortly(scene: Scene) -> None:
    """Pauses each instance in turn for too short a time to be noticed."""
    for number, ip in enumerate(scene.instance_ips):
        scene.world.schedule(0.1 * number, lambda paused=ip: scene.world.freeze(paused, 0.9))


def kill_dispatcher(scene: Scene) -> None:
    """Kills the dispatching instance, and the server is frozen."""
    node = scene.world.steering_by_ip[scene.instance_ips[0]]
    dispatcher = node.core.fleet.find_dispatcher(SERVICE, scene.world.now)
    endpoint = node.core.fleet.find_endpoint(dispatcher)
    if endpoint is not None and len(scene.instance_ips) > 1:
        scene.world.kill_instance(endpoint.ip)
        scene.world.unready_ips.add(endpoint.ip)
    freeze_server(scene)


Fault = Callable[[Scene], None]
LIVE_CASES: tuple[tuple[Fault, ...], ...] = (
    (slow_down,),
    (freeze_server,),
    (flap,),
    (lose_packets,),
    (lose_many_packets,),
    (drop_entry,),
    (drop_entry, slow_down),
    (drop_entry, freeze_server),
    (drop_entry, lose_packets),
    (lose_packets, freeze_server),
    (lose_packets, slow_down),
    (block_half,),
    (block_half, drop_entry),
    (cut_zone,),
    (cut_zone_until_expiry,),
    (cut_all_zones,),
    (restore_without_servers,),
    (pause_half,),
    (pause_half, slow_down),
    (pause_shortly,),
    (pause_shortly, slow_down),
    (kill_dispatcher,),
)


@pytest.mark.parametrize('fleet', FLEETS)
@pytest.mark.parametrize(
    'faults', LIVE_CASES, ids=lambda faults: '+'.join(fault.__name__ for fault in faults)
)
def test_no_flow_of_a_live_server_is_reset(faults: tuple[Fault, ...], fleet: Fleet) -> None:
    """Guards against a server that is slow, frozen, cut off or flapping and looks dead."""
    scene = Scene(fleet)
    for fault in faults:
        fault(scene)
    scene.world.run(9)
    assert not scene.flows.reset_flows()
    assert not scene.details(LogEvent.SERVER_DEAD)
    assert not scene.details(LogEvent.INTERNAL_FAULT)


class CrashTest(TestCase):
    """A server crashes without notice under long-lived flows."""

    def test_every_caller_is_reset_soon_after_its_next_request(self) -> None:
        """Guards against callers that wait for a dead server until their deadline."""
        for fleet in FLEETS[1:]:
            for refuses_connections in (False, True):
                with self.subTest(fleet=fleet, refuses_connections=refuses_connections):
                    scene = Scene(fleet)
                    affected = scene.crash(refuses_connections)
                    scene.world.run(9)
                    self.assertThat(len(affected), GreaterThan(5))
                    self.assertThat(max(reset_delays(affected)), LessThan(MAX_RESET_DELAY_S))
                    reset_flows = scene.flows.reset_flows()
                    self.assertThat(len(reset_flows), Equals(len(affected)))
                    # A retransmission that crosses the reset is answered with another one.
                    counted = scene.count(Traffic.DEAD_SERVER_RESETS)
                    self.assertThat(counted, GreaterThan(len(affected) - 1))

    def test_losses_do_not_hide_a_death(self) -> None:
        """Guards against a death that stays unknown when reports or checks are lost."""
        for fleet in ((6, 3, 2), (40, 3, 4)):
            scene = Scene(fleet)
            scene.world.segment_loss_ratio = 0.02
            scene.world.message_loss_ratio = 0.02
            affected = scene.crash()
            scene.world.run(9)
            self.assertThat(max(reset_delays(affected)), LessThan(MAX_RESET_DELAY_S))
            self.assertThat(len(scene.flows.reset_flows()), Equals(len(affected)))

    def test_several_servers_crash_with_their_zone(self) -> None:
        """Guards against limits of messages and checks that hide deaths from callers."""
        scene = Scene((40, 3, 6))
        zone = scene.server.backend_server.zone
        dead = [
            server
            for server in scene.world.server_by_id.values()
            if server.backend_server.zone == zone
        ]
        affected = [one for server in dead for one in scene.flows.at_server(server)]
        for server in dead:
            server.is_dead = True
        scene.world.run(9)
        self.assertThat(max(reset_delays(affected)), LessThan(MAX_RESET_DELAY_S))
        self.assertThat(len(scene.flows.reset_flows()), Equals(len(affected)))

    def test_a_dead_server_gets_no_new_flow(self) -> None:
        """Guards against placements on a server whose entry has not expired yet."""
        scene = Scene()
        scene.crash(expires=False)
        scene.world.run(3)
        before = sum(scene.server.opening_count_by_flow.values())
        started = [scene.world.start_flow(zone=number % 3) for number in range(60)]
        scene.world.run(2)
        self.assertThat(sum(scene.server.opening_count_by_flow.values()), Equals(before))
        self.assertThat({flow.outcome for flow in started}, Equals({'answered'}))

    def test_the_only_caller_is_told_once_the_entry_is_gone(self) -> None:
        """Guards against a lone caller that nobody confirms."""
        scene = Scene((3, 3, 2), flow_count=1)
        affected = scene.crash()
        scene.world.run(ENTRY_EXPIRY_S - 0.1)
        self.assertThat(scene.details(LogEvent.SERVER_DEAD), Equals([]))
        scene.world.run(3)
        self.assertThat(len(scene.flows.reset_flows()), Equals(len(affected)))

    def test_an_old_directory_proves_nothing(self) -> None:
        """Guards against an entry that is gone only from an old directory."""
        scene = Scene((3, 3, 2), flow_count=1, confirms_sources=False)
        scene.crash()
        scene.world.run(9)
        self.assertThat(scene.details(LogEvent.SERVER_DEAD), Equals([]))

    def test_an_instance_that_missed_the_notice_learns_of_the_death(self) -> None:
        """Guards against callers that one lost message leaves waiting."""
        scene = Scene()
        affected = scene.crash(expires=False)
        for ip in scene.instance_ips:
            handlers = scene.world.steering_by_ip[ip].failed_servers
            handlers.handle_pause(scene.world.now + 1.2)
        scene.world.run(9)
        self.assertThat(max(reset_delays(affected)), LessThan(ENTRY_EXPIRY_S))

    def test_checks_are_bounded(self) -> None:
        """Guards against checks that take the slots of a slow server."""
        scene = Scene((40, 3, 3))
        slow_down(scene)
        scene.world.run(10)
        times = scene.world.check_times[scene.backend]
        self.assertThat(len(times), GreaterThan(0))
        self.assertThat(len(times), LessThan(3 * 10 / CHECK_MIN_INTERVAL_S + 1))
        others = sum(map(len, scene.world.check_times.values())) - len(times)
        self.assertThat(others, Equals(0))


class RecoveryTest(TestCase):
    """A server that was found dead is alive again."""

    def test_a_server_that_nobody_could_reach(self) -> None:
        """Guards against resets and against a server without flows after its links are back."""
        for fleet in ((2, 1, 1), (6, 3, 2), (40, 3, 3)):
            scene = Scene(fleet)
            scene.block_server(scene.instance_ips)
            scene.world.run(6)
            scene.world.blocked_links.clear()
            healed_at = scene.world.now
            self.assertThat(len(scene.details(LogEvent.SERVER_DEAD)), GreaterThan(0))
            scene.world.run(STABLE_WINDOW_S)
            before = sum(scene.server.opening_count_by_flow.values())
            for number in range(60):
                scene.world.start_flow(zone=number % fleet[1])
            scene.world.run(4)
            late = [one for one in scene.flows.reset_flows() if (one.reset_at or 0) > healed_at + 3]
            self.assertThat(late, Equals([]))
            after = sum(scene.server.opening_count_by_flow.values())
            self.assertThat(after, GreaterThan(before))
            self.assertThat(len(scene.details(LogEvent.SERVER_ALIVE_AGAIN)), GreaterThan(0))

    def test_numbers_that_no_instance_of_this_build_sends(self) -> None:
        """Guards against a peer whose numbers keep a server without flows or raise a fault."""
        for number in (0, 1, -1, 1 << 40, MAX_INTEGER, -MAX_INTEGER):
            scene = Scene()
            receiver, sender = scene.instance_ips[:2]
            server = (scene.backend, 0)
            steering = scene.world.steering_by_ip[receiver]
            for message in (
                StallBatch((StallRow(*server, bytes(6), number), StallRow(*server, b'', number))),
                VerdictBatch((VerdictRow(*server, number, number, number),)),
                ProgressBatch((ProgressRow(*server, number),)),
                CheckRequestBatch((CheckRequestRow(scene.backend, number),)),
                CheckReplyBatch((CheckReplyRow(*server, CheckOutcome.REFUSED),)),
            ):
                steering.handle_message(sender, message, scene.world.now)
            scene.world.run(4)
            with self.subTest(number=number):
                is_dead = steering.failed_servers.is_server_dead(scene.backend, scene.world.now)
                self.assertThat(is_dead, Equals(False))

    def test_a_restarted_server_gets_flows(self) -> None:
        """Guards against a verdict that outlives the lifetime of the server."""
        scene = Scene()
        scene.crash()
        scene.world.run(5)
        scene.server.is_dead = False
        scene.server.open_flows.clear()
        scene.register_again(started_at_ms=5000)
        scene.world.run(1)
        before = sum(scene.server.opening_count_by_flow.values())
        for number in range(60):
            scene.world.start_flow(zone=number % 3)
        scene.world.run(1)
        self.assertThat(sum(scene.server.opening_count_by_flow.values()), GreaterThan(before))

    def test_a_new_entry_clears_the_verdict(self) -> None:
        """Guards against a server that registers again and gets no flows."""
        scene = Scene()
        scene.crash()
        scene.world.run(5)
        scene.server.is_dead = False
        scene.register_again()
        scene.world.run(0.5)
        for ip in scene.instance_ips:
            steering = scene.world.steering_by_ip[ip]
            is_dead = steering.failed_servers.is_server_dead(scene.backend, scene.world.now)
            self.assertThat(is_dead, Equals(False))


class ResetTest(TestCase):
    """Which segments of a dead server's flow are answered, and how."""

    def dead_scene(self) -> tuple[Scene, LongFlow]:
        """Returns a fleet that has found the server dead, and a flow of it."""
        scene = Scene()
        affected = scene.crash(expires=False)
        scene.world.run(3)
        return scene, affected[0]

    def test_the_reset_has_the_sequence_number_that_the_caller_expects(self) -> None:
        """Guards against a reset that the caller takes for a forged one."""
        scene, one = self.dead_scene()
        steering = scene.world.steering_by_ip[scene.instance_ips[0]]
        steering.take_actions()
        segment = one.make_request()
        steering.handle_segment(segment, scene.world.now)
        resets = [item for item in steering.take_actions() if isinstance(item, ResetCaller)]
        self.assertThat(resets, Equals([ResetCaller(segment, segment.acknowledged)]))

    def test_closing_segments_and_resets_are_not_answered(self) -> None:
        """Guards against resets in answer to callers that end their flow themselves."""
        scene, one = self.dead_scene()
        request = one.make_request()
        steering = scene.world.steering_by_ip[scene.instance_ips[0]]
        for segment in (
            request._replace(is_closing=True),
            request._replace(is_reset=True),
            request._replace(data_length=0),
        ):
            steering.take_actions()
            steering.handle_segment(segment, scene.world.now)
            resets = [item for item in steering.take_actions() if isinstance(item, ResetCaller)]
            self.assertThat(resets, Equals([]))

    def test_an_address_that_was_given_to_another_server_is_not_checked(self) -> None:
        """Guards against a check of one server that proves something about another."""
        scene = Scene()
        affected = scene.crash(refuses_connections=True, expires=False)
        successor = replace(scene.server.backend_server, id=BackendId('i-9999'))
        registration = ServerRegistration(successor, SERVICE)
        scene.world.server_by_id[successor.id] = SimulatedServer(successor, 99)
        scene.world.publish('servers/i-9999', ServerListed(registration))
        scene.world.run(9)
        self.assertThat(scene.world.check_times[scene.backend], Equals([]))
        self.assertThat(len(affected), GreaterThan(5))
        self.assertThat(scene.flows.reset_flows(), Equals([]))

    def test_a_server_that_drains_is_not_checked(self) -> None:
        """Guards against a draining server that closes its port and looks dead."""
        scene = Scene()
        leaving = replace(scene.server.backend_server, state=BackendState.LEAVING)
        registration = ServerRegistration(leaving, SERVICE)
        scene.world.publish(f'servers/{scene.backend}', ServerListed(registration))
        scene.crash(refuses_connections=True, expires=False)
        scene.world.run(9)
        self.assertThat(scene.world.check_times[scene.backend], Equals([]))
        self.assertThat(scene.flows.reset_flows(), Equals([]))

    def test_without_a_path_for_checks_nothing_changes(self) -> None:
        """Guards against checks and resets on deployments that do not ask for them."""
        scene = Scene(has_health_path=False)
        scene.crash()
        scene.world.run(9)
        self.assertThat(scene.flows.reset_flows(), Equals([]))
        self.assertThat(sum(map(len, scene.world.check_times.values())), Equals(0))
        sent = set(scene.world.sent_messages)
        self.assertThat(sent & {'StallBatch', 'CheckRequestBatch', 'VerdictBatch'}, Equals(set()))
