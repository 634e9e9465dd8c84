"""Tests of the actor that reads the configuration source."""

from random import Random

from testtools import TestCase
from testtools.matchers import Equals

from berylstair.event import Event, RecordRead
from berylstair.ids import Endpoint
from berylstair.source import HttpSource
from berylstair.watcher import StartRead, WatcherActor
from emulator.cluster import wait_until
from emulator.configuration_service import ConfigurationService
from emulator.udp import find_free_ports


class WatcherTest(TestCase):
    """The watcher reads every record, also after the service was restored from a copy."""

    def test_records_whose_revisions_were_given_out_before_a_restore_are_read(self) -> None:
        endpoint = Endpoint('127.0.0.1', find_free_ports(1)[0])
        service = ConfigurationService(endpoint)
        self.addCleanup(service.close)
        texts: list[str] = []

        def record_event(event: Event) -> None:
            if isinstance(event, RecordRead):
                texts.append(event.text)

        source = HttpSource(f'http://{endpoint.ip}:{endpoint.port}')
        watcher = WatcherActor.start(source, record_event, lambda: True, Random(1))
        self.addCleanup(watcher.stop, block=False)
        for text in ('kept', 'lost', 'lost too'):
            service.publish(text)
        watcher.tell(StartRead())
        wait_until(lambda: 'lost too' in texts, 'the records are read')
        service.restore(1)
        written_after = ('first', 'second', 'third')
        for text in written_after:
            service.publish(text)
        wait_until(lambda: 'third' in texts, 'the last record is read')
        wait_until(lambda: set(written_after) <= set(texts), 'all records are read')
        self.assertThat(texts.count('lost'), Equals(1))
