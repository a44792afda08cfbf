"""Tests of the turns in which connections parse their input."""

import asyncio

from slatechute.util import input_turns

# Processor time of one byte of costly input: 0.4 ms for the smallest slice.
_COSTLY_BYTE_S = 4e-7


class _Source:
    """A connection whose input takes time on a clock of the test."""

    def __init__(self, process, byte_s):
        self.parsed = 0
        self.is_paused = self.is_aborted = False
        self.input = input_turns.SlicedInput(self._feed, process.turns)
        self.input.attach(self)
        self._process = process
        self._byte_s = byte_s

    def _feed(self, data):
        self.parsed += len(data)
        self._process.now_s += len(data) * self._byte_s
        return True

    # Methods of a transport.

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def abort(self):
        self.is_aborted = True


class _Process:
    def __init__(self):
        self.now_s = 100.0
        self.turns = input_turns.InputTurns(lambda: self.now_s)

    async def steps(self):
        """Yield the time of each step of the event loop while turns are due."""
        while len(self.turns):
            start_s = self.now_s
            await asyncio.sleep(0)
            yield self.now_s - start_s


def test_step_of_the_loop_is_short_whatever_the_number_of_callers():
    """Tiny chunks of many callers kept the loop for seconds in a row."""

    async def main():
        process = _Process()
        crowd = [_Source(process, _COSTLY_BYTE_S) for _ in range(200)]
        start_s = process.now_s
        for source in crowd:
            source.input.receive(b"x" * 65_536)
        # The window of input on arrival and a turn beyond it.
        assert process.now_s - start_s < 0.01
        assert all(source.is_paused for source in crowd)
        async for step_s in process.steps():
            assert step_s < 0.006
        assert {source.parsed for source in crowd} == {65_536}
        assert not any(source.is_paused for source in crowd)

    asyncio.run(main())


def test_ordinary_request_goes_before_costly_input():
    """It waited until the input of all other callers was parsed."""

    async def main():
        process = _Process()
        crowd = [_Source(process, _COSTLY_BYTE_S) for _ in range(200)]
        for source in crowd:
            source.input.receive(b"x" * 65_536)
        async for _ in process.steps():
            if all(source.input.used_s > 0.003 for source in crowd):
                break
        ordinary = _Source(process, 1e-8)
        ordinary.input.receive(b"x" * 300)
        for _ in range(3):
            await asyncio.sleep(0)
        assert ordinary.parsed == 300
        assert len(process.turns) > 100

    asyncio.run(main())


def test_input_that_is_held_goes_on_where_it_stopped():
    """Pipelined requests behind eight that wait were parsed all the same."""

    async def main():
        process = _Process()
        source = _Source(process, 1e-8)
        received = []

        def feed(data):
            received.append(bytes(data))
            return len(received) != 1

        source.input = input_turns.SlicedInput(feed, process.turns)
        source.input.attach(source)
        data = bytes(range(256)) * 40
        source.input.receive(data)
        assert len(received) == 1
        assert source.is_paused
        source.input.resume()
        async for _ in process.steps():
            pass
        assert b"".join(received) == data
        assert not source.is_paused

    asyncio.run(main())


def test_ended_connection_takes_no_further_turn():
    """Its parser would call back into a connection that is closed."""

    async def main():
        process = _Process()
        source = _Source(process, _COSTLY_BYTE_S)
        source.input.receive(b"x" * 65_536)
        parsed = source.parsed
        source.input.detach()
        for _ in range(5):
            await asyncio.sleep(0)
        assert source.parsed == parsed

    asyncio.run(main())


def test_error_of_one_connection_leaves_the_others_their_turns():
    """An unexpected error would have stopped all input that waited."""

    async def main():
        process = _Process()
        faulty, sound = (_Source(process, _COSTLY_BYTE_S) for _ in range(2))
        for source in (faulty, sound):
            source.input.receive(b"x" * 65_536)

        def fail(data):
            raise ZeroDivisionError

        faulty.input._feed = fail
        async for _ in process.steps():
            pass
        assert sound.parsed == 65_536
        assert faulty.is_aborted

    asyncio.run(main())
