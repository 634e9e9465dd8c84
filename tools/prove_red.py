"""Disables mechanisms, one at a time, and checks that a test of the promise fails.

Each case runs the tests of a promise twice in a copy of the tree: on the
unchanged source, where they must pass, and with a piece of the source replaced
so that the mechanism is disabled, where they must fail.
"""

import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from outcomes import run_cases

ROOT = Path(__file__).resolve().parent.parent
COPIED_PATHS = ('berylstair', 'emulator', 'soak', 'tests', 'examples', 'docs', 'pyproject.toml')
PARALLEL_CASES = 3
INSTANCE_TESTS = 'tests/test_instance.py'
FLOW_OFFER_TESTS = 'tests/test_flow_offers.py'
PEER_CLAIM_TESTS = 'tests/test_peer_claims.py'
EVACUATION_TESTS = 'tests/test_evacuation.py'
FAILED_SERVER_TESTS = 'tests/test_failed_servers.py'
FAR_AHEAD = 'far_ahead'
COLD_SERVER_TESTS = 'tests/test_cold_servers.py'
COLD_SERVERS = 'platform: cold servers'


@dataclass(frozen=True, slots=True)
class MutationCase:
    """One mechanism and the tests that depend on it.

    Attributes:
        promise: Promise that the mechanism supports.
        mechanism: Description of the mechanism.
        module: Path of the module in the package, without ``.py``.
        original: Source text of the mechanism; must occur exactly once.
        replacement: Source text that disables the mechanism.
        test_filter: Expression for pytest's ``-k``.
        test_file: Test file.
    """

    promise: str
    mechanism: str
    module: str
    original: str
    replacement: str
    test_filter: str
    test_file: str = INSTANCE_TESTS


CASES = (
    MutationCase(
        'flows survive',
        'lookup at other instances',
        'router',
        'return bool(core.membership.reachable) and',
        'return False and',
        'survives_planned_changes or rolling',
    ),
    MutationCase(
        'flows survive',
        'only the home instance binds a flow',
        'router',
        'if home and home[0] != self._core.settings.instance and packet.hops < MAX_HOPS:',
        'if False:',
        'sprayed_at_once',
    ),
    MutationCase(
        'never another service',
        'quarantine of reused addresses',
        'view',
        'return until is not None and now < until',
        'return False',
        'reused_address_rests',
    ),
    MutationCase(
        'own answer',
        'answer matched by server, caller, address and service',
        'attempts',
        'if found != expected:',
        'if False:',
        'match_no_attempt',
    ),
    MutationCase(
        'own answer',
        'answer matched by token',
        'coap',
        'if datagram[_HEADER_BYTES : _HEADER_BYTES + token_length] != request.token:',
        'if False:',
        'match_no_attempt',
    ),
    MutationCase(
        'not run means not run',
        'claim before a refusal',
        'dispatcher',
        'if claim.state is ClaimState.HELD:\n'
        '            self._finish_with_error(request, kind, now)',
        'if True:\n            self._finish_with_error(request, kind, now)',
        'no_refusal_as_not_run',
    ),
    MutationCase(
        'at most once',
        'two grants of three',
        'claim',
        'ClaimPurpose.RUN_ONCE: lambda size: size // 2 + 1,',
        'ClaimPurpose.RUN_ONCE: lambda size: 1,',
        'any_order or cut_zone_cannot',
    ),
    MutationCase(
        'at most once',
        'witness denies a second claimant',
        'claim',
        'return WitnessAnswer(Verdict.DENIED, min(others).instance)',
        'return _GRANTED',
        'any_order or inherit or cut_zone_cannot',
    ),
    MutationCase(
        'at most once',
        'abstention after a restart',
        'claim',
        'return self._has_heard_majority and now >= self._abstains_until',
        'return True',
        'restarted_witnesses_abstain',
    ),
    MutationCase(
        'at most once',
        'claimants are identified by incarnation',
        'claimant',
        'claimant_id = ClaimantId(claimant, message.incarnation)',
        'claimant_id = ClaimantId(claimant, 0)',
        'inherit',
    ),
    MutationCase(
        'at most once',
        'witness memory is handed over completely',
        'roles',
        'witness.import_grants(incoming.rows, abstain_s, now)',
        'witness.import_grants([], abstain_s, now)',
        'returned_role',
    ),
    MutationCase(
        'leaving server',
        'no new work for leaving servers',
        'record',
        'return self.state is BackendState.ACTIVE',
        'return True',
        'avoid_a_leaving_server',
    ),
    MutationCase(
        'planned stop',
        'witness roles handed over',
        'roles',
        'self._core.send(InstanceId(name), WitnessRoleOffer(owner))',
        'pass',
        'every_id_claimable',
    ),
    MutationCase(
        'planned stop',
        'stored answers handed over',
        'intake',
        'self._table.finish(RequestId(row.request_id), row.response, row.remaining_s, now)',
        'pass',
        'successor_replays',
    ),
    MutationCase(
        'configuration',
        'versions only rise',
        'view',
        'if current is not None and not record.version.is_newer_than(current.record.version):',
        'if False:',
        'stale_platform',
    ),
    MutationCase(
        'configuration',
        'peers carry records',
        'exchange',
        'self._core.send(peer, RecordRequest(wanted))',
        'pass',
        'one_reader or newcomer or after_healing',
    ),
    MutationCase(
        'planned stop',
        'a witness role returns after its owner has accepted the offer',
        'roles',
        '            self._core.send(owner, WitnessRoleOffer(owner))\n',
        '            pass\n',
        'role_returns',
    ),
    MutationCase(
        'platform: told not run',
        'a lost reset is sent again',
        'flow_opener',
        'if flow.has_sent_reset:',
        'if False:',
        'lost_reset',
        'tests/test_steering.py',
    ),
    MutationCase(
        'platform: flows survive',
        'a flow stays at its first server',
        'steering',
        'if flow is None or not flow.is_server_confirmed:',
        'if True:',
        'second_answer',
        'tests/test_steering.py',
    ),
    MutationCase(
        'platform: leaving server',
        'leaving servers get no new flows',
        'record',
        'return self.state is BackendState.ACTIVE',
        'return True',
        'leaving',
        'tests/test_platform_process.py',
    ),
    MutationCase(
        'platform: configuration',
        'versions only rise',
        'directory',
        'return WriterVersion(number=change.configuration.version)',
        'return WriterVersion()',
        'older_version',
        'tests/test_directory.py',
    ),
    MutationCase(
        'platform: configuration',
        'changes are sent to peers',
        'directory_sync',
        'READER_FANOUT_PEERS = 16',
        'READER_FANOUT_PEERS = 0',
        'known_to_all_soon',
        'tests/test_fleet.py',
    ),
    MutationCase(
        'platform: configuration',
        'large configurations are compressed',
        'steering_links',
        'zlib.compress(STEERING_CODEC.encode(message))',
        'zlib.compress(STEERING_CODEC.encode(message), 0)',
        'narrow_link',
        'tests/test_steering_links.py',
    ),
    MutationCase(
        'platform: fleet',
        'zone peers of a lost instance are probed',
        'fleet',
        'if lost is None or now - self._zone_probed_at < ZONE_PROBE_MIN_INTERVAL_S:',
        'if True:',
        'lose_each_other',
        'tests/test_fleet.py',
    ),
    MutationCase(
        'platform: fleet',
        'an instance that is declared lost replies',
        'fleet',
        'return message.instance == self.own_id and message.incarnation == self._incarnation',
        'return False',
        'called_lost',
        'tests/test_fleet.py',
    ),
    MutationCase(
        'platform: fleet',
        'any different incarnation counts as a new start',
        'fleet',
        'self._count_starts(sender, message.incarnation),',
        'message.incarnation,',
        'clock_went_back',
        'tests/test_fleet.py',
    ),
    MutationCase(
        'platform: fleet',
        'instances with the most capacity are preferred as dispatchers',
        'dispatcher_ranking',
        'return sorted(ranked, key=lambda peer: capacity_by_id[peer] < min_capacity)',
        'return ranked',
        'strongest',
        'tests/test_fleet.py',
    ),
    MutationCase(
        'platform: crest',
        'newest first while crowded',
        'service_order',
        'if _is_any_late(of_kind, work_s_of, share, now):',
        'if False:',
        'newest_goes_first or worth_and_service',
        'tests/test_wait_queue.py',
    ),
    MutationCase(
        'platform: zone cut',
        'flows wait while only avoided servers have slots',
        'server_selection',
        'or untried\n    if requires_capacity:',
        'or untried\n    healthy = untried\n    if requires_capacity:',
        'wait_for_a_slot_instead',
        'tests/test_steering.py',
    ),
    MutationCase(
        'platform: directory',
        'the reader outlives any failure',
        'directory_reader',
        'except Exception as error:',
        'except SourceError as error:',
        'followed_by_a_bounded_pause',
        'tests/test_directory_reader.py',
    ),
    MutationCase(
        'platform: directory',
        'pause after a lost history',
        'directory_reader',
        'self._pause(self._next_retry_delay_s())',
        'self._next_retry_delay_s()',
        'followed_by_a_bounded_pause',
        'tests/test_directory_reader.py',
    ),
    MutationCase(
        'platform: periodic work',
        'a failed task is repeated',
        'steering',
        'self.core.timers.schedule(run_at + period_s, run)\n            task(run_at)',
        'task(run_at)\n            self.core.timers.schedule(run_at + period_s, run)',
        'a_failed_task_is_repeated',
        'tests/test_steering.py',
    ),
    MutationCase(
        'platform: planned stop',
        'signals while the program starts',
        'platform/__main__',
        '    signal.signal(signal.SIGHUP, signal.SIG_IGN)\n',
        '',
        'signals_before',
        'tests/test_platform_process.py',
    ),
    MutationCase(
        'restored source',
        'all records are read again',
        'watcher',
        'self._revision = 0 if is_restored else source_read.revision',
        'self._revision = source_read.revision',
        'given_out_before_a_restore',
        'tests/test_watcher.py',
    ),
    MutationCase(
        'platform: restored source',
        'a watch checks the era',
        'platform/store',
        'if known_era is not None and era > known_era:',
        'if False:',
        'given_out_again',
        'tests/test_platform_store.py',
    ),
    MutationCase(
        'platform: restored source',
        'a watch begins at the last answer of a later era',
        'directory_reader',
        'self._position if self._position.era > position.era else position',
        'position',
        'not_applied_yet',
        'tests/test_directory_reader.py',
    ),
    MutationCase(
        'platform: restored source',
        'a listing checks the era of each page',
        'platform/store',
        'era = position.era if position else None',
        'era = None',
        'between_two_pages',
        'tests/test_platform_store.py',
    ),
    MutationCase(
        'platform: restored source',
        "contents are ordered by their writer's version",
        'directory',
        'return _has_higher_version(change, held)',
        'return _is_later(change, held)',
        'copy_lists_as_ready or random',
        'tests/test_directory_sync.py',
    ),
    MutationCase(
        'platform: restored source',
        'a lost removal wins over the older content at its position',
        'directory',
        'return (change.position, change.writer_version) > (held.position, held.writer_version)',
        'return change.position > held.position',
        'copy_lists_is_not_used_after_a_restart',
        'tests/test_directory_sync.py',
    ),
    MutationCase(
        'platform: restored source',
        'contents ahead of the source are passed on',
        'directory',
        'if change.is_ahead or change.position > position',
        'if change.position > position',
        'after_a_restart',
        'tests/test_directory_sync.py',
    ),
    MutationCase(
        'platform: restored source',
        'lost contents are removed',
        'directory_sync',
        'for key in lost_keys:',
        'for key in ():',
        'reader_never_knew',
        'tests/test_directory_sync.py',
    ),
    MutationCase(
        'platform: restored source',
        'lost servers are used for a grace period',
        'directory_sync',
        'if is_restored or (age',
        'if (age',
        'grace_period_only',
        'tests/test_directory_sync.py',
    ),
    MutationCase(
        'platform: restored source',
        'a peer is asked once in each era',
        'directory_sync',
        'or heartbeat.era > self._fetched_era',
        '',
        'copy_lists_as_ready',
        'tests/test_directory_sync.py',
    ),
    MutationCase(
        'platform: restored source',
        'a higher version of a peer is fetched',
        'directory_sync',
        'or heartbeat.configuration_version > directory.configuration_version',
        '',
        'cut_off_with_the_lost_history',
        'tests/test_directory_sync.py',
    ),
    MutationCase(
        'platform: no old directory',
        'a confirmation counts from the read, not from its arrival',
        'fleet',
        'confirmed_at = bounds.to_own_time(sender, incarnation, peer_time, now)',
        'confirmed_at = now - (message.sent_at_ms / MS_PER_S - peer_time)',
        'none_believes_an_old_directory_fresh',
        'tests/test_confirmation.py',
    ),
    MutationCase(
        'platform: no old directory',
        'a large fleet passes confirmations on as well',
        'fleet',
        'if message.answered_ms > 0:',
        'if False:',
        'few_instances_read',
        'tests/test_confirmation.py',
    ),
    MutationCase(
        'platform: odd entries',
        'whatever decoding raises means no usable server',
        'platform/items',
        'except Exception as error:  # noqa: BLE001 any bytes may stand there',
        'except (ValueError, KeyError, TypeError, AttributeError) as error:',
        'stops_no_instance',
        'tests/test_odd_entries.py',
    ),
    MutationCase(
        'platform: odd entries',
        'bytes of unusable entries are not passed on',
        'directory_sync',
        'source_change = source_change._replace(value=None)',
        'pass',
        'odd_entry_stops_no_instance',
        'tests/test_odd_entries.py',
    ),
    MutationCase(
        'platform: open flows',
        'openings from before a pause are dropped',
        'steering',
        'now < self._backlog_until\n',
        'False\n',
        'before_a_pause',
        'tests/test_steering.py',
    ),
    MutationCase(
        'platform: open flows',
        'a flow with several offers is remembered',
        'flowtrack',
        'flow.phase is FlowPhase.OVER and len(flow.offered) <= 1',
        'flow.phase is FlowPhase.OVER',
        'late_accept',
        'tests/test_steering.py',
    ),
    MutationCase(
        'platform: open flows',
        'servers that were offered a flow in vain get the right tag',
        'tag_correction',
        'if flow.opening_segment is None or not others:',
        'if True:',
        'they_get_the_tag',
        FLOW_OFFER_TESTS,
    ),
    MutationCase(
        'platform: open flows',
        'the same, on real processes',
        'tag_correction',
        'if flow.opening_segment is None or not others:',
        'if True:',
        'idle_flows',
        'tests/test_soak.py',
    ),
    MutationCase(
        'platform: open flows',
        'instances that may have offered a flow hear where it is open',
        'flow_opener',
        'if not tag or flow.is_server_confirmed:',
        'if True:',
        'next_segment',
        FLOW_OFFER_TESTS,
    ),
    MutationCase(
        'platform: open flows',
        'superseded opening segments are dropped',
        'steering',
        'else waited_s >= superseded_after_s(segment)',
        'else False',
        'sent_again_since',
        FLOW_OFFER_TESTS,
    ),
    MutationCase(
        'platform: open flows',
        'late timers run after what has arrived',
        'steering_loop',
        'if self._has_backlog or boot_clock() - due_at > LATE_TIMER_S:',
        'if False:',
        'late_timer',
        'tests/test_steering_loop.py',
    ),
    MutationCase(
        'platform: false claims',
        'positions that the source has not reached are withdrawn',
        'directory_sync',
        'if held < refuted:',
        'if True:',
        FAR_AHEAD,
        PEER_CLAIM_TESTS,
    ),
    MutationCase(
        'platform: false claims',
        'confirmations that contradict the directory do not count',
        'fleet',
        'if not is_contradicted:',
        'if True:',
        FAR_AHEAD,
        PEER_CLAIM_TESTS,
    ),
    MutationCase(
        'platform: false claims',
        'refuted positions are refused',
        'directory_sync',
        'return position >= refuted',
        'return False',
        FAR_AHEAD,
        PEER_CLAIM_TESTS,
    ),
    MutationCase(
        'platform: false claims',
        'claims that a fetch has met are not fetched again',
        'directory_sync',
        'if is_met or',
        'if',
        'not_fetched_again',
        PEER_CLAIM_TESTS,
    ),
    MutationCase(
        'platform: false claims',
        'clock bounds that a message contradicts are dropped',
        'clock_bounds',
        'if bound is not None and is_same_clock and sent_at',
        'if False and sent_at',
        'no_answer_time',
        'tests/test_peer_numbers.py',
    ),
    MutationCase(
        'platform: silent servers',
        'servers that answer no request are set aside',
        'request_progress',
        'return self.is_suspect and not self.is_excused and now < self.avoided_until',
        'return False',
        'silent_server_loses',
        'tests/test_request_progress.py',
    ),
    MutationCase(
        'platform: silent servers',
        'at most a third of the servers is set aside',
        'request_progress',
        'is_excused = suspects * _SERVERS_PER_SET_ASIDE > len(servers)',
        'is_excused = False',
        'at_most_a_third or half_of_the_servers',
        'tests/test_request_progress.py',
    ),
    MutationCase(
        'platform: evacuation',
        'servers of evacuated zones accept no new flows',
        'directory',
        'and entry.registration.server.zone not in self.evacuations',
        'and True',
        'no_opening_reaches',
        EVACUATION_TESTS,
    ),
    MutationCase(
        'platform: evacuation',
        'the same, on real processes',
        'directory',
        'and entry.registration.server.zone not in self.evacuations',
        'and True',
        'evacuated_zones',
        'tests/test_soak.py',
    ),
    MutationCase(
        'platform: evacuation',
        'opening segments of earlier offers are not sent again',
        'directory',
        'return server.zone not in self.evacuations and not self.is_server_evacuated(server.id)',
        'return True',
        'no_opening_reaches',
        EVACUATION_TESTS,
    ),
    MutationCase(
        'platform: evacuation',
        'a late opening of an open flow goes to no other server',
        'assigner',
        'if opened is not None and not self._directory.may_open_at(opened.server):',
        'if False:',
        'late_opening',
        EVACUATION_TESTS,
    ),
    MutationCase(
        'platform: evacuation',
        'a flow that may be open in the zone is not placed again for another holder',
        'assigner',
        'return self._repeat_evacuated(state, lease, request) if is_evacuated else None',
        'return None',
        'another_holder',
        EVACUATION_TESTS,
    ),
    MutationCase(
        'platform: evacuation',
        'an evacuation that a restore lost stays in force for a while',
        'directory',
        'self.evacuations.end(change.zone, now + grace_s)',
        'self.evacuations.end(change.zone, now)',
        'restore_lost',
        EVACUATION_TESTS,
    ),
    MutationCase(
        'platform: evacuation',
        'waiting flows are refused if no server is left',
        'assigner',
        'if not candidates and self._directory.evacuations:',
        'if False:',
        'no_server_is_left',
        EVACUATION_TESTS,
    ),
    MutationCase(
        COLD_SERVERS,
        'offers are limited in any sliding second',
        'cold_rate',
        'return count + 1 + copies <= limit',
        'return True',
        'all_servers_are_cold',
        COLD_SERVER_TESTS,
    ),
    MutationCase(
        COLD_SERVERS,
        'an instance needs votes',
        'cold_mandate',
        'if now >= mandate.quorum_until or not self._is_eligible(service):',
        'if not self._is_eligible(service):',
        'do_not_hear_each_other',
        COLD_SERVER_TESTS,
    ),
    MutationCase(
        COLD_SERVERS,
        'a new holder of the mandate waits',
        'cold_mandate',
        'HANDOVER_S = WINDOW_S + AGREEMENT_S',
        'HANDOVER_S = 0',
        'restarts_at_once',
        COLD_SERVER_TESTS,
    ),
    MutationCase(
        COLD_SERVERS,
        'late grants are not used',
        'cold_offers',
        'is_usable = -_ROUNDING_S <= transit_s <= MAX_GRANT_TRANSIT_S',
        'is_usable = True',
        'late_grant',
        'tests/test_cold_offers.py',
    ),
    MutationCase(
        COLD_SERVERS,
        'copies of opening segments need a grant',
        'cold_offers',
        'return server is not None and (',
        'return False and (',
        'copy_of_the_caller',
        'tests/test_cold_offers.py',
    ),
    MutationCase(
        COLD_SERVERS,
        'a cold server gets one correcting copy',
        'flowtrack',
        'left_out = {self.server.id, *(offer.backend for offer in self.cold_offers)}',
        'left_out = {self.server.id}',
        'corrected_once',
        'tests/test_cold_offers.py',
    ),
    MutationCase(
        'open flows stay at their server',
        'holders of flows that they placed themselves are told of their servers',
        'offer_notice',
        'for peer in set(self.first_ranked(flow.service)) - {core.fleet.own_id}:',
        'for peer in set():',
        'placed_itself',
        'tests/test_offer_notice.py',
    ),
    MutationCase(
        'platform: peak load',
        'kinds share the slots while not all can be in time',
        'service_order',
        'start_s = served_s_by_kind.get(kind, 0)',
        'start_s, work_s = 0.0, 0.0',
        'burst_of_one_kind',
        'tests/test_peak_load.py',
    ),
    MutationCase(
        'platform: unequal servers',
        "the choice counts with the servers' speeds",
        'server_speed',
        'speed.relative_time = min(max(ratio, least), MAX_RELATIVE_TIME)',
        'speed.relative_time = 1.0',
        'answers_come_sooner',
        'tests/test_server_speed.py',
    ),
    MutationCase(
        'platform: unequal servers',
        'slots of servers that fail requests are held',
        'lease_table',
        'if held_until > now:',
        'if False:',
        'no_more_than_the_mean',
        'tests/test_server_speed.py',
    ),
    MutationCase(
        'platform: open flows of a failed server',
        'callers of a dead server are reset',
        'death_register',
        'return now - verdict.checked_at < DEATH_VALIDITY_S',
        'return False',
        'every_caller_is_reset or no_new_flow',
        FAILED_SERVER_TESTS,
    ),
    MutationCase(
        'platform: open flows of a failed server',
        'silence across a cut is no death',
        'server_death',
        'check.outcome is CheckOutcome.REFUSED or check.is_in_zone for check in failed',
        'True for check in failed',
        'live_server_is_reset and cut_zone',
        FAILED_SERVER_TESTS,
    ),
    MutationCase(
        'platform: open flows of a failed server',
        'an accepted connection disproves a death',
        'server_death',
        'if any(check.outcome is CheckOutcome.ACCEPTED for check in checks):',
        'if False:',
        'does_not_look_dead or outweighs',
        'tests/test_server_death.py',
    ),
)


def run_case(case: MutationCase) -> tuple[bool, str]:
    """Runs one case.

    Args:
        case: Mechanism to disable.

    Returns:
        Whether the tests passed on the unchanged source and then failed; and a
        line to print.
    """
    with tempfile.TemporaryDirectory() as folder:
        tree = Path(folder)
        _copy_tree(tree)
        passes_unchanged = _do_tests_pass(tree, case)
        module = tree / 'berylstair' / f'{case.module}.py'
        source = module.read_text(encoding='utf-8')
        if source.count(case.original) != 1:
            return False, f'STALE: {case.mechanism}: its source text does not occur exactly once'
        module.write_text(source.replace(case.original, case.replacement), encoding='utf-8')
        fails_without = not _do_tests_pass(tree, case)
    outcome = (
        f'{"green" if passes_unchanged else "RED"} with it, '
        f'{"red" if fails_without else "GREEN"} without'
    )
    return (
        passes_unchanged and fails_without,
        f'{case.promise} | {case.mechanism} | {case.test_filter} | {outcome}',
    )


def _copy_tree(tree: Path) -> None:
    for part in COPIED_PATHS:
        source = ROOT / part
        if source.is_dir():
            shutil.copytree(source, tree / part, ignore=shutil.ignore_patterns('__pycache__'))
        else:
            shutil.copy(source, tree / part)


def _do_tests_pass(tree: Path, case: MutationCase) -> bool:
    command = [sys.executable, '-m', 'pytest', '-q', '-x', '-p', 'no:cacheprovider', case.test_file]
    completed = subprocess.run(
        [*command, '-k', case.test_filter],
        cwd=tree,
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.returncode == 0


if __name__ == '__main__':
    sys.exit(run_cases(run_case, CASES, PARALLEL_CASES))
